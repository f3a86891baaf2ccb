// Uses one bucket for each floor and a shared one instead of a priority queue:
// callers take bytes in chunks as data arrives, so there is nothing to queue,
// and a floor must hold while another rank requests bytes without pause.
#include "laburnumdyke/decision/rank_buckets.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// Minimum grant, unless less is requested: smaller ones would make inefficient
// packets. A retry delay is computed for at most this many bytes.
constexpr double kMinGrantBytes = 1400;
constexpr std::chrono::milliseconds kMaxWait{ 1000 };
// Tolerance in bytes for rounding errors of floating-point sums.
constexpr double kRoundingTolerance = 1.0;

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

template<token_order Order>
void
rank_buckets<Order>::Configure(const std::array<rank_spec, kRankCount>& aRanks,
                               instant aNow)
{
  Fill(aNow);
  mSharedPercent = 100;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    mFloors.at(i) = std::min(aRanks.at(i).mFloorPercent, mSharedPercent);
    mSharedPercent -= mFloors.at(i);
  }
}

template<token_order Order>
void
rank_buckets<Order>::SetRate(byte_rate aRate, instant aNow)
{
  Fill(aNow);
  mRate = aRate;
}

template<token_order Order>
double
rank_buckets<Order>::Depth(std::uint32_t aPercent) const
{
  return static_cast<double>(mRate) * aPercent / 100 * Seconds(kDepth);
}

template<token_order Order>
void
rank_buckets<Order>::Fill(instant aNow)
{
  if (aNow <= mFilledAt) {
    return;
  }
  double added = static_cast<double>(mRate) * Seconds(aNow - mFilledAt);
  mFilledAt = aNow;
  mAllowedBytes += added;
  mSharedTokens += added * mSharedPercent / 100;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    double& tokens = mFloorTokens.at(i);
    tokens += added * mFloors.at(i) / 100;
    double depth = Depth(mFloors.at(i));
    if (tokens > depth) {
      mSharedTokens += tokens - depth;
      tokens = depth;
    }
  }
  mSharedTokens = std::min(mSharedTokens, Depth(100));
}

template<token_order Order>
std::chrono::milliseconds
rank_buckets<Order>::WaitFor(work_rank aRank, double aBytes) const
{
  std::uint32_t percent =
    std::max(1u, mFloors.at(static_cast<std::size_t>(aRank)));
  double rate = static_cast<double>(mRate) * percent / 100;
  double seconds = rate > 0 ? aBytes / rate : Seconds(kMaxWait);
  std::chrono::milliseconds wait(
    static_cast<std::int64_t>(std::ceil(seconds * 1000)));
  return std::clamp(wait, std::chrono::milliseconds(1), kMaxWait);
}

template<token_order Order>
link_take_result
rank_buckets<Order>::Take(work_rank aRank, std::uint64_t aBytes, instant aNow)
{
  Fill(aNow);
  double wanted = static_cast<double>(aBytes);
  double& floor = mFloorTokens.at(static_cast<std::size_t>(aRank));
  bool mayUseShared = mOrder.MayUseSharedTokens(aRank, aNow);
  double available = floor + (mayUseShared ? mSharedTokens : 0);
  double granted = std::floor(std::min(wanted, available));
  if (granted < wanted) {
    mOrder.RecordShortage(aRank, aNow);
    if (granted < std::min(wanted, kMinGrantBytes)) {
      granted = 0;
    }
  }
  double fromFloor = std::min(floor, granted);
  floor -= fromFloor;
  mSharedTokens -= granted - fromFloor;
  mTakenBytes += granted;
  CheckInvariant(mTakenBytes <= mAllowedBytes + kRoundingTolerance,
                 "link_over_budget",
                 [&]() {
                   return "taken=" + std::to_string(mTakenBytes) +
                          " allowed=" + std::to_string(mAllowedBytes) +
                          " rate=" + std::to_string(mRate);
                 });
  link_take_result answer{ static_cast<std::uint64_t>(granted), {} };
  if (granted < wanted) {
    answer.mRetryAfter =
      WaitFor(aRank, std::min(wanted - granted, kMinGrantBytes));
  }
  return answer;
}

template<token_order Order>
std::uint32_t
rank_buckets<Order>::MaxPercent(work_rank aRank, instant aNow) const
{
  return mOrder.MayUseSharedTokens(aRank, aNow)
           ? 100
           : mFloors.at(static_cast<std::size_t>(aRank));
}

template class rank_buckets<urgent_first>;

} // namespace laburnumdyke
