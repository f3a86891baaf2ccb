// The bucket is filled when a line asks, so that it costs nothing in between.
#include "laburnumdyke/kernel/line_budget.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr double kRoutinePart = 0.5; // of the burst

} // namespace

std::optional<std::uint64_t>
line_budget::Take(line_kind aKind, instant aNow)
{
  if (mStarted) {
    double elapsed = std::chrono::duration<double>(aNow - mLast).count();
    mLeft = std::min(mOptions.mBurst, mLeft + elapsed * mOptions.mPerSecond);
  }
  mStarted = true;
  mLast = aNow;
  bool isRoutine = aKind == line_kind::Routine;
  double kept = isRoutine ? mOptions.mBurst * (1 - kRoutinePart) : 0;
  if (mLeft < kept + 1) {
    ++mSkipped;
    return std::nullopt;
  }
  mLeft -= 1;
  return std::exchange(mSkipped, 0);
}

} // namespace laburnumdyke
