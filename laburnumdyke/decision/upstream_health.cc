// An exponential average of failed attempts decides, rather than a count of
// failures in a row: an upstream that fails every other request never reaches
// a long row. Failures of the transport rest it at once, since each costs the
// caller a retry; errors in answers rest it when they are the rule.
#include "laburnumdyke/decision/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

constexpr double kAttemptWeight = 0.2;
constexpr std::uint32_t kTrialDoublings = 2;

} // namespace

void
upstream_health::BeginWarmUp(std::chrono::milliseconds aWarmUp, instant aNow)
{
  mWarmSince = aNow;
  mWarmUp = aWarmUp;
}

void
upstream_health::Judge(attempt_result aResult,
                       std::chrono::milliseconds aWarmUp,
                       instant aNow)
{
  switch (aResult) {
    case attempt_result::Answered:
      JudgeGood(aWarmUp, aNow);
      return;
    case attempt_result::Refused:
    case attempt_result::Failed:
      JudgeBad(true, aNow);
      return;
    case attempt_result::Errored:
      JudgeBad(false, aNow);
      return;
    case attempt_result::Draining:
      mDrains = true;
      mDrainWord = aNow;
      mOnTrial = true;
      return;
    case attempt_result::Shedding:
      mRestUntil = std::max(mRestUntil, aNow + kShedRest);
      return;
    case attempt_result::Abandoned:
      return;
  }
}

bool
upstream_health::Drains(instant aNow) const
{
  return mDrains && aNow - mDrainWord < kDrainLife;
}

double
upstream_health::BadShare(instant aNow) const
{
  std::chrono::duration<double> elapsed = aNow - mJudged;
  std::chrono::duration<double> span = kForgetOver;
  return mBadShare * std::exp(-elapsed / span);
}

void
upstream_health::JudgeBad(bool aRestAtOnce, instant aNow)
{
  double share = BadShare(aNow);
  mBadShare = share + kAttemptWeight * (1 - share);
  mJudged = aNow;
  if (!aRestAtOnce && mBadShare < kIllShare) {
    return;
  }
  // Attempts that were in flight together are one sign of illness.
  if (mRestUntil > aNow) {
    return;
  }
  mRestUntil = aNow + kFirstRest * (1U << mDoublings);
  mDoublings = std::min(mDoublings + 1, kLongestRestDoublings);
  // A trial that is under way, as after a drain, ends with an answer alone.
  mOnTrial = mOnTrial || mDoublings > kTrialDoublings;
}

void
upstream_health::JudgeGood(std::chrono::milliseconds aWarmUp, instant aNow)
{
  mBadShare = BadShare(aNow) * (1 - kAttemptWeight);
  mJudged = aNow;
  if (mBadShare < kWellShare) {
    mDoublings = 0;
  }
  // While the upstream drains, this answers what it took before.
  if (mOnTrial && !Drains(aNow)) {
    mOnTrial = false;
    BeginWarmUp(aWarmUp, aNow);
  }
}

void
upstream_health::Report(std::uint32_t aBusy, instant aNow)
{
  mReported = aBusy;
  mReportedAt = aNow;
  mHasReport = true;
  // An earlier report may be older than the upstream's word.
  if (aNow - mDrainWord >= kDrainRest) {
    mDrains = false;
  }
}

health_state
upstream_health::State(instant aNow) const
{
  if (Drains(aNow)) {
    return health_state::Draining;
  }
  return mRestUntil > aNow ? health_state::Ill : health_state::Usable;
}

std::uint32_t
upstream_health::Allowed(std::uint32_t aSlots, instant aNow) const
{
  if (aSlots == 0) {
    return 0;
  }
  if (mOnTrial) {
    return 1;
  }
  duration elapsed = aNow - mWarmSince;
  duration warmUp = mWarmUp;
  if (elapsed >= warmUp) {
    return aSlots;
  }
  return 1 + static_cast<std::uint32_t>((aSlots - 1) * elapsed.count() /
                                        warmUp.count());
}

double
upstream_health::Load(std::uint32_t aInFlight,
                      std::uint32_t aSlots,
                      instant aNow) const
{
  std::uint32_t busy = aInFlight;
  if (mHasReport && aNow - mReportedAt < kReportLife) {
    busy = std::clamp(mReported, busy, busy + kReportInfluence);
  }
  return static_cast<double>(busy) / std::max(aSlots, 1U) + BadShare(aNow);
}

} // namespace laburnumdyke
