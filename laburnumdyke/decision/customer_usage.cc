// Reports are rates, not counts, so that a lost message or a restarted reporter
// needs no correction.
#include "laburnumdyke/decision/customer_usage.h"

#include <xxhash.h>

#include <utility>

namespace laburnumdyke {

customer_key
KeyOf(const customer_id& aCustomer)
{
  return XXH3_64bits(aCustomer.mValue.data(), aCustomer.mValue.size());
}

usage_rates&
usage_rates::operator+=(const usage_rates& aOther)
{
  mDemand += aOther.mDemand;
  mAdmitted += aOther.mAdmitted;
  mSilent += aOther.mSilent;
  return *this;
}

void
usage_collector::TakeOverSilent(usage_list aSilent, instant aNow)
{
  mTakenOver = { std::move(aSilent), aNow };
}

void
usage_collector::ReportInstance(const instance_id& aInstance,
                                usage_list aUsage,
                                instant aNow)
{
  mInstances[aInstance] = { std::move(aUsage), aNow };
}

void
usage_collector::ReportDomain(const domain_id& aDomain,
                              usage_list aUsage,
                              instant aNow)
{
  bool isBack =
    mDomains.count(aDomain) == 0 && aNow - mTakenOver.mReceived > kSilentAfter;
  if (isBack) {
    mTakenOver.mUsage.clear();
  }
  mDomains[aDomain] = { std::move(aUsage), aNow };
}

template<class Id>
void
usage_collector::AddReports(std::map<Id, report>& aReports,
                            usage_list& aSum,
                            instant aNow)
{
  std::erase_if(aReports, [&](const std::pair<const Id, report>& aOne) {
    return aNow - aOne.second.mReceived > kSilentRetention;
  });
  for (const std::pair<const Id, report>& one : aReports) {
    bool isSilent = aNow - one.second.mReceived > kSilentAfter;
    for (const std::pair<const customer_key, usage_rates>& usage :
         one.second.mUsage) {
      const usage_rates& rates = usage.second;
      aSum[usage.first] +=
        isSilent ? usage_rates{ 0, 0, rates.mDemand + rates.mSilent } : rates;
    }
  }
}

usage_list
usage_collector::DomainUsage(instant aNow)
{
  usage_list sum;
  AddReports(mInstances, sum, aNow);
  return sum;
}

usage_list
usage_collector::FleetUsage(instant aNow)
{
  usage_list sum = DomainUsage(aNow);
  AddReports(mDomains, sum, aNow);
  if (aNow - mTakenOver.mReceived <= kSilentRetention) {
    for (const std::pair<const customer_key, usage_rates>& usage :
         mTakenOver.mUsage) {
      sum[usage.first] += usage.second;
    }
  }
  return sum;
}

} // namespace laburnumdyke
