// The fleet: the registered entry instances, and which of them are alive.
//
// Usage:
//   fleet_view fleet(options);
//   fleet.Replace(rows);                 // the registered instances
//   fleet.CountReading(registered);      // after each reading of the rows
//   fleet.ReceiveHeartbeat(heartbeat, now); // from a live instance
//   std::vector<endpoint> addresses = fleet.Answer(domain, region, now);
//
// Instances register on the platform and send heartbeats to the instances of
// their own region. Look-up answers have the addresses of live instances that
// take requests. These are of the asker's failure domain only, if there are
// enough there: responses are large, and bandwidth between domains is scarce.
//
// The fleet also passes on the era of the platform's store (store_version.h).
// After a restore the rows are those of a backup:
//   fleet.NoteEra(era);                    // seen in an answer of the store
//   fleet.ReplaceRestored(rows, now);      // the first reading of the era
// Live instances that it does not list are kept, and instances that had
// withdrawn stay out.
#pragma once

#include "laburnumdyke/decision/cold_start_limiter.h"
#include "laburnumdyke/decision/knowledge_age.h"
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/store_version.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  endpoint mRelay;  // serves peers its copy of the platform's data

  bool operator==(const fleet_member&) const = default;
};

struct fleet_heartbeat
{
  fleet_member mSender;  // empty in a compact one, which has mSenderKey
  bool mServing = false; // takes requests
  bool mLeaving = false;
  // Of the operator's control settings. Its era is the latest that the sender
  // knows; the version is 0 if the sender has none of that era.
  store_version mControlVersion;
  bool mSettled = false;     // its upstreams are in sync with the platform's
  member_key mSenderKey = 0; // in a compact one
  // Of its configuration; 0: not reported. Sent where requests need keys, and
  // once the store's era is known.
  std::uint64_t mDocumentVersion = 0;
  // Up to when, on the platform's clock, that version was the latest. Only
  // where requests need keys.
  std::optional<platform_time> mCurrentAsOf;
};

struct fleet_options
{
  fleet_member mSelf;
  // A member without a heartbeat for so long counts as dead: three in a row.
  std::chrono::milliseconds mPeerTimeout{ 1700 };
  std::size_t mMinOwnDomain = 2;  // with fewer, an answer adds other domains
  std::size_t mMaxAddresses = 64; // in one answer
  // How long withdrawn instances are remembered, in case a backup lists them.
  std::chrono::milliseconds mWithdrawnTime{ 600000 };
};

class fleet_view
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  // Readings after its own registration until an instance knows those that
  // started at the same time: they may register after the first reading.
  static constexpr int kMinReadings = 2;

  explicit fleet_view(fleet_options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  const fleet_member& Self() const { return mOptions.mSelf; }

  // Sets the registered instances, with or without this one. A row of an
  // earlier incarnation of this instance shows that the fleet registered before
  // this start.
  void Replace(const std::vector<fleet_member>& aMembers);
  void Put(const fleet_member& aMember);
  void Remove(const instance_id& aInstance);

  // Sets the instances from the first reading of a restored store.
  void ReplaceRestored(const std::vector<fleet_member>& aMembers, instant aNow);

  // Drops silent instances that no reading has listed since a restore, and
  // forgets those that withdrew long ago.
  void Expire(instant aNow);

  // Listed instances that had withdrawn, whose rows this instance has to
  // delete: those of its region, if it is the oldest live instance there.
  std::vector<instance_id> RowsToDelete(instant aNow) const;

  // Counts a reading of the registered instances. aRegistered: this instance
  // had registered before the reading.
  void CountReading(bool aRegistered);

  // Applies a heartbeat. Returns false if it is of this instance, of an older
  // incarnation, or a compact one of an unknown incarnation.
  bool ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat, instant aNow);

  void SetServing(bool aServing) { mServing = aServing; }
  void BeginLeaving() { mLeaving = true; }
  bool IsServing() const { return mServing && !mLeaving; }
  void SetControlVersion(store_version aVersion) { mControlVersion = aVersion; }
  void SetDocumentVersion(std::uint64_t aVersion)
  {
    mDocumentVersion = aVersion;
  }

  // Records an era that the store reported to this instance.
  void NoteEra(std::uint64_t aEra);

  // The latest era known, from the store or from heartbeats; 0: unknown.
  std::uint64_t Era() const { return mEra; }

  // Whether a heartbeat is due at once, because the store has reported an era
  // that was unknown. Returns true once for each.
  bool TakeEraToAnnounce();

  void SetSettled(bool aSettled) { mSettled = aSettled; }
  fleet_heartbeat Heartbeat() const;

  // Whether the upstreams of a live peer are in sync with the platform's. If
  // so while this instance can't reach the platform, the platform is up.
  bool HasSettledPeer(instant aNow) const;

  // Live peers with a later version of the operator's control settings, or of
  // the configuration in them: a restored store shows an older configuration.
  std::vector<fleet_member> PeersWithNewerControl(instant aNow) const;

  // A live peer whose configuration is newer than aVersion, if there is one.
  std::optional<fleet_member> PeerWithNewerDocument(std::uint64_t aVersion,
                                                    instant aNow) const;

  // Whether a live peer has reported the version of its configuration.
  bool HasReportedDocument(instant aNow) const;

  // The live peer that reads the upstreams for this instance; empty if it reads
  // them itself. In each failure domain the oldest instance that is in sync
  // with the platform is the reader, so that a newly started one changes
  // nothing. If neither this instance nor another of its domain is in sync, the
  // reader is the oldest such instance of the region.
  std::optional<fleet_member> Reader(instant aNow) const;

  // The instance of the own failure domain that collects the usage of
  // customers: the oldest live one. Empty if it is this one.
  std::optional<endpoint> Collector(instant aNow) const;

  // Live peers of the own failure domain.
  std::vector<endpoint> DomainPeers(instant aNow) const;

  // For each other failure domain, two registered instances that pass a message
  // on to its collector, or are the collector. Heartbeats tell nothing about
  // other regions, so the choice varies with aTurn.
  std::vector<endpoint> RemoteContacts(std::uint64_t aTurn) const;

  // Where to send heartbeats: the registered instances of the own region.
  std::vector<endpoint> Targets() const;

  // The addresses for a look-up from this failure domain and region.
  std::vector<endpoint> Answer(const domain_id& aDomain,
                               const region_id& aRegion,
                               instant aNow) const;

  // Instances known so far, this one included. Others may yet register.
  std::size_t KnownInstanceCount() const { return mMembers.size() + 1; }

  // All registered instances with their regions, including this one. Empty
  // until they are known, so that no instance takes itself for the whole fleet:
  // after a restart at the first reading, otherwise once those that started at
  // the same time have registered too.
  std::vector<instance_location> InstanceLocations() const;

private:
  struct member_state
  {
    fleet_member mMember;
    std::optional<instant> mHeard;
    bool mServing = false;
    bool mLeaving = false;
    store_version mControlVersion;
    bool mSettled = false;
    std::uint64_t mDocumentVersion = 0;
    bool mIsUnlisted = false; // not listed since a restore
  };

  // An instance that has withdrawn.
  struct withdrawn_state
  {
    fleet_member mMember;
    std::optional<instant> mSince; // set by the next Expire()
    bool mIsListed = false;        // by a restored store
  };

  member_state* FindSender(const fleet_heartbeat& aHeartbeat);
  bool IsWithdrawn(const fleet_member& aMember) const;
  // Has left, and no reading has shown yet that its row is deleted.
  bool HasLeft(const member_state& aState, instant aNow) const;
  // Whether this instance acts for its region.
  bool IsOldestOfRegion(instant aNow) const;
  void RemoveUnlisted(const std::set<instance_id>& aListed);
  bool IsLive(const member_state& aState, instant aNow) const;
  bool MayRead(const member_state& aState, instant aNow) const;

  fleet_options mOptions;
  bool mServing = false;
  bool mLeaving = false;
  bool mSettled = false;
  store_version mControlVersion;
  std::uint64_t mDocumentVersion = 0;
  std::uint64_t mEra = 0;
  bool mIsEraToAnnounce = false;
  bool mRestored = false;         // the store, since the start of this instance
  int mReadings = 0;              // since this instance registered
  bool mRegisteredBefore = false; // an earlier incarnation had registered
  std::map<instance_id, member_state> mMembers;
  std::map<instance_id, withdrawn_state> mWithdrawn;
};

} // namespace laburnumdyke
