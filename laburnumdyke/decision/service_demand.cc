// Silent reporters are dropped, not kept as in customer_usage.cc: the receivers
// scale the sums up by the number of instances that are missing.
#include "laburnumdyke/decision/service_demand.h"

#include <utility>

#include <xxhash.h>

namespace laburnumdyke {

namespace {

// Demand below it is not reported, in requests per second.
constexpr double kMinRate = 0.01;

void
Add(demand_report& aSum, std::uint32_t aReporters, const demand_list& aDemand)
{
  aSum.mReporters += aReporters;
  for (const demand_list::value_type& each : aDemand) {
    aSum.mDemand[each.first] += each.second;
  }
}

template<class Map>
void
DropSilent(Map& aReports, instant aNow)
{
  std::erase_if(aReports, [&](const typename Map::value_type& aOne) {
    return aNow - aOne.second.mReceived > demand_collector::kSilentAfter;
  });
}

} // namespace

service_key
KeyOf(const service_id& aService)
{
  return XXH3_64bits(aService.mValue.data(), aService.mValue.size());
}

void
demand_meter::Count(const service_id& aService, instant aNow)
{
  mRates.try_emplace(KeyOf(aService), kTimeConstant).first->second.Add(aNow);
}

demand_list
demand_meter::Report(instant aNow) const
{
  demand_list demand;
  for (const std::pair<const service_key, rate_meter>& each : mRates) {
    double rate = each.second.At(aNow);
    if (rate >= kMinRate) {
      demand[each.first] = rate;
    }
  }
  return demand;
}

double
demand_meter::Rate(const service_id& aService, instant aNow) const
{
  auto found = mRates.find(KeyOf(aService));
  return found == mRates.end() ? 0 : found->second.At(aNow);
}

void
demand_collector::ReportInstance(const instance_id& aInstance,
                                 demand_list aDemand,
                                 instant aNow)
{
  mInstances[aInstance] = { std::move(aDemand), aNow };
}

void
demand_collector::ReportDomain(const domain_id& aDomain,
                               const region_id& aRegion,
                               demand_report aDemand,
                               instant aNow)
{
  mDomains[aDomain] = { aRegion, std::move(aDemand), aNow };
}

demand_report
demand_collector::DomainDemand(instant aNow)
{
  DropSilent(mInstances, aNow);
  demand_report sum;
  for (const std::pair<const instance_id, instance_state>& each : mInstances) {
    Add(sum, 1, each.second.mDemand);
  }
  return sum;
}

demand_totals
demand_collector::FleetDemand(const region_id& aOwn, instant aNow)
{
  DropSilent(mDomains, aNow);
  demand_totals totals;
  totals[aOwn] = DomainDemand(aNow);
  for (const std::pair<const domain_id, domain_state>& each : mDomains) {
    const demand_report& report = each.second.mReport;
    Add(totals[each.second.mRegion], report.mReporters, report.mDemand);
  }
  return totals;
}

} // namespace laburnumdyke
