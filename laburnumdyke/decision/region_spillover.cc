// The remote share follows the desired share at a bounded rate. Requests are
// assigned by error diffusion: each served request adds the share to a credit,
// and a remote one costs 1. While the credit is within half a request of 1, the
// request's own preference decides. Refused requests add nothing, since full
// upstreams would otherwise make the share of what is served jump; but once the
// region serves nothing, all that is served is served elsewhere anyway.
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

void
region_spillover::Advance(spillover_state& aState,
                          bool aPrefersRemote,
                          instant aNow) const
{
  std::chrono::duration<double> window = mOptions.mWindow;
  double windows = 0;
  if (aState.mStarted) {
    windows = std::chrono::duration<double>(aNow - aState.mLast) / window;
    windows = std::clamp(windows, 0.0, 1.0);
  }
  aState.mStarted = true;
  aState.mLast = aNow;
  double decay = std::exp(-windows / kSmoothingWindows);
  aState.mDesiredShare =
    aState.mDesiredShare * decay + (aPrefersRemote ? 1 - decay : 0);
  double step = mOptions.mMostShift * kShiftFraction * windows;
  double desired = std::max(aState.mDesiredShare, mMinShare);
  aState.mShare += std::clamp(desired - aState.mShare, -step, step);
}

spillover_decision
region_spillover::DecideFrom(spillover_state& aState,
                             bool aPrefersRemote,
                             bool aLocalAdmits,
                             instant aNow,
                             bool aRemoteAdmits) const
{
  Advance(aState, aPrefersRemote, aNow);
  double credit = std::min(aState.mCredit + aState.mShare, kMaxCredit);
  bool wantsRemote = aPrefersRemote || !aLocalAdmits;
  double threshold = wantsRemote ? kPreferredThreshold : kForcedThreshold;
  if (aRemoteAdmits && credit >= threshold) {
    aState.mCredit = credit - 1;
    return spillover_decision::Remote;
  }
  if (aLocalAdmits) {
    aState.mCredit = credit;
    aState.mServesLocallyUntil = aNow + mOptions.mWindow;
    return spillover_decision::Local;
  }
  if (aNow >= aState.mServesLocallyUntil) {
    aState.mCredit = credit;
  }
  return spillover_decision::Refuse;
}

spillover_decision
region_spillover::Decide(bool aPrefersRemote,
                         bool aLocalAdmits,
                         instant aNow,
                         bool aRemoteAdmits)
{
  return DecideFrom(mState, aPrefersRemote, aLocalAdmits, aNow, aRemoteAdmits);
}

spillover_decision
region_spillover::Preview(bool aPrefersRemote,
                          bool aLocalAdmits,
                          instant aNow,
                          bool aRemoteAdmits) const
{
  spillover_state state = mState;
  return DecideFrom(state, aPrefersRemote, aLocalAdmits, aNow, aRemoteAdmits);
}

} // namespace laburnumdyke
