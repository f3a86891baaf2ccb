// A retry budget: limits retries, including repeated relays, to a share of the
// successes in a sliding window of kWindow.
//
// Usage:
//   budget.CountRequest(now);  // for each request
//   budget.CountSuccess(now);  // for each success
//   if (budget.TakeRetry(now)) ... retry
//
// Failures add nothing to the budget, so retries cannot amplify an outage:
// without successes an instance makes at most kMinRetries retries in a window.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace laburnumdyke {

class retry_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Retries;
  static constexpr std::chrono::seconds kWindow{ 10 };
  static constexpr std::uint64_t kSuccessesPerRetry = 10;
  // Retries in a window that need no successes.
  static constexpr std::uint64_t kMinRetries = 10;

  void CountRequest(instant aNow);
  void CountSuccess(instant aNow);

  // Takes one retry from the budget; returns false if none is left.
  bool TakeRetry(instant aNow);

private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr duration kBucketTime = duration(kWindow) / kBuckets;

  struct bucket
  {
    std::int64_t mIndex = -1; // start time, in units of kBucketTime
    std::uint64_t mSuccesses = 0;
    std::uint64_t mRetries = 0;
  };

  bucket& BucketAt(instant aNow);
  bucket SumOfWindow(instant aNow) const;

  std::array<bucket, kBuckets> mBuckets{};
};

} // namespace laburnumdyke
