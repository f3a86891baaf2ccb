// Limits the spillover of a service: the share of its requests that goes to
// other regions.
//
// Load pattern: a region with few upstreams under waves and bursts. When its
// own upstreams are full, other regions take requests, but the remote share may
// change only slowly, or the load of whole regions oscillates. Each instance
// limits its own share, which bounds the change of the sum without
// coordination.
//
// The share is of the requests that are served: while the region's upstreams
// fill up and serve fewer of the requests, fewer leave it too. Only if the
// region serves nothing is the share one of all requests.
//
// Usage:
//   spillover.SetMinShare(balance.RemoteShare());
//   spillover_decision decision =
//     spillover.Decide(prefersRemote, localAdmits, now, remoteAdmits);
// Preview() takes the same arguments and returns what Decide() would return,
// without an effect on later decisions.
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
  Refuse, // no upstream that the share allows admits the request
};

class region_spillover
{
public:
  explicit region_spillover(region_spillover_options aOptions = {})
    : mOptions(aOptions)
    , mState{ aOptions.mInitialShare, aOptions.mInitialShare }
  {
  }

  // Sets the share, 0 to 1, that leaves the region also at low load. The share
  // follows at its bounded rate.
  void SetMinShare(double aShare) { mMinShare = aShare; }

  // Decides where the next request is sent. aPrefersRemote: a remote upstream
  // would serve it better; aLocalAdmits, aRemoteAdmits: an upstream of the
  // region or of another one admits it.
  spillover_decision Decide(bool aPrefersRemote,
                            bool aLocalAdmits,
                            instant aNow,
                            bool aRemoteAdmits = true);

  // What Decide() would return.
  spillover_decision Preview(bool aPrefersRemote,
                             bool aLocalAdmits,
                             instant aNow,
                             bool aRemoteAdmits = true) const;

  double Share() const { return mState.mShare; }

private:
  // What decisions change.
  struct spillover_state
  {
    double mDesiredShare = 0; // smoothed share of requests that prefer remote
    double mShare = 0;        // share sent to other regions
    double mCredit = 0;       // requests that may be sent to other regions
    instant mServesLocallyUntil{};
    instant mLast{};
    bool mStarted = false;
  };

  // Moves the share towards the desired one.
  void Advance(spillover_state& aState,
               bool aPrefersRemote,
               instant aNow) const;
  spillover_decision DecideFrom(spillover_state& aState,
                                bool aPrefersRemote,
                                bool aLocalAdmits,
                                instant aNow,
                                bool aRemoteAdmits) const;

  region_spillover_options mOptions;
  double mMinShare = 0;
  spillover_state mState;
};

} // namespace laburnumdyke
