// Moves of traffic between regions: those that the document declares and those
// that a region's death forces.
//
// Usage:
//   shifts.Observe(document, liveRegions, now);         // on each heartbeat
//   shift_decision to = shifts.Decide(document, question, rooms, now, civil);
//   ... to.mRegion: the region to place the client in; to.mReason otherwise
//   shifts.Record(question, to, answerLife, now);
//
// A declared move's size is a pure function of its shift_spec and the civil
// time, and who moves is decided by a hash of the client's group, so every
// entry instance agrees without talking, and a client that has moved stays
// moved while the share grows. A failover ramps in the same way from the time
// at which the instance saw the region die, and back when it returns.
//
// Callers cache answers. The answer ledger counts those that callers may still
// use and refuses a move that would take more than the share, so a few busy
// groups can't carry more traffic than the cap allows. Each instance keeps its
// own answers within the share whenever it moves a client; nothing has to be
// exchanged for their sum to follow.
//
// Invariant: after a client moves, moved answers in use are at most the share
// of all answers in use for the same service and region.
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

// Shares of traffic are in basis points.
using basis_points = std::uint32_t;
inline constexpr basis_points kAllTraffic = 10000;

// Cap of a failover where the document has no shift of the service from the
// region: percentage points a minute.
inline constexpr std::uint32_t kFailoverCapPercentPerMinute = 60;

// Longest life of an answer while a move of its traffic ramps.
inline constexpr std::chrono::milliseconds kRampAnswerLife{ 5000 };

// Answers that an instance assumes to be in use for a region that it has given
// none for, when the region dies.
inline constexpr std::uint64_t kMinBaselineAnswers = 10;

// The part of the traffic that a declared move has taken by aNow.
basis_points
MovedShare(const shift_spec& aShift, civil_time aNow);

// Whether the moved share still grows.
bool
IsRamping(const shift_spec& aShift, civil_time aNow);

// Where a group stands in the order of moving, in [0, kAllTraffic).
basis_points
MovePosition(const service_id& aService,
             const region_id& aFrom,
             const client_prefix& aGroup);

// Slots of a service in a region or domain, from reports that are fresh.
struct service_room
{
  std::uint32_t mSlots = 0;
  std::uint32_t mFree = 0;
};

// Whether a move of the rank still fits. Less urgent ranks leave room free.
bool
HasCapacityFor(work_rank aRank, const service_room& aCapacity);

// What tells how much room a region has; nothing where no report is fresh.
template<class T>
concept region_rooms = requires(const T& aCapacitySource,
                                const region_id& aRegion,
                                const service_id& aService)
{
  {
    aCapacitySource.RoomIn(aRegion, aService)
    } -> std::same_as<std::optional<service_room>>;
};

struct shift_question
{
  service_id mService;
  region_id mFrom;      // of the client's block
  client_prefix mGroup; // clients that move as one
};

struct shift_decision
{
  std::optional<region_id> mRegion;
  refusal_reason mReason = refusal_reason::None; // where there is no region
  bool mRamping = false; // a move of this traffic is under way
  // Where the client moves: the bound that its answer is counted against.
  basis_points mShare = kAllTraffic;
  std::uint64_t mBaseline = 0;
};

// Answers that callers may still use, by service, region of the client's block
// and region that the answer names.
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
              std::chrono::milliseconds aLife,
              instant aNow);

  // Answers in use that name aTo.
  std::uint64_t InUse(const key& aKey, const region_id& aTo, instant aNow);

  // All answers in use, and those that name another region than the client's.
  std::uint64_t Total(const key& aKey, instant aNow);
  std::uint64_t Moved(const key& aKey, instant aNow);

private:
  static constexpr std::chrono::milliseconds kBucketWidth{ 250 };

  // Counts by the bucket in which the answers expire.
  using buckets = std::map<instant, std::uint64_t>;

  static std::uint64_t Sum(buckets& aBuckets, instant aNow);

  std::map<key, std::map<region_id, buckets>> mAnswers;
};

// The ramp of one failover: grows while the region is dead, shrinks after its
// return, never faster than its cap.
class failover_ramp
{
public:
  // aCap: percentage points a minute.
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

  // aLive: regions with a live entry instance that is not leaving.
  void Observe(const document& aDocument,
               const std::set<region_id>& aLive,
               instant aNow);

  template<region_rooms CapacitySource>
  shift_decision Decide(const document& aDocument,
                        const shift_question& aQuery,
                        const CapacitySource& aCapacitySource,
                        instant aNow,
                        civil_time aCivilNow)
  {
    declared_move declared = FindDeclared(aDocument, aQuery, aCivilNow);
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

  // Counts an answer for as long as callers may use it. aDecision must come
  // from Decide at the same time, without another answer between.
  void Record(const shift_question& aQuery,
              const shift_decision& aDecision,
              std::chrono::milliseconds aLife,
              instant aNow);

  answer_ledger& Answers() { return mAnswers; }

private:
  struct declared_move
  {
    std::optional<region_id> mTo;
    basis_points mShare = 0; // of all declared moves from the region
    bool mRamping = false;
  };

  // A region's failover and the answers in use for it before it died.
  using baselines = std::map<answer_ledger::key, std::uint64_t>;

  declared_move FindDeclared(const document& aDocument,
                             const shift_question& aQuery,
                             civil_time aCivilNow) const;
  void ObserveRegion(const document& aDocument,
                     const answer_ledger::key& aKey,
                     instant aNow);

  // The least cap of the document's shifts of the service from the region, or
  // the default.
  static std::uint32_t FailoverCap(const document& aDocument,
                                   const answer_ledger::key& aKey);
  bool IsRegionLive(const region_id& aRegion) const;
  bool MayMove(const shift_question& aQuery,
               basis_points aShare,
               std::uint64_t aBaseline,
               instant aNow);
  std::uint64_t Baseline(const shift_question& aQuery) const;

  // Other live regions, in the group's own order of preference.
  std::vector<region_id> FailoverOrder(const document& aDocument,
                                       const shift_question& aQuery) const;

  // The first region in order that the service's rank still fits into.
  template<region_rooms CapacitySource>
  std::optional<region_id> FindFailoverRegion(
    const document& aDocument,
    const shift_question& aQuery,
    const CapacitySource& aCapacitySource) const
  {
    work_rank rank = aDocument.mServices.at(aQuery.mService).mRank;
    for (const region_id& region : FailoverOrder(aDocument, aQuery)) {
      std::optional<service_room> capacity =
        aCapacitySource.RoomIn(region, aQuery.mService);
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
