// Readings are stored separately and merged on request, because followers
// mostly ask for the last one only. If an upstream changed more than once, its
// last change wins, whether an update or a removal.
#include "laburnumdyke/decision/upstream_update.h"

#include <map>
#include <utility>

namespace laburnumdyke {

std::vector<upstream_row>
ToRows(upstream_update aUpdate)
{
  std::vector<upstream_row> rows;
  for (upstream_entry& entry : aUpdate.mEntries) {
    upstream_id id = entry.mId;
    rows.push_back({ std::move(id), std::move(entry) });
  }
  for (upstream_id& removed : aUpdate.mRemovedIds) {
    rows.push_back({ std::move(removed), std::nullopt });
  }
  return rows;
}

void
update_log::Add(upstream_update aUpdate)
{
  if (!mReadings.empty() && mReadings.back().mVersion != aUpdate.mAfter) {
    mReadings.clear();
  }
  mReadings.push_back(std::move(aUpdate));
  if (mReadings.size() > kMaxReadings) {
    mReadings.pop_front();
  }
}

std::optional<store_version>
update_log::Version() const
{
  if (mReadings.empty()) {
    return std::nullopt;
  }
  return mReadings.back().mVersion;
}

bool
update_log::ReachesBackTo(store_version aVersion) const
{
  return !mReadings.empty() && mReadings.front().mAfter.mEra == aVersion.mEra &&
         mReadings.front().mAfter <= aVersion;
}

std::optional<upstream_update>
update_log::Since(store_version aVersion) const
{
  if (!ReachesBackTo(aVersion) || aVersion > mReadings.back().mVersion) {
    return std::nullopt;
  }
  upstream_update merged;
  merged.mAfter = aVersion;
  merged.mVersion = mReadings.back().mVersion;
  // The last change of each upstream; null: removed.
  std::map<upstream_id, const upstream_entry*> lastChanges;
  for (const upstream_update& update : mReadings) {
    if (update.mVersion <= aVersion) {
      continue;
    }
    for (const upstream_entry& entry : update.mEntries) {
      lastChanges[entry.mId] = &entry;
    }
    for (const upstream_id& removed : update.mRemovedIds) {
      lastChanges[removed] = nullptr;
    }
  }
  for (const std::pair<const upstream_id, const upstream_entry*>& one :
       lastChanges) {
    if (one.second != nullptr) {
      merged.mEntries.push_back(*one.second);
    } else {
      merged.mRemovedIds.push_back(one.first);
    }
  }
  return merged;
}

std::vector<upstream_id>
RemovedIds(const std::vector<upstream_row>& aRows)
{
  std::map<upstream_id, bool> isRemoved; // by the last row
  for (const upstream_row& row : aRows) {
    isRemoved[row.mId] = !row.mEntry;
  }
  std::vector<upstream_id> removed;
  for (const std::pair<const upstream_id, bool>& one : isRemoved) {
    if (one.second) {
      removed.push_back(one.first);
    }
  }
  return removed;
}

upstream_update
ToUpdate(store_version aAfter,
         store_version aVersion,
         const std::vector<upstream_change>& aChanges,
         const std::vector<upstream_id>& aGone,
         const std::set<upstream_id>& aSuspected)
{
  upstream_update update;
  update.mAfter = aAfter;
  update.mVersion = aVersion;
  // The last change of each upstream wins.
  std::map<upstream_id, const upstream_change*> lastChanges;
  for (const upstream_change& change : aChanges) {
    if (change.mKind != upstream_change_kind::Renewed ||
        aSuspected.count(change.mEntry.mId) > 0) {
      lastChanges[change.mEntry.mId] = &change;
    }
  }
  for (const upstream_id& gone : aGone) {
    if (lastChanges.count(gone) == 0) {
      update.mRemovedIds.push_back(gone);
    }
  }
  for (const std::pair<const upstream_id, const upstream_change*>& one :
       lastChanges) {
    if (one.second->mKind == upstream_change_kind::Left) {
      update.mRemovedIds.push_back(one.first);
    } else {
      update.mEntries.push_back(one.second->mEntry);
    }
  }
  return update;
}

} // namespace laburnumdyke
