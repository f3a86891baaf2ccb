// Latency histograms by label, on Boost.Histogram.
//
// Buckets are logarithmic from 10 microseconds to 100 seconds, ten per decade,
// with an underflow and an overflow bucket.
#pragma once

#include "laburnumdyke/kernel/guarded.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct latency_bucket
{
  std::chrono::microseconds mUpperBound; // max() for overflow
  std::uint64_t mCount;                  // in this bucket alone, not cumulative
};

struct latency_summary
{
  std::string mLabel;
  std::uint64_t mCount = 0;
  std::chrono::microseconds mMedian{ 0 };
  std::chrono::microseconds mP99{ 0 };
  std::chrono::microseconds mP999{ 0 };
  std::vector<latency_bucket> mBuckets;
};

class latency_table
{
public:
  latency_table();
  ~latency_table();

  // Adds one sample. Labels are created on first use.
  void Record(std::string_view aLabel, std::chrono::nanoseconds aLatency);

  // One summary per label, sorted by label. A quantile is the upper bound of
  // the bucket that it falls in.
  std::vector<latency_summary> Summaries();

private:
  struct state;
  guarded<std::unique_ptr<state>, lock_rank::Latency> mState;
};

} // namespace laburnumdyke
