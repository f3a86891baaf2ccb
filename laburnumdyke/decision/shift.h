// Traffic shifts between regions: those that the document declares, and
// failover from a region that has no live instance.
//
// Usage:
//   shifts.Observe(document, liveRegions, now); // on each heartbeat
//   shift_decision to = shifts.Decide(document, query, capacity, now, wallNow);
//   ... to.mRegion is the region for the client; if none, to.mReason says why
//   shifts.Record(query, to, ttl, now);
//
// The share of a declared shift is a pure function of its shift_spec and the
// wall-clock time, and a hash of the client's group determines which clients
// move. All entry instances therefore agree without communication, and a client
// that has moved stays moved while the share grows. A failover ramps up in the
// same way from the time at which the instance observed the failure, and ramps
// down when the region returns.
//
// Callers cache answers. The answer ledger counts the answers that have not
// expired, and a client is not moved if moved answers would then exceed the
// share. A few busy groups therefore cannot carry more traffic than the cap
// allows. Each instance enforces the share on its own answers whenever it moves
// a client, which bounds the sum over all instances without communication.
//
// Errors: Decide returns no region, with reason RegionOverCap, if the client's
// region is not live and the client cannot be moved yet or no other region has
// capacity for it.
//
// Invariant: after a client moves, unexpired moved answers are at most the
// share of all unexpired answers for the same service and region.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

// A share of traffic, in basis points (1/10000).
using basis_points = std::uint32_t;
inline constexpr basis_points kAllTraffic = 10000;

// Ramp rate of a failover in percentage points per minute, if the document
// declares no shift of the service from the region.
inline constexpr std::uint32_t kFailoverCapPercentPerMinute = 60;

// Maximum lifetime of an answer while a shift of its traffic is ramping.
inline constexpr std::chrono::milliseconds kRampLookupTtl{ 5000 };

// Minimum baseline of a failover, in answers. Lets an instance that has given
// few or no answers for the region start to move clients.
inline constexpr std::uint64_t kMinBaselineAnswers = 10;

// The share of traffic that a declared shift has moved by aNow.
basis_points
MovedShare(const shift_spec& aShift, wall_time aNow);

// Whether the shift has started and its share is still growing.
bool
IsRamping(const shift_spec& aShift, wall_time aNow);

// Position of a group in the order in which groups move, in [0, kAllTraffic).
basis_points
MovePosition(const service_id& aService,
             const region_id& aFrom,
             const client_prefix& aGroup);

// Slots of a service in a region or failure domain, from reports that are not
// stale.
struct service_capacity
{
  std::uint32_t mSlots = 0;
  std::uint32_t mFree = 0;
};

// Whether a client of the rank may be moved to the capacity. For less urgent
// ranks a larger part of the slots must stay free.
bool
HasCapacityFor(work_rank aRank, const service_capacity& aCapacity);

// Reports the capacity of a region; nullopt if all its reports are stale.
template<class T>
concept region_capacity_source = requires(const T& aCapacitySource,
                                          const region_id& aRegion,
                                          const service_id& aService)
{
  {
    aCapacitySource.CapacityIn(aRegion, aService)
    } -> std::same_as<std::optional<service_capacity>>;
};

struct shift_query
{
  service_id mService;
  region_id mFrom;      // region of the client's block
  client_prefix mGroup; // clients that move together
};

struct shift_decision
{
  std::optional<region_id> mRegion;
  refusal_reason mReason = refusal_reason::None; // if there is no region
  bool mRamping = false; // a shift or failover of this traffic is ramping
  // If the client moves: the bound on moved answers that Record() checks.
  basis_points mShare = kAllTraffic;
  std::uint64_t mBaseline = 0;
};

// Counts unexpired answers by service, region of the client's block, and region
// that the answer names.
class answer_ledger
{
public:
  struct key
  {
    service_id mService;
    region_id mFrom;
    auto operator<=>(const key&) const = default;
  };

  void Record(const key& aKey,
              const region_id& aTo,
              std::chrono::milliseconds aTtl,
              instant aNow);

  // Unexpired answers that name aTo.
  std::uint64_t InUse(const key& aKey, const region_id& aTo, instant aNow);

  // All unexpired answers, and those that name another region than the
  // client's.
  std::uint64_t Total(const key& aKey, instant aNow);
  std::uint64_t Moved(const key& aKey, instant aNow);

private:
  static constexpr std::chrono::milliseconds kBucketWidth{ 250 };

  // Number of answers by expiry time, which is rounded up to a multiple of
  // kBucketWidth.
  using buckets = std::map<instant, std::uint64_t>;

  static std::uint64_t Sum(buckets& aBuckets, instant aNow);

  std::map<key, std::map<region_id, buckets>> mAnswers;
};

// Moved share of one failover. Grows while the region is not live and shrinks
// after it returns, in both directions at the rate of the cap.
class failover_ramp
{
public:
  // aCap: percentage points per minute.
  void Observe(bool aLive, std::uint32_t aCap, instant aNow);

  basis_points Moved(instant aNow) const;
  bool IsLive() const { return mLive; }

private:
  bool mLive = true;
  std::uint32_t mCap = 0;
  basis_points mMoved = 0; // at mSince
  instant mSince{};
};

class traffic_shifts
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Regions;

  // aLive: regions that have a live entry instance which is not leaving.
  void Observe(const document& aDocument,
               const std::set<region_id>& aLive,
               instant aNow);

  template<region_capacity_source CapacitySource>
  shift_decision Decide(const document& aDocument,
                        const shift_query& aQuery,
                        const CapacitySource& aCapacitySource,
                        instant aNow,
                        wall_time aWallNow)
  {
    declared_move declared = FindDeclared(aDocument, aQuery, aWallNow);
    if (declared.mTo && IsRegionLive(*declared.mTo) &&
        MayMove(aQuery, declared.mShare, 0, aNow)) {
      return {
        declared.mTo, refusal_reason::None, declared.mRamping, declared.mShare
      };
    }
    auto ramp = mRamps.find({ aQuery.mService, aQuery.mFrom });
    if (ramp == mRamps.end()) {
      return { aQuery.mFrom, refusal_reason::None, declared.mRamping };
    }
    basis_points moved = ramp->second.Moved(aNow);
    shift_decision failover{ std::nullopt,
                             refusal_reason::RegionOverCap,
                             true,
                             std::min(moved + declared.mShare, kAllTraffic),
                             Baseline(aQuery) };
    bool isSelected =
      MovePosition(aQuery.mService, aQuery.mFrom, aQuery.mGroup) < moved;
    if (isSelected &&
        MayMove(aQuery, failover.mShare, failover.mBaseline, aNow)) {
      failover.mRegion = FindFailoverRegion(aDocument, aQuery, aCapacitySource);
    }
    if (failover.mRegion) {
      failover.mReason = refusal_reason::None;
      return failover;
    }
    if (ramp->second.IsLive()) {
      return { aQuery.mFrom, refusal_reason::None, true };
    }
    return failover;
  }

  // Counts an answer until it expires. aDecision must have been returned by
  // Decide() for the same aNow, and no other answer may have been recorded
  // since.
  void Record(const shift_query& aQuery,
              const shift_decision& aDecision,
              std::chrono::milliseconds aTtl,
              instant aNow);

  answer_ledger& Answers() { return mAnswers; }

private:
  struct declared_move
  {
    std::optional<region_id> mTo;
    basis_points mShare = 0; // of all declared shifts from the region
    bool mRamping = false;
  };

  // Unexpired answers at the time at which the failover of a region began.
  using baselines = std::map<answer_ledger::key, std::uint64_t>;

  declared_move FindDeclared(const document& aDocument,
                             const shift_query& aQuery,
                             wall_time aWallNow) const;
  void ObserveRegion(const document& aDocument,
                     const answer_ledger::key& aKey,
                     instant aNow);

  // The smallest cap of the document's shifts of the service from the region,
  // but at most kFailoverCapPercentPerMinute.
  static std::uint32_t FailoverCap(const document& aDocument,
                                   const answer_ledger::key& aKey);
  bool IsRegionLive(const region_id& aRegion) const;
  bool MayMove(const shift_query& aQuery,
               basis_points aShare,
               std::uint64_t aBaseline,
               instant aNow);
  std::uint64_t Baseline(const shift_query& aQuery) const;

  // The other live regions, in the group's order of preference.
  std::vector<region_id> FailoverOrder(const document& aDocument,
                                       const shift_query& aQuery) const;

  // The first region in failover order that has capacity for the service's
  // rank.
  template<region_capacity_source CapacitySource>
  std::optional<region_id> FindFailoverRegion(
    const document& aDocument,
    const shift_query& aQuery,
    const CapacitySource& aCapacitySource) const
  {
    work_rank rank = aDocument.mServices.at(aQuery.mService).mRank;
    for (const region_id& region : FailoverOrder(aDocument, aQuery)) {
      std::optional<service_capacity> capacity =
        aCapacitySource.CapacityIn(region, aQuery.mService);
      if (capacity && HasCapacityFor(rank, *capacity)) {
        return region;
      }
    }
    return std::nullopt;
  }

  answer_ledger mAnswers;
  std::map<answer_ledger::key, failover_ramp> mRamps;
  std::set<region_id> mLive;
  baselines mBaselines;
};

} // namespace laburnumdyke
