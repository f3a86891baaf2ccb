// How long the work of a route takes, on objects that an upstream knows and on
// others.
//
// Load pattern: answers of one route that take either a short or a long time,
// by what the upstream did lately. Each answer counts for the nearer of the
// two means, so that neither is blurred by how often the other occurs.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstddef>

namespace laburnumdyke {

class work_estimate
{
public:
  // aFirst is assumed for unknown objects until an answer has come.
  explicit work_estimate(duration aFirst)
    : mUnknown(aFirst)
    , mKnown(aFirst / 2)
  {
  }

  // An answer's work, without waiting; aKnown: on an object that the upstream
  // certainly knows.
  void Learn(duration aWork, std::size_t aBytes, bool aKnown);

  duration Known() const { return mKnown; }
  duration Unknown() const { return mUnknown; }
  double Bytes() const { return mBytes; }

  // The answer's work against that of a usual upstream.
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
