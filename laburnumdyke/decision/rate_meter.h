// Rate of events, in events per second, as an exponential mean.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace laburnumdyke {

class rate_meter
{
public:
  explicit rate_meter(std::chrono::milliseconds aTimeConstant)
    : mTimeConstant(aTimeConstant)
  {
  }

  void Add(instant aNow, double aEvents = 1)
  {
    mRate = std::max(0.0, At(aNow) + aEvents / mTimeConstant.count());
    mLast = std::max(mLast, aNow);
  }

  double At(instant aNow) const
  {
    std::chrono::duration<double> elapsed =
      std::max(duration(0), duration(aNow - mLast));
    return mRate * std::exp(-elapsed.count() / mTimeConstant.count());
  }

private:
  std::chrono::duration<double> mTimeConstant;
  double mRate = 0; // at mLast
  instant mLast{};
};

} // namespace laburnumdyke
