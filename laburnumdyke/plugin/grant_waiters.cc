// Each waiter has a timer that expires at its deadline and is cancelled to wake
// it, so that no thread blocks.
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
grant_waiters::Notify(request_number aNumber, admission_decision aDecision)
{
  std::shared_ptr<asio::steady_timer> timer = mMap.With([&](waiter_map& aMap) {
    waiter& one = aMap.mWaiters[aNumber];
    one.mDecision = std::move(aDecision);
    return one.mTimer;
  });
  if (timer) {
    // The timer may only be used on the strand of the waiting coroutine.
    asio::post(timer->get_executor(), [timer]() { timer->cancel(); });
  }
}

void
grant_waiters::Deliver(const admission_changes& aChanges)
{
  for (const grant& granted : aChanges.mGrants) {
    Notify(granted.mNumber, granted);
  }
  for (const queue_refusal& refused : aChanges.mRefusals) {
    Notify(refused.mNumber, refused);
  }
}

std::optional<admission_decision>
grant_waiters::Collect(request_number aNumber)
{
  return mMap.With([&](waiter_map& aMap) -> std::optional<admission_decision> {
    auto found = aMap.mWaiters.find(aNumber);
    if (found == aMap.mWaiters.end()) {
      return std::nullopt;
    }
    std::optional<admission_decision> decision =
      std::move(found->second.mDecision);
    aMap.mWaiters.erase(found);
    return decision;
  });
}

asio::awaitable<std::optional<admission_decision>>
grant_waiters::Wait(request_number aNumber, instant aDeadline)
{
  std::shared_ptr<asio::steady_timer> timer =
    std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                         aDeadline);
  bool decided = mMap.With([&](waiter_map& aMap) {
    waiter& one = aMap.mWaiters[aNumber];
    one.mTimer = timer;
    return one.mDecision.has_value();
  });
  if (!decided) {
    error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return Collect(aNumber);
}

} // namespace laburnumdyke
