// An upstream whose home is this entry instance, that is, the only instance
// that may dispatch requests to it.
//
// home_lease returns the claims that this instance holds; admission accepts
// requests only for these upstreams.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstdint>

namespace laburnumdyke {

struct home_claim
{
  upstream_id mUpstream;
  // Number of slots that requests of a previous home may still occupy until
  // mHeldUntil. Admission counts them as in use.
  std::uint32_t mHeldElsewhere = 0;
  instant mHeldUntil{};
};

} // namespace laburnumdyke
