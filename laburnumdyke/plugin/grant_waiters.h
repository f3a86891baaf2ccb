// Suspends the coroutines of queued requests until admission decides on them.
//
// A decision that arrives before its coroutine has begun to wait is stored.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace laburnumdyke {

using admission_decision = std::variant<grant, queue_refusal>;

class grant_waiters
{
public:
  explicit grant_waiters(kernel& aKernel);

  // Passes the decisions in aChanges to their requests and wakes these.
  void Deliver(const admission_changes& aChanges);

  // Waits for the decision on a queued request. Returns nullopt if there is
  // none by the deadline; the request must then be withdrawn.
  asio::awaitable<std::optional<admission_decision>> Wait(
    request_number aNumber,
    instant aDeadline);

  // Removes the entry of a request and returns its decision, if there is one.
  // Must not be called while a coroutine waits for it.
  std::optional<admission_decision> Collect(request_number aNumber);

private:
  struct waiter
  {
    std::shared_ptr<asio::steady_timer> mTimer; // null before Wait()
    std::optional<admission_decision> mDecision;
  };

  struct waiter_map
  {
    static constexpr lock_rank kLockRank = lock_rank::Waiters;
    std::map<request_number, waiter> mWaiters;
  };

  void Notify(request_number aNumber, admission_decision aDecision);

  kernel& mKernel;
  table<waiter_map> mMap;
};

} // namespace laburnumdyke
