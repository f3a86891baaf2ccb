// Converts settings to the options of the decision classes. No other file does.
#include "laburnumdyke/plugin/steering_tables.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

steering_options
SteeringOptions(const settings& aSettings)
{
  steering_options options;
  options.mSelf = { aSettings.mInstance };
  options.mDomain = { aSettings.mFailureDomain };
  options.mRegion = { aSettings.mRegion };
  for (const std::pair<const std::string, std::string>& domain :
       aSettings.mDomains) {
    options.mRegions[{ domain.first }] = { domain.second };
  }
  options.mSpillover.mMostShift = aSettings.mBounds.mMostShift;
  options.mColdOvershoot = aSettings.mBounds.mColdOvershoot;
  options.mColdSlack = aSettings.mBounds.mColdSlack;
  options.mLearnedSpeed = aSettings.mLearnedSpeed;
  options.mUnevenLoad = aSettings.mUnevenLoad;
  options.mSeed = KeyOf(options.mSelf, aSettings.mIncarnation);
  return options;
}

fleet_options
FleetOptions(const settings& aSettings)
{
  fleet_options options;
  options.mSelf = { { aSettings.mInstance }, aSettings.mIncarnation,
                    { aSettings.mRegion },   { aSettings.mFailureDomain },
                    aSettings.mCaller,       aSettings.mPeer,
                    aSettings.mRelay };
  return options;
}

fleet_budget_options
BudgetOptions(const settings& aSettings)
{
  const steering_bounds& bounds = aSettings.mBounds;
  return { bounds.mRepeatRatio, bounds.mRepeatExtra, bounds.mRepeatWindow };
}

fleet_quota_options
QuotaOptions(const settings& aSettings)
{
  const steering_bounds& bounds = aSettings.mBounds;
  return { bounds.mQuotaOvershoot,
           bounds.mQuotaSlack,
           KeyOf(instance_id{ aSettings.mInstance }, aSettings.mIncarnation) };
}

// Between the platform's reading of its rows and its stamp, and for the last
// steps from the check of a key to the send.
constexpr std::chrono::milliseconds kAgeMargin{ 400 };

} // namespace

steering_state::steering_state(const settings& aSettings)
  : upstream_steering(SteeringOptions(aSettings))
{
}

rotation_state::rotation_state(const settings& aSettings)
  : service_rotation(KeyOf({ aSettings.mInstance }, aSettings.mIncarnation))
{
}

fleet_state::fleet_state(const settings& aSettings)
  : fleet_view(FleetOptions(aSettings))
{
}

bool
fleet_state::ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat, instant aNow)
{
  bool isApplied = fleet_view::ReceiveHeartbeat(aHeartbeat, aNow);
  if (isApplied) {
    mWaiters.CancelAll();
  }
  return isApplied;
}

budget_state::budget_state(const settings& aSettings)
  : fleet_budget(BudgetOptions(aSettings))
{
}

quota_state::quota_state(const settings& aSettings)
  : fleet_quota(QuotaOptions(aSettings))
{
}

stop_state::stop_state(const settings& aSettings)
  : planned_stop(aSettings.mBounds.mGrace)
{
}

void
restart_outbox::Add(const std::vector<restart_report>& aReports)
{
  mReports.insert(mReports.end(), aReports.begin(), aReports.end());
  mWaiters.CancelAll();
}

steering_tables::steering_tables(kernel& aKernel)
  : mSettings(aKernel.Settings())
  , mInForce(aKernel.Table<routes_in_force>())
  , mSteering(aKernel.Table<steering_state>())
  , mRotation(aKernel.Table<rotation_state>())
  , mFleet(aKernel.Table<fleet_state>())
  , mBudget(aKernel.Table<budget_state>())
  , mQuota(aKernel.Table<quota_state>())
  , mPool(aKernel.Table<connection_pool>())
  , mPlannedStop(aKernel.Table<stop_state>())
  , mRestarts(aKernel.Table<restart_outbox>())
{
}

std::shared_ptr<const route_table>
steering_tables::Routes()
{
  return mInForce.With(
    [](routes_in_force& aInForce) { return aInForce.mRoutes; });
}

dated_routes
steering_tables::DatedRoutes(boot_instant aNow)
{
  return mInForce.With([&](routes_in_force& aInForce) {
    bool isOutdated =
      aInForce.mRoutes && aInForce.mAge.IsOutdated(aInForce.mRoutes->Version());
    return dated_routes{ aInForce.mRoutes, aInForce.mAge.At(aNow), isOutdated };
  });
}

std::chrono::milliseconds
steering_tables::MaxKeyAge() const
{
  std::chrono::milliseconds revokeTimeout = mSettings.mBounds.mRevokeTimeout;
  if (revokeTimeout <= std::chrono::milliseconds(0)) {
    return std::chrono::milliseconds(0);
  }
  return std::max(std::chrono::milliseconds(1), revokeTimeout - kAgeMargin);
}

void
steering_tables::PublishFleet()
{
  std::size_t knownCount = 0;
  std::vector<instance_location> locations =
    mFleet.With([&](fleet_state& aFleet) {
      knownCount = aFleet.KnownInstanceCount();
      return aFleet.InstanceLocations();
    });
  mBudget.With(
    [&](budget_state& aBudget) { aBudget.SetFleetSize(locations.size()); });
  // The locations are empty for the first seconds, in which quotas bind too.
  mQuota.With([&](quota_state& aQuota) { aQuota.SetFleetSize(knownCount); });
  mSteering.With([&](steering_state& aSteering) {
    aSteering.SetFleet(std::move(locations));
  });
}

} // namespace laburnumdyke
