// Readings are stored separately and merged on request, because followers
// mostly ask for the last one only. If an upstream changed more than once, its
// last change wins, whether an update or a removal.
#include "laburnumdyke/decision/upstream_news.h"

#include <map>
#include <utility>

namespace laburnumdyke {

void
news_log::Add(upstream_news aNews)
{
  if (!mReadings.empty() && mReadings.back().mVersion != aNews.mAfter) {
    mReadings.clear();
  }
  mReadings.push_back(std::move(aNews));
  if (mReadings.size() > kMaxReadings) {
    mReadings.pop_front();
  }
}

std::optional<std::uint64_t>
news_log::Version() const
{
  if (mReadings.empty()) {
    return std::nullopt;
  }
  return mReadings.back().mVersion;
}

bool
news_log::ReachesBackTo(std::uint64_t aVersion) const
{
  return !mReadings.empty() && mReadings.front().mAfter <= aVersion;
}

std::optional<upstream_news>
news_log::Since(std::uint64_t aVersion) const
{
  if (!ReachesBackTo(aVersion) || aVersion > mReadings.back().mVersion) {
    return std::nullopt;
  }
  upstream_news merged;
  merged.mAfter = aVersion;
  merged.mVersion = mReadings.back().mVersion;
  // The last change of each upstream; null: removed.
  std::map<upstream_id, const upstream_entry*> lastChanges;
  for (const upstream_news& news : mReadings) {
    if (news.mVersion <= aVersion) {
      continue;
    }
    for (const upstream_entry& entry : news.mEntries) {
      lastChanges[entry.mId] = &entry;
    }
    for (const upstream_id& removed : news.mRemovedIds) {
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

upstream_news
ToNews(std::uint64_t aAfter,
       std::uint64_t aVersion,
       const std::vector<upstream_change>& aChanges)
{
  upstream_news news;
  news.mAfter = aAfter;
  news.mVersion = aVersion;
  // The last change of each upstream wins.
  std::map<upstream_id, const upstream_change*> lastChanges;
  for (const upstream_change& change : aChanges) {
    if (change.mKind != upstream_change_kind::Renewed) {
      lastChanges[change.mEntry.mId] = &change;
    }
  }
  for (const std::pair<const upstream_id, const upstream_change*>& one :
       lastChanges) {
    if (one.second->mKind == upstream_change_kind::Left) {
      news.mRemovedIds.push_back(one.first);
    } else {
      news.mEntries.push_back(one.second->mEntry);
    }
  }
  return news;
}

} // namespace laburnumdyke
