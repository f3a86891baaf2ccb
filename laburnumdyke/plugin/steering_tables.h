// Shared tables of an instance that routes by host and path.
//
// Usage:
//   steering_tables tables(kernel);
//   std::shared_ptr<const route_table> routes = tables.Routes();
#pragma once

#include "laburnumdyke/decision/customer_gate.h"
#include "laburnumdyke/decision/fleet_budget.h"
#include "laburnumdyke/decision/fleet_quota.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/knowledge_age.h"
#include "laburnumdyke/decision/planned_stop.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/service_rotation.h"
#include "laburnumdyke/decision/upstream_steering.h"
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/connection_pool.h"
#include "laburnumdyke/plugin/timer_set.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

// The configuration in force.
struct routes_in_force
{
  static constexpr lock_rank kLockRank = lock_rank::Document;
  std::shared_ptr<const route_table> mRoutes; // null until the first is read
  std::set<domain_id> mEvacuated;
  knowledge_age mAge; // of mRoutes
};

// The routes in force, and since when they may be outdated.
struct dated_routes
{
  std::shared_ptr<const route_table> mRoutes;    // null until the first is read
  std::optional<std::chrono::milliseconds> mAge; // nullopt: unknown
  bool mIsOutdated = false; // a later version exists that can't be read
};

struct steering_state : upstream_steering
{
  explicit steering_state(const settings& aSettings);
};

struct rotation_state : service_rotation
{
  static constexpr lock_rank kLockRank = lock_rank::Placement;
  explicit rotation_state(const settings& aSettings);
};

class fleet_state : public fleet_view
{
public:
  explicit fleet_state(const settings& aSettings);

  // Also wakes the coroutines that wait for a heartbeat (heartbeat_wait.h).
  bool ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat, instant aNow);

  timer_set& Waiters() { return mWaiters; }

private:
  timer_set mWaiters;
};

struct budget_state : fleet_budget
{
  explicit budget_state(const settings& aSettings);
};

struct quota_state : fleet_quota
{
  explicit quota_state(const settings& aSettings);
};

struct stop_state : planned_stop
{
  static constexpr lock_rank kLockRank = lock_rank::Lifecycle;
  explicit stop_state(const settings& aSettings);
};

// Reports of restarts that are still to be sent to other instances.
struct restart_outbox
{
  static constexpr lock_rank kLockRank = lock_rank::Waiters;

  // Also wakes the coroutine that sends them.
  void Add(const std::vector<restart_report>& aReports);

  std::vector<restart_report> mReports;
  timer_set mWaiters;
};

class steering_tables
{
public:
  explicit steering_tables(kernel& aKernel);

  std::shared_ptr<const route_table> Routes();

  table<routes_in_force>& InForce() { return mInForce; }
  table<steering_state>& Steering() { return mSteering; }
  table<rotation_state>& Rotation() { return mRotation; }
  table<fleet_state>& Fleet() { return mFleet; }
  table<budget_state>& Budget() { return mBudget; }
  table<quota_state>& Quota() { return mQuota; }
  table<connection_pool>& Pool() { return mPool; }
  table<stop_state>& PlannedStop() { return mPlannedStop; }
  table<restart_outbox>& Restarts() { return mRestarts; }

  dated_routes DatedRoutes(boot_instant aNow);

  // The age of routes up to which keys are accepted; zero: any.
  std::chrono::milliseconds MaxKeyAge() const;

  // Passes the current members of the fleet on to steering, the retry budget
  // and the quotas.
  void PublishFleet();

private:
  const settings& mSettings;
  table<routes_in_force>& mInForce;
  table<steering_state>& mSteering;
  table<rotation_state>& mRotation;
  table<fleet_state>& mFleet;
  table<budget_state>& mBudget;
  table<quota_state>& mQuota;
  table<connection_pool>& mPool;
  table<stop_state>& mPlannedStop;
  table<restart_outbox>& mRestarts;
};

} // namespace laburnumdyke
