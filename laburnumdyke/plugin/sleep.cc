// Each wait creates its own timer, whose cost is negligible beside the wait.
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

asio::awaitable<void>
SleepUntil(instant aUntil)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aUntil);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void>
SleepFor(std::chrono::milliseconds aTime)
{
  return SleepUntil(std::chrono::steady_clock::now() + aTime);
}

} // namespace laburnumdyke
