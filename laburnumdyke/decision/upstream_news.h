// What has changed among the upstreams between two versions of the platform,
// for instances that follow a peer in place of reading the platform.
//
// Usage, at the instance that reads:
//   log.Add({ after, version, entries, gone });
//   std::optional<upstream_news> news = log.Since(version of the follower);
//
// News continue each other: what follows version V is told as long as the log
// reaches back to V. A follower that is further behind is told the whole.
#pragma once

#include "laburnumdyke/decision/upstream_directory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace laburnumdyke {

struct upstream_news
{
  std::uint64_t mAfter = 0;   // holds what changed after this version
  std::uint64_t mVersion = 0; // up to this one
  std::vector<upstream_entry> mEntries;
  std::vector<upstream_id> mGone;
  bool mWhole = false; // what is not named is gone
  // Since the platform said so, when the news are told.
  std::chrono::milliseconds mAge{ 0 };
};

class news_log
{
public:
  // Readings that are kept: a follower that is further behind than a few
  // seconds is told the whole.
  static constexpr std::size_t kMostKept = 8;

  // Takes a reading that was made now. One that does not continue the last,
  // begins anew.
  void Add(upstream_news aNews);

  // Nothing is known any more.
  void Clear() { mKept.clear(); }

  // The version of the last reading; nothing where there is none.
  std::optional<std::uint64_t> Version() const;

  // Whether it reaches back to aVersion.
  bool ReachesBackTo(std::uint64_t aVersion) const;

  // Everything after aVersion, as one; nothing where that is not known, as
  // with a version that is later than the last.
  std::optional<upstream_news> Since(std::uint64_t aVersion) const;

private:
  std::deque<upstream_news> mKept;
};

// What a reading of changes tells besides heartbeats of upstreams; aChanges
// are those that the directory made of it.
upstream_news
ToNews(std::uint64_t aAfter,
       std::uint64_t aVersion,
       const std::vector<upstream_change>& aChanges);

} // namespace laburnumdyke
