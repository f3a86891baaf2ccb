// Decides whether an entry instance handles a request itself, relays it to a
// peer or refuses it.
//
// Usage:
//   router router;
//   route next = router.Choose(request, now);
//   router.UpdateCredits(peer, credits, now); // on each response to a relay
//
// In order of preference: this instance if it is the home of an upstream of the
// service with a free slot; a live peer with credit left, in this failure
// domain, else in this region, else in another; this instance's own queue, or
// the queue of a peer in the region if that is shorter by kMinQueueDifference;
// the queue of a peer in another region. A peer is never chosen if it is
// leaving or silent, has already been tried, or has refused a connection since
// it was last heard from.
//
// Credit left is the number of free slots in the peer's latest advert or
// response, minus the requests relayed to it since. It decays to zero as that
// report ages to kAdvertMaxAge. A peer in the region with neither credit nor a
// queue is assumed to have one free slot again after kSlotRecoveryTime. A
// policy chooses among equally near peers: most_credit or two_choices.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/relay_ledger.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <concepts>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace laburnumdyke {

// An instance to relay to, and the stamp of the advert it was chosen by.
struct relay_target
{
  instance_id mInstance;
  endpoint mRelay;
  std::chrono::milliseconds mStamp{ 0 };
  region_id mRegion;
};

enum class route_step
{
  Here,  // pass the request to this instance's admission
  Relay, // relay the request to mTarget
  Refuse,
};

struct route
{
  route_step mStep = route_step::Refuse;
  relay_target mTarget;
  refusal_reason mReason = refusal_reason::None;
};

// Adverts of this age or older give no credit.
inline constexpr std::chrono::milliseconds kAdvertMaxAge{ 2000 };
// Up to this age an advert gives its full credit.
inline constexpr std::chrono::milliseconds kAdvertFullCreditAge{ 1000 };
// Transit time of a relayed request and the credit report that reflects it,
// within a region and between regions.
inline constexpr std::chrono::milliseconds kInTransitNear{ 10 };
inline constexpr std::chrono::milliseconds kInTransitFar{ 100 };
// Time after a peer's latest report or relayed request until one of its slots
// may be free again.
inline constexpr std::chrono::milliseconds kSlotRecoveryTime{ 20 };
// Requests per slot by which a peer's queue must be shorter than this
// instance's.
inline constexpr double kMinQueueDifference = 1;

// A peer that a request may be relayed to.
struct relay_candidate
{
  const peer* mPeer = nullptr;
  int mDistance = 0; // 0: same failure domain, 1: same region, 2: another
  std::uint32_t mCreditLeft = 0;
  double mQueuedPerSlot = 0;
};

// Picks the index of one of equally near candidates; aNearest is not empty.
template<class T>
concept relay_choice = requires(T& aChoice,
                                const std::vector<relay_candidate>& aNearest)
{
  {
    aChoice.Pick(aNearest)
    } -> std::same_as<std::size_t>;
};

// Whether aFirst has more credit left or, at equal credit, a shorter queue.
bool
HasMoreCapacity(const relay_candidate& aFirst, const relay_candidate& aSecond);

// Picks the candidate with the most capacity as by HasMoreCapacity.
struct most_credit
{
  std::size_t Pick(const std::vector<relay_candidate>& aNearest);
};

// Power of two random choices: picks the better of two random candidates, so
// that instances with the same adverts spread their relays over the peers.
struct two_choices
{
  std::size_t Pick(const std::vector<relay_candidate>& aNearest);
  std::mt19937_64 mRandom;
};

// Input of a routing decision.
struct route_request
{
  const service_id& mService;
  const member& mSelf;
  const std::vector<service_credit>& mOwnCredits;
  const std::vector<peer>& mLivePeers;
  // Instances that were tried and did not execute this request.
  const std::set<instance_id>& mTried;
};

// Returns the nearest peers that have credit left or, if none has any, the
// nearest peers that serve the service.
std::vector<relay_candidate>
NearestCandidates(const route_request& aRequest,
                  const relay_ledger& aLedger,
                  instant aNow);

const service_credit*
FindCredit(const std::vector<service_credit>& aCredits,
           const service_id& aService);

// Whether the peer is in this region and its queue is shorter than aOwn's by
// kMinQueueDifference.
bool
HasShorterQueue(const service_credit& aOwn, const relay_candidate& aPeer);

template<relay_choice Choice>
class basic_router
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Adverts;

  basic_router() = default;
  explicit basic_router(Choice aChoice)
    : mChoice(std::move(aChoice))
  {
  }

  // Returns the next step. A relay is counted against the peer's credit.
  route Choose(const route_request& aRequest, instant aNow);

  // Call when the peer refused a connection to its relay port.
  void OnConnectionRefused(const instance_id& aPeer, instant aNow)
  {
    mLedger.RecordRefusal(aPeer, aNow);
  }

  // Updates the credits of a peer from its response to a relay.
  void UpdateCredits(const instance_id& aPeer,
                     const std::vector<service_credit>& aCredits,
                     instant aNow)
  {
    mLedger.RecordCredits(aPeer, aCredits, aNow);
  }

private:
  Choice mChoice;
  relay_ledger mLedger;
};

using router = basic_router<two_choices>;

template<relay_choice Choice>
route
basic_router<Choice>::Choose(const route_request& aRequest, instant aNow)
{
  route here{ route_step::Here, {}, refusal_reason::None };
  const service_credit* own =
    FindCredit(aRequest.mOwnCredits, aRequest.mService);
  bool selfIsUsable =
    own != nullptr && aRequest.mTried.count(aRequest.mSelf.mInstance) == 0;
  if (selfIsUsable && own->mFree > 0) {
    return here;
  }
  std::vector<relay_candidate> nearest =
    NearestCandidates(aRequest, mLedger, aNow);
  if (nearest.empty()) {
    route refused{ route_step::Refuse, {}, refusal_reason::NoUpstream };
    return selfIsUsable ? here : refused;
  }
  const relay_candidate& picked = nearest[mChoice.Pick(nearest)];
  if (selfIsUsable && picked.mCreditLeft == 0 &&
      !HasShorterQueue(*own, picked)) {
    return here;
  }
  const peer& chosen = *picked.mPeer;
  const member& target = chosen.mLast.mSender;
  mLedger.RecordRelay(target.mInstance, aRequest.mService, aNow);
  return {
    route_step::Relay,
    { target.mInstance, target.mRelay, chosen.mLast.mStamp, target.mRegion },
    refusal_reason::None
  };
}

} // namespace laburnumdyke
