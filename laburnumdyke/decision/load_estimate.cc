// The decay from the last report to the mean, and of the mean itself, is
// computed in closed form, so that no updates are needed between reports.
#include "laburnumdyke/decision/load_estimate.h"

#include "laburnumdyke/decision/decay.h"

#include <algorithm>

namespace laburnumdyke {

void
load_estimate::Report(const reported_load& aReport, instant aNow)
{
  double all = static_cast<double>(aReport.mRunning) + aReport.mWaiting;
  mOtherRequests = std::max(0.0, all - mOwnRequests);
  double remaining = mHasReport ? Decay(aNow - mReported, kMeanDecayTime) : 0;
  mMeanOthers = mMeanOthers * remaining + mOtherRequests * (1 - remaining);
  mReported = aNow;
  mHasReport = true;
}

double
load_estimate::Estimate(std::size_t aSenders, double aUsual, instant aNow) const
{
  if (!mHasReport) {
    double all =
      static_cast<double>(mOwnRequests) * static_cast<double>(aSenders);
    return std::max(all, mOwnRequests + aUsual);
  }
  double reportWeight = Decay(aNow - mReported, kReportDecayTime);
  double meanWeight = Decay(aNow - mReported, kMeanDecayTime);
  return mOwnRequests + mOtherRequests * reportWeight +
         mMeanOthers * (meanWeight - reportWeight * meanWeight) +
         aUsual * (1 - meanWeight);
}

} // namespace laburnumdyke
