// The mean time that requests of one service hold a slot, and the expected
// waiting time in the queue that follows from it.
//
// Usage:
//   holdTime.AddSample(held);  // for each request that was answered
//   duration wait = holdTime.Wait(ahead, slots);
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <cstdint>

namespace laburnumdyke {

class hold_time
{
public:
  // The newest sample has a weight of 1 / kSamples in the mean.
  static constexpr std::int64_t kSamples = 16;
  static constexpr duration kMaxWait = std::chrono::hours(1);

  void AddSample(duration aHeld)
  {
    mMean = mHasSample ? mMean + (aHeld - mMean) / kSamples : aHeld;
    mHasSample = true;
  }

  // Zero before the first sample.
  duration Mean() const { return mMean; }

  // The expected time until a request with aAhead others before it gets one of
  // aSlots slots, all of which are in use now; kMaxWait if there are no slots.
  duration Wait(std::size_t aAhead, double aSlots) const
  {
    if (aSlots <= 0) {
      return kMaxWait;
    }
    double rounds = static_cast<double>(aAhead + 1) / aSlots;
    return std::min(std::chrono::duration_cast<duration>(mMean * rounds),
                    kMaxWait);
  }

private:
  duration mMean{ 0 };
  bool mHasSample = false;
};

} // namespace laburnumdyke
