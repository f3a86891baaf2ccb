// How upstream_steering uses the division of requests by measured demand.
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

region_slots
upstream_steering::SlotsOf(const std::vector<const upstream*>& aUpstreams) const
{
  region_slots slots;
  for (const upstream* known : aUpstreams) {
    if (TakesRequests(*known)) {
      slots[known->mRegion] += known->mEntry.mSlots;
    }
  }
  return slots;
}

std::optional<demand_view>
upstream_steering::DemandOf(const service_id& aService, instant aNow)
{
  const std::vector<const upstream*>& upstreams = UpstreamsOf(aService);
  if (!DividesByDemand()) {
    mDemand.Drop(aService);
    return std::nullopt;
  }
  return mDemand.Prepare(aService, SlotsOf(upstreams), aNow);
}

upstream_steering::best_by_region
upstream_steering::BestByRegion(const std::vector<candidate>& aCandidates)
{
  best_by_region best;
  for (const candidate& one : aCandidates) {
    if (one.mAdmits) {
      const candidate*& known = best[one.mUpstream->mRegion];
      known = known == nullptr || one.mCost < known->mCost ? &one : known;
    }
  }
  return best;
}

region_offers
upstream_steering::OffersOf(const best_by_region& aBest)
{
  region_offers offers;
  for (const best_by_region::value_type& each : aBest) {
    offers[each.first] = each.second->mCost;
  }
  return offers;
}

std::vector<std::pair<service_id, demand_explanation>>
upstream_steering::DescribeDemand(std::size_t aLimit, instant aNow)
{
  std::vector<std::pair<service_id, demand_explanation>> described;
  for (const service_id& service : mDemand.Busiest(aLimit, aNow)) {
    described.emplace_back(
      service, mDemand.Describe(service, SlotsOf(UpstreamsOf(service)), aNow));
  }
  return described;
}

} // namespace laburnumdyke
