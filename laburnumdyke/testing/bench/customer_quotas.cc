// Reports, sums and totals are sent at once in each period; each arrives after
// its way, so that totals are two periods old.
#include "laburnumdyke/testing/bench/customer_quotas.h"

#include <string>
#include <utility>

namespace laburnumdyke::bench {

namespace {

constexpr double kUsualMargin = 1.2; // of the rate, above the usual demand

customer_id
Name(std::size_t aCustomer)
{
  return { "customer-" + std::to_string(aCustomer) };
}

std::vector<customer_spec>
Customers(const world& aWorld)
{
  std::vector<customer_spec> customers;
  const std::vector<bench_customer>& all = aWorld.Scenario().mCustomers;
  for (std::size_t i = 0; i < all.size(); ++i) {
    customer_spec one;
    one.mName = Name(i);
    double rate = aWorld.UsualRate() * all[i].mShare * kUsualMargin;
    one.mQuota = { rate, rate };
    customers.push_back(std::move(one));
  }
  return customers;
}

} // namespace

customer_quotas::customer_quotas(world& aWorld, std::vector<domain_id> aDomains)
  : mWorld(aWorld)
{
  if (!aWorld.Scenario().mQuotas) {
    return;
  }
  std::vector<customer_spec> customers = Customers(aWorld);
  std::uint64_t seed = 0;
  for (domain_id& domain : aDomains) {
    fleet_quota_options options;
    options.mSeed = ++seed;
    mInstances.push_back({ std::move(domain), fleet_quota(options), {} });
    mInstances.back().mQuota.SetFleetSize(aDomains.size());
    mInstances.back().mQuota.SetCustomers(customers);
  }
  Exchange();
}

bool
customer_quotas::Admit(std::size_t aInstance, std::size_t aCustomer)
{
  return mInstances.empty() || mInstances.at(aInstance)
                                 .mQuota.Admit(Name(aCustomer), mWorld.Now())
                                 .mAdmitted;
}

std::size_t
customer_quotas::CollectorOf(std::size_t aInstance) const
{
  std::size_t first = aInstance;
  while (first > 0 &&
         mInstances[first - 1].mDomain == mInstances[aInstance].mDomain) {
    --first;
  }
  return first;
}

void
customer_quotas::After(std::size_t aFrom,
                       std::size_t aTo,
                       std::function<void(instance&)> aAction)
{
  const domain_id& from = mInstances[aFrom].mDomain;
  const domain_id& to = mInstances[aTo].mDomain;
  if (!mWorld.Reaches(from, to)) {
    return;
  }
  mWorld.Events().After(
    mWorld.Deployment().Delay(from, to),
    [this, aTo, action = std::move(aAction)]() { action(mInstances[aTo]); });
}

void
customer_quotas::Exchange()
{
  instant now = mWorld.Now();
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    std::size_t collector = CollectorOf(i);
    usage_list own = mInstances[i].mQuota.Report(now);
    instance_id name{ std::to_string(i) };
    After(i, collector, [this, name, own](instance& aCollector) {
      aCollector.mCollector.ReportInstance(name, own, mWorld.Now());
    });
    usage_list totals = mInstances[collector].mCollector.FleetUsage(now);
    mInstances[collector].mQuota.RemoveUnlisted(totals);
    After(collector, i, [this, totals](instance& aMember) {
      aMember.mQuota.SetTotals(totals, mWorld.Now());
    });
    if (collector != i) {
      continue;
    }
    domain_id domain = mInstances[i].mDomain;
    usage_list sum = mInstances[i].mCollector.DomainUsage(now);
    for (std::size_t other = 0; other < mInstances.size(); ++other) {
      if (other != i && CollectorOf(other) == other) {
        After(i, other, [this, domain, sum](instance& aCollector) {
          aCollector.mCollector.ReportDomain(domain, sum, mWorld.Now());
        });
      }
    }
  }
  mWorld.Events().After(kUsagePeriod, [this]() { Exchange(); });
}

} // namespace laburnumdyke::bench
