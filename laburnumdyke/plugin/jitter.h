// Adds jitter to periodic tasks, so that instances don't run them at the same
// time.
//
// Usage:
//   jitter jittered(seed);
//   co_await SleepFor(jittered(kPeriod)); // kPeriod, plus or minus 25 %
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace laburnumdyke {

class jitter
{
public:
  explicit jitter(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Returns a uniformly distributed time within 25 % of aTime.
  std::chrono::milliseconds operator()(std::chrono::milliseconds aTime)
  {
    std::uniform_int_distribution<std::int64_t> distribution(
      aTime.count() * 3 / 4, aTime.count() * 5 / 4);
    return std::chrono::milliseconds(distribution(mRandom));
  }

  // Returns a uniformly distributed index below aCount, which must not be 0.
  std::size_t Pick(std::size_t aCount)
  {
    std::uniform_int_distribution<std::size_t> index(0, aCount - 1);
    return index(mRandom);
  }

private:
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
