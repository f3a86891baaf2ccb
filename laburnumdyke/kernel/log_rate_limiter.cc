// The token bucket is refilled on each call, so that it needs no timer.
#include "laburnumdyke/kernel/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr double kRoutineShare = 0.5; // of the burst

} // namespace

std::optional<std::uint64_t>
log_rate_limiter::TryAcquire(log_line_kind aKind, instant aNow)
{
  if (mStarted) {
    double elapsed = std::chrono::duration<double>(aNow - mLastRefill).count();
    mTokens =
      std::min(mOptions.mBurst, mTokens + elapsed * mOptions.mPerSecond);
  }
  mStarted = true;
  mLastRefill = aNow;
  bool isRoutine = aKind == log_line_kind::Routine;
  double reserved = isRoutine ? mOptions.mBurst * (1 - kRoutineShare) : 0;
  if (mTokens < reserved + 1) {
    ++mSkipped;
    return std::nullopt;
  }
  mTokens -= 1;
  return std::exchange(mSkipped, 0);
}

} // namespace laburnumdyke
