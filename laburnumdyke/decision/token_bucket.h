// Limits how often something may be done: a rate, and a number at once.
//
// Usage:
//   token_bucket bucket(5, 5);
//   if (!bucket.Take(now)) ... refuse
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>

namespace laburnumdyke {

class token_bucket
{
public:
  // aPerSecond: sustained rate; aBurst: number at once.
  token_bucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  bool Take(instant aNow)
  {
    std::chrono::duration<double> elapsed =
      std::max(duration(0), duration(aNow - mLast));
    mTokens = std::min(mBurst, mTokens + elapsed.count() * mPerSecond);
    mLast = std::max(mLast, aNow);
    bool taken = mTokens >= 1;
    mTokens -= taken ? 1 : 0;
    return taken;
  }

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  instant mLast{};
};

} // namespace laburnumdyke
