// Sizes are the users' own; service times and deadlines are the load model's.
#include "laburnumdyke/testing/bench/deployment.h"

namespace laburnumdyke::bench {

using namespace std::chrono_literals;

double
service_load::Capacity() const
{
  return mUpstreams * mSlots / std::chrono::duration<double>(mWork).count();
}

std::vector<domain_id>
deployment::Domains() const
{
  std::vector<domain_id> domains;
  for (const std::string& region : mRegions) {
    for (std::uint32_t i = 0; i < mDomainsPerRegion; ++i) {
      domains.push_back({ region + "-" + std::to_string(i + 1) });
    }
  }
  return domains;
}

region_id
deployment::RegionOf(const domain_id& aDomain) const
{
  return { aDomain.mValue.substr(0, aDomain.mValue.rfind('-')) };
}

duration
deployment::Delay(const domain_id& aFrom, const domain_id& aTo) const
{
  if (aFrom == aTo) {
    return mDomainDelay / 2;
  }
  return RegionOf(aFrom) == RegionOf(aTo) ? mDomainDelay : mRegionDelay;
}

document
deployment::Document() const
{
  document made;
  std::vector<domain_id> domains = Domains();
  for (const service_load& load : mLoads) {
    service_spec service;
    service.mRank = load.mRank;
    service.mIdempotent = load.mIdempotent;
    service.mWarmUp = kWarmUp;
    service.mDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      load.mDeadline * kLongestDeadline);
    made.mServices[load.mService] = service;
    for (std::uint32_t i = 0; i < load.mUpstreams; ++i) {
      upstream_spec spec;
      spec.mService = load.mService;
      spec.mDomain = domains.at(i % domains.size());
      spec.mSlots = load.mSlots;
      spec.mConnections = load.mConnections;
      made.mUpstreams[{ load.mService.mValue + "-" + std::to_string(i + 1) }] =
        spec;
    }
  }
  made.mRanks = { rank_spec{ 50, 64 }, { 30, 64 }, { 10, 16 } };
  return made;
}

deployment
Brackwater()
{
  deployment made;
  made.mName = "brackwater";
  made.mRegions = { "leinster", "munster", "connacht" };
  made.mEntriesPerDomain = 3;
  made.mDomainDelay = 1ms;
  made.mRegionDelay = 12ms;
  made.mClientDelay = 3ms;
  made.mLoads = {
    service_load{
      { "booking" }, work_rank::Urgent, 12, 3, 650, 80ms, 2s, false },
    { { "job-sheet" }, work_rank::Standard, 16, 3, 650, 50ms, 2s, true },
    { { "report" }, work_rank::Bulk, 12, 3, 650, 2s, 20s, true }
  };
  return made;
}

deployment
Kamishiro()
{
  deployment made;
  made.mName = "kamishiro";
  made.mRegions = { "fukuoka", "kumamoto", "kagoshima" };
  made.mEntriesPerDomain = 4;
  made.mDomainDelay = 500us;
  made.mRegionDelay = 35ms;
  made.mClientDelay = 8ms;
  made.mLoads = {
    service_load{
      { "receipt" }, work_rank::Urgent, 12, 5, 800, 80ms, 2s, false },
    { { "parcel-status" }, work_rank::Standard, 22, 6, 800, 40ms, 2s, true },
    { { "scan" }, work_rank::Bulk, 12, 3, 800, 3s, 30s, true }
  };
  return made;
}

namespace {

// One of twenty sends five times its usual.
std::vector<bench_customer>
OneHotCustomer()
{
  std::vector<bench_customer> customers(20, { 0.05, 1 });
  customers.front().mHot = 5;
  return customers;
}

} // namespace

std::vector<scenario>
Scenarios()
{
  std::vector<scenario> all;
  all.push_back({ .mName = "load 0.7" });
  all.push_back({ .mName = "load 0.95", .mLoad = 0.95 });
  all.push_back({ .mName = "bulk flood 5x", .mFlood = { 1, 1, 5 } });
  all.push_back({ .mName = "bulk flood 20x", .mFlood = { 1, 1, 20 } });
  all.push_back({ .mName = "urgent flood 5x", .mFlood = { 5, 1, 1 } });
  all.push_back({ .mName = "one pool", .mOnePool = true });
  all.push_back({ .mName = "one pool, bulk flood 5x",
                  .mFlood = { 1, 1, 5 },
                  .mOnePool = true });
  all.push_back({ .mName = "one pool, urgent flood 5x",
                  .mFlood = { 5, 1, 1 },
                  .mOnePool = true });
  all.push_back({ .mName = "half cold", .mHalfCold = true });
  all.push_back({ .mName = "reports lag 10 s", .mReportLag = 10s });
  all.push_back({ .mName = "reports stopped", .mReports = false });
  all.push_back({ .mName = "entry frozen 5 s", .mFreeze = true });
  all.push_back({ .mName = "region dead", .mRegionDead = true });
  all.push_back({ .mName = "region cut off", .mRegionCut = true });
  all.push_back({ .mName = "region dead, bulk flood 5x",
                  .mFlood = { 1, 1, 5 },
                  .mRegionDead = true });
  all.push_back({ .mName = "region cut off, entry frozen",
                  .mFreeze = true,
                  .mRegionCut = true });
  all.push_back({ .mName = "hot customer, no quotas",
                  .mLoad = 0.9,
                  .mCustomers = OneHotCustomer() });
  all.push_back({ .mName = "hot customer",
                  .mLoad = 0.9,
                  .mCustomers = OneHotCustomer(),
                  .mQuotas = true });
  return all;
}

} // namespace laburnumdyke::bench
