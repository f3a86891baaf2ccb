// Mean service times of a route, without waiting: one for known objects, which
// the upstream has served recently, and one for unknown objects.
//
// Load pattern: answers of one route take either a short or a long time,
// depending on the upstream's recent requests. Each answer is added to the
// nearer of the two means, so that how often one case occurs does not distort
// the mean of the other.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstddef>

namespace laburnumdyke {

class work_estimate
{
public:
  // aInitial is the estimate for unknown objects until the first answer.
  explicit work_estimate(duration aInitial)
    : mUnknown(aInitial)
    , mKnown(aInitial / 2)
  {
  }

  // Adds an answer. aWork: its service time, without waiting; aBytes: its size;
  // aKnown: whether its object is certainly known to the upstream.
  void AddSample(duration aWork, std::size_t aBytes, bool aKnown);

  duration Known() const { return mKnown; }
  duration Unknown() const { return mUnknown; }
  double Bytes() const { return mBytes; }

  // The ratio of the answer's service time to the mean of its kind.
  double Slowness(duration aWork, bool aKnown) const;

private:
  bool IsNearKnown(duration aWork) const;

  duration mUnknown;
  duration mKnown;
  double mBytes = 0;
  bool mHasUnknown = false;
  bool mHasKnown = false;
  bool mHasBytes = false;
};

} // namespace laburnumdyke
