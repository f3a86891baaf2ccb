// Exact sliding windows: an instance has a few hundred requests in one.
#include "laburnumdyke/decision/fleet_budget.h"

namespace laburnumdyke {

namespace {

// Instances differ in load and see the fleet's size late.
constexpr double kSpentPart = 0.8;

} // namespace

void
fleet_budget::SetFleetSize(std::size_t aInstances)
{
  mInstances = aInstances;
}

void
fleet_budget::Forget(recent& aRecent, instant aNow) const
{
  instant oldest = aNow - mOptions.mWindow;
  while (!aRecent.mRequests.empty() && aRecent.mRequests.front() <= oldest) {
    aRecent.mRequests.pop_front();
  }
  while (!aRecent.mRepeats.empty() && aRecent.mRepeats.front() <= oldest) {
    aRecent.mRepeats.pop_front();
  }
}

void
fleet_budget::CountRequest(const service_id& aService, instant aNow)
{
  recent& recent = mRecent[aService];
  Forget(recent, aNow);
  recent.mRequests.push_back(aNow);
}

bool
fleet_budget::Take(const service_id& aService, instant aNow)
{
  recent& recent = mRecent[aService];
  Forget(recent, aNow);
  double extra =
    mInstances == 0 ? 0 : mOptions.mExtra / static_cast<double>(mInstances);
  double part =
    mOptions.mRatio * static_cast<double>(recent.mRequests.size()) + extra;
  if (static_cast<double>(recent.mRepeats.size()) + 1 > part * kSpentPart) {
    return false;
  }
  recent.mRepeats.push_back(aNow);
  return true;
}

} // namespace laburnumdyke
