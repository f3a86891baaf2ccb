// A timer that expires at the end of the wait and is cancelled on its strand.
// It is registered before the first look-up, and a cancellation that is posted
// between a look-up and the wait runs once the wait has begun.
#include "laburnumdyke/plugin/heartbeat_wait.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

heartbeat_wait::heartbeat_wait(
  table<fleet_state>& aFleet,
  const asio::strand<asio::io_context::executor_type>& aStrand)
  : mFleet(aFleet)
  , mTimer(std::make_shared<asio::steady_timer>(aStrand))
{
  mFleet.With([&](fleet_state& aState) { aState.Waiters().Add(mTimer); });
}

heartbeat_wait::~heartbeat_wait()
{
  mFleet.With([&](fleet_state& aState) { aState.Waiters().Remove(mTimer); });
}

asio::awaitable<void>
heartbeat_wait::Until(instant aUntil)
{
  mTimer->expires_at(aUntil);
  error_code ignored;
  co_await mTimer->async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace laburnumdyke
