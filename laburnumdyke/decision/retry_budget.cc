// Counts are kept in a ring of buckets that cover the window. A token bucket
// would keep the retries earned before an outage and spend them in one burst
// during it.
#include "laburnumdyke/decision/retry_budget.h"

#include "laburnumdyke/kernel/invariant.h"

#include <string>

namespace laburnumdyke {

retry_budget::bucket&
retry_budget::BucketAt(instant aNow)
{
  std::int64_t index = aNow.time_since_epoch() / kBucketTime;
  bucket& current = mBuckets.at(static_cast<std::size_t>(index) % kBuckets);
  if (current.mIndex != index) {
    current = { index, 0, 0 };
  }
  return current;
}

retry_budget::bucket
retry_budget::SumOfWindow(instant aNow) const
{
  std::int64_t index = aNow.time_since_epoch() / kBucketTime;
  bucket sum;
  for (const bucket& each : mBuckets) {
    if (each.mIndex >= 0 &&
        index - each.mIndex < static_cast<std::int64_t>(kBuckets)) {
      sum.mSuccesses += each.mSuccesses;
      sum.mRetries += each.mRetries;
    }
  }
  return sum;
}

// Requests add nothing to the budget; this only resets an outdated bucket.
void
retry_budget::CountRequest(instant aNow)
{
  BucketAt(aNow);
}

void
retry_budget::CountSuccess(instant aNow)
{
  ++BucketAt(aNow).mSuccesses;
}

bool
retry_budget::TakeRetry(instant aNow)
{
  bucket sum = SumOfWindow(aNow);
  std::uint64_t budget = kMinRetries + sum.mSuccesses / kSuccessesPerRetry;
  if (sum.mRetries >= budget) {
    return false;
  }
  ++BucketAt(aNow).mRetries;
  bucket spent = SumOfWindow(aNow);
  CheckInvariant(spent.mRetries <= budget, "retry_budget_overspent", [&]() {
    return "retries=" + std::to_string(spent.mRetries) +
           " budget=" + std::to_string(budget);
  });
  return true;
}

} // namespace laburnumdyke
