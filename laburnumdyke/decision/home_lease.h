// The lease by which an entry instance is the home of upstreams of its own
// failure domain: only the home dispatches to an upstream.
//
// Usage:
//   lease.Open(self, incarnation);
//   lease.Hear(sender, message, now);         // heartbeat of a domain peer
//   message = lease.Compose(sequence, now);   // immediately before sending
//   part = lease.AddressTo(peer, message, sequence, acked); // for one peer
//   claims = lease.Claims(upstreams, now);    // what admission works by
//   if (lease.BeginDispatch(upstream, number, deadline, now)) {
//     ... dispatch, then lease.EndDispatch(number)
//   }
//
// The home of an upstream is the instance that rendezvous hashing puts first
// among the eligible ones of the domain. An instance passes through
//   listening  from its start, or from a pause of its process, for kTakeover;
//   joining    eligible, until every domain peer heard within kTakeover has
//              acknowledged a heartbeat that said so;
//   holding    while each domain peer heard within kDrop has acknowledged a
//              heartbeat sent less than kLease ago.
//
// No two instances hold one upstream at an instant. A peer that acknowledges
// this instance has it in its view for at least kTakeover from then on, and
// both rank the same pair alike; the lease runs from the sending, on the
// holder's own clock, and kLease plus the drift margin is below kTakeover.
// This takes that two running instances of a domain are not cut off from each
// other in both directions at once for longer than kDrop with no third to
// vouch for them, and that a newcomer is in touch with each of them once
// within kTakeover of its start.
//
// A third vouches by acknowledgements of others: each message to one peer has
// kVouched of them in turn, and all that this peer has asked for. Whoever has
// not heard a peer for kAsk asks; that leaves time for an answer before
// kTakeover.
//
// Slots: requests that an earlier home may still have in flight count as held.
// A live one reports them. What a silent one has dispatched ends by the time
// it was last heard, plus kLease, plus the longest request of the service;
// until then all slots count as held. The same holds for what an instance
// killed before this one's start may have dispatched, where no peer was home.
//
// Errors: a refused dispatch leaves its reason in LastReason.
#pragma once

#include "laburnumdyke/decision/dispatch_ledger.h"
#include "laburnumdyke/decision/home_claim.h"
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// The latest heartbeat of a peer that the sender has heard.
struct lease_ack
{
  member_key mMember = 0;
  std::uint64_t mSequence = 0;
};

// What the sender holds, or still has in flight, at an upstream.
struct upstream_report
{
  upstream_id mUpstream;
  bool mHolding = false;
  std::uint32_t mOccupied = 0;
  std::chrono::milliseconds mBusyFor{ 0 }; // from the sending
};

// An incarnation of a domain instance that the sender counts as dead, and
// whose requests may still be in flight.
struct silent_report
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mAge{ 0 }; // since it was last heard
};

// The part of a heartbeat that goes to peers of the own failure domain.
struct lease_message
{
  bool mEligible = false;
  // What the sender holds is what it told in a heartbeat that the receiver
  // has acknowledged; mReports has only upstreams that it doesn't hold.
  bool mSameHoldings = false;
  std::vector<lease_ack> mAcks;
  std::vector<lease_ack> mAsked; // who of the peers has heard a later one?
  std::vector<upstream_report> mReports;
  std::vector<silent_report> mSilent;
};

// Who sent a heartbeat, and which.
struct lease_sender
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
};

// What the document says of an upstream.
struct upstream_terms
{
  std::uint32_t mSlots = 0;
  std::chrono::milliseconds mLongest{ 0 }; // from dispatch to deadline
};

enum class lease_refusal
{
  None,
  NotHome,        // another instance outranks this one
  NotYetEligible, // listening, or leaving
  NotAcknowledged,
  SlotsHeld, // by requests of an earlier home
  DeadlineTooFar,
};

std::string_view
ToString(lease_refusal aReason);

class home_lease
{
public:
  static constexpr std::chrono::milliseconds kPeriod{ 500 };
  static constexpr std::chrono::milliseconds kDrop{ 1500 };
  static constexpr std::chrono::milliseconds kLease{ 2200 };
  static constexpr std::chrono::milliseconds kTakeover{ 2500 };
  // Clocks may drift apart, and a timer be late, by so much in kTakeover.
  static constexpr std::chrono::milliseconds kDriftMargin{ 250 };
  static_assert(kLease + kDriftMargin < kTakeover);
  static_assert(kDrop + kPeriod <= kLease);
  // Between two calls; a longer gap means that the process was paused.
  static constexpr std::chrono::milliseconds kPause{ 1000 };
  static constexpr std::size_t kMostSilent = 32;
  // Acknowledgements of others in a message to one peer, unasked.
  static constexpr std::size_t kVouched = 2;
  static constexpr std::chrono::milliseconds kAsk{ 750 };
  // The asker's next heartbeat, then the answerer's.
  static_assert(kAsk + 2 * kPeriod + kDriftMargin < kTakeover);

  void Open(instance_id aSelf, std::uint64_t aIncarnation);

  // Stops being a home at once and for good. Requests in flight go on.
  void Leave(instant aNow);

  // Takes a heartbeat of a domain peer in. The caller has dropped those of
  // older incarnations and sequences. Returns whether the sender should hear
  // of this instance at once.
  bool Hear(const lease_sender& aSender,
            const lease_message& aMessage,
            instant aNow);

  // Notes a heartbeat of a domain instance that was dropped since a higher
  // incarnation is known: this instance does not join until kDrop later.
  void NoteIgnored(instant aNow);

  // Notes a brief heartbeat that can't be completed: someone is alive whom this
  // instance may not know, so that it does not join until kTakeover later.
  void NoteStranger(instant aNow);

  // What to send with the heartbeat of this sequence: everything, for any peer.
  lease_message Compose(std::uint64_t aSequence, instant aNow);

  // What of it one peer needs that has acknowledged the heartbeat of sequence
  // aAcked. Nothing where the peer isn't known here: it needs everything.
  std::optional<lease_message> AddressTo(const instance_id& aPeer,
                                         const lease_message& aWhole,
                                         std::uint64_t aSequence,
                                         std::uint64_t aAcked) const;

  // Whether what this incarnation has told is remembered.
  bool Knows(const instance_id& aInstance, std::uint64_t aIncarnation) const;

  // Sets the upstreams of the domain; returns those held, with the slots that
  // are not free yet.
  std::vector<home_claim> Claims(
    const std::map<upstream_id, upstream_terms>& aUpstreams,
    instant aNow);

  // Whether this instance holds the upstream.
  bool MayDispatch(const upstream_id& aUpstream, instant aNow);

  // Checks the lease and the slots, and counts the request as in flight.
  bool BeginDispatch(const upstream_id& aUpstream,
                     std::uint64_t aNumber,
                     instant aDeadline,
                     instant aNow);
  void EndDispatch(std::uint64_t aNumber) { mDispatched.End(aNumber); }

  // Counts a request at another upstream that uses this one's share of the
  // region's cap, until EndLoan: reports add it to the slots in use. False
  // where this instance does not hold the upstream.
  bool BeginLoan(const upstream_id& aUpstream,
                 std::uint64_t aNumber,
                 instant aDeadline,
                 instant aNow);
  void EndLoan(std::uint64_t aNumber) { mLoans.End(aNumber); }

  // Whom rendezvous hashing puts first among the eligible instances.
  std::optional<instance_id> HomeOf(const upstream_id& aUpstream,
                                    instant aNow) const;

  lease_refusal LastReason() const { return mLastReason; }

private:
  struct residual
  {
    std::uint32_t mOccupied = 0;
    instant mUntil{};
  };

  struct domain_peer
  {
    member_key mKey = 0;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mHeardSequence = 0;
    std::uint64_t mVouchedSequence = 0;
    std::uint64_t mAckedSequence = 0; // of this instance's heartbeats
    instant mHeard{};
    instant mVouched{}; // when a third instance last showed it alive
    bool mEligible = false;
    bool mLeaving = false;
    std::vector<lease_ack> mAsked; // by its latest heartbeat
    std::set<upstream_id> mHolds;  // by its own word
    std::map<upstream_id, residual> mResiduals;
  };

  // An incarnation whose requests may be in flight without a report.
  struct ghost
  {
    instant mHeard{};
    bool mEligible = true; // may have been a home
    std::map<upstream_id, residual> mResiduals;
  };
  using ghost_key = std::pair<instance_id, std::uint64_t>;

  struct sent_heartbeat
  {
    std::uint64_t mSequence = 0;
    instant mAt{};
  };

  void Observe(instant aNow);
  void Settle(instant aNow);
  void SettleHomes(instant aNow);
  bool Eligible(instant aNow) const;
  bool MayJoin(instant aNow) const;
  bool IsAlive(const domain_peer& aPeer, instant aNow) const;
  bool IsRequired(const domain_peer& aPeer, instant aNow) const;
  bool HasAcknowledged(const domain_peer& aPeer, instant aNow) const;
  bool Acknowledged(instant aNow) const;
  std::vector<instance_id> Rivals(instant aNow) const;
  void Acquire(const upstream_id& aUpstream, instant aNow);
  void DropHomes();
  void TakeAcks(domain_peer& aPeer,
                const lease_message& aMessage,
                instant aNow);
  void TakeSilent(const lease_message& aMessage, instant aNow);
  domain_peer* FindByKey(member_key aKey);
  const domain_peer* FindByKey(member_key aKey) const;
  void AddAsked(lease_message& aMessage, instant aNow) const;
  void AddVouched(lease_message& aMessage,
                  const lease_message& aWhole,
                  std::uint64_t aSequence) const;
  void AddAnswers(lease_message& aMessage,
                  const std::vector<lease_ack>& aAsked) const;
  void TakeReports(domain_peer& aPeer,
                   const lease_message& aMessage,
                   instant aNow);
  void Retire(const instance_id& aInstance, const domain_peer& aPeer);
  void BurySilent(instant aNow);
  void ForgetExpired(instant aNow);
  void AddReports(lease_message& aMessage, instant aNow) const;
  void AddSilent(lease_message& aMessage, instant aNow) const;
  std::chrono::milliseconds GhostLife() const;
  residual HeldBySilent(const upstream_id& aUpstream, instant aNow) const;
  residual HeldElsewhere(const upstream_id& aUpstream, instant aNow) const;
  bool Refuse(lease_refusal aReason);

  instance_id mSelf;
  std::uint64_t mIncarnation = 0;
  member_key mKey = 0;
  bool mStarted = false;
  bool mLeaving = false;
  bool mJoined = false;
  instant mBorn{};                  // the first call
  instant mObserved{};              // the latest call
  instant mSettled{};               // when mHomes was last found in force
  std::optional<instant> mIgnored;  // when a heartbeat was last dropped
  std::optional<instant> mStranger; // when one was last noted
  instant mListening{};             // since when
  std::uint64_t mEligibleFrom = 0;  // sequence; 0 while not eligible
  std::deque<sent_heartbeat> mSent; // oldest first
  std::map<instance_id, domain_peer> mPeers;
  std::map<ghost_key, ghost> mGhosts;
  std::map<upstream_id, upstream_terms> mTerms;
  std::map<upstream_id, instant> mLastHeld; // by any instance, as known here
  std::map<upstream_id, instant> mCaptured; // all slots count as held until
  std::set<upstream_id> mHomes;
  std::set<upstream_id> mToldHomes; // of the latest message
  std::uint64_t mHoldingsFrom = 0;  // sequence of the first that told them
  std::optional<std::vector<instance_id>> mRivals; // that mHomes stands for
  dispatch_ledger mDispatched;
  dispatch_ledger mLoans;
  lease_refusal mLastReason = lease_refusal::None;
};

} // namespace laburnumdyke
