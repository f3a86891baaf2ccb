// The instances of the system, as one instance sees them.
//
// Usage:
//   membership.Open(self, seeds);
//   membership.Hear(heartbeat, now);     // for each that arrives
//   heartbeat = membership.Compose(now); // each kPeriod, then add the rest
//   for (addressed_heartbeat one : membership.Address(heartbeat, now)) ...
//
// A heartbeat to a peer leaves out the parts that the peer has acknowledged:
// a part that last changed at sequence s goes to each peer until that peer has
// acknowledged s or later. What one leaves out it has in the receiver's memory
// of the same incarnation. Such a brief heartbeat counts only where the
// receiver still has that memory, and where it names the receiver's own
// incarnation; else it counts as lost but for keeping the receiver from
// joining, the receiver's next heartbeat doesn't acknowledge the sender, and
// the sender's next one is whole.
//
// A peer that is silent for kSilence counts as dead; one that says it is
// leaving gets no new work. Heartbeats of an incarnation below the known one
// are ignored until the known one counts as dead: a process that starts after
// its clock was set back is heard then.
//
// Options: seeds, and Hint() for addresses that the platform lists. Both say
// only where to send heartbeats; who is alive is learnt from heartbeats alone.
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

// What an instance tells of itself.
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
  // When the credits were counted, on the sender's steady clock; a relay
  // hands it back with each request.
  std::chrono::milliseconds mStamp{ 0 };
  std::vector<service_credit> mCredits;
  std::vector<endpoint> mKnownPeers; // where other instances listen
  // To peers of the own failure domain; to others the acknowledgement alone.
  lease_message mLease;
  // Of a brief heartbeat: who sends it, with no more of mSender than mLeaving,
  // and which other parts are as acknowledged.
  std::optional<member_key> mBriefSender;
  bool mSameDocument = false;
  bool mSameCredits = false; // but for mLoad
  // Of each credit the free slots, then the waiting requests; empty: as
  // acknowledged.
  std::vector<std::uint32_t> mLoad;
};

struct addressed_heartbeat
{
  endpoint mTarget;
  heartbeat mMessage;
};

struct peer
{
  heartbeat mLast; // every part, but for the lease and the known peers
  instant mHeard{};
  std::uint64_t mAcked = 0; // of this instance's, by the peer's latest; or 0
};

class membership
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  static constexpr std::chrono::milliseconds kPeriod = home_lease::kPeriod;
  static constexpr std::chrono::milliseconds kSilence = home_lease::kTakeover;
  // Of the brief heartbeats to a peer, one in so many has a known address.
  static constexpr std::uint64_t kKnownEvery = 4;

  membership() = default;

  // Sets who this instance is, before the first use.
  void Open(member aSelf, std::vector<endpoint> aSeeds);

  const member& Self() const { return mSelf; }

  // Stops being a home at once, and says so from the next heartbeat on.
  void BeginLeaving(instant aNow);

  // Takes a heartbeat in. Returns false where it was ignored.
  bool Hear(const heartbeat& aHeartbeat, instant aNow);

  // Whether a peer should hear of this instance before the next period, since
  // it has joined, left or begun to wait for an acknowledgement. Resets.
  bool TakeAnswerNow();

  // The next heartbeat but for document and credits.
  heartbeat Compose(instant aNow);

  // What to send, and where, of a composed heartbeat with document and
  // credits. Costs (targets) log (peers).
  std::vector<addressed_heartbeat> Address(const heartbeat& aWhole,
                                           instant aNow);

  // Adds addresses to send heartbeats to.
  void Hint(const std::vector<endpoint>& aListed, instant aNow);

  // Peers heard within kSilence, in order of name; without this instance.
  std::vector<peer> Live(instant aNow) const;

  std::optional<peer> Find(const instance_id& aInstance, instant aNow) const;

  // Where to send heartbeats: live peers, seeds and what peers know of.
  std::vector<endpoint> Targets(instant aNow) const;

  // The lease on the upstreams of the own failure domain.
  home_lease& Lease() { return mLease; }
  const home_lease& Lease() const { return mLease; }

private:
  bool IsStale(const heartbeat& aHeartbeat, instant aNow) const;
  void Remember(heartbeat aHeartbeat, instant aNow);
  // Fills in what a brief heartbeat leaves out. Nothing where it doesn't count.
  std::optional<heartbeat> Completed(const heartbeat& aHeartbeat) const;
  // What the sender has heard of this incarnation; 0 for nothing.
  std::uint64_t AckedBy(const heartbeat& aHeartbeat) const;
  void NoteParts(const heartbeat& aWhole);
  void AddParts(heartbeat& aBrief,
                const heartbeat& aWhole,
                std::uint64_t aAcked) const;
  void AddKnownPeer(heartbeat& aBrief, const heartbeat& aWhole) const;
  heartbeat AddressTo(const peer& aPeer, const heartbeat& aWhole) const;
  std::optional<lease_message> LeaseFor(const peer& aPeer,
                                        const heartbeat& aWhole) const;
  void ForgetDead(instant aNow);

  member mSelf;
  std::vector<endpoint> mSeeds;
  member_key mKey = 0;
  std::map<instance_id, peer> mPeers;
  std::map<member_key, instance_id> mKeys; // of mPeers
  std::map<endpoint, instant> mHints;
  home_lease mLease;
  std::uint64_t mSequence = 0;
  // The parts of the latest heartbeat, and the first that had them.
  std::uint64_t mVersion = 0;
  std::uint64_t mDocumentFrom = 0;
  std::vector<service_credit> mCredits;
  std::uint64_t mCreditsFrom = 0; // but for the load
  std::uint64_t mLoadFrom = 0;
  bool mAnswerNow = false;
};

} // namespace laburnumdyke
