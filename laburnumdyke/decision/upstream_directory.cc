// Outages of the platform cause false removals and no other false events, so
// only removals are delayed; draining takes effect at once.
//
// A restored store also shows outdated rows. They are told by start time and
// sequence. Followers of a reader do not see every sequence, so for an upstream
// that left, the sequence in the copy itself is the one that it must exceed.
#include "laburnumdyke/decision/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

bool
IsRestart(const upstream_entry& aOld, const upstream_entry& aNew)
{
  bool startDiffers = aOld.mBorn != aNew.mBorn;
  bool locationDiffers =
    aOld.mAddress != aNew.mAddress || aOld.mService != aNew.mService;
  return startDiffers || locationDiffers || aNew.mSequence < aOld.mSequence;
}

// Whether aNew was not written after aOld. The start times are compared only if
// both are known.
bool
IsNotLater(const upstream_entry& aNew, const upstream_entry& aOld)
{
  bool hasStart = aNew.mBorn.count() != 0 && aOld.mBorn.count() != 0;
  if (hasStart && aNew.mBorn != aOld.mBorn) {
    return aNew.mBorn < aOld.mBorn;
  }
  return aNew.mSequence <= aOld.mSequence;
}

bool
IsHeartbeat(const upstream_entry& aOld, const upstream_entry& aNew)
{
  upstream_entry renewed = aOld;
  renewed.mSequence = aNew.mSequence;
  return renewed == aNew;
}

upstream_change_kind
KindOf(const upstream_entry& aOld, const upstream_entry& aNew)
{
  if (IsRestart(aOld, aNew)) {
    return upstream_change_kind::Restarted;
  }
  return IsHeartbeat(aOld, aNew) ? upstream_change_kind::Renewed
                                 : upstream_change_kind::Updated;
}

} // namespace

std::string_view
ToString(upstream_change_kind aKind)
{
  switch (aKind) {
    case upstream_change_kind::Joined:
      return "joined";
    case upstream_change_kind::Restarted:
      return "restarted";
    case upstream_change_kind::Updated:
      return "updated";
    case upstream_change_kind::Renewed:
      return "renewed";
    case upstream_change_kind::Returned:
      return "returned";
    case upstream_change_kind::Left:
      return "left";
  }
  return "unknown";
}

std::vector<upstream_change>
upstream_directory::Put(upstream_entry aEntry, instant)
{
  return PutAgain(std::move(aEntry), false);
}

std::vector<upstream_change>
upstream_directory::PutAgain(upstream_entry aEntry, bool aWasRemoved)
{
  auto found = mKnown.find(aEntry.mId);
  if (found == mKnown.end()) {
    if (IsListedDeparted(aEntry)) {
      return {};
    }
    mDeparted.erase(aEntry.mId);
    mKnown[aEntry.mId] = { aEntry, false };
    return { { upstream_change_kind::Joined, std::move(aEntry) } };
  }
  known_upstream& known = found->second;
  bool wasMissing = known.mMissing || aWasRemoved;
  upstream_change_kind kind = KindOf(known.mEntry, aEntry);
  if (wasMissing && kind == upstream_change_kind::Renewed) {
    kind = upstream_change_kind::Returned;
  }
  bool isChange = kind != upstream_change_kind::Renewed ||
                  aEntry.mSequence != known.mEntry.mSequence;
  known = { aEntry, false };
  if (!isChange) {
    return {};
  }
  return { { kind, std::move(aEntry) } };
}

std::vector<upstream_change>
upstream_directory::Remove(const upstream_id& aId, instant aNow)
{
  OnRowRemoved(aId, aNow);
  auto found = mKnown.find(aId);
  if (found == mKnown.end()) {
    return {};
  }
  if (!IsSettled(aNow)) {
    found->second.mMissing = true;
    return {};
  }
  return { Depart(aId, aNow) };
}

upstream_change
upstream_directory::Depart(const upstream_id& aId, instant aNow)
{
  auto found = mKnown.find(aId);
  upstream_change change{ upstream_change_kind::Left,
                          std::move(found->second.mEntry) };
  mKnown.erase(found);
  mDeparted[aId] = { change.mEntry, aNow };
  return change;
}

void
upstream_directory::OnRowRemoved(const upstream_id& aId, instant aNow)
{
  auto departed = mDeparted.find(aId);
  if (departed != mDeparted.end() && departed->second.mListed) {
    departed->second.mListed.reset();
    departed->second.mSince = aNow;
  }
}

bool
upstream_directory::IsListedDeparted(const upstream_entry& aEntry) const
{
  auto departed = mDeparted.find(aEntry.mId);
  if (departed == mDeparted.end() || !departed->second.mListed) {
    return false;
  }
  // Without a start time, a sequence below the listed one is a new start.
  bool isNewStart =
    aEntry.mBorn.count() == 0 && aEntry.mSequence < *departed->second.mListed;
  return !isNewStart && IsNotLater(aEntry, departed->second.mEntry);
}

bool
upstream_directory::IsOutdated(const upstream_entry& aEntry)
{
  auto known = mKnown.find(aEntry.mId);
  if (known != mKnown.end()) {
    bool isOutdated = IsNotLater(aEntry, known->second.mEntry);
    if (isOutdated) {
      known->second.mMissing = false;
    }
    return isOutdated;
  }
  auto departed = mDeparted.find(aEntry.mId);
  if (departed == mDeparted.end()) {
    return false;
  }
  departed_upstream& one = departed->second;
  bool isLaterStart =
    one.mEntry.mBorn.count() != 0 && aEntry.mBorn > one.mEntry.mBorn;
  if (isLaterStart) {
    return false;
  }
  if (!IsNotLater(aEntry, one.mEntry)) {
    one.mEntry = aEntry;
  }
  one.mListed = aEntry.mSequence;
  return true;
}

bool
upstream_directory::IsEarlierWrite(const upstream_entry& aEntry)
{
  auto known = mKnown.find(aEntry.mId);
  bool isEarlier = known != mKnown.end() && aEntry.mBorn.count() != 0 &&
                   aEntry.mBorn == known->second.mEntry.mBorn &&
                   aEntry.mSequence < known->second.mEntry.mSequence;
  if (isEarlier) {
    known->second.mMissing = false;
  }
  return isEarlier;
}

std::vector<upstream_change>
upstream_directory::ReplaceRestored(std::vector<upstream_entry> aEntries,
                                    instant aNow)
{
  mAwaitsRestored = false;
  mWasRestored = true;
  mRestoreGraceUntil = aNow + mOptions.mRecoveryGrace;
  std::set<upstream_id> listed;
  std::vector<upstream_change> changes;
  for (upstream_entry& entry : aEntries) {
    listed.insert(entry.mId);
    if (IsOutdated(entry)) {
      continue;
    }
    for (upstream_change& change : Put(std::move(entry), aNow)) {
      changes.push_back(std::move(change));
    }
  }
  for (std::pair<const upstream_id, known_upstream>& known : mKnown) {
    known.second.mMissing =
      known.second.mMissing || listed.count(known.first) == 0;
  }
  for (std::pair<const upstream_id, departed_upstream>& departed : mDeparted) {
    if (listed.count(departed.first) == 0) {
      OnRowRemoved(departed.first, aNow);
    }
  }
  return changes;
}

std::vector<upstream_change>
upstream_directory::ApplyRows(std::vector<upstream_row> aRows, instant aNow)
{
  struct last_row
  {
    std::optional<upstream_entry> mEntry;
    bool mWasRemoved = false; // by this row or an earlier one
  };
  std::map<upstream_id, last_row> lastRows;
  for (upstream_row& row : aRows) {
    last_row& last = lastRows[row.mId];
    last.mEntry = std::move(row.mEntry);
    last.mWasRemoved = last.mWasRemoved || !last.mEntry;
  }
  std::vector<upstream_change> changes;
  for (std::pair<const upstream_id, last_row>& last : lastRows) {
    std::optional<upstream_entry>& entry = last.second.mEntry;
    for (upstream_change& change :
         entry ? PutAgain(std::move(*entry), last.second.mWasRemoved)
               : Remove(last.first, aNow)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<upstream_change>
upstream_directory::Replace(std::vector<upstream_entry> aEntries, instant aNow)
{
  std::vector<upstream_change> changes;
  std::set<upstream_id> listed;
  for (upstream_entry& entry : aEntries) {
    listed.insert(entry.mId);
    if (mWasRestored && IsEarlierWrite(entry)) {
      continue;
    }
    for (upstream_change& change : Put(std::move(entry), aNow)) {
      changes.push_back(std::move(change));
    }
  }
  std::vector<upstream_id> unlisted;
  for (const std::pair<const upstream_id, known_upstream>& known : mKnown) {
    if (listed.count(known.first) == 0) {
      unlisted.push_back(known.first);
    }
  }
  for (const std::pair<const upstream_id, departed_upstream>& departed :
       mDeparted) {
    if (listed.count(departed.first) == 0) {
      unlisted.push_back(departed.first);
    }
  }
  for (const upstream_id& id : unlisted) {
    for (upstream_change& change : Remove(id, aNow)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<upstream_entry>
upstream_directory::Entries() const
{
  std::vector<upstream_entry> entries;
  for (const std::pair<const upstream_id, known_upstream>& known : mKnown) {
    if (!known.second.mMissing) {
      entries.push_back(known.second.mEntry);
    }
  }
  return entries;
}

void
upstream_directory::OnPlatformLost(instant aNow)
{
  if (!mLost) {
    mLost = true;
    mLostSince = aNow;
  }
}

void
upstream_directory::OnPlatformRecovered(instant aNow)
{
  if (mLost && aNow - mLostSince >= mOptions.mMinOutage) {
    mGraceUntil = aNow + mOptions.mRecoveryGrace;
  }
  mLost = false;
}

void
upstream_directory::EndGrace(instant aNow)
{
  mGraceUntil = std::min(mGraceUntil, aNow);
}

std::vector<upstream_change>
upstream_directory::Expire(instant aNow)
{
  std::vector<upstream_change> changes;
  ForgetDeparted(aNow);
  if (!IsSettled(aNow)) {
    return changes;
  }
  std::vector<upstream_id> missing;
  for (const std::pair<const upstream_id, known_upstream>& known : mKnown) {
    if (known.second.mMissing) {
      missing.push_back(known.first);
    }
  }
  for (const upstream_id& id : missing) {
    changes.push_back(Depart(id, aNow));
  }
  return changes;
}

void
upstream_directory::ForgetDeparted(instant aNow)
{
  std::erase_if(
    mDeparted,
    [&](const std::pair<const upstream_id, departed_upstream>& aOne) {
      return !aOne.second.mListed &&
             aNow - aOne.second.mSince >= mOptions.mDepartedTime;
    });
}

} // namespace laburnumdyke
