// collector_role.h describes which instance collects.
#include "laburnumdyke/plugin/usage_exchange.h"

#include <utility>

namespace laburnumdyke {

usage_exchange::usage_exchange(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
  , mRole(aKernel, "collects_usage", kCollectorWarmUp)
  , mSelf{ aKernel.Settings().mInstance }
  , mDomain{ aKernel.Settings().mFailureDomain }
{
}

std::vector<addressed_message>
usage_exchange::Compose(instant aNow)
{
  mTargets.clear();
  bool isActive = false;
  std::optional<std::chrono::milliseconds> totalsAge;
  usage_list own = mTables.Quota().With([&](quota_state& aQuota) {
    isActive = aQuota.IsActive();
    totalsAge = aQuota.TotalsAge(aNow);
    return aQuota.Report(aNow);
  });
  if (!isActive) {
    return {};
  }
  LogTotals(totalsAge);
  collector_duty duty = mRole.Take(aNow);
  if (duty == collector_duty::Prepare && !mIsPrepared) {
    mCollector.TakeOverSilent(mTables.Quota().With([](quota_state& aQuota) {
      return aQuota.SilentUsage();
    }),
                              aNow);
  }
  mIsPrepared =
    duty == collector_duty::Prepare || duty == collector_duty::Collect;
  switch (duty) {
    case collector_duty::Report: {
      std::optional<endpoint> collector = mRole.Collector(aNow);
      return collector ? ReportTo(*collector, std::move(own))
                       : std::vector<addressed_message>();
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
  return {};
}

void
usage_exchange::LogTotals(std::optional<std::chrono::milliseconds> aAge)
{
  bool hasTotals = aAge && *aAge <= fleet_quota::kTotalsTimeout;
  if (hasTotals != mHasTotals) {
    mHasTotals = hasTotals;
    mKernel.Log().Info("fleet_usage",
                       { { "state", hasTotals ? "known" : "lost" } });
  }
}

std::vector<addressed_message>
usage_exchange::ReportTo(const endpoint& aCollector, usage_list aOwn)
{
  usage_message report;
  report.mScope = usage_scope::Instance;
  report.mName = mSelf.mValue;
  report.mUsage = std::move(aOwn);
  std::vector<addressed_message> messages;
  AddMessages(messages, { aCollector }, report);
  return messages;
}

std::vector<addressed_message>
usage_exchange::Collect(instant aNow)
{
  usage_message sum;
  sum.mScope = usage_scope::Domain;
  sum.mName = mDomain.mValue;
  sum.mUsage = mCollector.DomainUsage(aNow);
  usage_message totals;
  totals.mScope = usage_scope::Fleet;
  totals.mUsage = mCollector.FleetUsage(aNow);
  mTables.Quota().With([&](quota_state& aQuota) {
    aQuota.RemoveUnlisted(totals.mUsage);
    aQuota.SetTotals(totals.mUsage, aNow);
  });
  std::vector<addressed_message> messages;
  AddMessages(messages, mRole.Contacts(), sum);
  AddMessages(messages, mRole.Members(aNow), totals);
  return messages;
}

std::vector<addressed_message>
usage_exchange::Receive(usage_message aMessage, instant aNow)
{
  std::vector<addressed_message> messages;
  switch (aMessage.mScope) {
    case usage_scope::Instance:
      mCollector.ReportInstance(
        { aMessage.mName }, std::move(aMessage.mUsage), aNow);
      break;
    case usage_scope::Domain: {
      std::optional<endpoint> collector = mRole.Collector(aNow);
      if (collector && !aMessage.mRelayed) {
        aMessage.mRelayed = true;
        AddMessages(messages, { *collector }, aMessage);
      }
      if (aMessage.mName != mDomain.mValue) {
        mCollector.ReportDomain(
          { aMessage.mName }, std::move(aMessage.mUsage), aNow);
      }
      break;
    }
    case usage_scope::Fleet:
      mTables.Quota().With(
        [&](quota_state& aQuota) { aQuota.SetTotals(aMessage.mUsage, aNow); });
      break;
  }
  return messages;
}

void
usage_exchange::AddMessages(std::vector<addressed_message>& aMessages,
                            const std::vector<endpoint>& aTargets,
                            const usage_message& aMessage)
{
  std::string bytes = EncodeUsage(aMessage);
  for (const endpoint& target : aTargets) {
    mTargets.insert(target);
    aMessages.push_back({ target, bytes });
  }
}

} // namespace laburnumdyke
