// One pass over the live peers keeps those of the best (credit left or not,
// distance). Credit outranks distance: a queue in the own failure domain costs
// more than a link, whose budget admission guards.
#include "laburnumdyke/decision/routing.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

int
Distance(const member& aFrom, const member& aTo)
{
  if (aFrom.mDomain == aTo.mDomain) {
    return 0;
  }
  return aFrom.mRegion == aTo.mRegion ? 1 : 2;
}

// Credit by the age of the advert: whole at first, then down to nothing.
std::uint32_t
Decayed(std::uint32_t aFree, duration aAge)
{
  if (aAge < kAdvertFull) {
    return aFree;
  }
  duration left = std::max<duration>(kAdvertLife - aAge, duration(0));
  duration span = kAdvertLife - kAdvertFull;
  std::uint64_t scaled = std::uint64_t{ aFree } *
                         static_cast<std::uint64_t>(left.count()) /
                         static_cast<std::uint64_t>(span.count());
  return static_cast<std::uint32_t>(scaled);
}

std::optional<relay_candidate>
Consider(const route_request& aRequest,
         const peer& aPeer,
         const relay_ledger& aLedger,
         instant aNow)
{
  const member& sender = aPeer.mLast.mSender;
  const service_credit* credit =
    FindCredit(aPeer.mLast.mCredits, aRequest.mService);
  duration age = aNow - aPeer.mHeard;
  bool usable = credit != nullptr && !sender.mLeaving &&
                aRequest.mTried.count(sender.mInstance) == 0 &&
                !aLedger.IsRefusing(sender.mInstance, aPeer.mHeard) &&
                age < kAdvertLife;
  if (!usable) {
    return std::nullopt;
  }
  std::uint32_t free = Decayed(credit->mFree, age);
  std::uint32_t spent =
    aLedger.Spent(sender.mInstance, aRequest.mService, aPeer.mHeard);
  return relay_candidate{ &aPeer,
                          Distance(aRequest.mSelf, sender),
                          free - std::min(free, spent) };
}

} // namespace

const service_credit*
FindCredit(const std::vector<service_credit>& aCredits,
           const service_id& aService)
{
  auto found = std::find_if(
    aCredits.begin(), aCredits.end(), [&](const service_credit& aCredit) {
      return aCredit.mService == aService;
    });
  return found == aCredits.end() ? nullptr : &*found;
}

std::vector<relay_candidate>
NearestCandidates(const route_request& aRequest,
                  const relay_ledger& aLedger,
                  instant aNow)
{
  using order = std::pair<bool, int>; // less is better in each part
  auto orderOf = [](const relay_candidate& aCandidate) {
    return order(aCandidate.mLeft == 0, aCandidate.mDistance);
  };
  std::vector<relay_candidate> nearest;
  for (const peer& one : aRequest.mLivePeers) {
    std::optional<relay_candidate> candidate =
      Consider(aRequest, one, aLedger, aNow);
    if (!candidate) {
      continue;
    }
    if (!nearest.empty() && orderOf(*candidate) < orderOf(nearest.front())) {
      nearest.clear();
    }
    if (nearest.empty() || orderOf(*candidate) == orderOf(nearest.front())) {
      nearest.push_back(*candidate);
    }
  }
  return nearest;
}

std::size_t
most_credit::Pick(const std::vector<relay_candidate>& aNear)
{
  auto best = std::max_element(
    aNear.begin(),
    aNear.end(),
    [](const relay_candidate& aLeft, const relay_candidate& aRight) {
      return aLeft.mLeft < aRight.mLeft;
    });
  return static_cast<std::size_t>(best - aNear.begin());
}

std::size_t
two_choices::Pick(const std::vector<relay_candidate>& aNear)
{
  std::size_t first = mRandom() % aNear.size();
  std::size_t second = mRandom() % aNear.size();
  return aNear[second].mLeft > aNear[first].mLeft ? second : first;
}

} // namespace laburnumdyke
