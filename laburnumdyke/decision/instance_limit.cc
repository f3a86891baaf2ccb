// Unlike in rank_share, floors partition the limit instead of being met on
// average over time: the limit is large compared with one request, and a
// request is admitted or refused on arrival.
#include "laburnumdyke/decision/instance_limit.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <numeric>

namespace laburnumdyke {

namespace {

constexpr std::uint64_t kPercent = 100; // percent
constexpr std::uint64_t kMinRequests = kRankCount;
constexpr std::uint64_t kMinBytes = 1048576;

} // namespace

std::vector<std::string>
CheckOptions(const admission_options& aOptions)
{
  std::vector<std::string> faults;
  if (aOptions.mMaxRequests < kMinRequests) {
    faults.push_back("max_requests: expected at least " +
                     std::to_string(kMinRequests) + ", got " +
                     std::to_string(aOptions.mMaxRequests));
  }
  if (aOptions.mMaxBytes < kMinBytes) {
    faults.push_back("max_bytes: expected at least " +
                     std::to_string(kMinBytes) + ", got " +
                     std::to_string(aOptions.mMaxBytes));
  }
  return faults;
}

std::uint64_t
instance_limit::resource::Total() const
{
  return std::accumulate(mUsed.begin(), mUsed.end(), std::uint64_t(0));
}

void
instance_limit::SetLimits(const admission_options& aOptions)
{
  CheckInvariant(
    CheckOptions(aOptions).empty(), "admission_options_unsound", [&]() {
      return "max_requests=" + std::to_string(aOptions.mMaxRequests) +
             " max_bytes=" + std::to_string(aOptions.mMaxBytes);
    });
  mRequests.mLimit = aOptions.mMaxRequests;
  mBytes.mLimit = aOptions.mMaxBytes;
  mRandom.seed(aOptions.mSeed);
}

void
instance_limit::SetFloors(const std::array<rank_spec, kRankCount>& aRanks)
{
  for (std::size_t i = 0; i < kRankCount; ++i) {
    mFloors[i] = aRanks[i].mFloorPercent;
  }
}

std::uint64_t
instance_limit::ReservedPercent(std::size_t aRank, instant aNow) const
{
  bool inUse =
    mEverDemanded.at(aRank) && aNow - mLastDemand.at(aRank) < kDemandTimeout;
  std::uint64_t floor = mFloors.at(aRank);
  if (inUse) {
    return floor;
  }
  bool urgent = aRank == static_cast<std::size_t>(work_rank::Urgent);
  return urgent ? std::min(floor, kUrgentReservePercent) : 0;
}

refusal_reason
instance_limit::Check(const resource& aResource,
                      std::size_t aRank,
                      std::uint64_t aAmount,
                      instant aNow) const
{
  std::uint64_t total = aResource.Total();
  if (total + aAmount > aResource.mLimit) {
    return refusal_reason::QueueFull;
  }
  std::uint64_t ownFloor = aResource.mLimit * mFloors.at(aRank) / kPercent;
  if (aResource.mUsed.at(aRank) + aAmount <= ownFloor) {
    return refusal_reason::None;
  }
  std::uint64_t reserved = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    std::uint64_t floor =
      aResource.mLimit * ReservedPercent(i, aNow) / kPercent;
    if (i != aRank && floor > aResource.mUsed[i]) {
      reserved += floor - aResource.mUsed[i];
    }
  }
  return total + aAmount + reserved > aResource.mLimit
           ? refusal_reason::RankOverFloor
           : refusal_reason::None;
}

refusal_reason
instance_limit::Enter(work_rank aRank, std::uint64_t aBytes, instant aNow)
{
  std::size_t rank = static_cast<std::size_t>(aRank);
  mLastDemand.at(rank) = aNow;
  mEverDemanded.at(rank) = true;
  refusal_reason reason = Check(mRequests, rank, 1, aNow);
  if (reason == refusal_reason::None) {
    reason = Check(mBytes, rank, aBytes, aNow);
  }
  if (reason != refusal_reason::None) {
    return reason;
  }
  ++mRequests.mUsed.at(rank);
  mBytes.mUsed.at(rank) += aBytes;
  CheckInvariant(
    mRequests.Total() <= mRequests.mLimit, "instance_over_limit", [&]() {
      return "requests=" + std::to_string(mRequests.Total());
    });
  CheckInvariant(mBytes.Total() <= mBytes.mLimit, "instance_over_limit", [&]() {
    return "bytes=" + std::to_string(mBytes.Total());
  });
  return refusal_reason::None;
}

void
instance_limit::Leave(work_rank aRank, std::uint64_t aBytes)
{
  std::size_t rank = static_cast<std::size_t>(aRank);
  CheckInvariant(mRequests.mUsed.at(rank) > 0 &&
                   mBytes.mUsed.at(rank) >= aBytes,
                 "instance_left_twice",
                 [&]() { return "rank=" + std::string(ToString(aRank)); });
  --mRequests.mUsed.at(rank);
  mBytes.mUsed.at(rank) -= aBytes;
}

std::chrono::milliseconds
instance_limit::RetryAfter()
{
  std::uniform_int_distribution<std::int64_t> jitter(kMinRetryAfter.count(),
                                                     kMaxRetryAfter.count());
  return std::chrono::milliseconds(jitter(mRandom));
}

std::uint64_t
instance_limit::Requests() const
{
  return mRequests.Total();
}

std::uint64_t
instance_limit::Bytes() const
{
  return mBytes.Total();
}

} // namespace laburnumdyke
