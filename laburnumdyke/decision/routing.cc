// One pass over the live peers keeps those of the best (credit left or not,
// distance). Credit outranks distance: a queue in the own failure domain costs
// more than a link, whose budget admission guards.
#include "laburnumdyke/decision/routing.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr int kFar = 2; // the distance to other regions

int
Distance(const member& aFrom, const member& aTo)
{
  if (aFrom.mDomain == aTo.mDomain) {
    return 0;
  }
  return aFrom.mRegion == aTo.mRegion ? 1 : kFar;
}

double
Turns(std::uint32_t aAhead, std::uint32_t aSlots)
{
  return static_cast<double>(aAhead) / std::max(aSlots, 1U);
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

// The newest that is known of a peer's slots for a service.
heard_credit
NewestCredit(const peer& aPeer,
             const service_credit& aAdvert,
             const relay_ledger& aLedger)
{
  std::optional<heard_credit> answered =
    aLedger.Heard(aPeer.mLast.mSender.mInstance, aAdvert.mService);
  bool newer = answered && answered->mHeard > aPeer.mHeard;
  return newer ? *answered : heard_credit{ aAdvert, aPeer.mHeard };
}

// Whether a slot of a peer that had none left may be free again. Old news is
// no ground to believe it.
bool
MayHaveRegrown(const heard_credit& aKnown, instant aHandedOver, instant aNow)
{
  instant news = std::max(aKnown.mHeard, aHandedOver);
  return aKnown.mCredit.mWaiting == 0 && aNow - news >= kRegrowth &&
         aNow - aKnown.mHeard < kAdvertFull;
}

// What the known credit leaves for one more request.
relay_candidate
Estimate(const route_request& aRequest,
         const peer& aPeer,
         const heard_credit& aKnown,
         const relay_ledger& aLedger,
         instant aNow)
{
  const instance_id& name = aPeer.mLast.mSender.mInstance;
  relay_candidate made{ &aPeer, Distance(aRequest.mSelf, aPeer.mLast.mSender) };
  bool far = made.mDistance == kFar;
  duration inTransit = far ? kInTransitFar : kInTransitNear;
  std::uint32_t free = Decayed(aKnown.mCredit.mFree, aNow - aKnown.mHeard);
  std::uint32_t spent =
    aLedger.Spent(name, aRequest.mService, aKnown.mHeard - inTransit);
  instant handedOver = aLedger.LastHandOver(name, aRequest.mService);
  if (free > spent) {
    made.mLeft = free - spent;
  } else if (!far && MayHaveRegrown(aKnown, handedOver, aNow)) {
    made.mLeft = 1;
  } else {
    made.mTurns =
      Turns(aKnown.mCredit.mWaiting + spent - free, aKnown.mCredit.mSlots);
  }
  return made;
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
  bool usable = credit != nullptr && !sender.mLeaving &&
                aRequest.mTried.count(sender.mInstance) == 0 &&
                !aLedger.IsRefusing(sender.mInstance, aPeer.mHeard) &&
                aNow - aPeer.mHeard < kAdvertLife;
  if (!usable) {
    return std::nullopt;
  }
  heard_credit known = NewestCredit(aPeer, *credit, aLedger);
  return Estimate(aRequest, aPeer, known, aLedger, aNow);
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

bool
HasMoreRoom(const relay_candidate& aFirst, const relay_candidate& aSecond)
{
  return aFirst.mLeft != aSecond.mLeft ? aFirst.mLeft > aSecond.mLeft
                                       : aFirst.mTurns < aSecond.mTurns;
}

bool
SavesTurns(const service_credit& aOwn, const relay_candidate& aPeer)
{
  return aPeer.mDistance != kFar &&
         Turns(aOwn.mWaiting, aOwn.mSlots) >= aPeer.mTurns + kLeastTurnsSaved;
}

std::size_t
most_credit::Pick(const std::vector<relay_candidate>& aNear)
{
  auto best = std::min_element(aNear.begin(), aNear.end(), HasMoreRoom);
  return static_cast<std::size_t>(best - aNear.begin());
}

std::size_t
two_choices::Pick(const std::vector<relay_candidate>& aNear)
{
  std::size_t first = mRandom() % aNear.size();
  std::size_t second = mRandom() % aNear.size();
  return HasMoreRoom(aNear[second], aNear[first]) ? second : first;
}

} // namespace laburnumdyke
