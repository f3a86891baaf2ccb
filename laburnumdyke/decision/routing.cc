// One pass over the live peers keeps the best by (free credit or not,
// distance, credit). Credit outranks distance: a queue in the own failure
// domain costs more than a link, whose budget admission guards.
#include "laburnumdyke/decision/routing.h"

#include <tuple>

namespace laburnumdyke {

namespace {

const service_credit*
FindCredit(const std::vector<service_credit>& aCredits,
           const service_id& aService)
{
  for (const service_credit& credit : aCredits) {
    if (credit.mService == aService) {
      return &credit;
    }
  }
  return nullptr;
}

int
Distance(const member& aFrom, const member& aTo)
{
  if (aFrom.mDomain == aTo.mDomain) {
    return 0;
  }
  return aFrom.mRegion == aTo.mRegion ? 1 : 2;
}

} // namespace

route
ChooseRoute(const service_id& aService,
            const member& aSelf,
            const std::vector<service_credit>& aOwnCredits,
            const std::vector<peer>& aLivePeers,
            const std::set<instance_id>& aTried,
            instant aNow)
{
  const service_credit* own = FindCredit(aOwnCredits, aService);
  bool hereIsOpen = own != nullptr && aTried.count(aSelf.mInstance) == 0;
  if (hereIsOpen && own->mFree > 0) {
    return { route_step::Here, {}, refusal_reason::None };
  }
  // Less is better in each part.
  using order = std::tuple<bool, int, std::uint32_t>;
  const peer* best = nullptr;
  order bestOrder;
  for (const peer& one : aLivePeers) {
    const member& sender = one.mLast.mSender;
    const service_credit* credit = FindCredit(one.mLast.mCredits, aService);
    bool usable = credit != nullptr && !sender.mLeaving &&
                  aTried.count(sender.mInstance) == 0 &&
                  aNow - one.mHeard < kAdvertLife;
    if (!usable) {
      continue;
    }
    order candidate(
      credit->mFree == 0, Distance(aSelf, sender), ~credit->mFree);
    if (best == nullptr || candidate < bestOrder) {
      best = &one;
      bestOrder = candidate;
    }
  }
  bool bestIsFree = best != nullptr && !std::get<0>(bestOrder);
  if (hereIsOpen && !bestIsFree) {
    return { route_step::Here, {}, refusal_reason::None };
  }
  if (best == nullptr) {
    return { route_step::Refuse, {}, refusal_reason::NoUpstream };
  }
  const member& target = best->mLast.mSender;
  return { route_step::Relay,
           { target.mInstance, target.mRelay, best->mLast.mStamp },
           refusal_reason::None };
}

} // namespace laburnumdyke
