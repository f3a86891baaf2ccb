// Exponential decay of weights with time.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace laburnumdyke {

// The weight, 1 at first, that is left after aAge; aDecayTime is the time
// constant. A negative age counts as 0.
inline double
Decay(duration aAge, duration aDecayTime)
{
  double decayTimes = std::chrono::duration<double>(aAge) /
                      std::chrono::duration<double>(aDecayTime);
  return std::exp(-std::max(0.0, decayTimes));
}

} // namespace laburnumdyke
