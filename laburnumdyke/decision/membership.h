// Heartbeat-based membership: the live instances, as this instance sees them.
//
// Usage:
//   membership.Open(self, seeds);
//   membership.ReceiveHeartbeat(heartbeat, now); // each one that arrives
//   heartbeat = membership.Compose(now);         // every kPeriod
//   ... set the document version and the credits of the heartbeat
//   for (addressed_heartbeat one : membership.Address(heartbeat, now)) ...
//
// A peer that has acknowledged this instance gets delta heartbeats, which leave
// out the parts that it has acknowledged: a part that last changed at sequence
// s is sent to a peer until that peer has acknowledged s or later. The receiver
// fills in the rest from its stored state of the same incarnation. It accepts a
// delta only if it still has that state and if the delta names the receiver's
// own incarnation. Otherwise the delta counts as lost, except that it keeps the
// receiver from joining (see home_lease.h); the receiver's next heartbeat then
// doesn't acknowledge the sender, which sends a full heartbeat next.
//
// A peer that is silent for kPeerTimeout counts as dead; one that is leaving
// gets no new work. Heartbeats of a lower incarnation than the known one are
// ignored until the known one counts as dead. From then on, a process that
// started after its clock was set back is accepted.
//
// Options: seeds, and addresses from the platform, see AddHints(). Both say
// only where to send heartbeats; liveness is learnt from heartbeats alone.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/home_lease.h"
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

// What an instance announces about itself.
struct member
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  region_id mRegion;
  domain_id mDomain;
  endpoint mCaller;
  endpoint mRelay;
  endpoint mPeer;
  bool mLeaving = false;
};

struct heartbeat
{
  member mSender;
  std::uint64_t mSequence = 0;
  std::uint64_t mVersion = 0; // of the document in force
  std::string mContentHash;   // of the document in force
  // When the credits were counted, on the sender's steady clock; an instance
  // that relays requests to the sender returns it with each request.
  std::chrono::milliseconds mStamp{ 0 };
  std::vector<service_credit> mCredits;
  std::vector<endpoint> mKnownPeers; // where other instances listen
  // Complete only to peers of the sender's failure domain; to others it has
  // just the acknowledgement.
  lease_message mLease;
  // Set in a delta heartbeat, which identifies its sender by this key and has
  // nothing in mSender but mLeaving. The next members say which parts are
  // unchanged since the heartbeat that the receiver has acknowledged.
  std::optional<member_key> mDeltaSender;
  bool mSameDocument = false;
  bool mSameCredits = false; // except for mLoad
  // For each credit its free slots, then its waiting requests; empty if
  // unchanged.
  std::vector<std::uint32_t> mLoad;
};

struct addressed_heartbeat
{
  endpoint mTarget;
  heartbeat mMessage;
};

struct peer
{
  heartbeat mLast; // every part, except for the lease and the known peers
  instant mHeard{};
  // Sequence of this instance that the peer's latest heartbeat acknowledges; or
  // 0.
  std::uint64_t mAcked = 0;
};

class membership
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  static constexpr std::chrono::milliseconds kPeriod = home_lease::kPeriod;
  static constexpr std::chrono::milliseconds kPeerTimeout =
    home_lease::kTakeoverDelay;
  // One in so many delta heartbeats to a peer has a known address.
  static constexpr std::uint64_t kKnownAddressEvery = 4;

  membership() = default;

  // Sets the identity of this instance. Must be called before any other member.
  void Open(member aSelf, std::vector<endpoint> aSeeds);

  const member& Self() const { return mSelf; }

  // Gives up all leases at once, and announces it from the next heartbeat on.
  void BeginLeaving(instant aNow);

  // Applies a heartbeat. Returns false if it was ignored.
  bool ReceiveHeartbeat(const heartbeat& aHeartbeat, instant aNow);

  // Whether to send heartbeats now and not only with the next period, since a
  // domain peer is new, has become eligible or has begun to leave. Resets.
  bool TakeSendNow();

  // The next full heartbeat, except for the document and the credits, which the
  // caller sets.
  heartbeat Compose(instant aNow);

  // The heartbeats to send, full or delta, with their targets. aFull comes from
  // Compose, with document and credits set. Costs (targets) log (peers).
  std::vector<addressed_heartbeat> Address(const heartbeat& aFull,
                                           instant aNow);

  // Adds addresses to send heartbeats to.
  void AddHints(const std::vector<endpoint>& aListed, instant aNow);

  // Peers heard within kPeerTimeout, in order of name, without this instance.
  std::vector<peer> Live(instant aNow) const;

  std::optional<peer> Find(const instance_id& aInstance, instant aNow) const;

  // Where to send heartbeats: live peers, seeds and hints.
  std::vector<endpoint> Targets(instant aNow) const;

  // The lease on the upstreams of the own failure domain.
  home_lease& Lease() { return mLease; }
  const home_lease& Lease() const { return mLease; }

private:
  bool IsStale(const heartbeat& aHeartbeat, instant aNow) const;
  void Store(heartbeat aHeartbeat, instant aNow);
  // Fills in what a delta heartbeat leaves out; returns a full heartbeat as it
  // is. Empty if the delta can't be accepted.
  std::optional<heartbeat> ExpandDelta(const heartbeat& aHeartbeat) const;
  // The latest sequence of this incarnation that the sender has received; 0 if
  // none.
  std::uint64_t AckedSequence(const heartbeat& aHeartbeat) const;
  void RecordParts(const heartbeat& aFull);
  void AddParts(heartbeat& aDelta,
                const heartbeat& aFull,
                std::uint64_t aAcked) const;
  void AddKnownPeer(heartbeat& aDelta, const heartbeat& aFull) const;
  heartbeat HeartbeatFor(const peer& aPeer, const heartbeat& aFull) const;
  std::optional<lease_message> LeaseFor(const peer& aPeer,
                                        const heartbeat& aFull) const;
  void RemoveExpired(instant aNow);

  member mSelf;
  std::vector<endpoint> mSeeds;
  member_key mKey = 0;
  std::map<instance_id, peer> mPeers;
  std::map<member_key, instance_id> mKeys; // of mPeers
  std::map<endpoint, instant> mHints;
  home_lease mLease;
  std::uint64_t mSequence = 0;
  // The parts of the latest heartbeat, and the sequence of the first one that
  // had them.
  std::uint64_t mVersion = 0;
  std::uint64_t mDocumentSequence = 0;
  std::vector<service_credit> mCredits;
  std::uint64_t mCreditsSequence = 0; // except for the load
  std::uint64_t mLoadSequence = 0;
  bool mSendNow = false;
};

} // namespace laburnumdyke
