// Two exponential means. An answer is added to the nearer one.
#include "laburnumdyke/decision/work_estimate.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

constexpr double kSampleWeight = 0.1; // of one answer

void
MoveTowards(duration& aMean, duration aValue, double aWeight)
{
  seconds_d step = (seconds_d(aValue) - seconds_d(aMean)) * aWeight;
  aMean += std::chrono::duration_cast<duration>(step);
}

} // namespace

bool
work_estimate::IsNearKnown(duration aWork) const
{
  return aWork < (mKnown + mUnknown) / 2;
}

double
work_estimate::Slowness(duration aWork, bool aKnown) const
{
  bool known = aKnown || IsNearKnown(aWork);
  seconds_d usual = std::max(known ? mKnown : mUnknown, duration(1));
  return seconds_d(aWork) / usual;
}

void
work_estimate::AddSample(duration aWork, std::size_t aBytes, bool aKnown)
{
  double bytes = static_cast<double>(aBytes);
  mBytes += (bytes - mBytes) * (mHasBytes ? kSampleWeight : 1);
  mHasBytes = true;
  if (!mHasUnknown && !aKnown) {
    // At first, all objects are unknown to the upstreams.
    mHasUnknown = true;
    mUnknown = aWork;
    mKnown = mHasKnown ? mKnown : aWork / 2;
    return;
  }
  if (IsNearKnown(aWork)) {
    MoveTowards(mKnown, aWork, mHasKnown ? kSampleWeight : 1);
    mHasKnown = true;
  } else if (!aKnown) {
    MoveTowards(mUnknown, aWork, kSampleWeight);
  }
}

} // namespace laburnumdyke
