// The timers of coroutines that wait for a change of the table that has this
// set as a member.
//
// Usage, under the table's lock:
//   waiters.Add(timer);    // before the first look-up
//   waiters.CancelAll();   // after a change
//   waiters.Remove(timer); // before the timer's executor ends
#pragma once

#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace laburnumdyke {

class timer_set
{
public:
  using timer = std::shared_ptr<asio::steady_timer>;

  void Add(const timer& aTimer) { mTimers.insert(aTimer); }
  void Remove(const timer& aTimer) { mTimers.erase(aTimer); }

  // Each timer is cancelled on its own strand.
  void CancelAll() const
  {
    for (const timer& one : mTimers) {
      asio::post(one->get_executor(), [one]() { one->cancel(); });
    }
  }

private:
  std::set<timer> mTimers;
};

} // namespace laburnumdyke
