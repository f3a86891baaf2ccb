// Exact sliding windows, since an instance has only a few hundred requests in
// one.
#include "laburnumdyke/decision/fleet_budget.h"

namespace laburnumdyke {

namespace {

// Fraction of the allowance that an instance spends. The rest is reserve, since
// instances differ in load and learn the fleet's size late.
constexpr double kSpendFraction = 0.8;

} // namespace

void
fleet_budget::SetFleetSize(std::size_t aInstances)
{
  mInstances = aInstances;
}

void
fleet_budget::RemoveExpired(service_window& aWindow, instant aNow) const
{
  instant oldest = aNow - mOptions.mWindow;
  while (!aWindow.mRequests.empty() && aWindow.mRequests.front() <= oldest) {
    aWindow.mRequests.pop_front();
  }
  while (!aWindow.mRetries.empty() && aWindow.mRetries.front() <= oldest) {
    aWindow.mRetries.pop_front();
  }
}

void
fleet_budget::CountRequest(const service_id& aService, instant aNow)
{
  service_window& window = mWindows[aService];
  RemoveExpired(window, aNow);
  window.mRequests.push_back(aNow);
}

bool
fleet_budget::Take(const service_id& aService, instant aNow)
{
  service_window& window = mWindows[aService];
  RemoveExpired(window, aNow);
  double extra =
    mInstances == 0 ? 0 : mOptions.mExtra / static_cast<double>(mInstances);
  double allowance =
    mOptions.mRatio * static_cast<double>(window.mRequests.size()) + extra;
  if (static_cast<double>(window.mRetries.size()) + 1 >
      allowance * kSpendFraction) {
    return false;
  }
  window.mRetries.push_back(aNow);
  return true;
}

} // namespace laburnumdyke
