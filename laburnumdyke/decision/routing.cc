// One pass over the live peers keeps those with the best pair of (credit left
// or not, distance). Credit takes precedence over distance: a queue in the own
// failure domain costs more than a link, whose budget is enforced by admission.
#include "laburnumdyke/decision/routing.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr int kOtherRegion = 2; // distance of peers in other regions

int
Distance(const member& aFrom, const member& aTo)
{
  if (aFrom.mDomain == aTo.mDomain) {
    return 0;
  }
  return aFrom.mRegion == aTo.mRegion ? 1 : kOtherRegion;
}

double
QueuedPerSlot(std::uint32_t aAhead, std::uint32_t aSlots)
{
  return static_cast<double>(aAhead) / std::max(aSlots, 1U);
}

// Credit by the age of the advert: full up to kAdvertFullCreditAge, then
// decreasing linearly to zero at kAdvertMaxAge.
std::uint32_t
DecayedCredit(std::uint32_t aFree, duration aAge)
{
  if (aAge < kAdvertFullCreditAge) {
    return aFree;
  }
  duration left = std::max<duration>(kAdvertMaxAge - aAge, duration(0));
  duration span = kAdvertMaxAge - kAdvertFullCreditAge;
  std::uint64_t scaled = std::uint64_t{ aFree } *
                         static_cast<std::uint64_t>(left.count()) /
                         static_cast<std::uint64_t>(span.count());
  return static_cast<std::uint32_t>(scaled);
}

// The latest report of a peer's slots for a service: advert or response.
received_credit
NewestCredit(const peer& aPeer,
             const service_credit& aAdvert,
             const relay_ledger& aLedger)
{
  std::optional<received_credit> answered =
    aLedger.ReceivedCredit(aPeer.mLast.mSender.mInstance, aAdvert.mService);
  bool newer = answered && answered->mHeard > aPeer.mHeard;
  return newer ? *answered : received_credit{ aAdvert, aPeer.mHeard };
}

// Whether a peer that had no free slot may have one again. Not assumed if its
// last report is old.
bool
MayHaveFreedSlot(const received_credit& aKnown,
                 instant aHandedOver,
                 instant aNow)
{
  instant lastUpdate = std::max(aKnown.mHeard, aHandedOver);
  return aKnown.mCredit.mWaiting == 0 &&
         aNow - lastUpdate >= kSlotRecoveryTime &&
         aNow - aKnown.mHeard < kAdvertFullCreditAge;
}

// Estimates credit left and queue of a peer for one more request.
relay_candidate
Estimate(const route_request& aRequest,
         const peer& aPeer,
         const received_credit& aKnown,
         const relay_ledger& aLedger,
         instant aNow)
{
  const instance_id& name = aPeer.mLast.mSender.mInstance;
  relay_candidate estimate{ &aPeer,
                            Distance(aRequest.mSelf, aPeer.mLast.mSender) };
  bool isOtherRegion = estimate.mDistance == kOtherRegion;
  duration inTransit = isOtherRegion ? kInTransitFar : kInTransitNear;
  std::uint32_t free =
    DecayedCredit(aKnown.mCredit.mFree, aNow - aKnown.mHeard);
  std::uint32_t spent =
    aLedger.RelaysSince(name, aRequest.mService, aKnown.mHeard - inTransit);
  instant handedOver = aLedger.LastRelay(name, aRequest.mService);
  if (free > spent) {
    estimate.mCreditLeft = free - spent;
  } else if (!isOtherRegion && MayHaveFreedSlot(aKnown, handedOver, aNow)) {
    estimate.mCreditLeft = 1;
  } else {
    estimate.mQueuedPerSlot = QueuedPerSlot(
      aKnown.mCredit.mWaiting + spent - free, aKnown.mCredit.mSlots);
  }
  return estimate;
}

std::optional<relay_candidate>
MakeCandidate(const route_request& aRequest,
              const peer& aPeer,
              const relay_ledger& aLedger,
              instant aNow)
{
  const member& sender = aPeer.mLast.mSender;
  const service_credit* credit =
    FindCredit(aPeer.mLast.mCredits, aRequest.mService);
  bool usable = credit != nullptr && !sender.mLeaving &&
                aRequest.mTried.count(sender.mInstance) == 0 &&
                !aLedger.HasRefusedSince(sender.mInstance, aPeer.mHeard) &&
                aNow - aPeer.mHeard < kAdvertMaxAge;
  if (!usable) {
    return std::nullopt;
  }
  received_credit known = NewestCredit(aPeer, *credit, aLedger);
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
  using order = std::pair<bool, int>; // smaller is better in both
  auto orderOf = [](const relay_candidate& aCandidate) {
    return order(aCandidate.mCreditLeft == 0, aCandidate.mDistance);
  };
  std::vector<relay_candidate> nearest;
  for (const peer& livePeer : aRequest.mLivePeers) {
    std::optional<relay_candidate> candidate =
      MakeCandidate(aRequest, livePeer, aLedger, aNow);
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
HasMoreCapacity(const relay_candidate& aFirst, const relay_candidate& aSecond)
{
  return aFirst.mCreditLeft != aSecond.mCreditLeft
           ? aFirst.mCreditLeft > aSecond.mCreditLeft
           : aFirst.mQueuedPerSlot < aSecond.mQueuedPerSlot;
}

bool
HasShorterQueue(const service_credit& aOwn, const relay_candidate& aPeer)
{
  return aPeer.mDistance != kOtherRegion &&
         QueuedPerSlot(aOwn.mWaiting, aOwn.mSlots) >=
           aPeer.mQueuedPerSlot + kMinQueueDifference;
}

std::size_t
most_credit::Pick(const std::vector<relay_candidate>& aNearest)
{
  auto best =
    std::min_element(aNearest.begin(), aNearest.end(), HasMoreCapacity);
  return static_cast<std::size_t>(best - aNearest.begin());
}

std::size_t
two_choices::Pick(const std::vector<relay_candidate>& aNearest)
{
  std::size_t first = mRandom() % aNearest.size();
  std::size_t second = mRandom() % aNearest.size();
  return HasMoreCapacity(aNearest[second], aNearest[first]) ? second : first;
}

} // namespace laburnumdyke
