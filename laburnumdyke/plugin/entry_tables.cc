// The first plug-in to ask opens the tables with the instance's identity; the
// others find them open.
#include "laburnumdyke/plugin/entry_tables.h"

namespace laburnumdyke {

namespace {

member
SelfFrom(const settings& aSettings)
{
  member self;
  self.mInstance.mValue = aSettings.mInstance;
  self.mIncarnation = aSettings.mIncarnation;
  self.mRegion.mValue = aSettings.mRegion;
  self.mDomain.mValue = aSettings.mFailureDomain;
  self.mCaller = aSettings.mCaller;
  self.mRelay = aSettings.mRelay;
  self.mPeer = aSettings.mPeer;
  return self;
}

} // namespace

entry_tables::entry_tables(kernel& aKernel)
  : mKernel(aKernel)
  , mDocumentState(aKernel.Table<document_state>())
  , mMembership(aKernel.Table<membership>())
  , mLedger(aKernel.Table<identity_ledger>())
  , mAdmission(aKernel.Table<admission>())
  , mRelayCredit(aKernel.Table<relay_credit>())
  , mRetryBudget(aKernel.Table<retry_budget>())
{
  instant now = std::chrono::steady_clock::now();
  const settings& settings = aKernel.Settings();
  bool opened = false;
  aKernel.Table<entry_runtime>().With([&](entry_runtime& aRuntime) {
    if (!aRuntime.mOpened) {
      aRuntime.mOpened = true;
      aRuntime.mStarted = now;
      aRuntime.mWaiters = std::make_shared<grant_waiters>(aKernel);
      aRuntime.mNumbers = std::make_shared<std::atomic<request_number>>(0);
      opened = true;
    }
    mWaiters = aRuntime.mWaiters;
    mNumbers = aRuntime.mNumbers;
    mStarted = aRuntime.mStarted;
  });
  if (opened) {
    member self = SelfFrom(settings);
    mMembership.With([&](membership& aMembership) {
      aMembership.Open(self, settings.mSeeds);
    });
    mLedger.With([&](identity_ledger& aLedger) {
      aLedger.Open(self.mInstance, self.mIncarnation, now);
    });
  }
}

std::shared_ptr<const document>
entry_tables::Document()
{
  return mDocumentState.With(
    [](document_state& aState) { return aState.Document(); });
}

std::uint64_t
entry_tables::Version()
{
  return mDocumentState.With(
    [](document_state& aState) { return aState.Version(); });
}

member
entry_tables::Self()
{
  return mMembership.With(
    [](membership& aMembership) { return aMembership.Self(); });
}

bool
entry_tables::IsOwn(const request_identity& aIdentity)
{
  return mLedger.With(
    [&](identity_ledger& aLedger) { return aLedger.IsOwn(aIdentity); });
}

begin_result
entry_tables::Begin(const request_identity& aIdentity, instant aNow)
{
  return mLedger.With(
    [&](identity_ledger& aLedger) { return aLedger.Begin(aIdentity, aNow); });
}

void
entry_tables::Finish(const request_identity& aIdentity,
                     outcome_kind aOutcome,
                     instant aNow)
{
  mLedger.With([&](identity_ledger& aLedger) {
    aLedger.Finish(aIdentity, aOutcome, aNow);
  });
}

std::optional<peer>
entry_tables::FindPeer(const instance_id& aInstance, instant aNow)
{
  return mMembership.With(
    [&](membership& aMembership) { return aMembership.Find(aInstance, aNow); });
}

std::vector<peer>
entry_tables::LivePeers(instant aNow)
{
  return mMembership.With(
    [&](membership& aMembership) { return aMembership.Live(aNow); });
}

route
entry_tables::Route(const service_id& aService,
                    const std::set<instance_id>& aTried,
                    instant aNow)
{
  std::vector<service_credit> own = mAdmission.With(
    [&](admission& aAdmission) { return aAdmission.Credits(aNow); });
  std::vector<peer> live = LivePeers(aNow);
  std::vector<peer> peers = mRelayCredit.With(
    [&](relay_credit& aCredit) { return aCredit.Adjust(live); });
  route chosen = ChooseRoute(aService, Self(), own, peers, aTried, aNow);
  if (chosen.mStep == route_step::Relay) {
    mRelayCredit.With([&](relay_credit& aCredit) {
      aCredit.CountRelay(chosen.mTarget.mInstance, aService);
    });
  }
  return chosen;
}

bool
entry_tables::MayDispatch(const upstream_id& aUpstream, instant aNow)
{
  return mMembership.With([&](membership& aMembership) {
    return aMembership.HomeOf(aUpstream, aNow) == aMembership.Self().mInstance;
  });
}

std::chrono::milliseconds
entry_tables::Stamp(instant aNow) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mStarted);
}

bool
entry_tables::IsFresh(std::chrono::milliseconds aStamp, instant aNow) const
{
  std::chrono::milliseconds age = Stamp(aNow) - aStamp;
  return age >= std::chrono::milliseconds(0) && age < 2 * kAdvertLife;
}

void
entry_tables::RefreshHomes(instant aNow)
{
  std::shared_ptr<const document> document = Document();
  if (!document) {
    return;
  }
  std::vector<home_claim> homes;
  mMembership.With([&](membership& aMembership) {
    for (const std::pair<const upstream_id, upstream_spec>& entry :
         document->mUpstreams) {
      bool mine =
        entry.second.mDomain == aMembership.Self().mDomain &&
        aMembership.HomeOf(entry.first, aNow) == aMembership.Self().mInstance;
      if (mine) {
        homes.push_back({ entry.first, 0, {} });
      }
    }
  });
  admission_changes changes = mAdmission.With([&](admission& aAdmission) {
    return aAdmission.Configure(*document, homes, aNow);
  });
  mWaiters->Deliver(changes);
  changes = mAdmission.With(
    [&](admission& aAdmission) { return aAdmission.Tick(aNow); });
  mWaiters->Deliver(changes);
}

} // namespace laburnumdyke
