// Splits the requests of a route among services by weight.
//
// Load pattern: a route at a few requests a second to each of many instances,
// judged over windows of seconds. Smooth weighted round robin keeps each
// instance within one request of the weights at any moment; a start of its own
// for each instance keeps the instances from sending their first requests all
// to the heaviest service.
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

  // The service for the next request of a route. Weights of zero get none,
  // unless all are zero.
  service_id Next(const route_spec& aRoute);

private:
  struct rotation
  {
    std::vector<weighted_service> mServices; // as seen last
    std::vector<std::int64_t> mCredit;
  };

  void Restart(rotation& aRotation, const route_spec& aRoute) const;

  std::uint64_t mSeed;
  std::map<std::string, rotation> mRotations; // by the route's name
};

} // namespace laburnumdyke
