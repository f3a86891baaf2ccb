// The requests of one service that wait for a slot, a line for each rank.
//
// Usage:
//   request_queue<earliest_deadline_first> queue;
//   queue.Push(request); queue.First(rank); queue.Erase(number);
//
// Within a rank the queue_order given decides who is first.
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

// Gives each request its place: the lesser is served first.
template<class T>
concept queue_order = requires(const admission_request& aRequest,
                               std::uint64_t aArrival)
{
  {
    T::Place(aRequest, aArrival)
    } -> std::same_as<std::int64_t>;
};

struct earliest_deadline_first
{
  static std::int64_t Place(const admission_request& aRequest, std::uint64_t)
  {
    return aRequest.mDeadline.time_since_epoch().count();
  }
};

struct first_in_first_out
{
  static std::int64_t Place(const admission_request&, std::uint64_t aArrival)
  {
    return static_cast<std::int64_t>(aArrival);
  }
};

struct last_in_first_out
{
  static std::int64_t Place(const admission_request&, std::uint64_t aArrival)
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
    place at{ Order::Place(aRequest, ++mArrivals), aRequest.mNumber };
    Line(aRequest.mRank).emplace(at, aRequest);
    mPlaces.emplace(aRequest.mNumber, std::pair(aRequest.mRank, at));
  }

  // The rank's line must not be empty.
  const admission_request& First(work_rank aRank) const
  {
    return Line(aRank).begin()->second;
  }

  bool Erase(request_number aNumber)
  {
    auto found = mPlaces.find(aNumber);
    if (found == mPlaces.end()) {
      return false;
    }
    Line(found->second.first).erase(found->second.second);
    mPlaces.erase(found);
    return true;
  }

  bool Holds(request_number aNumber) const
  {
    return mPlaces.count(aNumber) != 0;
  }
  std::size_t Size() const { return mPlaces.size(); }
  std::size_t Size(work_rank aRank) const { return Line(aRank).size(); }

  // Requests that would be served before a new one. Linear in the queue,
  // which the document bounds.
  std::size_t Ahead(const admission_request& aRequest) const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(aRequest.mRank); ++i) {
      count += mLines[i].size();
    }
    return count + AheadInRank(aRequest);
  }

  std::size_t AheadInRank(const admission_request& aRequest) const
  {
    place at{ Order::Place(aRequest, mArrivals + 1), aRequest.mNumber };
    const line& own = Line(aRequest.mRank);
    return static_cast<std::size_t>(
      std::distance(own.begin(), own.lower_bound(at)));
  }

  std::vector<request_number> Late(instant aNow) const
  {
    std::vector<request_number> late;
    for (const line& one : mLines) {
      for (const std::pair<const place, admission_request>& entry : one) {
        if (entry.second.mDeadline <= aNow) {
          late.push_back(entry.second.mNumber);
        }
      }
    }
    return late;
  }

private:
  using place = std::pair<std::int64_t, request_number>;
  using line = std::map<place, admission_request>;

  line& Line(work_rank aRank)
  {
    return mLines.at(static_cast<std::size_t>(aRank));
  }
  const line& Line(work_rank aRank) const
  {
    return mLines.at(static_cast<std::size_t>(aRank));
  }

  std::array<line, kRankCount> mLines;
  std::map<request_number, std::pair<work_rank, place>> mPlaces;
  std::uint64_t mArrivals = 0;
};

} // namespace laburnumdyke
