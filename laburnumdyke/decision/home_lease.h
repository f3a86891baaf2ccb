// Leases that make one entry instance the home of each upstream of its own
// failure domain. Only the home dispatches requests to the upstream.
//
// Usage:
//   lease.Open(self, incarnation);
//   lease.ReceiveHeartbeat(sender, message, now); // from a domain peer
//   message = lease.Compose(sequence, now);       // immediately before sending
//   part = lease.MessageFor(peer, message, sequence, acked); // for one peer
//   claims = lease.UpdateClaims(upstreams, now);  // input to admission
//   if (lease.BeginDispatch(upstream, number, deadline, now)) {
//     ... dispatch, then lease.EndDispatch(number)
//   }
//
// The home of an upstream is the instance that ranks first by rendezvous
// hashing among the eligible instances of the domain. An instance is
//   listening  for kTakeoverDelay after its start, or after a pause of its
//              process;
//   joining    now eligible, until every domain peer heard within
//              kTakeoverDelay has acknowledged a heartbeat that says so;
//   holding    while each domain peer heard within kAckRequiredFor has
//              acknowledged a heartbeat sent less than kLeaseDuration ago.
//
// At most one instance holds an upstream at any time. A peer that acknowledges
// a heartbeat of this instance counts this instance as alive for at least
// kTakeoverDelay from then on, and both compute the same order for a pair of
// candidates. The lease runs from the time of sending on the holder's own
// clock, and kLeaseDuration plus kDriftMargin is less than kTakeoverDelay.
//
// Assumptions: no two running instances of a domain are cut off from each
// other in both directions for longer than kAckRequiredFor unless a third
// instance hears both and reports it; and a starting instance exchanges
// heartbeats with each running one at least once within kTakeoverDelay.
//
// Indirect acknowledgements: a message to a peer also says which heartbeats of
// other instances the sender has heard. It has kIndirectAcks of these in
// rotation, and all that the peer has asked for. An instance asks about a peer
// that it has not heard for kAskAfter, which leaves time for an answer before
// kTakeoverDelay.
//
// Slots: requests that a previous home may still have in flight count as held.
// A live previous home reports them. The requests of a silent one end no later
// than the time it was last heard plus kLeaseDuration plus the longest request
// of the service; until then all slots count as held. The same applies to an
// instance that was killed before this one started, unless a peer was the home
// in the meantime.
//
// Errors: LastReason says why a dispatch was refused.
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

// The latest heartbeat of a peer that the sender has received.
struct lease_ack
{
  member_key mMember = 0;
  std::uint64_t mSequence = 0;
};

// An upstream that the sender holds, or at which it still has requests in
// flight.
struct upstream_report
{
  upstream_id mUpstream;
  bool mHolding = false;
  std::uint32_t mOccupied = 0;             // slots
  std::chrono::milliseconds mBusyFor{ 0 }; // from the time of sending
};

// An incarnation of a domain instance that the sender no longer hears, and
// whose requests may still be in flight.
struct silent_report
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mAge{ 0 }; // since it was last heard
};

// The lease part of a heartbeat, for peers of the sender's failure domain. To
// other peers it has just the acknowledgement.
struct lease_message
{
  bool mEligible = false;
  // The receiver has acknowledged a heartbeat with the upstreams that the
  // sender holds, and these have not changed; mReports lists only upstreams
  // that the sender does not hold.
  bool mSameHoldings = false;
  std::vector<lease_ack> mAcks;
  std::vector<lease_ack> mAsked; // asks for acknowledgements later than these
  std::vector<upstream_report> mReports;
  std::vector<silent_report> mSilent;
};

// Identifies a heartbeat by its sender and sequence.
struct lease_sender
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
};

// Limits of an upstream from the configuration document.
struct upstream_limits
{
  std::uint32_t mSlots = 0;
  std::chrono::milliseconds mLongestRequest{ 0 }; // from dispatch to deadline
};

enum class lease_refusal
{
  None,
  NotHome,        // another instance outranks this one
  NotYetEligible, // listening, or leaving
  NotAcknowledged,
  SlotsHeld,      // by requests in flight, also those of a previous home
  DeadlineTooFar, // later than the longest request of the service
};

std::string_view
ToString(lease_refusal aReason);

class home_lease
{
public:
  // Between heartbeats.
  static constexpr std::chrono::milliseconds kPeriod{ 500 };
  // A holder needs no acknowledgements of a peer that is silent for longer.
  static constexpr std::chrono::milliseconds kAckRequiredFor{ 1500 };
  static constexpr std::chrono::milliseconds kLeaseDuration{ 2200 };
  // A peer that is silent for so long counts as dead. A starting instance
  // listens for as long before it may become a home.
  static constexpr std::chrono::milliseconds kTakeoverDelay{ 2500 };
  // Upper bound on clock drift and timer delay within kTakeoverDelay.
  static constexpr std::chrono::milliseconds kDriftMargin{ 250 };
  static_assert(kLeaseDuration + kDriftMargin < kTakeoverDelay);
  static_assert(kAckRequiredFor + kPeriod <= kLeaseDuration);
  // A longer gap between two calls means that the process was paused.
  static constexpr std::chrono::milliseconds kMaxCallGap{ 1000 };
  static constexpr std::size_t kMaxSilentReports = 32;
  // Indirect acknowledgements in a message to a peer besides those that it
  // asked for.
  static constexpr std::size_t kIndirectAcks = 2;
  // An instance asks others about a peer that it has not heard for so long.
  static constexpr std::chrono::milliseconds kAskAfter{ 750 };
  // The question goes with the next heartbeat, the answer with the one after.
  static_assert(kAskAfter + 2 * kPeriod + kDriftMargin < kTakeoverDelay);

  // Sets the identity of this instance. Must be called before any other member.
  void Open(instance_id aSelf, std::uint64_t aIncarnation);

  // Gives up all leases at once and for good. Requests in flight continue.
  void Leave(instant aNow);

  // Applies a heartbeat of a domain peer. The caller must have dropped those of
  // older incarnations and sequences. Returns whether to send the peer a
  // heartbeat at once: it is new, or has become eligible or begun to leave.
  bool ReceiveHeartbeat(const lease_sender& aSender,
                        const lease_message& aMessage,
                        instant aNow);

  // Records that a heartbeat of a domain instance was dropped because a higher
  // incarnation is known. This instance does not join until kAckRequiredFor
  // later.
  void NoteStaleIncarnation(instant aNow);

  // Records a delta heartbeat that can't be expanded. Its sender is alive and
  // may be unknown here, so this instance does not join until kTakeoverDelay
  // later.
  void NoteUnknownSender(instant aNow);

  // The full lease message of the heartbeat of this sequence, for any peer.
  lease_message Compose(std::uint64_t aSequence, instant aNow);

  // The part of aFull that is needed by a peer that has acknowledged the
  // heartbeat of sequence aAcked. Empty if the peer is unknown here, and needs
  // the full message.
  std::optional<lease_message> MessageFor(const instance_id& aPeer,
                                          const lease_message& aFull,
                                          std::uint64_t aSequence,
                                          std::uint64_t aAcked) const;

  // Whether the state received from this incarnation is still kept.
  bool Knows(const instance_id& aInstance, std::uint64_t aIncarnation) const;

  // Sets the upstreams of the domain. Returns those that this instance holds,
  // with the slots that requests of previous homes may still occupy.
  std::vector<home_claim> UpdateClaims(
    const std::map<upstream_id, upstream_limits>& aUpstreams,
    instant aNow);

  // Whether this instance holds the upstream.
  bool MayDispatch(const upstream_id& aUpstream, instant aNow);

  // Checks the lease, the deadline and the slots; if all permit it, counts the
  // request as in flight.
  bool BeginDispatch(const upstream_id& aUpstream,
                     std::uint64_t aNumber,
                     instant aDeadline,
                     instant aNow);
  void EndDispatch(std::uint64_t aNumber) { mDispatched.End(aNumber); }

  // Counts a request to another upstream that uses this upstream's share of the
  // region's cap, until EndLoan. Reports include it in the occupied slots.
  // Returns false if this instance does not hold the upstream.
  bool BeginLoan(const upstream_id& aUpstream,
                 std::uint64_t aNumber,
                 instant aDeadline,
                 instant aNow);
  void EndLoan(std::uint64_t aNumber) { mLoans.End(aNumber); }

  // The eligible instance that ranks first by rendezvous hashing.
  std::optional<instance_id> HomeOf(const upstream_id& aUpstream,
                                    instant aNow) const;

  lease_refusal LastReason() const { return mLastReason; }

private:
  // Slots that requests in flight may occupy until a time.
  struct held_slots
  {
    std::uint32_t mOccupied = 0;
    instant mUntil{};
  };

  struct domain_peer
  {
    member_key mKey = 0;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mHeardSequence = 0;
    std::uint64_t mIndirectSequence = 0; // the latest that others have heard
    std::uint64_t mAckedSequence = 0;    // of this instance's heartbeats
    instant mHeard{};
    instant mIndirectlyHeard{}; // when mIndirectSequence last grew
    bool mEligible = false;
    bool mLeaving = false;
    std::vector<lease_ack> mAsked; // in its latest heartbeat
    std::set<upstream_id> mHolds;  // as it reports
    std::map<upstream_id, held_slots> mHeldSlots;
  };

  // An incarnation that is no longer heard and may have requests in flight.
  struct silent_incarnation
  {
    instant mHeard{};
    bool mEligible = true; // may have been a home
    std::map<upstream_id, held_slots> mHeldSlots;
  };
  using incarnation_key = std::pair<instance_id, std::uint64_t>;

  struct sent_heartbeat
  {
    std::uint64_t mSequence = 0;
    instant mAt{};
  };

  void CheckForPause(instant aNow);
  void Update(instant aNow);
  void UpdateHomes(instant aNow);
  bool Eligible(instant aNow) const;
  bool MayJoin(instant aNow) const;
  bool IsAlive(const domain_peer& aPeer, instant aNow) const;
  bool IsRequired(const domain_peer& aPeer, instant aNow) const;
  bool HasAcknowledged(const domain_peer& aPeer, instant aNow) const;
  bool Acknowledged(instant aNow) const;
  std::vector<instance_id> OtherCandidates(instant aNow) const;
  void Acquire(const upstream_id& aUpstream, instant aNow);
  void ReleaseHomes();
  void ApplyAcks(domain_peer& aPeer,
                 const lease_message& aMessage,
                 instant aNow);
  void ApplySilent(const lease_message& aMessage, instant aNow);
  domain_peer* FindByKey(member_key aKey);
  const domain_peer* FindByKey(member_key aKey) const;
  void AddAsked(lease_message& aMessage, instant aNow) const;
  void AddIndirectAcks(lease_message& aMessage,
                       const lease_message& aFull,
                       std::uint64_t aSequence) const;
  void AddAnswers(lease_message& aMessage,
                  const std::vector<lease_ack>& aAsked) const;
  void ApplyReports(domain_peer& aPeer,
                    const lease_message& aMessage,
                    instant aNow);
  void Retire(const instance_id& aInstance, const domain_peer& aPeer);
  void RetireSilent(instant aNow);
  void RemoveExpired(instant aNow);
  void AddReports(lease_message& aMessage, instant aNow) const;
  void AddSilent(lease_message& aMessage, instant aNow) const;
  std::chrono::milliseconds SilentRetention() const;
  held_slots HeldBySilent(const upstream_id& aUpstream, instant aNow) const;
  held_slots HeldElsewhere(const upstream_id& aUpstream, instant aNow) const;
  bool Refuse(lease_refusal aReason);

  instance_id mSelf;
  std::uint64_t mIncarnation = 0;
  member_key mKey = 0;
  bool mStarted = false;
  bool mLeaving = false;
  bool mJoined = false;
  instant mFirstCall{};
  instant mLastCall{};
  instant mHomesConfirmed{};            // when this instance last held mHomes
  std::optional<instant> mStaleHeard;   // the latest NoteStaleIncarnation
  std::optional<instant> mUnknownHeard; // the latest NoteUnknownSender
  instant mListeningSince{};
  std::uint64_t mEligibleSequence = 0; // the first eligible one; 0 for none
  std::deque<sent_heartbeat> mSent;    // oldest first
  std::map<instance_id, domain_peer> mPeers;
  std::map<incarnation_key, silent_incarnation> mSilentIncarnations;
  std::map<upstream_id, upstream_limits> mLimits;
  std::map<upstream_id, instant> mLastHeld; // by any instance, as known here
  // All slots of the upstream count as held until then.
  std::map<upstream_id, instant> mAllHeldUntil;
  std::set<upstream_id> mHomes;
  std::set<upstream_id> mSentHomes;    // mHomes in the latest message
  std::uint64_t mHoldingsSequence = 0; // the first message with mSentHomes
  // The candidates from which mHomes was computed.
  std::optional<std::vector<instance_id>> mOtherCandidates;
  dispatch_ledger mDispatched;
  dispatch_ledger mLoans;
  lease_refusal mLastReason = lease_refusal::None;
};

} // namespace laburnumdyke
