// Each instance takes itself for the collector of its failure domain if it
// knows no older live one. Two may do so for a moment; each then sends the sum
// of the members that report to it.
#include "laburnumdyke/plugin/usage_exchange.h"

#include <utility>

namespace laburnumdyke {

usage_exchange::usage_exchange(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
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
  bool isFleetKnown = false;
  std::optional<endpoint> collector =
    mTables.Fleet().With([&](fleet_state& aFleet) {
      isFleetKnown = !aFleet.InstanceLocations().empty();
      return aFleet.Collector(aNow);
    });
  if (!collector && !isFleetKnown) {
    // Totals of its own usage alone would grant the whole quota once more.
    return {};
  }
  if (collector) {
    mCollectorSince.reset();
    return ReportTo(*collector, std::move(own));
  }
  return Collect(std::move(own), aNow);
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
usage_exchange::Collect(usage_list aOwn, instant aNow)
{
  if (!mCollectorSince) {
    mCollectorSince = aNow;
    mCollector.TakeOverSilent(mTables.Quota().With([](quota_state& aQuota) {
      return aQuota.SilentUsage();
    }),
                              aNow);
    mKernel.Log().Info("collects_usage",
                       { { "failure_domain", mDomain.mValue } });
  }
  mCollector.ReportInstance(mSelf, std::move(aOwn), aNow);
  if (aNow - *mCollectorSince < kCollectorWarmUp) {
    return {};
  }
  std::uint64_t turn = mCompositions++ / kTurnLength;
  std::vector<endpoint> contacts;
  std::vector<endpoint> members;
  mTables.Fleet().With([&](fleet_state& aFleet) {
    contacts = aFleet.RemoteContacts(turn);
    members = aFleet.DomainPeers(aNow);
  });
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
  AddMessages(messages, contacts, sum);
  AddMessages(messages, members, totals);
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
      std::optional<endpoint> collector = mTables.Fleet().With(
        [&](fleet_state& aFleet) { return aFleet.Collector(aNow); });
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
      mTables.Quota().With([&](quota_state& aQuota) {
        aQuota.SetTotals(std::move(aMessage.mUsage), aNow);
      });
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
