// Exponential decay from the last report to the mean, both in closed form, so
// that an estimate costs no bookkeeping between reports.
#include "laburnumdyke/decision/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// The weight that is left after aAge, of 1 at first.
double
Decay(duration aAge, duration aOver)
{
  double ages =
    std::chrono::duration<double>(aAge) / std::chrono::duration<double>(aOver);
  return std::exp(-std::max(0.0, ages));
}

} // namespace

void
load_estimate::Report(const reported_load& aReport, instant aNow)
{
  double all = static_cast<double>(aReport.mRunning) + aReport.mWaiting;
  mOthers = std::max(0.0, all - mOwn);
  double kept = mHasReport ? Decay(aNow - mReported, kMeanOver) : 0;
  mMean = mMean * kept + mOthers * (1 - kept);
  mReported = aNow;
  mHasReport = true;
}

double
load_estimate::Estimate(std::size_t aSenders, instant aNow) const
{
  if (!mHasReport) {
    return static_cast<double>(mOwn) * static_cast<double>(aSenders);
  }
  double fresh = Decay(aNow - mReported, kReportLife);
  // The mean is forgotten too, or an upstream that once was full would never
  // be tried again.
  double known = Decay(aNow - mReported, kMeanOver);
  return mOwn + mOthers * fresh + mMean * (known - fresh * known);
}

} // namespace laburnumdyke
