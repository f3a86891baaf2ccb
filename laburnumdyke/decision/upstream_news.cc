// Readings are kept as they were and merged when asked for: followers mostly
// ask for the last one alone. Of an upstream that changed more than once the
// last change stands, in whichever of the two lists.
#include "laburnumdyke/decision/upstream_news.h"

#include <map>
#include <utility>

namespace laburnumdyke {

void
news_log::Add(upstream_news aNews)
{
  if (!mKept.empty() && mKept.back().mVersion != aNews.mAfter) {
    mKept.clear();
  }
  mKept.push_back(std::move(aNews));
  if (mKept.size() > kMostKept) {
    mKept.pop_front();
  }
}

std::optional<std::uint64_t>
news_log::Version() const
{
  if (mKept.empty()) {
    return std::nullopt;
  }
  return mKept.back().mVersion;
}

bool
news_log::ReachesBackTo(std::uint64_t aVersion) const
{
  return !mKept.empty() && mKept.front().mAfter <= aVersion;
}

std::optional<upstream_news>
news_log::Since(std::uint64_t aVersion) const
{
  if (!ReachesBackTo(aVersion) || aVersion > mKept.back().mVersion) {
    return std::nullopt;
  }
  upstream_news merged;
  merged.mAfter = aVersion;
  merged.mVersion = mKept.back().mVersion;
  // The last change of each upstream; null: it is gone.
  std::map<upstream_id, const upstream_entry*> last;
  for (const upstream_news& news : mKept) {
    if (news.mVersion <= aVersion) {
      continue;
    }
    for (const upstream_entry& entry : news.mEntries) {
      last[entry.mId] = &entry;
    }
    for (const upstream_id& gone : news.mGone) {
      last[gone] = nullptr;
    }
  }
  for (const std::pair<const upstream_id, const upstream_entry*>& one : last) {
    if (one.second != nullptr) {
      merged.mEntries.push_back(*one.second);
    } else {
      merged.mGone.push_back(one.first);
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
  // Of several changes of one upstream the last stands.
  std::map<upstream_id, const upstream_change*> last;
  for (const upstream_change& change : aChanges) {
    if (change.mKind != upstream_change_kind::Renewed) {
      last[change.mEntry.mId] = &change;
    }
  }
  for (const std::pair<const upstream_id, const upstream_change*>& one : last) {
    if (one.second->mKind == upstream_change_kind::Left) {
      news.mGone.push_back(one.first);
    } else {
      news.mEntries.push_back(one.second->mEntry);
    }
  }
  return news;
}

} // namespace laburnumdyke
