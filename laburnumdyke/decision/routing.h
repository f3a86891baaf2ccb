// Where a request goes next from this entry instance.
//
// Usage:
//   router router;
//   route next = router.Choose(request, now);
//   router.HearCredits(peer, credits, now); // with each answer of a relay
//
// In order: this instance where it is the home of an upstream of the service
// with a free slot; then a live peer with credit left, of this failure domain,
// else of this region, else of others; then this instance's own queue, or that
// of a peer in the region where it is shorter by a turn; then a farther peer's.
// A peer that is leaving, silent or already tried is never chosen, nor one that
// has refused a connection since it was last heard.
//
// Credit left is what the peer's latest advert or answer says, less what was
// handed over since, and shrinks to nothing as that ages to kAdvertLife. A
// peer in the region without credit or queue counts as having one slot free
// again after kRegrowth. Which of several near peers is chosen is the
// policy's: most_credit or two_choices.
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

// An instance to relay to, and the advert that the choice relied on.
struct relay_target
{
  instance_id mInstance;
  endpoint mRelay;
  std::chrono::milliseconds mStamp{ 0 };
  region_id mRegion;
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
// Up to this age an advert counts in full.
inline constexpr std::chrono::milliseconds kAdvertFull{ 1000 };
// A request out and a credit back, within a region and between regions.
inline constexpr std::chrono::milliseconds kInTransitNear{ 10 };
inline constexpr std::chrono::milliseconds kInTransitFar{ 100 };
// After the latest news of a peer, until one of its slots may be free again.
inline constexpr std::chrono::milliseconds kRegrowth{ 20 };
// By how many turns a peer's queue must be shorter than the own.
inline constexpr double kLeastTurnsSaved = 1;

// A peer that may be relayed to.
struct relay_candidate
{
  const peer* mPeer = nullptr;
  int mDistance = 0;
  std::uint32_t mLeft = 0; // credit
  double mTurns = 0;       // requests ahead of a new one, for each slot
};

// Picks one of at least one equally near candidates.
template<class T>
concept relay_choice = requires(T& aChoice,
                                const std::vector<relay_candidate>& aNear)
{
  {
    aChoice.Pick(aNear)
    } -> std::same_as<std::size_t>;
};

// Whether the first has more credit left or, with equal credit, less ahead.
bool
HasMoreRoom(const relay_candidate& aFirst, const relay_candidate& aSecond);

// The candidate with the most room.
struct most_credit
{
  std::size_t Pick(const std::vector<relay_candidate>& aNear);
};

// The better of two at random, so that relays which read the same adverts
// spread over the peers.
struct two_choices
{
  std::size_t Pick(const std::vector<relay_candidate>& aNear);
  std::mt19937_64 mRandom;
};

// What routing goes by.
struct route_request
{
  const service_id& mService;
  const member& mSelf;
  const std::vector<service_credit>& mOwnCredits;
  const std::vector<peer>& mLivePeers;
  // Instances that have already not run this request.
  const std::set<instance_id>& mTried;
};

// The peers of the least distance that have credit left; where none has any,
// the nearest that serve the service.
std::vector<relay_candidate>
NearestCandidates(const route_request& aRequest,
                  const relay_ledger& aLedger,
                  instant aNow);

const service_credit*
FindCredit(const std::vector<service_credit>& aCredits,
           const service_id& aService);

// Whether a request waits less in the peer's queue than in the own.
bool
SavesTurns(const service_credit& aOwn, const relay_candidate& aPeer);

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

  // Counts the hand-over where it chooses one.
  route Choose(const route_request& aRequest, instant aNow);

  // A connection to the peer's relay port was refused.
  void NoteRefused(const instance_id& aPeer, instant aNow)
  {
    mLedger.Refused(aPeer, aNow);
  }

  // Takes in what a peer had free when it answered a relay.
  void HearCredits(const instance_id& aPeer,
                   const std::vector<service_credit>& aCredits,
                   instant aNow)
  {
    mLedger.Hear(aPeer, aCredits, aNow);
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
  bool hereIsOpen =
    own != nullptr && aRequest.mTried.count(aRequest.mSelf.mInstance) == 0;
  if (hereIsOpen && own->mFree > 0) {
    return here;
  }
  std::vector<relay_candidate> nearest =
    NearestCandidates(aRequest, mLedger, aNow);
  if (nearest.empty()) {
    route refused{ route_step::Refuse, {}, refusal_reason::NoUpstream };
    return hereIsOpen ? here : refused;
  }
  const relay_candidate& picked = nearest[mChoice.Pick(nearest)];
  if (hereIsOpen && picked.mLeft == 0 && !SavesTurns(*own, picked)) {
    return here;
  }
  const peer& chosen = *picked.mPeer;
  const member& target = chosen.mLast.mSender;
  mLedger.Count(target.mInstance, aRequest.mService, aNow);
  return {
    route_step::Relay,
    { target.mInstance, target.mRelay, chosen.mLast.mStamp, target.mRegion },
    refusal_reason::None
  };
}

} // namespace laburnumdyke
