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

  void Learn(duration aHeld)
  {
    mMean = mKnown ? mMean + (aHeld - mMean) / kSamples : aHeld;
    mKnown = true;
  }

  // Zero before the first sample.
  duration Mean() const { return mMean; }

  // Until a request with aAhead others before it gets one of aSlots slots,
  // all of them in use now.
  duration Wait(std::size_t aAhead, std::uint32_t aSlots) const
  {
    return mMean * static_cast<std::int64_t>(aAhead + 1) /
           std::max(static_cast<std::int64_t>(aSlots), std::int64_t(1));
  }

private:
  duration mMean{ 0 };
  bool mKnown = false;
};

} // namespace laburnumdyke
