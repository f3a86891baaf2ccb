// Each turn every service earns its weight, the richest is taken and pays the
// sum of weights. A seeded number of turns is played when a rotation starts.
#include "laburnumdyke/decision/service_rotation.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::uint64_t kMostTurns = 100; // of a start; covers percent weights

bool
SameServices(const std::vector<weighted_service>& aFirst,
             const std::vector<weighted_service>& aSecond)
{
  return std::equal(
    aFirst.begin(),
    aFirst.end(),
    aSecond.begin(),
    aSecond.end(),
    [](const weighted_service& aOne, const weighted_service& aOther) {
      return aOne.mService == aOther.mService && aOne.mWeight == aOther.mWeight;
    });
}

std::size_t
Turn(const std::vector<weighted_service>& aServices,
     std::vector<std::int64_t>& aCredit)
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    aCredit[i] += aServices[i].mWeight;
    sum += aServices[i].mWeight;
  }
  auto richest = std::max_element(aCredit.begin(), aCredit.end());
  *richest -= sum;
  return static_cast<std::size_t>(richest - aCredit.begin());
}

} // namespace

void
service_rotation::Restart(rotation& aRotation, const route_spec& aRoute) const
{
  aRotation.mServices = aRoute.mServices;
  aRotation.mCredit.assign(aRoute.mServices.size(), 0);
  std::uint64_t turns =
    RendezvousWeight(std::to_string(mSeed), aRoute.mName) % kMostTurns;
  for (std::uint64_t i = 0; i < turns; ++i) {
    Turn(aRotation.mServices, aRotation.mCredit);
  }
}

service_id
service_rotation::Next(const route_spec& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  rotation& rotation = mRotations[aRoute.mName];
  if (!SameServices(rotation.mServices, aRoute.mServices)) {
    Restart(rotation, aRoute);
  }
  std::size_t next = Turn(rotation.mServices, rotation.mCredit);
  return rotation.mServices[next].mService;
}

} // namespace laburnumdyke
