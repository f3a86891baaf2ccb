// The part follows what is wanted at a bounded speed. Single requests are
// dealt by error diffusion: each adds the part to a credit, and one that
// leaves costs 1. Within half a request of the credit the request's own wish
// decides.
#include "laburnumdyke/decision/region_spill.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// Instances see few requests, so their sum moves by chance too: half of the
// bound is left for it.
constexpr double kShareOfBound = 0.5;
// Over which the wish is formed, in windows.
constexpr double kWishWindows = 1.0;
constexpr double kLeaveWish = 0.5;   // credit at which one that wants leaves
constexpr double kLeaveForced = 1.5; // credit at which any leaves
constexpr double kMostCredit = 2.0;

} // namespace

bool
region_spill::Decide(bool aWants, instant aNow)
{
  std::chrono::duration<double> window = mOptions.mWindow;
  double windows = 0;
  if (mStarted) {
    windows = std::chrono::duration<double>(aNow - mLast) / window;
    windows = std::clamp(windows, 0.0, 1.0);
  }
  mStarted = true;
  mLast = aNow;
  double kept = std::exp(-windows / kWishWindows);
  mWanted = mWanted * kept + (aWants ? 1 - kept : 0);
  double step = mOptions.mMostShift * kShareOfBound * windows;
  mShare += std::clamp(mWanted - mShare, -step, step);
  mCredit = std::min(mCredit + mShare, kMostCredit);
  bool leaves = mCredit >= (aWants ? kLeaveWish : kLeaveForced);
  if (leaves) {
    mCredit -= 1;
  }
  return leaves;
}

} // namespace laburnumdyke
