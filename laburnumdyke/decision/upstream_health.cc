// Ejection is based on an exponential average of failed attempts, not on
// consecutive failures, of which an upstream that fails every other request
// never has many. Refusals and transport failures eject the upstream at once,
// since each costs the caller a retry; errors in answers eject it when they
// reach kUnhealthyErrorShare.
#include "laburnumdyke/decision/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

constexpr double kAttemptWeight = 0.2;
constexpr std::uint32_t kProbeDoublings = 2;

} // namespace

void
upstream_health::BeginWarmUp(std::chrono::milliseconds aWarmUp, instant aNow)
{
  mWarmUpStart = aNow;
  mWarmUp = aWarmUp;
}

void
upstream_health::RecordAttempt(attempt_result aResult,
                               std::chrono::milliseconds aWarmUp,
                               instant aNow)
{
  switch (aResult) {
    case attempt_result::Answered:
      RecordSuccess(aWarmUp, aNow);
      return;
    case attempt_result::Refused:
    case attempt_result::Failed:
      RecordFailure(true, aNow);
      return;
    case attempt_result::Errored:
      RecordFailure(false, aNow);
      return;
    case attempt_result::Draining:
      mIsDraining = true;
      mDrainReportedAt = aNow;
      mIsProbing = true;
      return;
    case attempt_result::Shedding:
      mEjectedUntil = std::max(mEjectedUntil, aNow + kOverloadBackoff);
      return;
    case attempt_result::Abandoned:
      return;
  }
}

bool
upstream_health::IsDraining(instant aNow) const
{
  return mIsDraining && aNow - mDrainReportedAt < kDrainTimeout;
}

double
upstream_health::ErrorShare(instant aNow) const
{
  std::chrono::duration<double> elapsed = aNow - mLastAttempt;
  std::chrono::duration<double> decayTime = kErrorDecayTime;
  return mErrorShare * std::exp(-elapsed / decayTime);
}

void
upstream_health::RecordFailure(bool aEjectAtOnce, instant aNow)
{
  double share = ErrorShare(aNow);
  mErrorShare = share + kAttemptWeight * (1 - share);
  mLastAttempt = aNow;
  if (!aEjectAtOnce && mErrorShare < kUnhealthyErrorShare) {
    return;
  }
  // Concurrent attempts that fail cause only one ejection.
  if (mEjectedUntil > aNow) {
    return;
  }
  mEjectedUntil = aNow + kBaseEjectionTime * (1U << mEjectionDoublings);
  mEjectionDoublings = std::min(mEjectionDoublings + 1, kMaxEjectionDoublings);
  // Probing in progress, as after a drain, ends only with an answer.
  mIsProbing = mIsProbing || mEjectionDoublings > kProbeDoublings;
}

void
upstream_health::RecordSuccess(std::chrono::milliseconds aWarmUp, instant aNow)
{
  mErrorShare = ErrorShare(aNow) * (1 - kAttemptWeight);
  mLastAttempt = aNow;
  if (mErrorShare < kHealthyErrorShare) {
    mEjectionDoublings = 0;
  }
  // During a drain, answers belong to requests from before it.
  if (mIsProbing && !IsDraining(aNow)) {
    mIsProbing = false;
    BeginWarmUp(aWarmUp, aNow);
  }
}

void
upstream_health::Report(std::uint32_t aBusy, instant aNow)
{
  mReportedBusy = aBusy;
  mReportedAt = aNow;
  mHasReport = true;
  // An earlier load report may predate the upstream's own report of the drain.
  if (aNow - mDrainReportedAt >= kMinDrainTime) {
    mIsDraining = false;
  }
}

health_state
upstream_health::State(instant aNow) const
{
  if (IsDraining(aNow)) {
    return health_state::Draining;
  }
  return mEjectedUntil > aNow ? health_state::Unhealthy : health_state::Usable;
}

std::uint32_t
upstream_health::Allowed(std::uint32_t aSlots, instant aNow) const
{
  if (aSlots == 0) {
    return 0;
  }
  if (mIsProbing) {
    return 1;
  }
  duration elapsed = aNow - mWarmUpStart;
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
  if (mHasReport && aNow - mReportedAt < kMaxReportAge) {
    busy = std::clamp(mReportedBusy, busy, busy + kReportInfluence);
  }
  return static_cast<double>(busy) / std::max(aSlots, 1U) + ErrorShare(aNow);
}

} // namespace laburnumdyke
