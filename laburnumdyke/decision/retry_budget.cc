// A ring of counts by step of the window. A token bucket was the other way: it
// keeps what was earned before an outage and spends it in one burst during it.
#include "laburnumdyke/decision/retry_budget.h"

#include "laburnumdyke/kernel/invariant.h"

#include <string>

namespace laburnumdyke {

retry_budget::step&
retry_budget::At(instant aNow)
{
  std::int64_t index = aNow.time_since_epoch() / kStep;
  step& current = mSteps.at(static_cast<std::size_t>(index) % kSteps);
  if (current.mIndex != index) {
    current = { index, 0, 0 };
  }
  return current;
}

retry_budget::step
retry_budget::SumOfWindow(instant aNow) const
{
  std::int64_t index = aNow.time_since_epoch() / kStep;
  step sum;
  for (const step& one : mSteps) {
    if (one.mIndex >= 0 &&
        index - one.mIndex < static_cast<std::int64_t>(kSteps)) {
      sum.mSuccesses += one.mSuccesses;
      sum.mRetries += one.mRetries;
    }
  }
  return sum;
}

// Requests earn nothing; counting them here keeps the ring current.
void
retry_budget::CountRequest(instant aNow)
{
  At(aNow);
}

void
retry_budget::CountSuccess(instant aNow)
{
  ++At(aNow).mSuccesses;
}

bool
retry_budget::TakeRetry(instant aNow)
{
  step sum = SumOfWindow(aNow);
  std::uint64_t budget = kReserve + sum.mSuccesses / kSuccessesPerRetry;
  if (sum.mRetries >= budget) {
    return false;
  }
  ++At(aNow).mRetries;
  step spent = SumOfWindow(aNow);
  CheckInvariant(spent.mRetries <= budget, "retry_budget_overspent", [&]() {
    return "retries=" + std::to_string(spent.mRetries) +
           " budget=" + std::to_string(budget);
  });
  return true;
}

} // namespace laburnumdyke
