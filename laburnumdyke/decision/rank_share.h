// Shares the slots of one service among the ranks that ask for them.
//
// Usage:
//   for (work_rank rank : share.Order(waiting, slots, now))
//     if (share.MayTake(rank, slots, now)) ... share.Take(rank, now)
//   share.Return(rank, now);
//
// A freed slot goes to the most urgent waiting rank that is below its floor;
// where none is, to the most urgent waiting rank. Idle share is lent, but one
// slot is kept back from bulk work for the more urgent ranks in use, since a
// download holds a slot for seconds.
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
  // The occupied slots of a rank are averaged over about this time.
  static constexpr std::chrono::seconds kAverageOver{ 2 };
  // A rank counts as in use for so long after it last asked.
  static constexpr std::chrono::seconds kInUse{ 30 };
  // Pools under this size keep nothing back: it would cost them too much.
  static constexpr std::uint32_t kLeastSlotsForReserve = 3;

  void SetFloors(const std::array<rank_spec, kRankCount>& aRanks);

  // Share of the pool that is kept for the rank.
  double Floor(work_rank aRank) const { return Use(aRank).mFloor; }

  // Notes that a rank asks for work.
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

  // Slots that the rank occupied on average, in recent time.
  double Average(work_rank aRank, instant aNow) const;

private:
  struct rank_use
  {
    double mFloor = 0; // share of the pool
    std::uint32_t mOccupied = 0;
    double mAverage = 0;
    instant mUpdated{};
    instant mDemanded{};
    bool mEverDemanded = false;
  };

  rank_use& Use(work_rank aRank);
  const rank_use& Use(work_rank aRank) const;
  void Settle(rank_use& aUse, instant aNow);

  std::array<rank_use, kRankCount> mUses{};
};

} // namespace laburnumdyke
