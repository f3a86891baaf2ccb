// Demand is counted between requests to the lender, including demand that was
// not granted; otherwise the lender would see only the rate that it has lent.
#include "laburnumdyke/decision/link_budget.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kNoLinkRetryDelay{ 1000 };
// Time allowed from the first use of an idle direction to the lender's
// response.
constexpr std::chrono::milliseconds kLenderResponseTime =
  2 * kRateRequestPeriod;
// Headroom above the demand of the last period, so that traffic can grow.
constexpr byte_rate kDemandHeadroomFactor = 2;

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

byte_rate
link_budget::direction_state::Rate(instant aNow) const
{
  return mReserve + (aNow < mLentUntil ? mLent : 0);
}

byte_rate
link_budget::direction_state::ExpectedRate(instant aNow) const
{
  bool awaitingLender =
    !mActiveSince || aNow - *mActiveSince < kLenderResponseTime;
  return awaitingLender ? mDomainRate : Rate(aNow);
}

void
link_budget::direction_state::RecordDemand(std::uint64_t aBytes, instant aNow)
{
  mDemandBytes += aBytes;
  if (!mActiveSince) {
    mActiveSince = aNow;
  }
}

// An expired grant contributes tokens up to its expiry.
void
link_budget::direction_state::ExpireGrant(instant aNow)
{
  if (mLent > 0 && mLentUntil <= aNow) {
    mBuckets.SetRate(mReserve, mLentUntil);
    mLent = 0;
  }
}

void
link_budget::Configure(const document& aDocument,
                       const region_id& aRegion,
                       instant aNow)
{
  mUnlimited = aDocument.mLinks.empty();
  std::map<link_direction, direction_state> states;
  for (const region_map::value_type& region : aDocument.mRegions) {
    link_direction direction{ aRegion, region.first };
    byte_rate rate = DomainRate(aDocument, direction).value_or(0);
    if (rate == 0 || region.first == aRegion) {
      continue;
    }
    direction_state& state = states[direction];
    auto previous = mStates.find(direction);
    if (previous != mStates.end()) {
      state = previous->second;
      state.ExpireGrant(aNow);
    } else {
      state.mDemandSince = aNow;
      state.mBuckets.SetRate(0, aNow); // starts with empty buckets
    }
    state.mDomainRate = rate;
    state.mReserve = ReserveRate(rate);
    state.mLent = std::min(state.mLent, rate);
    state.mBuckets.SetRate(state.Rate(aNow), aNow);
    state.mBuckets.Configure(aDocument.mRanks, aNow);
  }
  mStates = std::move(states);
}

link_take_result
link_budget::Take(const link_direction& aDirection,
                  work_rank aRank,
                  std::uint64_t aBytes,
                  instant aNow)
{
  if (mUnlimited || aDirection.mFrom == aDirection.mTo) {
    return { aBytes, {} };
  }
  auto found = mStates.find(aDirection);
  if (found == mStates.end()) {
    return { 0, kNoLinkRetryDelay };
  }
  direction_state& state = found->second;
  state.ExpireGrant(aNow);
  link_take_result answer = state.mBuckets.Take(aRank, aBytes, aNow);
  // The caller retries for what was not granted, and these bytes would count
  // again each time. A call therefore counts no more than one second of the
  // current rate, unless more was granted.
  state.RecordDemand(
    std::max(answer.mGranted,
             std::min<std::uint64_t>(aBytes, state.Rate(aNow))),
    aNow);
  return answer;
}

bool
link_budget::CanCarry(const link_direction& aDirection,
                      work_rank aRank,
                      std::uint64_t aBytes,
                      instant aDeadline,
                      instant aNow)
{
  if (mUnlimited || aDirection.mFrom == aDirection.mTo) {
    return true;
  }
  auto found = mStates.find(aDirection);
  if (found == mStates.end()) {
    return false;
  }
  direction_state& state = found->second;
  state.ExpireGrant(aNow);
  double percent = state.mBuckets.MaxPercent(aRank, aNow);
  double rate = static_cast<double>(state.ExpectedRate(aNow)) * percent / 100;
  double left = Seconds(std::max(aDeadline - aNow, duration(0)));
  bool fits = static_cast<double>(aBytes) <= rate * left;
  if (!fits) {
    state.RecordDemand(std::min<std::uint64_t>(aBytes, state.mDomainRate),
                       aNow);
  }
  return fits;
}

rate_demand
link_budget::Ask(const link_direction& aDirection, instant aNow)
{
  auto found = mStates.find(aDirection);
  if (found == mStates.end()) {
    return {};
  }
  direction_state& state = found->second;
  double seconds = std::max(0.001, Seconds(aNow - state.mDemandSince));
  byte_rate demand =
    static_cast<byte_rate>(static_cast<double>(state.mDemandBytes) / seconds);
  if (state.mDemandBytes == 0) {
    state.mActiveSince.reset();
  }
  state.mDemandBytes = 0;
  state.mDemandSince = aNow;
  return { demand * kDemandHeadroomFactor };
}

void
link_budget::ApplyGrant(const link_direction& aDirection,
                        const rate_grant& aGrant,
                        instant aRequestedAt,
                        instant aNow)
{
  auto found = mStates.find(aDirection);
  if (found == mStates.end() || aRequestedAt + aGrant.mLife <= aNow ||
      aRequestedAt <= found->second.mRequestedAt) {
    return;
  }
  direction_state& state = found->second;
  state.ExpireGrant(aNow);
  state.mRequestedAt = aRequestedAt;
  state.mLent = aGrant.mRate;
  state.mLentUntil = aRequestedAt + aGrant.mLife;
  state.mBuckets.SetRate(state.Rate(aNow), aNow);
}

byte_rate
link_budget::Rate(const link_direction& aDirection, instant aNow) const
{
  auto found = mStates.find(aDirection);
  return found == mStates.end() ? 0 : found->second.Rate(aNow);
}

std::vector<link_direction>
link_budget::Directions() const
{
  std::vector<link_direction> directions;
  for (const std::pair<const link_direction, direction_state>& state :
       mStates) {
    directions.push_back(state.first);
  }
  return directions;
}

} // namespace laburnumdyke
