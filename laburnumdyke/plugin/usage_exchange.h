// Exchanges the usage of customers with other instances, so that quotas bind
// the whole fleet. customer_usage.h describes who sends what to whom.
//
// Usage, all on the strand of the link that carries the messages:
//   link.Send(exchange.Compose(now));            // every kUsagePeriod
//   link.Send(exchange.Receive(message, now));   // passes messages on
//   std::vector<endpoint> targets = exchange.Targets(); // of late messages
//
// Without customers that have a quota, nothing is sent.
#pragma once

#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <cstdint>
#include <optional>
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
  // Compositions with the same contacts in other failure domains, so that
  // connections are reused.
  static constexpr std::uint64_t kTurnLength = 25;

  // Logs when the totals of the fleet begin or cease to arrive.
  void LogTotals(std::optional<std::chrono::milliseconds> aAge);
  std::vector<addressed_message> ReportTo(const endpoint& aCollector,
                                          usage_list aOwn);
  std::vector<addressed_message> Collect(usage_list aOwn, instant aNow);
  void AddMessages(std::vector<addressed_message>& aMessages,
                   const std::vector<endpoint>& aTargets,
                   const usage_message& aMessage);

  kernel& mKernel;
  steering_tables mTables;
  instance_id mSelf;
  domain_id mDomain;
  usage_collector mCollector;
  std::optional<instant> mCollectorSince;
  std::uint64_t mCompositions = 0;
  bool mHasTotals = false;
  std::set<endpoint> mTargets;
};

} // namespace laburnumdyke
