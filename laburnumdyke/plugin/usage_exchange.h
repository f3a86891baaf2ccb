// Exchanges the usage of customers with other instances, so that quotas bind
// the whole fleet. customer_usage.h describes who sends what to whom.
//
// Usage, all on the strand of the link that carries the messages:
//   link.Send(exchange.Compose(now));            // every kUsagePeriod
//   link.Send(exchange.Receive(message, now));   // passes messages on
//   // Connections to keep:
//   const std::set<endpoint>& open = exchange.Targets();
//
// Without customers that have a quota, nothing is sent.
#pragma once

#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/plugin/collector_role.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <set>
#include <vector>

namespace laburnumdyke {

class usage_exchange
{
public:
  explicit usage_exchange(kernel& aKernel);

  std::vector<addressed_message> Compose(instant aNow);
  std::vector<addressed_message> Receive(usage_message aMessage, instant aNow);

  // Where the last messages went.
  const std::set<endpoint>& Targets() const { return mTargets; }

private:
  // A new collector waits for the reports of its members before it sends sums.
  static constexpr std::chrono::milliseconds kCollectorWarmUp{ 3 *
                                                               kUsagePeriod };

  // Logs when the totals of the fleet begin or cease to arrive.
  void LogTotals(std::optional<std::chrono::milliseconds> aAge);
  std::vector<addressed_message> ReportTo(const endpoint& aCollector,
                                          usage_list aOwn);
  std::vector<addressed_message> Collect(instant aNow);
  void AddMessages(std::vector<addressed_message>& aMessages,
                   const std::vector<endpoint>& aTargets,
                   const usage_message& aMessage);

  kernel& mKernel;
  steering_tables mTables;
  collector_role mRole;
  instance_id mSelf;
  domain_id mDomain;
  usage_collector mCollector;
  bool mIsPrepared = false; // has taken over the usage of silent instances
  bool mHasTotals = false;
  std::set<endpoint> mTargets;
};

} // namespace laburnumdyke
