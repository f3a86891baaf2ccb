// The budget for sending a request once more, shared by the whole fleet.
//
// Load pattern: many requests fail at once and every instance would repeat its
// own. Per service and window the fleet may send a share of its requests again
// and a fixed number besides; each instance spends the share of its own
// requests and an equal part of the fixed number, without asking anyone.
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
  double mRatio = 0.2; // repeats for each request
  double mExtra = 10;  // repeats of the fleet in a window besides
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

  // Zero, as at first: the size is not known, and nothing of the fixed number
  // may be spent.
  void SetFleetSize(std::size_t aInstances);

  void CountRequest(const service_id& aService, instant aNow);

  // Takes one repeat; false where the instance's part is spent.
  bool Take(const service_id& aService, instant aNow);

private:
  struct recent
  {
    std::deque<instant> mRequests;
    std::deque<instant> mRepeats;
  };

  void Forget(recent& aRecent, instant aNow) const;

  fleet_budget_options mOptions;
  std::size_t mInstances = 0; // zero: not known
  std::map<service_id, recent> mRecent;
};

} // namespace laburnumdyke
