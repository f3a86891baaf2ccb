// Updates: the upstream changes between two versions of the platform's
// registry, sent by the instance that reads the platform (the reader) to the
// instances that follow it instead of reading the platform themselves.
//
// Usage, on the reader:
//   log.Add({ after, version, entries, removed });
//   std::optional<upstream_update> update = log.Since(followerVersion);
//
// The log holds consecutive deltas: changes after version V are available while
// the log reaches back to V. A follower that is further behind, or in an
// earlier era of the store, gets a snapshot.
#pragma once

#include "laburnumdyke/decision/store_version.h"
#include "laburnumdyke/decision/upstream_directory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

struct upstream_update
{
  store_version mAfter;   // delta from this version, exclusive
  store_version mVersion; // to this version, inclusive
  // An upstream is in one of these at most.
  std::vector<upstream_entry> mEntries;
  std::vector<upstream_id> mRemovedIds;
  bool mIsSnapshot = false; // snapshot: unlisted upstreams are removed
  // Time since the platform was read, when the update is sent.
  std::chrono::milliseconds mAge{ 0 };
};

// The changes of an update. Each upstream is in one row.
std::vector<upstream_row>
ToRows(upstream_update aUpdate);

class update_log
{
public:
  // Readings kept; a follower more than a few seconds behind gets a snapshot.
  static constexpr std::size_t kMaxReadings = 8;

  // Appends a reading made now. If it does not start at the last version, the
  // earlier ones are dropped.
  void Add(upstream_update aUpdate);

  // Drops all readings.
  void Clear() { mReadings.clear(); }

  // Version of the last reading, if any.
  std::optional<store_version> Version() const;

  // Whether the log holds all changes after aVersion.
  bool ReachesBackTo(store_version aVersion) const;

  // All changes after aVersion, merged; nullopt if the log does not reach back
  // to aVersion, or if aVersion is later than the last reading.
  std::optional<upstream_update> Since(store_version aVersion) const;

private:
  std::deque<upstream_update> mReadings;
};

// The upstreams whose last row is a removal.
std::vector<upstream_id>
RemovedIds(const std::vector<upstream_row>& aRows);

// Builds the update of a reading from aChanges, the changes that the directory
// reported for it. Heartbeats are left out, except those of upstreams in
// aSuspected, which end a suspicion elsewhere. aGone: upstreams that the
// reading has removed. One that joined and left within the reading is no change
// of the reader's directory, but a follower may know it from a reading in
// between.
upstream_update
ToUpdate(store_version aAfter,
         store_version aVersion,
         const std::vector<upstream_change>& aChanges,
         const std::vector<upstream_id>& aGone,
         const std::set<upstream_id>& aSuspected = {});

} // namespace laburnumdyke
