// Where a request goes next from this entry instance.
//
// In order: this instance where it is the home of an upstream of the service
// with a free slot; then the live peer with credit that is nearest (same
// failure domain, same region, other regions), most credit first; then this
// instance's own queue; then a peer's.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/types.h"

#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

// An instance to relay to, and the advert that the choice relied on.
struct relay_target
{
  instance_id mInstance;
  endpoint mRelay;
  std::chrono::milliseconds mStamp{ 0 };
};

enum class route_step
{
  Here,  // ask this instance's own admission
  Relay, // hand the request to mTarget
  Refuse,
};

struct route
{
  route_step mStep = route_step::Refuse;
  relay_target mTarget;
  refusal_reason mReason = refusal_reason::None;
};

// Adverts older than this count as no credit.
inline constexpr std::chrono::milliseconds kAdvertLife{ 2000 };

// aTried holds the instances that have already not run this request.
route
ChooseRoute(const service_id& aService,
            const member& aSelf,
            const std::vector<service_credit>& aOwnCredits,
            const std::vector<peer>& aLivePeers,
            const std::set<instance_id>& aTried,
            instant aNow);

} // namespace laburnumdyke
