// collector_role.h describes which instance collects.
#include "laburnumdyke/plugin/demand_exchange.h"

#include <algorithm>
#include <string>
#include <utility>

namespace laburnumdyke {

demand_exchange::demand_exchange(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
  , mRole(aKernel, "collects_demand", kCollectorWarmUp)
  , mSelf{ aKernel.Settings().mInstance }
  , mDomain{ aKernel.Settings().mFailureDomain }
  , mRegion{ aKernel.Settings().mRegion }
{
}

std::vector<addressed_message>
demand_exchange::Compose(instant aNow)
{
  mTargets.clear();
  demand_list own = mTables.Steering().With(
    [&](steering_state& aSteering) { return aSteering.Demand().Report(aNow); });
  bool isActive =
    !own.empty() || (mDemandSeen && aNow - *mDemandSeen < kActiveTime);
  if (!isActive) {
    return {};
  }
  LogDemand(aNow);
  std::vector<addressed_message> messages;
  switch (mRole.Take(aNow)) {
    case collector_duty::Report: {
      std::optional<endpoint> collector = mRole.Collector(aNow);
      if (collector) {
        demand_message report;
        report.mName = mSelf.mValue;
        report.mTotals[mRegion] = { 1, std::move(own) };
        AddMessages(messages, { *collector }, report);
      }
      break;
    }
    case collector_duty::Prepare:
      mCollector.ReportInstance(mSelf, std::move(own), aNow);
      break;
    case collector_duty::Collect:
      mCollector.ReportInstance(mSelf, std::move(own), aNow);
      return Collect(aNow);
    case collector_duty::None:
      break;
  }
  return messages;
}

std::vector<addressed_message>
demand_exchange::Collect(instant aNow)
{
  demand_message sum;
  sum.mScope = usage_scope::Domain;
  sum.mName = mDomain.mValue;
  sum.mTotals[mRegion] = mCollector.DomainDemand(aNow);
  demand_message totals;
  totals.mScope = usage_scope::Fleet;
  totals.mTotals = mCollector.FleetDemand(mRegion, aNow);
  std::vector<addressed_message> messages;
  AddMessages(messages, mRole.Contacts(), sum);
  if (mCollections++ % kPeriodsPerTotals == 0) {
    AddMessages(messages, mRole.Members(aNow), totals);
  }
  SetTotals(std::move(totals.mTotals), aNow);
  return messages;
}

std::vector<addressed_message>
demand_exchange::Receive(demand_message aMessage, instant aNow)
{
  std::vector<addressed_message> messages;
  NoteDemand(aMessage.mTotals, aNow);
  bool isSum = !aMessage.mTotals.empty();
  switch (aMessage.mScope) {
    case usage_scope::Instance:
      if (isSum) {
        demand_report& report = aMessage.mTotals.begin()->second;
        mCollector.ReportInstance(
          { aMessage.mName }, std::move(report.mDemand), aNow);
      }
      break;
    case usage_scope::Domain: {
      std::optional<endpoint> collector = mRole.Collector(aNow);
      if (collector && !aMessage.mRelayed) {
        aMessage.mRelayed = true;
        AddMessages(messages, { *collector }, aMessage);
      }
      if (isSum && aMessage.mName != mDomain.mValue) {
        demand_totals::value_type& sum = *aMessage.mTotals.begin();
        mCollector.ReportDomain(
          { aMessage.mName }, sum.first, std::move(sum.second), aNow);
      }
      break;
    }
    case usage_scope::Fleet:
      SetTotals(std::move(aMessage.mTotals), aNow);
      break;
  }
  return messages;
}

void
demand_exchange::SetTotals(demand_totals aTotals, instant aNow)
{
  mTables.Steering().With([&](steering_state& aSteering) {
    aSteering.Demand().SetTotals(std::move(aTotals), aNow);
  });
}

void
demand_exchange::NoteDemand(const demand_totals& aTotals, instant aNow)
{
  bool hasDemand = std::any_of(aTotals.begin(),
                               aTotals.end(),
                               [](const demand_totals::value_type& aRegion) {
                                 return !aRegion.second.mDemand.empty();
                               });
  if (hasDemand) {
    mDemandSeen = aNow;
  }
}

// One line for each region of the busiest services, once in kLogInterval.
void
demand_exchange::LogDemand(instant aNow)
{
  if (mLogged && aNow - *mLogged < kLogInterval) {
    return;
  }
  mLogged = aNow;
  std::vector<std::pair<service_id, demand_explanation>> described =
    mTables.Steering().With([&](steering_state& aSteering) {
      return aSteering.DescribeDemand(kMaxLoggedServices, aNow);
    });
  for (const std::pair<service_id, demand_explanation>& each : described) {
    for (const explained_region& region : each.second.mRegions) {
      mKernel.Log().Info("service_demand",
                         { { "service", each.first.mValue },
                           { "region", region.mRegion.mValue },
                           { "by", each.second.mAge ? "demand" : "instances" },
                           { "demand_per_s", std::to_string(region.mDemand) },
                           { "slots", std::to_string(region.mSlots) },
                           { "share", std::to_string(region.mShare) } });
    }
  }
}

void
demand_exchange::AddMessages(std::vector<addressed_message>& aMessages,
                             const std::vector<endpoint>& aTargets,
                             const demand_message& aMessage)
{
  std::string bytes = EncodeDemand(aMessage);
  for (const endpoint& target : aTargets) {
    mTargets.insert(target);
    aMessages.push_back({ target, bytes });
  }
}

} // namespace laburnumdyke
