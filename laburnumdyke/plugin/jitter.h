// Spreads what instances do at a pace, so that they don't do it together.
//
// Usage:
//   jitter jittered(seed);
//   co_await SleepFor(jittered(kPace)); // a quarter less to a quarter more
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

  std::chrono::milliseconds operator()(std::chrono::milliseconds aTime)
  {
    std::uniform_int_distribution<std::int64_t> part(aTime.count() * 3 / 4,
                                                     aTime.count() * 5 / 4);
    return std::chrono::milliseconds(part(mRandom));
  }

  // One of aCount, each as likely.
  std::size_t Pick(std::size_t aCount)
  {
    std::uniform_int_distribution<std::size_t> any(0, aCount - 1);
    return any(mRandom);
  }

private:
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
