// Limits the spillover of a service: the share of its requests that goes to
// other regions.
//
// Load pattern: a region with few upstreams under waves and bursts. When its
// own upstreams are full, other regions take requests, but the remote share may
// change only slowly, or the load of whole regions oscillates. Each instance
// limits its own share, which bounds the change of the sum without
// coordination.
//
// The share is of all requests, refused ones included: a region that stays full
// for a while then has its whole remote share served by other regions.
//
// Usage:
//   spillover_decision decision =
//     spillover.Decide(prefersRemote, localAdmits, now);
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>

namespace laburnumdyke {

struct region_spillover_options
{
  // Maximum change of the remote share from one window to the next.
  double mMostShift = 0.15;
  std::chrono::milliseconds mWindow{ 2000 };
  // Remote share before anything is known about the load.
  double mInitialShare = 0;
};

enum class spillover_decision
{
  Local,
  Remote,
  Refuse, // the region is full and its remote share is used up
};

class region_spillover
{
public:
  explicit region_spillover(region_spillover_options aOptions = {})
    : mOptions(aOptions)
    , mDesiredShare(aOptions.mInitialShare)
    , mShare(aOptions.mInitialShare)
  {
  }

  // Decides where the next request is sent. aPrefersRemote: a remote upstream
  // would serve it better; aLocalAdmits: an upstream of the region admits it.
  spillover_decision Decide(bool aPrefersRemote,
                            bool aLocalAdmits,
                            instant aNow);

  double Share() const { return mShare; }

private:
  region_spillover_options mOptions;
  double mDesiredShare; // smoothed share of requests that prefer remote
  double mShare;        // share sent to other regions
  double mCredit = 0;   // requests that may be sent to other regions
  instant mLast{};
  bool mStarted = false;
};

} // namespace laburnumdyke
