// The first plug-in that constructs an entry_tables opens the tables with the
// instance's identity; the others use them as they are.
#include "laburnumdyke/plugin/entry_tables.h"

namespace laburnumdyke {

namespace {

// A claim on a link is the right to lend its rate; it has no request slots.
constexpr std::uint32_t kNoSlots = 0;

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

upstream_limits
LimitsOf(const document& aDocument, const upstream_spec& aUpstream)
{
  auto service = aDocument.mServices.find(aUpstream.mService);
  std::chrono::milliseconds longest(0);
  if (service != aDocument.mServices.end()) {
    longest = service->second.mDeadline;
  }
  return { aUpstream.mSlots, longest };
}

std::chrono::milliseconds
LongestDeadline(const document& aDocument)
{
  std::chrono::milliseconds longest{ 0 };
  for (const service_map::value_type& service : aDocument.mServices) {
    longest = std::max(longest, service.second.mDeadline);
  }
  return longest;
}

std::set<domain_id>
DomainsOf(const document& aDocument, const region_id& aRegion)
{
  std::set<domain_id> domains;
  for (const domain_map::value_type& domain : aDocument.mDomains) {
    if (domain.second.mRegion == aRegion) {
      domains.insert(domain.first);
    }
  }
  return domains;
}

std::vector<region_home>
RegionHomes(const document& aDocument, const std::vector<home_claim>& aClaims)
{
  std::vector<region_home> homes;
  for (const home_claim& claim : aClaims) {
    auto upstream = aDocument.mUpstreams.find(claim.mUpstream);
    if (upstream != aDocument.mUpstreams.end()) {
      const service_id& service = upstream->second.mService;
      const service_spec& spec = aDocument.mServices.at(service);
      homes.push_back({ claim, service, spec.mRank, spec.mDeadline });
    }
  }
  return homes;
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

// The table is built without holding the lock. If another thread has replaced
// it meanwhile, the result is discarded.
void
entry_tables::RefreshBlocks(const std::shared_ptr<const document>& aDocument)
{
  std::shared_ptr<const document> source;
  block_table blocks;
  mPlacement.With([&](placement_state& aState) {
    source = aState.Source();
    blocks = aState.Blocks();
  });
  if (source == aDocument) {
    return;
  }
  block_table next = UpdateBlocks(blocks, source.get(), *aDocument);
  mPlacement.With([&](placement_state& aState) {
    if (aState.Source() == source) {
      aState.Put(std::move(next), aDocument);
    }
  });
}

void
entry_tables::RefreshShifts(const document& aDocument, instant aNow)
{
  member self = Self();
  std::vector<peer> peers = LivePeers(aNow);
  std::set<region_id> live = LiveRegions(self, peers);
  mShifts.With(
    [&](traffic_shifts& aShifts) { aShifts.Observe(aDocument, live, aNow); });
}

void
entry_tables::RefreshRegionLoad(const std::vector<home_claim>& aClaims,
                                instant aNow)
{
  std::uint64_t version = 0;
  std::shared_ptr<const document> document;
  mDocumentState.With([&](document_state& aState) {
    version = aState.Version();
    document = aState.Document();
  });
  if (!document) {
    return;
  }
  member self = Self();
  std::vector<version_report> reports{
    { self.mInstance, self.mDomain, version }
  };
  for (const peer& one : LivePeers(aNow)) {
    const member& sender = one.mLast.mSender;
    if (sender.mRegion == self.mRegion) {
      reports.push_back(
        { sender.mInstance, sender.mDomain, one.mLast.mVersion });
    }
  }
  mRegionLoad.With([&](region_load& aLoad) {
    if (aLoad.NewestVersion() < version) {
      auto region = document->mRegions.find(self.mRegion);
      aLoad.AddVersion(version,
                       region == document->mRegions.end() ? 0
                                                          : region->second.mCap,
                       RegionQuotas(*document, self.mRegion),
                       DomainsOf(*document, self.mRegion),
                       document->mRanks);
    }
    aLoad.SetHomes(RegionHomes(*document, aClaims));
    aLoad.ProcessReports(reports, LongestDeadline(*document), aNow);
  });
}

void
entry_tables::RefreshLinks(const std::vector<home_claim>& aClaims, instant aNow)
{
  std::shared_ptr<const document> document = Document();
  if (!document) {
    return;
  }
  region_id region = Self().mRegion;
  mLinks.With(
    [&](link_budget& aLinks) { aLinks.Configure(*document, region, aNow); });
  mLinkLenders.With([&](link_lenders& aLenders) {
    aLenders.SetHomes(*document, region, aClaims, aNow);
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

std::vector<home_claim>
entry_tables::ExcludeLeavingUpstreams(const document& aDocument,
                                      std::vector<home_claim> aClaims,
                                      instant aNow)
{
  mInstanceList.With([&](instance_list& aList) {
    std::erase_if(aClaims, [&](const home_claim& aClaim) {
      auto found = aDocument.mUpstreams.find(aClaim.mUpstream);
      return found != aDocument.mUpstreams.end() &&
             aList.IsLeaving(found->second.mAddress, aNow);
    });
  });
  return aClaims;
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
entry_tables::RefreshHomes(instant aNow)
{
  std::shared_ptr<const document> document = Document();
  if (!document) {
    return;
  }
  RefreshBlocks(document);
  RefreshShifts(*document, aNow);
  member self = Self();
  std::map<upstream_id, upstream_limits> limits;
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       document->mUpstreams) {
    if (entry.second.mDomain == self.mDomain) {
      limits[entry.first] = LimitsOf(*document, entry.second);
    }
  }
  for (const upstream_id& link : LinkClaimNames(*document, self.mRegion)) {
    limits[link] = { kNoSlots, kGrantLifetime };
  }
  std::vector<home_claim> claims =
    mMembership.With([&](membership& aMembership) {
      return aMembership.Lease().UpdateClaims(limits, aNow);
    });
  RefreshRegionLoad(claims, aNow);
  RefreshLinks(claims, aNow);
  std::vector<home_claim> open =
    ExcludeLeavingUpstreams(*document, std::move(claims), aNow);
  admission_changes changes = mAdmission.With([&](admission& aAdmission) {
    return aAdmission.Configure(*document, open, aNow);
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
