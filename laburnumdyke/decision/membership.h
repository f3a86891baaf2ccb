// The instances of the system, as one instance sees them.
//
// Usage:
//   membership.Open(self, seeds);
//   membership.Hear(heartbeat, now);     // for each that arrives
//   heartbeat = membership.Compose(now); // each kPeriod, then add the rest
//   for (endpoint target : membership.Targets(now)) ...
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
  lease_message mLease;              // to peers of the own failure domain
};

struct peer
{
  heartbeat mLast;
  instant mHeard{};
};

class membership
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  static constexpr std::chrono::milliseconds kPeriod = home_lease::kPeriod;
  static constexpr std::chrono::milliseconds kSilence = home_lease::kTakeover;

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
  void ForgetDead(instant aNow);

  member mSelf;
  std::vector<endpoint> mSeeds;
  std::map<instance_id, peer> mPeers;
  std::map<endpoint, instant> mHints;
  home_lease mLease;
  std::uint64_t mSequence = 0;
  bool mAnswerNow = false;
};

} // namespace laburnumdyke
