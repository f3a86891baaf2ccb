// Retry budget of the whole fleet, per service.
//
// Load pattern: many requests fail at once, and every instance would retry its
// own. Per service and time window, the fleet may retry mRatio of its requests
// plus a fixed number, mExtra. Each instance may spend mRatio of its own
// requests and an equal part of mExtra, without coordination.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

namespace laburnumdyke {

struct fleet_budget_options
{
  double mRatio = 0.2; // retries per request
  double mExtra = 10;  // further retries of the fleet per window
  std::chrono::milliseconds mWindow{ 10000 };
};

class fleet_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Retries;

  explicit fleet_budget(fleet_budget_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Zero, the initial value, means that the size is unknown; no part of mExtra
  // may be spent then.
  void SetFleetSize(std::size_t aInstances);

  void CountRequest(const service_id& aService, instant aNow);

  // Spends one retry; returns false if this instance's allowance is used up.
  bool Take(const service_id& aService, instant aNow);

private:
  struct service_window
  {
    std::deque<instant> mRequests;
    std::deque<instant> mRetries;
  };

  void RemoveExpired(service_window& aWindow, instant aNow) const;

  fleet_budget_options mOptions;
  std::size_t mInstances = 0; // zero: unknown
  std::map<service_id, service_window> mWindows;
};

} // namespace laburnumdyke
