// The right of an entry instance to admit work to one upstream.
//
// Membership hands claims out, admission works by them.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstdint>

namespace laburnumdyke {

struct home_claim
{
  upstream_id mUpstream;
  // Slots that requests of an earlier home may still occupy until
  // mHeldUntil. Admission counts them as in use.
  std::uint32_t mHeldElsewhere = 0;
  instant mHeldUntil{};
};

} // namespace laburnumdyke
