// Exchanges the demand for services with other instances, so that requests are
// divided among regions by what callers ask for. service_demand.h describes who
// sends what to whom.
//
// Usage, all on the strand of the link that carries the messages:
//   link.Send(exchange.Compose(now));            // every kDemandPeriod
//   link.Send(exchange.Receive(message, now));   // passes messages on
//   // Connections to keep:
//   const std::set<endpoint>& open = exchange.Targets();
//
// Compose() returns nothing unless this instance has demand to report, or
// received a message with demand within the last kActiveTime. Receive() only
// passes on what it got.
// All figures that arrive are bounded by the codec.
#pragma once

#include "laburnumdyke/decision/service_demand.h"
#include "laburnumdyke/plugin/collector_role.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

class demand_exchange
{
public:
  explicit demand_exchange(kernel& aKernel);

  std::vector<addressed_message> Compose(instant aNow);
  std::vector<addressed_message> Receive(demand_message aMessage, instant aNow);

  // Where the last messages went.
  const std::set<endpoint>& Targets() const { return mTargets; }

private:
  static constexpr std::chrono::milliseconds kCollectorWarmUp{ 2 *
                                                               kDemandPeriod };
  // Reports are sent for this long after a message with demand.
  static constexpr std::chrono::seconds kActiveTime{ 8 };
  static constexpr std::chrono::seconds kLogInterval{ 60 };
  static constexpr std::size_t kMaxLoggedServices = 5;

  std::vector<addressed_message> Collect(instant aNow);
  void SetTotals(demand_totals aTotals, instant aNow);
  void NoteDemand(const demand_totals& aTotals, instant aNow);
  void LogDemand(instant aNow);
  void AddMessages(std::vector<addressed_message>& aMessages,
                   const std::vector<endpoint>& aTargets,
                   const demand_message& aMessage);

  kernel& mKernel;
  steering_tables mTables;
  collector_role mRole;
  instance_id mSelf;
  domain_id mDomain;
  region_id mRegion;
  demand_collector mCollector;
  std::optional<instant> mDemandSeen; // the last message with demand
  std::optional<instant> mLogged;
  std::uint64_t mCollections = 0;
  std::set<endpoint> mTargets;
};

} // namespace laburnumdyke
