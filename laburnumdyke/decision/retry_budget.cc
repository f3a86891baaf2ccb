// A bucket that successes fill and retries drain.
#include "laburnumdyke/decision/retry_budget.h"

#include <algorithm>

namespace laburnumdyke {

void
retry_budget::CountRequest(instant)
{
}

void
retry_budget::CountSuccess(instant)
{
  mBalance = std::min(mBalance + kEarnedPerSuccess, kMost);
}

bool
retry_budget::TakeRetry(instant)
{
  if (mBalance < 1) {
    return false;
  }
  mBalance -= 1;
  return true;
}

} // namespace laburnumdyke
