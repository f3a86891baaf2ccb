// A mean over reports whose weights decay with their age.
#include "laburnumdyke/decision/service_load.h"

#include "laburnumdyke/decision/decay.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// So many reports count half: one full upstream says little about the others.
constexpr double kFewReports = 3;

} // namespace

void
service_load::Report(const reported_load& aReport, instant aNow)
{
  if (aReport.mSlots == 0) {
    return;
  }
  double remaining = mWeight > 0 ? Decay(aNow - mReported, kMeanTime) : 0;
  double load = static_cast<double>(aReport.mRunning) + aReport.mWaiting;
  mSum = mSum * remaining + load / aReport.mSlots;
  mWeight = mWeight * remaining + 1;
  mReported = aNow;
}

double
service_load::PerSlot(instant aNow) const
{
  if (mWeight <= 0) {
    return 0;
  }
  double perSlot = mSum / mWeight;
  double certainty =
    std::clamp(perSlot - 1, 0.0, 1.0) * mWeight / (mWeight + kFewReports);
  return perSlot * certainty * Decay(aNow - mReported, kForgetTime);
}

} // namespace laburnumdyke
