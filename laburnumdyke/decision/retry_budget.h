// A budget for retries and repeated hand-overs, as a share of recent requests
// that succeeded.
//
// Successes earn, retries spend. A flood of failures earns nothing, so it
// can't multiply itself. A small reserve lets an idle instance retry.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

namespace laburnumdyke {

class retry_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Retries;
  static constexpr double kEarnedPerSuccess = 0.1; // retries
  static constexpr double kReserve = 10;           // retries
  static constexpr double kMost = 100;             // retries

  void CountRequest(instant aNow);
  void CountSuccess(instant aNow);

  // Takes one retry from the budget; false where there is none.
  bool TakeRetry(instant aNow);

private:
  double mBalance = kReserve;
};

} // namespace laburnumdyke
