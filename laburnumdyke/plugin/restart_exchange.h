// Tells the other instances of upstreams whose process may have ended, so that
// they don't send to a new start as if it were the former one
// (decision/restart_suspicion.h). Those of the region are told directly, those
// of other regions through two instances of each failure domain there.
//
// Usage, all on the strand of the link that carries the messages:
//   co_await exchange.AwaitReports();
//   link.Send(exchange.Compose());
//   link.Send(exchange.Receive(message, now));   // passes messages on
//   // Connections to keep:
//   const std::set<endpoint>& open = exchange.Targets();
//
// A message that is lost is not sent again. An instance that goes on to meet
// failed connections reports them again after restart_suspicion::kNewsInterval.
#pragma once

#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace laburnumdyke {

class restart_exchange
{
public:
  restart_exchange(kernel& aKernel, const message_link::strand& aStrand);
  ~restart_exchange();
  restart_exchange(const restart_exchange&) = delete;
  restart_exchange& operator=(const restart_exchange&) = delete;

  // Completes once there are reports to send.
  asio::awaitable<void> AwaitReports();

  std::vector<addressed_message> Compose();
  std::vector<addressed_message> Receive(restart_message aMessage,
                                         instant aNow);

  // Where the last messages of this instance went.
  const std::set<endpoint>& Targets() const { return mTargets; }

private:
  void Log(const restart_report& aReport, std::string_view aSource);

  kernel& mKernel;
  steering_tables mTables;
  // Never expires; cancelled when there are reports.
  std::shared_ptr<asio::steady_timer> mTimer;
  std::uint64_t mSentCount = 0;
  std::set<endpoint> mTargets;
};

} // namespace laburnumdyke
