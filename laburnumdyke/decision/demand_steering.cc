// The target is computed anew for each request: it has a few regions, and
// slots, sums and the count of instances may all have changed.
#include "laburnumdyke/decision/demand_steering.h"

#include <algorithm>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

region_balance
BalanceBy(const region_shares& aShares, const region_slots& aSlots)
{
  const region_division& division = aShares.Division();
  return region_balance(division.mAway, division.mReceivers, aSlots);
}

} // namespace

void
demand_steering::SetFleet(const std::map<region_id, std::size_t>& aInstances,
                          bool aIsFirst)
{
  mDivision.SetFleet(aInstances);
  if (aIsFirst) {
    mShares.clear();
  }
}

void
demand_steering::SetTotals(demand_totals aTotals, instant aNow)
{
  mDivision.SetTotals(std::move(aTotals), aNow);
}

void
demand_steering::Count(const service_id& aService, instant aNow)
{
  mMeter.Count(aService, aNow);
}

demand_list
demand_steering::Report(instant aNow) const
{
  std::set<service_key> divided;
  for (const std::pair<const service_id, region_shares>& each : mShares) {
    divided.insert(KeyOf(each.first));
  }
  demand_list report = mMeter.Report(aNow);
  std::erase_if(report, [&](const demand_list::value_type& aOne) {
    return divided.count(aOne.first) == 0 && !mDivision.Knows(aOne.first, aNow);
  });
  return report;
}

demand_view
demand_steering::Prepare(const service_id& aService,
                         const region_slots& aSlots,
                         instant aNow)
{
  region_division target =
    Divide(mDivision.Capacities(aService, aSlots, aNow), mOwn);
  region_shares& shares =
    mShares.try_emplace(aService, mOptions, mOwn, target).first->second;
  shares.SetTarget(target);
  return { shares, BalanceBy(shares, aSlots) };
}

demand_preview
demand_steering::Preview(const service_id& aService,
                         const region_slots& aSlots,
                         instant aNow) const
{
  region_division target =
    Divide(mDivision.Capacities(aService, aSlots, aNow), mOwn);
  auto found = mShares.find(aService);
  region_shares shares = found == mShares.end()
                           ? region_shares(mOptions, mOwn, target)
                           : found->second;
  shares.SetTarget(target);
  return { shares, BalanceBy(shares, aSlots) };
}

demand_explanation
demand_steering::Describe(const service_id& aService,
                          const region_slots& aSlots,
                          instant aNow) const
{
  demand_explanation explanation;
  explanation.mAge = mDivision.Age(aNow);
  explanation.mOwnRate = mMeter.Rate(aService, aNow);
  share_map shares = Preview(aService, aSlots, aNow).mShares.Shares();
  for (const region_capacities::value_type& each :
       mDivision.Capacities(aService, aSlots, aNow)) {
    explanation.mRegions.push_back({ each.first,
                                     each.second.mDemand,
                                     each.second.mSlots,
                                     shares[each.first] });
  }
  return explanation;
}

std::vector<service_id>
demand_steering::Busiest(std::size_t aLimit, instant aNow) const
{
  std::vector<std::pair<double, service_id>> services;
  for (const std::pair<const service_id, region_shares>& each : mShares) {
    services.emplace_back(mMeter.Rate(each.first, aNow), each.first);
  }
  std::sort(services.rbegin(), services.rend());
  std::vector<service_id> busiest;
  for (const std::pair<double, service_id>& each : services) {
    if (busiest.size() < aLimit) {
      busiest.push_back(each.second);
    }
  }
  return busiest;
}

} // namespace laburnumdyke
