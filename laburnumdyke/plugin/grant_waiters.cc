// A timer per waiter, cancelled to wake it: the wait and its deadline are one
// object, and no thread blocks.
#include "laburnumdyke/plugin/grant_waiters.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

grant_waiters::grant_waiters(kernel& aKernel)
  : mKernel(aKernel)
{
}

void
grant_waiters::Tell(request_number aNumber, wait_verdict aVerdict)
{
  std::shared_ptr<asio::steady_timer> timer = mMap.With([&](waiter_map& aMap) {
    waiter& one = aMap.mWaiters[aNumber];
    one.mVerdict = std::move(aVerdict);
    return one.mTimer;
  });
  if (timer) {
    // The timer belongs to the strand of the waiting coroutine.
    asio::post(timer->get_executor(), [timer]() { timer->cancel(); });
  }
}

void
grant_waiters::Deliver(const admission_changes& aChanges)
{
  for (const grant& granted : aChanges.mGrants) {
    Tell(granted.mNumber, granted);
  }
  for (const queue_refusal& refused : aChanges.mRefusals) {
    Tell(refused.mNumber, refused);
  }
}

std::optional<wait_verdict>
grant_waiters::Collect(request_number aNumber)
{
  return mMap.With([&](waiter_map& aMap) -> std::optional<wait_verdict> {
    auto found = aMap.mWaiters.find(aNumber);
    if (found == aMap.mWaiters.end()) {
      return std::nullopt;
    }
    std::optional<wait_verdict> verdict = std::move(found->second.mVerdict);
    aMap.mWaiters.erase(found);
    return verdict;
  });
}

asio::awaitable<std::optional<wait_verdict>>
grant_waiters::Wait(request_number aNumber, instant aDeadline)
{
  std::shared_ptr<asio::steady_timer> timer =
    std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                         aDeadline);
  bool decided = mMap.With([&](waiter_map& aMap) {
    waiter& one = aMap.mWaiters[aNumber];
    one.mTimer = timer;
    return one.mVerdict.has_value();
  });
  if (!decided) {
    error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return Collect(aNumber);
}

} // namespace laburnumdyke
