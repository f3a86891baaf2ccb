// Floors are kept over time rather than as a partition of the slots: pools
// have three slots, and a partition in whole slots would strand one or starve
// a rank. The average counts slot time, so a rank pays for long requests.
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

rank_share::rank_use&
rank_share::Use(work_rank aRank)
{
  return mUses.at(static_cast<std::size_t>(aRank));
}

const rank_share::rank_use&
rank_share::Use(work_rank aRank) const
{
  return mUses.at(static_cast<std::size_t>(aRank));
}

void
rank_share::SetFloors(const std::array<rank_spec, kRankCount>& aRanks)
{
  for (std::size_t i = 0; i < kRankCount; ++i) {
    mUses[i].mFloor = aRanks[i].mFloorPercent / kPercent;
  }
}

void
rank_share::CountDemand(work_rank aRank, instant aNow)
{
  Use(aRank).mDemanded = aNow;
  Use(aRank).mEverDemanded = true;
}

double
rank_share::Average(work_rank aRank, instant aNow) const
{
  const rank_use& use = Use(aRank);
  std::chrono::duration<double> elapsed = aNow - use.mUpdated;
  std::chrono::duration<double> span = kAverageOver;
  double kept = std::exp(-elapsed / span);
  return use.mAverage * kept + use.mOccupied * (1 - kept);
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
    bool below = Average(rank, aNow) < Use(rank).mFloor * aSlots;
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
  bool keepsNothing = aRank != work_rank::Bulk || aFree > 1 ||
                      aSlots < kLeastSlotsForReserve ||
                      Use(aRank).mOccupied < Use(aRank).mFloor * aSlots;
  if (keepsNothing) {
    return true;
  }
  for (work_rank rank : { work_rank::Urgent, work_rank::Standard }) {
    const rank_use& use = Use(rank);
    if (use.mEverDemanded && aNow - use.mDemanded < kInUse) {
      return false;
    }
  }
  return true;
}

void
rank_share::Settle(rank_use& aUse, instant aNow)
{
  std::size_t index = static_cast<std::size_t>(&aUse - mUses.data());
  aUse.mAverage = Average(kRanks.at(index), aNow);
  aUse.mUpdated = aNow;
}

void
rank_share::Take(work_rank aRank, instant aNow)
{
  Settle(Use(aRank), aNow);
  ++Use(aRank).mOccupied;
}

void
rank_share::Return(work_rank aRank, instant aNow)
{
  CheckInvariant(Use(aRank).mOccupied > 0, "rank_share_returned_twice", [&]() {
    return "rank=" + std::string(ToString(aRank));
  });
  Settle(Use(aRank), aNow);
  --Use(aRank).mOccupied;
}

} // namespace laburnumdyke
