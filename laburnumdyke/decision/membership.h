// The instances of the system, as one instance sees them.
//
// Each instance sends heartbeats to its peers. A peer that is silent for
// kSilence counts as dead; one that says it is leaving gets no new work. The
// home of an upstream is chosen by rendezvous hashing over the live instances
// of its failure domain, so that a change moves only what it must.
#pragma once

#include "laburnumdyke/decision/admission.h"
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
  static constexpr std::chrono::milliseconds kPeriod{ 500 };
  static constexpr std::chrono::milliseconds kSilence{ 2500 };

  membership() = default;

  // Sets who this instance is, before the first use.
  void Open(member aSelf, std::vector<endpoint> aSeeds);

  const member& Self() const { return mSelf; }
  void BeginLeaving() { mSelf.mLeaving = true; }

  // Takes a heartbeat in. Older incarnations and sequences are ignored.
  // Returns false where it was ignored.
  bool Hear(const heartbeat& aHeartbeat, instant aNow);

  // Peers heard within kSilence, in order of name; without this instance.
  std::vector<peer> Live(instant aNow) const;

  std::optional<peer> Find(const instance_id& aInstance, instant aNow) const;

  // Where to send heartbeats: live peers, seeds and what peers know of.
  std::vector<endpoint> Targets(instant aNow) const;

  // The instance that is the home of an upstream in this instance's own
  // failure domain; nothing where every instance of it is leaving.
  std::optional<instance_id> HomeOf(const upstream_id& aUpstream,
                                    instant aNow) const;

private:
  member mSelf;
  std::vector<endpoint> mSeeds;
  std::map<instance_id, peer> mPeers;
  std::map<endpoint, instant> mHints;
};

// Rendezvous weight of a candidate for a key.
std::uint64_t
RendezvousWeight(std::string_view aCandidate, std::string_view aKey);

} // namespace laburnumdyke
