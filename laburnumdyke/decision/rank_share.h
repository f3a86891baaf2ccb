// Shares the slots of one service among the ranks that ask for them.
//
// Usage:
//   for (work_rank rank : share.Order(waiting, slots, now))
//     if (share.MayTake(rank, slots, free, now)) ... share.Take(rank, now)
//   share.Return(rank, now);
//
// A freed slot goes to the most urgent waiting rank that is below its floor;
// if none is, to the most urgent waiting rank. Ranks may use each other's idle
// share, but one slot is reserved from bulk work for the more urgent ranks in
// use, since a download holds a slot for seconds.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace laburnumdyke {

using rank_flags = std::array<bool, kRankCount>;

class rank_share
{
public:
  // Time constant of the exponential average of a rank's occupied slots.
  static constexpr std::chrono::seconds kAverageTime{ 2 };
  // A rank counts as in use for this time after its last request.
  static constexpr std::chrono::seconds kDemandTimeout{ 30 };
  // Smaller pools reserve no slot: one is too large a part of their capacity.
  static constexpr std::uint32_t kMinSlotsForReserve = 3;

  void SetFloors(const std::array<rank_spec, kRankCount>& aRanks);

  // Fraction of the pool that is reserved for the rank, from 0 to 1.
  double Floor(work_rank aRank) const { return Usage(aRank).mFloor; }

  // Records that a request of the rank arrived.
  void CountDemand(work_rank aRank, instant aNow);

  // The waiting ranks in the order in which a slot is offered to them.
  std::vector<work_rank> Order(const rank_flags& aWaiting,
                               std::uint32_t aSlots,
                               instant aNow) const;

  // Whether the rank may take one of aFree slots of a pool of aSlots.
  bool MayTake(work_rank aRank,
               std::uint32_t aSlots,
               std::uint32_t aFree,
               instant aNow) const;

  void Take(work_rank aRank, instant aNow);
  void Return(work_rank aRank, instant aNow);

  // Slots that the rank occupied on average over the last kAverageTime.
  double Average(work_rank aRank, instant aNow) const;

private:
  struct rank_usage
  {
    double mFloor = 0; // fraction of the pool
    std::uint32_t mOccupied = 0;
    double mAverage = 0;
    instant mUpdated{};
    instant mLastDemand{};
    bool mEverDemanded = false;
  };

  rank_usage& Usage(work_rank aRank);
  const rank_usage& Usage(work_rank aRank) const;
  void UpdateAverage(rank_usage& aUsage, instant aNow);

  std::array<rank_usage, kRankCount> mUsages{};
};

} // namespace laburnumdyke
