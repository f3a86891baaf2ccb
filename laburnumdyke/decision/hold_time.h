// How long requests of one service hold a slot, learned from those that were
// answered, and the wait that follows from it.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <cstdint>

namespace laburnumdyke {

class hold_time
{
public:
  // One over the weight of the newest sample.
  static constexpr std::int64_t kSamples = 16;
  static constexpr duration kLongest = std::chrono::hours(1);

  void Learn(duration aHeld)
  {
    mMean = mKnown ? mMean + (aHeld - mMean) / kSamples : aHeld;
    mKnown = true;
  }

  // Zero before the first sample.
  duration Mean() const { return mMean; }

  // Until a request with aAhead others before it gets one of aSlots slots,
  // all of them in use now. Without slots, the longest time.
  duration Wait(std::size_t aAhead, double aSlots) const
  {
    if (aSlots <= 0) {
      return kLongest;
    }
    double turns = static_cast<double>(aAhead + 1) / aSlots;
    return std::min(std::chrono::duration_cast<duration>(mMean * turns),
                    kLongest);
  }

private:
  duration mMean{ 0 };
  bool mKnown = false;
};

} // namespace laburnumdyke
