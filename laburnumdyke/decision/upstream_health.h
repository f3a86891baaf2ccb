// How an entry instance judges one upstream: by the outcomes of its own
// attempts first, by the upstream's load reports last.
//
// Usage:
//   health.Judge(attempt_result::Errored, warmUp, now);
//   if (health.State(now) == health_state::Usable) ... health.Allowed(slots)
//
// An upstream that fails, or answers with errors more often than not, rests
// for a time that doubles; it comes back with one slot and ramps up. One that
// says that it drains gets no request, not even to learn whether it serves
// again: that is read from its load reports, kDrainRest after its last word at
// the earliest, since reports lag. Where none comes, the word lapses after
// kDrainLife, so that an upstream without reports is not lost for good. After
// either, one request at a time tries it until it answers.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>

namespace laburnumdyke {

// How an attempt at an upstream ended.
enum class attempt_result
{
  Answered,
  Refused,   // not run by the upstream, without a stated cause
  Failed,    // connection lost, timeout, broken answer
  Errored,   // a server error, however fast
  Draining,  // the upstream says that it leaves
  Shedding,  // the upstream says that it is overloaded
  Abandoned, // ended by the caller or by a lapsed lease; says nothing
};

enum class health_state
{
  Usable,
  Ill,      // a measurement; distrusted where everything looks ill
  Draining, // the upstream's own word; never overridden
};

class upstream_health
{
public:
  static constexpr std::chrono::milliseconds kFirstRest{ 100 };
  static constexpr std::uint32_t kLongestRestDoublings = 5;
  static constexpr std::chrono::milliseconds kShedRest{ 100 };
  static constexpr std::chrono::seconds kDrainRest{ 10 };
  static constexpr std::chrono::seconds kDrainLife{ 60 };
  static constexpr std::chrono::seconds kReportLife{ 3 };
  // Slots that a load report may add to the instance's own count.
  static constexpr std::uint32_t kReportInfluence = 1;
  // Share of recent attempts that failed: at or over kIllShare the upstream
  // rests, under kWellShare the rests start from the shortest again.
  static constexpr double kIllShare = 0.5;
  static constexpr double kWellShare = 0.25;
  // Without attempts the share is forgotten over about this time.
  static constexpr std::chrono::seconds kForgetOver{ 10 };

  // Starts a ramp from one slot to all of them.
  void BeginWarmUp(std::chrono::milliseconds aWarmUp, instant aNow);

  // aWarmUp is the ramp of an upstream that returns after it was ill.
  void Judge(attempt_result aResult,
             std::chrono::milliseconds aWarmUp,
             instant aNow);

  // Takes a load report in that doesn't say that the upstream drains: requests
  // in progress there.
  void Report(std::uint32_t aBusy, instant aNow);

  health_state State(instant aNow) const;

  // Slots open to the instance; at least one of aSlots.
  std::uint32_t Allowed(std::uint32_t aSlots, instant aNow) const;

  // Share of its slots that are in use, with a penalty for recent errors;
  // lower is better. A report can raise it by kReportInfluence slots and
  // never lowers it.
  double Load(std::uint32_t aInFlight,
              std::uint32_t aSlots,
              instant aNow) const;

private:
  void JudgeBad(bool aRestAtOnce, instant aNow);
  void JudgeGood(std::chrono::milliseconds aWarmUp, instant aNow);

  bool Drains(instant aNow) const;
  double BadShare(instant aNow) const;

  double mBadShare = 0; // at mJudged
  instant mJudged{};
  std::uint32_t mDoublings = 0; // of the next rest
  bool mOnTrial = false;        // was ill or drained; one slot until it answers
  instant mRestUntil{};
  bool mDrains = false;
  instant mDrainWord{}; // when it last said so
  instant mWarmSince{};
  std::chrono::milliseconds mWarmUp{ 0 };
  std::uint32_t mReported = 0;
  instant mReportedAt{};
  bool mHasReport = false;
};

} // namespace laburnumdyke
