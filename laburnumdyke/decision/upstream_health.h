// Outlier detection for one upstream. The health of an upstream follows from
// the results of this instance's own attempts; load reports only adjust its
// load and end a drain.
//
// Usage:
//   health.RecordAttempt(attempt_result::Errored, warmUp, now);
//   if (health.State(now) == health_state::Usable)
//     ... health.Allowed(slots, now)
//
// An upstream that fails, or answers with errors more often than not, is
// ejected for a time that doubles with each ejection. After repeated ejections
// it returns with one slot until it answers, and then warms up.
//
// An upstream that reports that it drains gets no requests, not even probes. A
// load report ends the drain, but not within kMinDrainTime of the last time
// that the upstream reported it, since load reports lag. Without load reports
// the drain ends after kDrainTimeout, so that an upstream that sends none is
// not lost for good. After a drain, too, the upstream gets one request at a
// time until it answers.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>

namespace laburnumdyke {

// How an attempt at an upstream ended.
enum class attempt_result
{
  Answered,
  Refused,   // not run by the upstream, which gave no reason
  Failed,    // connection lost, timeout or malformed answer
  Errored,   // a server error, however fast
  Draining,  // the upstream reports that it drains
  Shedding,  // the upstream reports that it is overloaded
  Abandoned, // ended by the caller or an expired lease; no sign of health
};

enum class health_state
{
  Usable,
  Unhealthy, // ejected; ignored if every upstream of a service is unhealthy
  Draining,  // reported by the upstream itself; never ignored
};

class upstream_health
{
public:
  static constexpr std::chrono::milliseconds kBaseEjectionTime{ 100 };
  static constexpr std::uint32_t kMaxEjectionDoublings = 5;
  static constexpr std::chrono::milliseconds kOverloadBackoff{ 100 };
  static constexpr std::chrono::seconds kMinDrainTime{ 10 };
  static constexpr std::chrono::seconds kDrainTimeout{ 60 };
  static constexpr std::chrono::seconds kMaxReportAge{ 3 };
  // The most slots that a load report may add to the instance's own count.
  static constexpr std::uint32_t kReportInfluence = 1;
  // Share of recent attempts that failed. From kUnhealthyErrorShare on, errors
  // in answers eject the upstream; under kHealthyErrorShare the ejection time
  // starts again from kBaseEjectionTime.
  static constexpr double kUnhealthyErrorShare = 0.5;
  static constexpr double kHealthyErrorShare = 0.25;
  // Time constant of the decay of the share while there are no attempts.
  static constexpr std::chrono::seconds kErrorDecayTime{ 10 };

  // Starts a warm-up, during which the allowed slots grow from one to all.
  void BeginWarmUp(std::chrono::milliseconds aWarmUp, instant aNow);

  // Records the result of an attempt. aWarmUp: the warm-up that starts if this
  // is the first answer after repeated ejections or a drain.
  void RecordAttempt(attempt_result aResult,
                     std::chrono::milliseconds aWarmUp,
                     instant aNow);

  // Records a load report that does not say that the upstream drains; aBusy:
  // requests in progress there.
  void Report(std::uint32_t aBusy, instant aNow);

  health_state State(instant aNow) const;

  // The slots that the instance may use; at least one unless aSlots is 0.
  std::uint32_t Allowed(std::uint32_t aSlots, instant aNow) const;

  // The share of the slots in use, plus the share of recent errors as a
  // penalty; lower is better. A load report can raise it by kReportInfluence
  // slots and never lowers it.
  double Load(std::uint32_t aInFlight,
              std::uint32_t aSlots,
              instant aNow) const;

private:
  void RecordFailure(bool aEjectAtOnce, instant aNow);
  void RecordSuccess(std::chrono::milliseconds aWarmUp, instant aNow);

  bool IsDraining(instant aNow) const;
  double ErrorShare(instant aNow) const;

  double mErrorShare = 0; // at mLastAttempt
  instant mLastAttempt{};
  std::uint32_t mEjectionDoublings = 0; // of the next ejection
  // After repeated ejections or a drain: one slot until the upstream answers.
  bool mIsProbing = false;
  instant mEjectedUntil{};
  bool mIsDraining = false;
  instant mDrainReportedAt{}; // the latest time
  instant mWarmUpStart{};
  std::chrono::milliseconds mWarmUp{ 0 };
  std::uint32_t mReportedBusy = 0;
  instant mReportedAt{};
  bool mHasReport = false;
};

} // namespace laburnumdyke
