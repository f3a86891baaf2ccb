// Splits the requests of a route among services by weight.
//
// Load pattern: many instances, each with a few requests per second on a route,
// and a split measured over windows of seconds. Smooth weighted round robin
// keeps each instance within one request of the weights at any time. Each
// instance starts at a different position of the cycle, so that they do not all
// send their first requests to the service with the greatest weight.
#pragma once

#include "laburnumdyke/decision/route_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumdyke {

class service_rotation
{
public:
  explicit service_rotation(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  // Returns the service for the next request of a route. Services of weight
  // zero get no requests unless all weights are zero.
  service_id Next(const route_spec& aRoute);

  // What Next() would return, without taking the turn.
  service_id Preview(const route_spec& aRoute) const;

private:
  struct rotation
  {
    std::vector<weighted_service> mServices; // since the last Restart
    std::vector<std::int64_t> mCredit;
  };

  service_id Turn(rotation& aRotation, const route_spec& aRoute) const;
  void Restart(rotation& aRotation, const route_spec& aRoute) const;

  std::uint64_t mSeed;
  std::map<std::string, rotation> mRotations; // by route name
};

} // namespace laburnumdyke
