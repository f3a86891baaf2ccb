// The new route table is built and published under the lock of the routes in
// force; the tables that depend on it are updated afterwards, one at a time.
#include "laburnumdyke/plugin/control_in_force.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

control_in_force::control_in_force(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
{
}

void
control_in_force::Apply(const control_reading& aReading,
                        bool aIsRestored,
                        store_version aVersion,
                        instant aNow)
{
  if (aReading.mUnreadable) {
    RecordUnreadable(*aReading.mUnreadable);
  }
  ApplyDocument(aReading.mDocument);
  SetEvacuated(
    mEvacuations.Apply(aReading, aIsRestored, DocumentVersion(), aNow), aNow);
  mTables.Fleet().With(
    [&](fleet_state& aFleet) { aFleet.SetControlVersion(aVersion); });
}

void
control_in_force::RecordUnreadable(const unreadable_document& aDocument)
{
  // Versions rise, so one that could not be decoded is a later one.
  std::uint64_t version = aDocument.mVersion.value_or(DocumentVersion() + 1);
  mTables.InForce().With(
    [&](routes_in_force& aInForce) { aInForce.mAge.RecordVersion(version); });
  mKernel.Counters().Add("configurations_unreadable_total");
  mKernel.Log().Warn(
    "configuration_unreadable",
    { { "version",
        aDocument.mVersion ? std::to_string(*aDocument.mVersion) : "unknown" },
      { "fault", aDocument.mFault } });
}

std::uint64_t
control_in_force::DocumentVersion()
{
  std::shared_ptr<const route_table> routes = mTables.Routes();
  return routes ? routes->Version() : 0;
}

void
control_in_force::ApplyDocument(
  const std::optional<routing_document>& aDocument)
{
  std::shared_ptr<const route_table> newRoutes;
  mTables.InForce().With([&](routes_in_force& aInForce) {
    if (aDocument && (!aInForce.mRoutes ||
                      aDocument->mVersion > aInForce.mRoutes->Version())) {
      newRoutes =
        std::make_shared<const route_table>(*aDocument, aInForce.mRoutes.get());
      aInForce.mRoutes = newRoutes;
    }
  });
  if (!newRoutes) {
    return;
  }
  mTables.Quota().With([&](quota_state& aQuota) {
    const customer_table* customers = newRoutes->Customers();
    aQuota.SetCustomers(customers == nullptr ? std::vector<customer_spec>()
                                             : customers->All());
  });
  mTables.Steering().With(
    [&](steering_state& aSteering) { aSteering.SetRules(newRoutes); });
  mTables.Fleet().With([&](fleet_state& aFleet) {
    aFleet.SetDocumentVersion(newRoutes->Version());
    aFleet.SetServing(true);
    aFleet.Waiters().CancelAll();
  });
  mKernel.Log().Info("configuration_in_force",
                     { { "version", std::to_string(newRoutes->Version()) },
                       { "routes", std::to_string(newRoutes->Size()) } });
}

void
control_in_force::ExpireEvacuations(instant aNow)
{
  if (mEvacuations.IsHeld()) {
    SetEvacuated(mEvacuations.Expire(DocumentVersion(), aNow), aNow);
  }
}

void
control_in_force::SetEvacuated(const std::set<domain_id>& aEvacuated,
                               instant aNow)
{
  bool isChange = mTables.InForce().With([&](routes_in_force& aInForce) {
    return std::exchange(aInForce.mEvacuated, aEvacuated) != aEvacuated;
  });
  if (!isChange) {
    return;
  }
  mTables.Steering().With([&](steering_state& aSteering) {
    aSteering.SetEvacuated(aEvacuated, aNow);
  });
  std::string names;
  for (const domain_id& domain : aEvacuated) {
    names += (names.empty() ? "" : ",") + domain.mValue;
  }
  mKernel.Log().Info("evacuation_changed", { { "domains", names } });
}

} // namespace laburnumdyke
