// The bucket is filled when a line asks, so that it costs nothing in between.
#include "laburnumdyke/kernel/line_budget.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

std::optional<std::uint64_t>
line_budget::Take(instant aNow)
{
  if (mStarted) {
    double elapsed = std::chrono::duration<double>(aNow - mLast).count();
    mLeft = std::min(mOptions.mBurst, mLeft + elapsed * mOptions.mPerSecond);
  }
  mStarted = true;
  mLast = aNow;
  if (mLeft < 1) {
    ++mSkipped;
    return std::nullopt;
  }
  mLeft -= 1;
  return std::exchange(mSkipped, 0);
}

} // namespace laburnumdyke
