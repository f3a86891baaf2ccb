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

upstream_terms
TermsOf(const document& aDocument, const upstream_spec& aUpstream)
{
  auto service = aDocument.mServices.find(aUpstream.mService);
  std::chrono::milliseconds longest(0);
  if (service != aDocument.mServices.end()) {
    longest = service->second.mDeadline;
  }
  return { aUpstream.mSlots, longest };
}

} // namespace

entry_tables::entry_tables(kernel& aKernel)
  : mKernel(aKernel)
  , mDocumentState(aKernel.Table<document_state>())
  , mMembership(aKernel.Table<membership>())
  , mLedger(aKernel.Table<identity_ledger>())
  , mAdmission(aKernel.Table<admission>())
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
  return ChooseRoute(aService, Self(), own, LivePeers(aNow), aTried, aNow);
}

bool
entry_tables::MayDispatch(const upstream_id& aUpstream, instant aNow)
{
  return mMembership.With([&](membership& aMembership) {
    return aMembership.Lease().MayDispatch(aUpstream, aNow);
  });
}

bool
entry_tables::BeginDispatch(const grant& aGrant,
                            instant aDeadline,
                            instant aNow)
{
  lease_refusal reason = mMembership.With([&](membership& aMembership) {
    home_lease& lease = aMembership.Lease();
    bool begun =
      lease.BeginDispatch(aGrant.mUpstream, aGrant.mNumber, aDeadline, aNow);
    return begun ? lease_refusal::None : lease.LastReason();
  });
  if (reason != lease_refusal::None) {
    mKernel.Counters().Add("dispatch_refused_total", ToString(reason));
  }
  return reason == lease_refusal::None;
}

void
entry_tables::EndDispatch(request_number aNumber)
{
  mMembership.With(
    [&](membership& aMembership) { aMembership.Lease().EndDispatch(aNumber); });
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
  domain_id own = Self().mDomain;
  std::map<upstream_id, upstream_terms> terms;
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       document->mUpstreams) {
    if (entry.second.mDomain == own) {
      terms[entry.first] = TermsOf(*document, entry.second);
    }
  }
  std::vector<home_claim> claims =
    mMembership.With([&](membership& aMembership) {
      return aMembership.Lease().Claims(terms, aNow);
    });
  admission_changes changes = mAdmission.With([&](admission& aAdmission) {
    return aAdmission.Configure(*document, claims, aNow);
  });
  mWaiters->Deliver(changes);
}

void
entry_tables::TickAdmission(instant aNow)
{
  admission_changes changes = mAdmission.With(
    [&](admission& aAdmission) { return aAdmission.Tick(aNow); });
  mWaiters->Deliver(changes);
}

} // namespace laburnumdyke
