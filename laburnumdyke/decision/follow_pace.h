// When a follower asks its reader for news, and when it reads the platform
// itself.
//
// Load pattern: upstreams that leave while a reader freezes, stops or has no
// news. A follower must know of each within the bound, so that what counts is
// how old its knowledge is: the age of what it was told included, since a
// reader may tell what it read a while ago.
//
// Usage:
//   pace.Known(as of);
//   wait = pace.MayFollow(now);         // for news
//   if (!told && !pace.MayAskAgain(now)) ... read the platform
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>

namespace laburnumdyke {

class follow_pace
{
public:
  // aBound: until a leaving upstream must get nothing more.
  explicit follow_pace(std::chrono::milliseconds aBound)
    : mBound(aBound)
  {
  }

  // Everything up to aAsOf is known.
  void Known(instant aAsOf) { mKnown = std::max(mKnown, aAsOf); }

  // The age of what is known.
  std::chrono::milliseconds Age(instant aNow) const;

  // Between two readings of one that reads the platform, before jitter.
  std::chrono::milliseconds ReadEvery() const;

  // How long news may be waited for.
  std::chrono::milliseconds MayFollow(instant aNow) const;

  // Whether a reader that had no news may be asked again, in place of a
  // reading of our own.
  bool MayAskAgain(instant aNow) const;

private:
  std::chrono::milliseconds mBound;
  instant mKnown{};
};

} // namespace laburnumdyke
