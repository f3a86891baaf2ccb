// Upstreams registered with the platform, as read from its registry.
//
// Usage:
//   upstream_directory directory(options);
//   std::vector<upstream_change> changes = directory.ApplyRows(rows, now);
//   directory.OnPlatformLost(now); directory.OnPlatformRecovered(now);
//   changes = directory.Expire(now);
//
// An upstream that is missing from the list is removed, with one exception: in
// an outage of the platform registrations expire although their upstreams are
// alive. For mRecoveryGrace after the platform recovers, missing upstreams are
// kept, and removed only if they have not registered again by then. If another
// instance never lost the platform, there was no such outage, and EndGrace ends
// the grace period early.
//
// A store that is restored from a backup lists upstreams as they were then:
//   directory.OnStoreRestored();             // a new era is known
//   changes = directory.ReplaceRestored(entries, now); // its first snapshot
// Missing upstreams are kept for mRecoveryGrace after that snapshot. Rows older
// than what is known change nothing, and upstreams that had left stay out until
// they write again.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct upstream_entry
{
  upstream_id mId;
  service_id mService;
  domain_id mDomain;
  endpoint mAddress;
  std::uint32_t mSlots = 1; // maximum concurrent requests
  bool mDraining = false;
  // Remaining cold time when the entry was written.
  std::chrono::milliseconds mColdLeft{ 0 };
  std::uint64_t mSequence = 0; // increases with each write
  // Start time of the incarnation since the epoch; zero: unknown.
  std::chrono::milliseconds mBorn{ 0 };

  bool operator==(const upstream_entry&) const = default;
};

// One change of the registry: an entry was written or removed.
struct upstream_row
{
  upstream_id mId;
  std::optional<upstream_entry> mEntry; // nullopt: removed
};

enum class upstream_change_kind
{
  Joined,
  Restarted, // new incarnation with the same name
  Updated,
  Renewed,  // heartbeat: only the sequence number changed
  Returned, // registered again after it was missing, otherwise unchanged
  Left,
};

std::string_view
ToString(upstream_change_kind aKind);

struct upstream_change
{
  upstream_change_kind mKind;
  upstream_entry mEntry;
};

struct upstream_directory_options
{
  // Entries that expired in an outage are registered again within this time
  // after it ends.
  std::chrono::milliseconds mRecoveryGrace{ 2200 };
  // In a shorter outage no entry expires.
  std::chrono::milliseconds mMinOutage{ 1000 };
  // How long upstreams that left are remembered, in case a backup lists them.
  std::chrono::milliseconds mDepartedTime{ 600000 };
};

class upstream_directory
{
public:
  explicit upstream_directory(upstream_directory_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  std::vector<upstream_change> Put(upstream_entry aEntry, instant aNow);
  std::vector<upstream_change> Remove(const upstream_id& aId, instant aNow);

  // Applies a delta. Of several rows of one upstream the last one holds.
  std::vector<upstream_change> ApplyRows(std::vector<upstream_row> aRows,
                                         instant aNow);

  // Applies a snapshot: entries not in it are removed.
  std::vector<upstream_change> Replace(std::vector<upstream_entry> aEntries,
                                       instant aNow);

  // Removes nothing until the next ReplaceRestored() and its grace period.
  void OnStoreRestored() { mAwaitsRestored = true; }

  // Applies the first snapshot of a restored store.
  std::vector<upstream_change> ReplaceRestored(
    std::vector<upstream_entry> aEntries,
    instant aNow);

  void OnPlatformLost(instant aNow);
  void OnPlatformRecovered(instant aNow);

  void EndGrace(instant aNow);

  // Whether missing upstreams are removed at once.
  bool IsSettled(instant aNow) const
  {
    return !mLost && !mAwaitsRestored && aNow >= mGraceUntil &&
           aNow >= mRestoreGraceUntil;
  }

  // Removes upstreams still missing after the grace period.
  std::vector<upstream_change> Expire(instant aNow);

  // Whether aId is listed, or missing and not removed yet.
  bool Knows(const upstream_id& aId) const { return mKnown.count(aId) > 0; }

  // All entries that are not missing.
  std::vector<upstream_entry> Entries() const;

  std::size_t Size() const { return mKnown.size(); }

private:
  struct known_upstream
  {
    upstream_entry mEntry;
    bool mMissing = false;
  };

  // An upstream that left.
  struct departed_upstream
  {
    upstream_entry mEntry;
    instant mSince{};
    // Sequence listed by a restored store; nullopt: not listed. While it is
    // listed, it is ignored until it writes again.
    std::optional<std::uint64_t> mListed = std::nullopt;
  };

  // aWasRemoved: whether the entry was removed since it was known.
  std::vector<upstream_change> PutAgain(upstream_entry aEntry,
                                        bool aWasRemoved);

  // Removes aId from the known upstreams and remembers it.
  upstream_change Depart(const upstream_id& aId, instant aNow);

  // Whether the restored store lists an upstream that left and has not written
  // again.
  bool IsListedDeparted(const upstream_entry& aEntry) const;

  // Whether a row of a restored store is older than what is known. If so, it is
  // recorded as listed.
  bool IsOutdated(const upstream_entry& aEntry);

  // Whether a row was written by the known start of an upstream before the
  // known one: a restored store shows it until the upstream writes again. If
  // so, it is recorded as listed.
  bool IsEarlierWrite(const upstream_entry& aEntry);

  void OnRowRemoved(const upstream_id& aId, instant aNow);
  void ForgetDeparted(instant aNow);

  upstream_directory_options mOptions;
  std::map<upstream_id, known_upstream> mKnown;
  std::map<upstream_id, departed_upstream> mDeparted;
  bool mLost = false;
  instant mLostSince{};
  instant mGraceUntil{};
  bool mAwaitsRestored = false;
  bool mWasRestored = false; // since this instance started
  // A settled peer does not end this grace period: it may have started after
  // the restore, without having known the missing upstreams.
  instant mRestoreGraceUntil{};
};

} // namespace laburnumdyke
