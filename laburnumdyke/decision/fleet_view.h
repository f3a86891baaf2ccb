// The entry instances that this one knows of, and which of them are alive.
//
// Usage:
//   fleet_view fleet(options);
//   fleet.Replace(rows);                   // who has registered
//   fleet.CountReading(registered);        // whether this one had, too
//   fleet.Hear(beat, now);                 // who is alive
//   std::vector<endpoint> names = fleet.Answer(domain, region, now);
//
// Instances register themselves on the platform and send heartbeats to those
// of their own region. Look-up answers name instances that were heard lately
// and take requests, of the asker's own failure domain as far as there are
// enough: answers are large, and links between domains scarce.
#pragma once

#include "laburnumdyke/decision/cold_gate.h"
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

struct fleet_member
{
  instance_id mInstance;
  std::uint64_t mIncarnation = 0;
  region_id mRegion;
  domain_id mDomain;
  endpoint mCaller; // takes requests
  endpoint mPeer;   // takes heartbeats
  endpoint mRelay;  // tells peers what is known of the platform

  bool operator==(const fleet_member&) const = default;
};

struct fleet_beat
{
  fleet_member mSender;  // of a brief one empty, and its key is known
  bool mServing = false; // takes requests
  bool mLeaving = false;
  std::uint64_t mControlVersion = 0; // of what the operator asks for
  bool mSettled = false;             // knows the upstreams as the platform does
  member_key mSenderKey = 0;
};

struct fleet_options
{
  fleet_member mSelf;
  // Without a heartbeat for so long a member counts as dead: three in a row.
  std::chrono::milliseconds mSilence{ 1700 };
  std::size_t mEnough = 2;     // instances of the own domain in an answer
  std::size_t mMostNames = 64; // in one answer
};

class fleet_view
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  // Readings, after its own registration, with which an instance knows those
  // that started with it: they may register after the first.
  static constexpr int kEnoughReadings = 2;

  explicit fleet_view(fleet_options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  const fleet_member& Self() const { return mOptions.mSelf; }

  // Who has registered, self included or not. A row of an earlier life of this
  // instance says that the fleet had registered before.
  void Replace(const std::vector<fleet_member>& aMembers);
  void Put(const fleet_member& aMember);
  void Remove(const instance_id& aInstance);

  // A reading of who has registered was taken; aRegistered: this instance had
  // registered before.
  void CountReading(bool aRegistered);

  // False where the beat is of an older incarnation, or brief and of one that
  // is not known.
  bool Hear(const fleet_beat& aBeat, instant aNow);

  void SetServing(bool aServing) { mServing = aServing; }
  void BeginLeaving() { mLeaving = true; }
  bool IsServing() const { return mServing && !mLeaving; }
  void SetControlVersion(std::uint64_t aVersion) { mControlVersion = aVersion; }
  void SetSettled(bool aSettled) { mSettled = aSettled; }
  fleet_beat Beat() const;

  // Whether a live peer knows the upstreams as the platform does: where this
  // instance has lost the platform, the platform itself was there.
  bool HasSettledPeer(instant aNow) const;

  // Live peers that know a later version of what the operator asks for.
  std::vector<fleet_member> Ahead(instant aNow) const;

  // The live peer that reads upstreams for this instance; nothing where it
  // reads them itself. In each failure domain the oldest that knows the
  // upstreams as the platform does reads, so that newcomers change nothing.
  // Where this instance doesn't and nobody in its domain does, the oldest of
  // the region.
  std::optional<fleet_member> Reader(instant aNow) const;

  // To whom heartbeats go.
  std::vector<endpoint> Targets() const;

  std::vector<endpoint> Answer(const domain_id& aDomain,
                               const region_id& aRegion,
                               instant aNow) const;

  // Everyone registered, self included; empty until that is known, so that
  // no instance takes itself for the whole fleet: at once after a restart,
  // and otherwise when those that started with it have registered too.
  std::vector<fleet_place> Places() const;

private:
  struct member_state
  {
    fleet_member mMember;
    std::optional<instant> mHeard;
    bool mServing = false;
    bool mLeaving = false;
    std::uint64_t mControlVersion = 0;
    bool mSettled = false;
  };

  member_state* FindSender(const fleet_beat& aBeat);
  bool IsLive(const member_state& aState, instant aNow) const;
  bool MayRead(const member_state& aState, instant aNow) const;

  fleet_options mOptions;
  bool mServing = false;
  bool mLeaving = false;
  bool mSettled = false;
  std::uint64_t mControlVersion = 0;
  int mReadings = 0;      // since this instance registered
  bool mHasLived = false; // an earlier life of it had registered
  std::map<instance_id, member_state> mMembers;
};

} // namespace laburnumdyke
