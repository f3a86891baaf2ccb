// Placement: which entry instances a client should use for a service.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/membership.h"

#include <vector>

namespace laburnumdyke {

struct entry_choice
{
  instance_id mInstance;
  endpoint mCaller;
  domain_id mDomain;
};

// At most kMostChoices instances, best first: those of the failure domain of
// the client's block, then of its region, then others; leaving and dead
// instances are left out.
inline constexpr std::size_t kMostChoices = 4;

std::vector<entry_choice>
PlaceClient(const document& aDocument,
            const service_id& aService,
            const address_bytes& aClient,
            const member& aSelf,
            const std::vector<peer>& aLivePeers);

} // namespace laburnumdyke
