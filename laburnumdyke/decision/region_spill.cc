// The part follows what is wanted at a bounded speed. Single requests are
// dealt by error diffusion: each adds the part to a credit, and one that
// leaves costs 1. Within half a request of the credit the request's own wish
// decides.
#include "laburnumdyke/decision/region_spill.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// Instances see few requests, so their sum moves by chance too: the rest of
// the bound is left for it.
constexpr double kShareOfBound = 0.6;
// Over which the wish is formed, in windows.
constexpr double kWishWindows = 1.0;
constexpr double kLeaveWish = 0.5;   // credit at which one that wants leaves
constexpr double kLeaveForced = 1.5; // credit at which any leaves
constexpr double kMostCredit = 2.0;

} // namespace

spill_side
region_spill::Decide(bool aWants, bool aInsideAdmits, instant aNow)
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
  double credit = std::min(mCredit + mShare, kMostCredit);
  bool leaves = credit >= (aWants ? kLeaveWish : kLeaveForced);
  mCredit = credit - (leaves ? 1 : 0);
  if (!leaves && !aInsideAdmits) {
    return spill_side::Neither;
  }
  return leaves ? spill_side::Outside : spill_side::Inside;
}

} // namespace laburnumdyke
