// The remote share follows the desired share at a bounded rate. Requests are
// assigned by error diffusion: each request adds the share to a credit, and a
// remote one costs 1. While the credit is within half a request of 1, the
// request's own preference decides.
#include "laburnumdyke/decision/region_spillover.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// Fraction of mMostShift that is used. Each instance sees few requests, so the
// sum also varies randomly: the rest is left for that.
constexpr double kShiftFraction = 0.6;
// Time constant of the desired share, in windows.
constexpr double kSmoothingWindows = 1.0;
// Credit at which a request that prefers remote, or any request, is sent there.
constexpr double kPreferredThreshold = 0.5;
constexpr double kForcedThreshold = 1.5;
constexpr double kMaxCredit = 2.0;

} // namespace

spillover_decision
region_spillover::Decide(bool aPrefersRemote, bool aLocalAdmits, instant aNow)
{
  std::chrono::duration<double> window = mOptions.mWindow;
  double windows = 0;
  if (mStarted) {
    windows = std::chrono::duration<double>(aNow - mLast) / window;
    windows = std::clamp(windows, 0.0, 1.0);
  }
  mStarted = true;
  mLast = aNow;
  double decay = std::exp(-windows / kSmoothingWindows);
  mDesiredShare = mDesiredShare * decay + (aPrefersRemote ? 1 - decay : 0);
  double step = mOptions.mMostShift * kShiftFraction * windows;
  mShare += std::clamp(mDesiredShare - mShare, -step, step);
  double credit = std::min(mCredit + mShare, kMaxCredit);
  bool isRemote =
    credit >= (aPrefersRemote ? kPreferredThreshold : kForcedThreshold);
  mCredit = credit - (isRemote ? 1 : 0);
  if (!isRemote && !aLocalAdmits) {
    return spillover_decision::Refuse;
  }
  return isRemote ? spillover_decision::Remote : spillover_decision::Local;
}

} // namespace laburnumdyke
