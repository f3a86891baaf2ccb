// A region's fair part of the demand is its part of the slots. What its demand
// exceeds that by leaves; what it falls short by is spare for others.
#include "laburnumdyke/decision/region_balance.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>
#include <limits>

namespace laburnumdyke {

namespace {

// The hash of an object for its region must not depend on that for its
// upstream.
constexpr std::string_view kRegionCandidate = "remote-region";

} // namespace

region_balance::region_balance(
  const std::map<region_id, region_capacity>& aCapacities,
  const region_id& aOwn)
{
  double slots = 0;
  double demand = 0;
  for (const std::pair<const region_id, region_capacity>& each : aCapacities) {
    slots += each.second.mSlots;
    demand += each.second.mDemand;
  }
  auto own = aCapacities.find(aOwn);
  bool isDemandKnown =
    own != aCapacities.end() && demand > own->second.mDemand && slots > 0;
  if (!isDemandKnown) {
    return;
  }
  for (const std::pair<const region_id, region_capacity>& each : aCapacities) {
    double slotShare = each.second.mSlots / slots;
    double demandShare = each.second.mDemand / demand;
    if (each.first == aOwn) {
      mRemoteShare = demandShare > slotShare ? 1 - slotShare / demandShare : 0;
    } else if (slotShare > 0) {
      mWeights[each.first] = std::max(kMinWeight, 1 - demandShare / slotShare);
    }
  }
}

region_balance::region_balance(double aRemoteShare,
                               const std::map<region_id, double>& aReceivers,
                               const std::map<region_id, double>& aSlots)
  : mRemoteShare(aRemoteShare)
{
  double greatest = 0;
  for (const std::pair<const region_id, double>& receiver : aReceivers) {
    auto slots = aSlots.find(receiver.first);
    bool hasSlots = slots != aSlots.end() && slots->second > 0;
    double weight = hasSlots ? receiver.second / slots->second : 0;
    mWeights[receiver.first] = weight;
    greatest = std::max(greatest, weight);
  }
  for (std::pair<const region_id, double>& weight : mWeights) {
    weight.second =
      greatest > 0 ? std::max(kMinWeight, weight.second / greatest) : 1;
  }
}

double
region_balance::Weight(const region_id& aRegion) const
{
  auto found = mWeights.find(aRegion);
  return found == mWeights.end() ? 1 : found->second;
}

bool
region_balance::IsAssignedRemotely(std::string_view aObject) const
{
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  double position =
    static_cast<double>(RendezvousWeight(kRegionCandidate, aObject)) / kRange;
  return !aObject.empty() && position < mRemoteShare;
}

} // namespace laburnumdyke
