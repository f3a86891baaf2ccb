// Lets coroutines wait until a heartbeat of a peer is applied or a
// configuration comes into force, instead of polling the table of peers.
//
// Usage, on a strand:
//   heartbeat_wait wait(tables.Fleet(), strand);
//   while (... look up the table, not known yet ...) {
//     co_await wait.Until(deadline);
//   }
//
// The table wakes its waiters on either event. An event between a look-up and
// the wait is not missed, provided the coroutine does not suspend in between.
// An event while it waits for something else does not end a later wait, so look
// up the table before each wait.
#pragma once

#include "laburnumdyke/plugin/http_types.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>

namespace laburnumdyke {

class heartbeat_wait
{
public:
  heartbeat_wait(table<fleet_state>& aFleet,
                 const asio::strand<asio::io_context::executor_type>& aStrand);
  ~heartbeat_wait();
  heartbeat_wait(const heartbeat_wait&) = delete;
  heartbeat_wait& operator=(const heartbeat_wait&) = delete;

  // Completes after the next such event, or at aUntil. The caller looks up the
  // table to see which.
  asio::awaitable<void> Until(instant aUntil);

private:
  table<fleet_state>& mFleet;
  std::shared_ptr<asio::steady_timer> mTimer;
};

} // namespace laburnumdyke
