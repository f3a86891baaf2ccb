// Which part of the requests of a service leaves the instance's own region.
//
// Load pattern: a region with few upstreams under waves and bursts. Where its
// own upstreams are full, others help; but the part that leaves may change only
// slowly, or the load of whole regions swings. Each instance limits its own
// part alike, so that the sum moves no faster and nobody needs to talk.
//
// The part is of all requests, those turned away included: a region that is
// full for a while then has its whole part served outside.
//
// Usage:
//   spill_side side = spill.Decide(wantsOutside, insideAdmits, now);
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>

namespace laburnumdyke {

struct region_spill_options
{
  // Most by which the part may change from one window to the next.
  double mMostShift = 0.15;
  std::chrono::milliseconds mWindow{ 2000 };
  // The part that leaves before anything is known of the load.
  double mFirstShare = 0;
};

enum class spill_side
{
  Inside,
  Outside,
  Neither, // the region is full, and no more may leave it
};

class region_spill
{
public:
  explicit region_spill(region_spill_options aOptions = {})
    : mOptions(aOptions)
    , mWanted(aOptions.mFirstShare)
    , mShare(aOptions.mFirstShare)
  {
  }

  // Where the next request runs. aWants: it would be better served outside;
  // aInsideAdmits: an upstream of the region takes it.
  spill_side Decide(bool aWants, bool aInsideAdmits, instant aNow);

  double Share() const { return mShare; }

private:
  region_spill_options mOptions;
  double mWanted;     // part of the requests that would leave
  double mShare;      // part that leaves
  double mCredit = 0; // requests that may leave
  instant mLast{};
  bool mStarted = false;
};

} // namespace laburnumdyke
