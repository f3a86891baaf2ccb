// The requests of one service that wait for a slot, with a queue for each rank.
//
// Usage:
//   request_queue<earliest_deadline_first> queue;
//   queue.Push(request); queue.Front(rank); queue.Erase(number);
//
// The template argument, a queue_order, orders the requests within a rank.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace laburnumdyke {

using request_number = std::uint64_t;

struct admission_request
{
  request_number mNumber = 0; // unique within the instance
  service_id mService;
  work_rank mRank = work_rank::Standard;
  instant mDeadline{};
};

// Gives each request a sort key; the least key is served first.
template<class T>
concept queue_order = requires(const admission_request& aRequest,
                               std::uint64_t aArrival)
{
  {
    T::SortKey(aRequest, aArrival)
    } -> std::same_as<std::int64_t>;
};

struct earliest_deadline_first
{
  static std::int64_t SortKey(const admission_request& aRequest, std::uint64_t)
  {
    return aRequest.mDeadline.time_since_epoch().count();
  }
};

struct first_in_first_out
{
  static std::int64_t SortKey(const admission_request&, std::uint64_t aArrival)
  {
    return static_cast<std::int64_t>(aArrival);
  }
};

struct last_in_first_out
{
  static std::int64_t SortKey(const admission_request&, std::uint64_t aArrival)
  {
    return -static_cast<std::int64_t>(aArrival);
  }
};

template<queue_order Order>
class request_queue
{
public:
  void Push(const admission_request& aRequest)
  {
    queue_position position{ Order::SortKey(aRequest, ++mArrivals),
                             aRequest.mNumber };
    QueueOf(aRequest.mRank).emplace(position, aRequest);
    mPositions.emplace(aRequest.mNumber, std::pair(aRequest.mRank, position));
  }

  // The rank's queue must not be empty.
  const admission_request& Front(work_rank aRank) const
  {
    return QueueOf(aRank).begin()->second;
  }

  // Returns whether the request was queued.
  bool Erase(request_number aNumber)
  {
    auto found = mPositions.find(aNumber);
    if (found == mPositions.end()) {
      return false;
    }
    QueueOf(found->second.first).erase(found->second.second);
    mPositions.erase(found);
    return true;
  }

  bool Contains(request_number aNumber) const
  {
    return mPositions.count(aNumber) != 0;
  }
  std::size_t Size() const { return mPositions.size(); }
  std::size_t Size(work_rank aRank) const { return QueueOf(aRank).size(); }

  // Requests that would be served before a new one. Takes time linear in the
  // length of the queue, which the document limits.
  std::size_t CountAhead(const admission_request& aRequest) const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(aRequest.mRank); ++i) {
      count += mQueues[i].size();
    }
    return count + CountAheadInRank(aRequest);
  }

  std::size_t CountAheadInRank(const admission_request& aRequest) const
  {
    queue_position position{ Order::SortKey(aRequest, mArrivals + 1),
                             aRequest.mNumber };
    const rank_queue& own = QueueOf(aRequest.mRank);
    return static_cast<std::size_t>(
      std::distance(own.begin(), own.lower_bound(position)));
  }

  // Requests whose deadline is aNow or earlier.
  std::vector<request_number> Expired(instant aNow) const
  {
    std::vector<request_number> expired;
    for (const rank_queue& queue : mQueues) {
      for (const std::pair<const queue_position, admission_request>& entry :
           queue) {
        if (entry.second.mDeadline <= aNow) {
          expired.push_back(entry.second.mNumber);
        }
      }
    }
    return expired;
  }

private:
  using queue_position = std::pair<std::int64_t, request_number>;
  using rank_queue = std::map<queue_position, admission_request>;

  rank_queue& QueueOf(work_rank aRank)
  {
    return mQueues.at(static_cast<std::size_t>(aRank));
  }
  const rank_queue& QueueOf(work_rank aRank) const
  {
    return mQueues.at(static_cast<std::size_t>(aRank));
  }

  std::array<rank_queue, kRankCount> mQueues;
  std::map<request_number, std::pair<work_rank, queue_position>> mPositions;
  std::uint64_t mArrivals = 0;
};

} // namespace laburnumdyke
