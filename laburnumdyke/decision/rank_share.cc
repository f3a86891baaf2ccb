// Floors are met on average over time, not by partitioning the slots: pools
// have three slots, and a partition in whole slots would leave one idle or
// starve a rank. The average counts slot time, so long requests use up more of
// a rank's share.
#include "laburnumdyke/decision/rank_share.h"

#include "laburnumdyke/kernel/invariant.h"

#include <cmath>

namespace laburnumdyke {

namespace {

constexpr std::array<work_rank, kRankCount> kRanks = { work_rank::Urgent,
                                                       work_rank::Standard,
                                                       work_rank::Bulk };
constexpr double kPercent = 100;

} // namespace

rank_share::rank_usage&
rank_share::Usage(work_rank aRank)
{
  return mUsages.at(static_cast<std::size_t>(aRank));
}

const rank_share::rank_usage&
rank_share::Usage(work_rank aRank) const
{
  return mUsages.at(static_cast<std::size_t>(aRank));
}

void
rank_share::SetFloors(const std::array<rank_spec, kRankCount>& aRanks)
{
  for (std::size_t i = 0; i < kRankCount; ++i) {
    mUsages[i].mFloor = aRanks[i].mFloorPercent / kPercent;
  }
}

void
rank_share::CountDemand(work_rank aRank, instant aNow)
{
  Usage(aRank).mLastDemand = aNow;
  Usage(aRank).mEverDemanded = true;
}

double
rank_share::Average(work_rank aRank, instant aNow) const
{
  const rank_usage& usage = Usage(aRank);
  std::chrono::duration<double> elapsed = aNow - usage.mUpdated;
  std::chrono::duration<double> averageTime = kAverageTime;
  double remaining = std::exp(-elapsed / averageTime);
  return usage.mAverage * remaining + usage.mOccupied * (1 - remaining);
}

std::vector<work_rank>
rank_share::Order(const rank_flags& aWaiting,
                  std::uint32_t aSlots,
                  instant aNow) const
{
  std::vector<work_rank> belowFloor;
  std::vector<work_rank> others;
  for (work_rank rank : kRanks) {
    if (!aWaiting.at(static_cast<std::size_t>(rank))) {
      continue;
    }
    bool below = Average(rank, aNow) < Usage(rank).mFloor * aSlots;
    (below ? belowFloor : others).push_back(rank);
  }
  belowFloor.insert(belowFloor.end(), others.begin(), others.end());
  return belowFloor;
}

bool
rank_share::MayTake(work_rank aRank,
                    std::uint32_t aSlots,
                    std::uint32_t aFree,
                    instant aNow) const
{
  if (aFree == 0) {
    return false;
  }
  bool reservesNone = aRank != work_rank::Bulk || aFree > 1 ||
                      aSlots < kMinSlotsForReserve ||
                      Usage(aRank).mOccupied < Usage(aRank).mFloor * aSlots;
  if (reservesNone) {
    return true;
  }
  for (work_rank rank : { work_rank::Urgent, work_rank::Standard }) {
    const rank_usage& usage = Usage(rank);
    if (usage.mEverDemanded && aNow - usage.mLastDemand < kDemandTimeout) {
      return false;
    }
  }
  return true;
}

void
rank_share::UpdateAverage(rank_usage& aUsage, instant aNow)
{
  std::size_t index = static_cast<std::size_t>(&aUsage - mUsages.data());
  aUsage.mAverage = Average(kRanks.at(index), aNow);
  aUsage.mUpdated = aNow;
}

void
rank_share::Take(work_rank aRank, instant aNow)
{
  UpdateAverage(Usage(aRank), aNow);
  ++Usage(aRank).mOccupied;
}

void
rank_share::Return(work_rank aRank, instant aNow)
{
  CheckInvariant(Usage(aRank).mOccupied > 0,
                 "rank_share_returned_twice",
                 [&]() { return "rank=" + std::string(ToString(aRank)); });
  UpdateAverage(Usage(aRank), aNow);
  --Usage(aRank).mOccupied;
}

} // namespace laburnumdyke
