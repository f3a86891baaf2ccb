// Groups are ordered by a hash that depends on the service and the source
// region. Each declared shift from a region owns an interval of that order, as
// wide as its full share and filled from the lower end. Intervals of different
// shifts do not overlap, so shifts never compete for a group, and a growing
// share only adds groups.
//
// The hash bounds the number of groups that move, but not their traffic; the
// answer ledger bounds the traffic. Counting answers needs no communication
// between instances. The alternative, a share of request rates summed over
// heartbeats, would lag by one heartbeat and stop working during a network
// partition.
#include "laburnumdyke/decision/shift.h"

#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr basis_points kBasisPointsPerPercent = 100;

// Percentage of a service's slots in the target region that must stay free, by
// rank, most urgent first.
constexpr std::array<std::uint32_t, kRankCount> kReservedSlotsPercent = { 0,
                                                                          10,
                                                                          25 };

std::string
GroupKey(const client_prefix& aGroup)
{
  std::string key(aGroup.mAddress.begin(), aGroup.mAddress.end());
  key += static_cast<char>(aGroup.mLength);
  return key;
}

basis_points
ShareAfter(std::uint32_t aCapPercentPerMinute, duration aElapsed)
{
  std::chrono::milliseconds elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aElapsed);
  constexpr std::chrono::milliseconds kMinute = std::chrono::minutes(1);
  std::int64_t share = static_cast<std::int64_t>(aCapPercentPerMinute) *
                       kBasisPointsPerPercent * elapsed.count() /
                       kMinute.count();
  return static_cast<basis_points>(
    std::clamp<std::int64_t>(share, 0, kAllTraffic));
}

} // namespace

basis_points
MovedShare(const shift_spec& aShift, wall_time aNow)
{
  if (aNow <= aShift.mStart) {
    return 0;
  }
  // Longer than any ramp takes, and short enough that ShareAfter does not
  // overflow.
  constexpr std::chrono::hours kMaxElapsed{ 24 * 365 };
  wall_time::duration elapsed =
    std::min<wall_time::duration>(aNow - aShift.mStart, kMaxElapsed);
  return std::min(aShift.mSharePercent * kBasisPointsPerPercent,
                  ShareAfter(aShift.mCapPercentPerMinute,
                             std::chrono::duration_cast<duration>(elapsed)));
}

bool
IsRamping(const shift_spec& aShift, wall_time aNow)
{
  return aNow > aShift.mStart &&
         MovedShare(aShift, aNow) <
           aShift.mSharePercent * kBasisPointsPerPercent;
}

basis_points
MovePosition(const service_id& aService,
             const region_id& aFrom,
             const client_prefix& aGroup)
{
  return static_cast<basis_points>(
    RendezvousWeight(aFrom.mValue + "/" + aService.mValue, GroupKey(aGroup)) %
    kAllTraffic);
}

bool
HasCapacityFor(work_rank aRank, const service_capacity& aCapacity)
{
  std::uint32_t reserved =
    aCapacity.mSlots *
    kReservedSlotsPercent.at(static_cast<std::size_t>(aRank));
  return aCapacity.mFree > 0 && aCapacity.mFree * 100 > reserved;
}

void
answer_ledger::Record(const key& aKey,
                      const region_id& aTo,
                      std::chrono::milliseconds aTtl,
                      instant aNow)
{
  duration expiry = (aNow + aTtl).time_since_epoch();
  duration roundedDown = expiry / kBucketWidth * kBucketWidth;
  instant bucket{ roundedDown + kBucketWidth };
  buckets& counts = mAnswers[aKey][aTo];
  Sum(counts, aNow); // erases expired buckets, which keeps the map small
  ++counts[bucket];
}

std::uint64_t
answer_ledger::Sum(buckets& aBuckets, instant aNow)
{
  aBuckets.erase(aBuckets.begin(), aBuckets.upper_bound(aNow));
  std::uint64_t sum = 0;
  for (const buckets::value_type& bucket : aBuckets) {
    sum += bucket.second;
  }
  return sum;
}

std::uint64_t
answer_ledger::InUse(const key& aKey, const region_id& aTo, instant aNow)
{
  auto found = mAnswers.find(aKey);
  if (found == mAnswers.end()) {
    return 0;
  }
  auto answers = found->second.find(aTo);
  return answers == found->second.end() ? 0 : Sum(answers->second, aNow);
}

std::uint64_t
answer_ledger::Total(const key& aKey, instant aNow)
{
  std::uint64_t total = 0;
  auto found = mAnswers.find(aKey);
  if (found != mAnswers.end()) {
    for (std::pair<const region_id, buckets>& to : found->second) {
      total += Sum(to.second, aNow);
    }
  }
  return total;
}

std::uint64_t
answer_ledger::Moved(const key& aKey, instant aNow)
{
  return Total(aKey, aNow) - InUse(aKey, aKey.mFrom, aNow);
}

void
failover_ramp::Observe(bool aLive, std::uint32_t aCap, instant aNow)
{
  if (aLive != mLive || aCap != mCap) {
    mMoved = Moved(aNow);
    mLive = aLive;
    mCap = aCap;
    mSince = aNow;
  }
}

basis_points
failover_ramp::Moved(instant aNow) const
{
  basis_points change = ShareAfter(mCap, aNow - mSince);
  if (mLive) {
    return mMoved - std::min(mMoved, change);
  }
  return std::min(mMoved + change, kAllTraffic);
}

void
traffic_shifts::Observe(const document& aDocument,
                        const std::set<region_id>& aLive,
                        instant aNow)
{
  mLive = aLive;
  for (const region_map::value_type& region : aDocument.mRegions) {
    for (const service_map::value_type& service : aDocument.mServices) {
      ObserveRegion(aDocument, { service.first, region.first }, aNow);
    }
  }
  std::erase_if(
    mRamps,
    [&](const std::pair<const answer_ledger::key, failover_ramp>& aRamp) {
      return aDocument.mRegions.count(aRamp.first.mFrom) == 0 ||
             aDocument.mServices.count(aRamp.first.mService) == 0;
    });
}

void
traffic_shifts::ObserveRegion(const document& aDocument,
                              const answer_ledger::key& aKey,
                              instant aNow)
{
  bool isLive = IsRegionLive(aKey.mFrom);
  auto ramp = mRamps.find(aKey);
  if (ramp == mRamps.end()) {
    if (isLive) {
      return;
    }
    ramp = mRamps.emplace(aKey, failover_ramp()).first;
  }
  if (!isLive && ramp->second.IsLive()) {
    mBaselines[aKey] = mAnswers.Total(aKey, aNow);
  }
  ramp->second.Observe(isLive, FailoverCap(aDocument, aKey), aNow);
  if (isLive && ramp->second.Moved(aNow) == 0) {
    mRamps.erase(ramp);
  }
}

std::uint32_t
traffic_shifts::FailoverCap(const document& aDocument,
                            const answer_ledger::key& aKey)
{
  std::uint32_t cap = kFailoverCapPercentPerMinute;
  for (const shift_map::value_type& entry : aDocument.mShifts) {
    const shift_spec& shift = entry.second;
    if (shift.mService == aKey.mService && shift.mFrom == aKey.mFrom) {
      cap = std::min(cap, shift.mCapPercentPerMinute);
    }
  }
  return cap;
}

traffic_shifts::declared_move
traffic_shifts::FindDeclared(const document& aDocument,
                             const shift_query& aQuery,
                             wall_time aWallNow) const
{
  declared_move found;
  basis_points begin = 0;
  basis_points position =
    MovePosition(aQuery.mService, aQuery.mFrom, aQuery.mGroup);
  for (const shift_map::value_type& entry : aDocument.mShifts) {
    const shift_spec& shift = entry.second;
    if (shift.mService != aQuery.mService || shift.mFrom != aQuery.mFrom) {
      continue;
    }
    basis_points moved = MovedShare(shift, aWallNow);
    if (position >= begin && position < begin + moved) {
      found.mTo = shift.mTo;
    }
    begin += shift.mSharePercent * kBasisPointsPerPercent;
    found.mShare += moved;
    found.mRamping = found.mRamping || IsRamping(shift, aWallNow);
  }
  return found;
}

bool
traffic_shifts::IsRegionLive(const region_id& aRegion) const
{
  return mLive.count(aRegion) > 0;
}

bool
traffic_shifts::MayMove(const shift_query& aQuery,
                        basis_points aShare,
                        std::uint64_t aBaseline,
                        instant aNow)
{
  answer_ledger::key key{ aQuery.mService, aQuery.mFrom };
  std::uint64_t total = std::max(aBaseline, mAnswers.Total(key, aNow) + 1);
  return (mAnswers.Moved(key, aNow) + 1) * kAllTraffic <= aShare * total;
}

std::uint64_t
traffic_shifts::Baseline(const shift_query& aQuery) const
{
  auto found = mBaselines.find({ aQuery.mService, aQuery.mFrom });
  std::uint64_t counted = found == mBaselines.end() ? 0 : found->second;
  return std::max(counted, kMinBaselineAnswers);
}

std::vector<region_id>
traffic_shifts::FailoverOrder(const document& aDocument,
                              const shift_query& aQuery) const
{
  std::vector<std::pair<std::uint64_t, region_id>> weighted;
  std::string key = GroupKey(aQuery.mGroup);
  for (const region_map::value_type& region : aDocument.mRegions) {
    if (region.first != aQuery.mFrom && IsRegionLive(region.first)) {
      weighted.emplace_back(RendezvousWeight(region.first.mValue, key),
                            region.first);
    }
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<region_id> order;
  order.reserve(weighted.size());
  for (const std::pair<std::uint64_t, region_id>& one : weighted) {
    order.push_back(one.second);
  }
  return order;
}

void
traffic_shifts::Record(const shift_query& aQuery,
                       const shift_decision& aDecision,
                       std::chrono::milliseconds aTtl,
                       instant aNow)
{
  answer_ledger::key key{ aQuery.mService, aQuery.mFrom };
  mAnswers.Record(key, *aDecision.mRegion, aTtl, aNow);
  if (*aDecision.mRegion != aQuery.mFrom) {
    std::uint64_t moved = mAnswers.Moved(key, aNow);
    std::uint64_t total =
      std::max(aDecision.mBaseline, mAnswers.Total(key, aNow));
    CheckInvariant(
      moved * kAllTraffic <= aDecision.mShare * total, "shift_over_cap", [&]() {
        return "service=" + key.mService.mValue + " from=" + key.mFrom.mValue +
               " to=" + aDecision.mRegion->mValue +
               " moved=" + std::to_string(moved) +
               " total=" + std::to_string(total) +
               " share_bp=" + std::to_string(aDecision.mShare);
      });
  }
}

} // namespace laburnumdyke
