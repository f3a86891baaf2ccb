// The first plug-in that constructs an entry_tables opens the tables with the
// instance's identity; the others use them as they are.
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
  , mInstanceList(aKernel.Table<instance_list>())
  , mMembership(aKernel.Table<membership>())
  , mLedger(aKernel.Table<identity_ledger>())
  , mAdmission(aKernel.Table<admission>())
  , mRetryBudget(aKernel.Table<retry_budget>())
  , mPlacement(aKernel.Table<placement_state>())
  , mShifts(aKernel.Table<traffic_shifts>())
  , mRegionLoad(aKernel.Table<region_load>())
  , mLinks(aKernel.Table<link_budget>())
  , mLinkLenders(aKernel.Table<link_lenders>())
  , mRouter(aKernel.Table<router>())
{
  instant now = std::chrono::steady_clock::now();
  const settings& settings = aKernel.Settings();
  bool opened = false;
  aKernel.Table<entry_runtime>().With([&](entry_runtime& aRuntime) {
    if (!aRuntime.mOpened) {
      aRuntime.mOpened = true;
      aRuntime.mStarted = now;
      aRuntime.mWaiters = std::make_shared<grant_waiters>(aKernel);
      aRuntime.mLastNumber = std::make_shared<std::atomic<request_number>>(0);
      opened = true;
    }
    mWaiters = aRuntime.mWaiters;
    mLastNumber = aRuntime.mLastNumber;
    mStarted = aRuntime.mStarted;
  });
  if (opened) {
    member self = SelfFrom(settings);
    mMembership.With([&](membership& aMembership) {
      aMembership.Open(self, settings.mSeeds);
    });
    // The seed differs between instances. With equal seeds they would choose
    // the same peers, and make refused callers retry at the same time.
    std::uint64_t seed =
      std::hash<std::string>()(self.mInstance.mValue) ^ self.mIncarnation;
    mRouter.With([&](router& aRouter) {
      aRouter = router(two_choices{ std::mt19937_64(seed) });
    });
    mAdmission.With([&](admission& aAdmission) {
      admission_options options;
      options.mSeed = seed;
      aAdmission.Open(options);
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
  std::vector<service_credit> own = Credits(aNow);
  member self = Self();
  std::vector<peer> live = LivePeers(aNow);
  route_request request{ aService, self, own, live, aTried };
  return mRouter.With(
    [&](router& aRouter) { return aRouter.Choose(request, aNow); });
}

void
entry_tables::RecordRelayConnectFailure(const instance_id& aInstance,
                                        instant aNow)
{
  mRouter.With(
    [&](router& aRouter) { aRouter.OnConnectionRefused(aInstance, aNow); });
}

void
entry_tables::UpdateCredits(const instance_id& aInstance,
                            const std::vector<service_credit>& aCredits,
                            instant aNow)
{
  mRouter.With(
    [&](router& aRouter) { aRouter.UpdateCredits(aInstance, aCredits, aNow); });
}

std::vector<service_credit>
entry_tables::Credits(instant aNow)
{
  return mAdmission.With(
    [&](admission& aAdmission) { return aAdmission.Credits(aNow); });
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
  return age >= std::chrono::milliseconds(0) && age < 2 * kAdvertMaxAge;
}

placement_answer
entry_tables::Place(const document& aDocument,
                    const service_id& aService,
                    const address_bytes& aClient,
                    instant aNow,
                    wall_time aWallNow)
{
  block_table blocks =
    mPlacement.With([](placement_state& aState) { return aState.Blocks(); });
  member self = Self();
  std::vector<peer> peers = LivePeers(aNow);
  std::vector<service_credit> credits = Credits(aNow);
  placement_view view{ aDocument, blocks, self, peers };
  report_rooms rooms(view, credits, aNow);
  return mShifts.With([&](traffic_shifts& aShifts) {
    return PlaceClient(view, aService, aClient, rooms, aShifts, aNow, aWallNow);
  });
}

// The two tables are locked one after the other. If the lease refuses the loan,
// the unit is released again.
std::optional<region_permit>
entry_tables::AcquireRegionPermit(const service_id& aService,
                                  const upstream_id& aUpstream,
                                  instant aDeadline,
                                  instant aNow)
{
  std::optional<quota_unit> unit = mRegionLoad.With([&](region_load& aLoad) {
    return aLoad.Admit(aService, aDeadline, aNow, aUpstream);
  });
  if (!unit) {
    return std::nullopt;
  }
  region_permit permit{ *unit, std::nullopt };
  if (unit->mUpstream == aUpstream) {
    return permit;
  }
  request_number loan = NextNumber();
  bool lent = mMembership.With([&](membership& aMembership) {
    return aMembership.Lease().BeginLoan(
      unit->mUpstream, loan, aDeadline, aNow);
  });
  if (!lent) {
    ReleaseRegionPermit(permit);
    return std::nullopt;
  }
  permit.mLoan = loan;
  return permit;
}

void
entry_tables::ReleaseRegionPermit(const region_permit& aPermit)
{
  if (aPermit.mLoan) {
    mMembership.With([&](membership& aMembership) {
      aMembership.Lease().EndLoan(*aPermit.mLoan);
    });
  }
  mRegionLoad.With([&](region_load& aLoad) { aLoad.Release(aPermit.mUnit); });
}

link_take_result
entry_tables::TakeLink(const region_id& aTo,
                       work_rank aRank,
                       std::uint64_t aBytes,
                       instant aNow)
{
  link_direction direction{ Self().mRegion, aTo };
  return mLinks.With([&](link_budget& aLinks) {
    return aLinks.Take(direction, aRank, aBytes, aNow);
  });
}

bool
entry_tables::CanCarry(const region_id& aTo,
                       work_rank aRank,
                       std::uint64_t aBytes,
                       instant aDeadline,
                       instant aNow)
{
  link_direction direction{ Self().mRegion, aTo };
  return mLinks.With([&](link_budget& aLinks) {
    return aLinks.CanCarry(direction, aRank, aBytes, aDeadline, aNow);
  });
}

// The lease is checked at aNow, the time at which the grant's lifetime starts.
// So a pause between the two locks can't make a grant outlive the time that the
// next lender waits.
std::optional<rate_grant>
entry_tables::LendLink(const link_direction& aDirection,
                       const instance_id& aInstance,
                       byte_rate aDemand,
                       instant aNow)
{
  if (!MayDispatch(LinkClaimName(aDirection), aNow)) {
    return std::nullopt;
  }
  return mLinkLenders.With([&](link_lenders& aLenders) {
    return aLenders.Lend(aDirection, aInstance, aDemand, aNow);
  });
}

void
entry_tables::TickAdmission(instant aNow)
{
  admission_changes changes = mAdmission.With(
    [&](admission& aAdmission) { return aAdmission.Tick(aNow); });
  mWaiters->Deliver(changes);
}

} // namespace laburnumdyke
