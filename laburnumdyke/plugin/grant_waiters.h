// Coroutines that wait for a slot.
//
// Admission decides; this wakes the coroutine whose request it decided about.
// A decision that arrives before its waiter has begun to wait is kept for it.
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

using wait_verdict = std::variant<grant, queue_refusal>;

class grant_waiters
{
public:
  explicit grant_waiters(kernel& aKernel);

  // Tells every request in aChanges what was decided.
  void Deliver(const admission_changes& aChanges);

  // Waits for the verdict on a queued request. Nothing where none came by the
  // deadline; the request must then be withdrawn.
  asio::awaitable<std::optional<wait_verdict>> Wait(request_number aNumber,
                                                    instant aDeadline);

  // The verdict on a request that is no longer waited for, if there is one.
  std::optional<wait_verdict> Collect(request_number aNumber);

private:
  struct waiter
  {
    std::shared_ptr<asio::steady_timer> mTimer; // null: not waiting yet
    std::optional<wait_verdict> mVerdict;
  };

  struct waiter_map
  {
    static constexpr lock_rank kLockRank = lock_rank::Waiters;
    std::map<request_number, waiter> mWaiters;
  };

  void Tell(request_number aNumber, wait_verdict aVerdict);

  kernel& mKernel;
  table<waiter_map> mMap;
};

} // namespace laburnumdyke
