// Limits how fast the requests of a region move between the regions in which
// they run, where the division among regions follows measured demand.
//
// Load pattern: callers move between regions, demand comes in waves with a
// different phase in each region, and bursts fill up one region. The part of a
// region's requests that leaves it and the parts of the regions that receive
// them all change. Of a region's requests, only a part may change the region in
// which they run from one window (region_spillover_options::mWindow) to the
// next, whatever the cause.
//
// The shares of all regions follow their target at a bounded total variation.
// Each instance limits its own shares, which bounds the change of the sum
// without coordination. The shares are of the requests that are served: while a
// region's upstreams fill up and serve fewer requests, fewer leave it too.
//
// Usage:
//   region_shares shares(options, ownRegion, initial);
//   shares.SetTarget(target);               // from demand
//   region_division division = shares.Division(); // objects are assigned by it
//   std::optional<region_id> chosen = shares.Decide(offers, now);
//
// Preview() takes the same arguments as Decide() and returns the same, without
// an effect on later decisions. Both return no region if none admits the
// request or the shares allow none that does.
#pragma once

#include "laburnumdyke/decision/rate_meter.h"
#include "laburnumdyke/decision/region_spillover.h"
#include "laburnumdyke/decision/types.h"

#include <map>
#include <optional>

namespace laburnumdyke {

// Parts by region, each from 0 to 1; their sum is 1, or 0 if there are none.
using share_map = std::map<region_id, double>;

// How the requests of a region are divided among regions.
struct region_division
{
  double mAway = 0;     // share that leaves the region, 0 to 1
  share_map mReceivers; // parts of the other regions in what leaves
};

// The cost, in seconds, of the best upstream of each region that admits a
// request.
using region_offers = std::map<region_id, double>;

class region_shares
{
public:
  // Smaller changes of the target (a part of the requests, 0 to 1) are ignored,
  // because an object that moves is slow at its new place.
  static constexpr double kMinChange = 0.2;

  region_shares(region_spillover_options aOptions,
                region_id aOwn,
                region_division aInitial);

  // Sets the division that demand asks for. The division in force and the
  // shares follow it. Ignored if it differs from the present target by less
  // than kMinChange.
  void SetTarget(const region_division& aTarget);

  // The division in force. The same on all instances of a region that get the
  // same targets.
  const region_division& Division() const { return mState.mDivision; }

  // Decides in which region the next request runs.
  std::optional<region_id> Decide(const region_offers& aOffers, instant aNow);
  std::optional<region_id> Preview(const region_offers& aOffers,
                                   instant aNow) const;

  // Of this instance's requests that are served, by region: those of the
  // division, and more in a region that requests prefer at the moment.
  const share_map& Shares() const { return mState.mShares; }
  double RemoteShare() const { return 1 - mState.mShares.at(mOwn); }

private:
  // What decisions change.
  struct shares_state
  {
    region_division mDivision;
    share_map mPreferred; // smoothed parts of requests that prefer a region
    share_map mShares;
    std::map<region_id, double> mCredits; // requests that each region is due
    rate_meter mServed{ std::chrono::milliseconds(2000) };
    // One window after the last request that was served. Until then, refused
    // requests leave the credits unchanged.
    instant mServesUntil{};
    instant mLast{};
    bool mStarted = false;
  };

  share_map Desired(const shares_state& aState) const;
  void Advance(shares_state& aState,
               const region_offers& aOffers,
               instant aNow) const;
  std::optional<region_id> Select(const shares_state& aState,
                                  const region_offers& aOffers,
                                  instant aNow) const;
  std::optional<region_id> DecideFrom(shares_state& aState,
                                      const region_offers& aOffers,
                                      instant aNow) const;

  region_spillover_options mOptions;
  region_id mOwn;
  region_division mTarget;
  shares_state mState;
};

} // namespace laburnumdyke
