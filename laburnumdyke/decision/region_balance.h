// Divides the demand for a service among regions so that all regions have the
// same utilisation.
//
// Load pattern: a region has a third of the callers and an eighth of the
// upstreams. Without a division made in advance its upstreams fill up, its
// callers are refused, and the upstreams of other regions stay idle: the share
// that leaves a region may change only slowly, so it can't follow a flood. A
// share that is right from the first request on need not change.
//
// The share is one of objects, by hash, so that an object stays cached in one
// region while the division doesn't change.
//
// Usage:
//   region_balance balance(capacities, ownRegion);
//   if (balance.IsAssignedRemotely(object)) ...
#pragma once

#include "laburnumdyke/decision/types.h"

#include <map>
#include <string_view>

namespace laburnumdyke {

// Slots of a region's upstreams, and its demand. Demand may be in any unit:
// only the regions' shares of it are used.
struct region_capacity
{
  double mSlots = 0;
  double mDemand = 0;
};

class region_balance
{
public:
  // Weight of a region without spare slots, as a receiver of requests.
  static constexpr double kMinWeight = 0.05;

  // Everything stays in its region, and all regions are equal receivers.
  region_balance() = default;
  // Nothing leaves aOwn if the slots or the demand of all regions are zero, or
  // if no other region has demand.
  region_balance(const std::map<region_id, region_capacity>& aCapacities,
                 const region_id& aOwn);

  // aRemoteShare: part of the own region's requests that others serve, 0 to 1.
  // aReceivers: part of those for each other region; sum 1. aSlots: slots of
  // the service by region. The caller limits how fast they change.
  region_balance(double aRemoteShare,
                 const std::map<region_id, double>& aReceivers,
                 const std::map<region_id, double>& aSlots);

  // Share of the own region's requests that other regions serve, 0 to 1.
  double RemoteShare() const { return mRemoteShare; }

  // Weight of a slot of the region as a receiver: the part of its slots that
  // its own demand leaves spare, at least kMinWeight and at most 1.
  double Weight(const region_id& aRegion) const;

  // Whether the object belongs to the remote share; an empty one, which stands
  // for none, doesn't. The same on all instances with the same capacities; a
  // growing share only adds objects.
  bool IsAssignedRemotely(std::string_view aObject) const;

private:
  double mRemoteShare = 0;
  std::map<region_id, double> mWeights; // by region other than the own
};

} // namespace laburnumdyke
