// The fleet must be known before an instance collects: sums of its own reports
// alone would look like those of the whole fleet.
#include "laburnumdyke/plugin/collector_role.h"

namespace laburnumdyke {

collector_duty
collector_role::Take(instant aNow)
{
  bool isFleetKnown = false;
  std::optional<endpoint> collector =
    mTables.Fleet().With([&](fleet_state& aFleet) {
      isFleetKnown = !aFleet.InstanceLocations().empty();
      return aFleet.Collector(aNow);
    });
  if (collector) {
    mSince.reset();
    return collector_duty::Report;
  }
  if (!isFleetKnown) {
    return collector_duty::None;
  }
  if (!mSince) {
    mSince = aNow;
    mKernel.Log().Info(
      mEvent, { { "failure_domain", mKernel.Settings().mFailureDomain } });
  }
  return aNow - *mSince < mWarmUp ? collector_duty::Prepare
                                  : collector_duty::Collect;
}

std::optional<endpoint>
collector_role::Collector(instant aNow)
{
  return mTables.Fleet().With(
    [&](fleet_state& aFleet) { return aFleet.Collector(aNow); });
}

std::vector<endpoint>
collector_role::Contacts()
{
  std::uint64_t turn = mExchanges++ / kTurnLength;
  return mTables.Fleet().With(
    [&](fleet_state& aFleet) { return aFleet.RemoteContacts(turn); });
}

std::vector<endpoint>
collector_role::Members(instant aNow)
{
  return mTables.Fleet().With(
    [&](fleet_state& aFleet) { return aFleet.DomainPeers(aNow); });
}

} // namespace laburnumdyke
