// Smooth weighted round robin: each turn adds every service's weight to its
// credit, selects the largest credit and subtracts the sum of the weights from
// it. A rotation starts by advancing a number of turns that depends on the
// seed.
#include "laburnumdyke/decision/service_rotation.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// A full cycle of weights in percent.
constexpr std::uint64_t kMaxInitialTurns = 100;

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
Advance(const std::vector<weighted_service>& aServices,
        std::vector<std::int64_t>& aCredit)
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    aCredit[i] += aServices[i].mWeight;
    sum += aServices[i].mWeight;
  }
  auto largest = std::max_element(aCredit.begin(), aCredit.end());
  *largest -= sum;
  return static_cast<std::size_t>(largest - aCredit.begin());
}

} // namespace

void
service_rotation::Restart(rotation& aRotation, const route_spec& aRoute) const
{
  aRotation.mServices = aRoute.mServices;
  aRotation.mCredit.assign(aRoute.mServices.size(), 0);
  std::uint64_t turns =
    RendezvousWeight(std::to_string(mSeed), aRoute.mName) % kMaxInitialTurns;
  for (std::uint64_t i = 0; i < turns; ++i) {
    Advance(aRotation.mServices, aRotation.mCredit);
  }
}

service_id
service_rotation::Turn(rotation& aRotation, const route_spec& aRoute) const
{
  if (!SameServices(aRotation.mServices, aRoute.mServices)) {
    Restart(aRotation, aRoute);
  }
  std::size_t next = Advance(aRotation.mServices, aRotation.mCredit);
  return aRotation.mServices[next].mService;
}

service_id
service_rotation::Next(const route_spec& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  return Turn(mRotations[aRoute.mName], aRoute);
}

service_id
service_rotation::Preview(const route_spec& aRoute) const
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  auto found = mRotations.find(aRoute.mName);
  rotation copy = found == mRotations.end() ? rotation() : found->second;
  return Turn(copy, aRoute);
}

} // namespace laburnumdyke
