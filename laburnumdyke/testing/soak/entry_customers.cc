// Messages are events, so that they are late, lost and reordered as the network
// of the run has it. The machine's clock counts freezes, as boot_clock does.
#include "laburnumdyke/testing/soak/entry_customers.h"

#include "laburnumdyke/testing/soak/entry_instance.h"

#include <utility>

namespace laburnumdyke {

namespace {

// As steering_tables: what is left of the bound for a reading and a send.
constexpr std::chrono::milliseconds kMaxKeyAge =
  customer_oracle::kRevokeTimeout - std::chrono::milliseconds(400);
constexpr std::chrono::milliseconds kHeartbeatPeriod{ 500 };
constexpr std::chrono::milliseconds kPeerCheckPeriod{ 250 };
constexpr std::chrono::milliseconds kStoreCheckPeriod{ 250 };
constexpr std::chrono::milliseconds kReadPeriod = kMaxKeyAge / 4;
constexpr std::chrono::milliseconds kOwnReadPause{ 500 };
constexpr std::chrono::milliseconds kCollectorWarmUp = 3 * kUsagePeriod;
constexpr std::uint64_t kTurnLength = 25;
constexpr std::uint64_t kEra = 1;
constexpr std::chrono::milliseconds kMeanWait{ 150 };
constexpr std::chrono::seconds kDeadline{ 2 };
constexpr std::chrono::milliseconds kRetryPause{ 50 };
constexpr double kUpstreamRefuses = 0.05;
constexpr int kMostAttempts = 3;

fleet_member
FleetMember(std::size_t aEntry, std::uint64_t aIncarnation)
{
  member self = SoakMember(aEntry, aIncarnation);
  return { self.mInstance, aIncarnation, self.mRegion, self.mDomain,
           self.mCaller,   self.mPeer,   self.mRelay };
}

fleet_options
FleetOptions(process_address aAddress)
{
  fleet_options options;
  options.mSelf = FleetMember(aAddress.mIndex, aAddress.mIncarnation);
  return options;
}

fleet_quota_options
QuotaOptions(process_address aAddress)
{
  fleet_quota_options options;
  options.mSeed = aAddress.mIncarnation;
  return options;
}

} // namespace

entry_customers::entry_customers(soak_world aWorld, process_address aAddress)
  : mWorld(aWorld)
  , mAddress(aAddress)
  , mFleet(FleetOptions(aAddress))
  , mQuota(QuotaOptions(aAddress))
{
  mFleet.SetServing(true);
}

void
entry_customers::Start()
{
  WatchStore();
  WatchPeers();
  SendHeartbeats();
  ExchangeUsage();
}

void
entry_customers::Later(duration aAfter,
                       event_kind aKind,
                       simulation::action aAction)
{
  mWorld.mSimulation.AtProcess(mAddress, aAfter, aKind, std::move(aAction));
}

void
entry_customers::Send(const endpoint& aTo,
                      std::function<void(entry_customers&)> aAction)
{
  std::size_t entry = EntryAt(aTo).value();
  std::size_t far = DomainOfEntry(entry);
  if (!mWorld.mNetwork.IsOpen(Domain(), far)) {
    return;
  }
  soak_world world = mWorld;
  mWorld.mSimulation.AtProcess({ entry, 0 },
                               mWorld.mNetwork.Delay(Domain(), far),
                               event_kind::Message,
                               [world, entry, action = std::move(aAction)] {
                                 action(world.mEntries.at(entry)->Customers());
                               });
}

// --- requests -----------------------------------------------------------

gate_decision
entry_customers::CheckKey(const customer_request& aRequest) const
{
  const route_spec* route = mRoutes->Find("soak.example", "/");
  std::chrono::milliseconds maxAge =
    mWorld.mCustomerFault == customer_fault::IgnoresAge
      ? std::chrono::milliseconds(0)
      : kMaxKeyAge;
  return laburnumdyke::CheckKey(
    *mRoutes, *route, aRequest.mKey, mAge.At(BootNow()), maxAge);
}

void
entry_customers::Receive(const customer_request& aRequest,
                         const callback& aAnswer)
{
  if (!mRoutes) {
    aAnswer({ refusal_reason::NoDocument });
    return;
  }
  gate_decision gate = CheckKey(aRequest);
  customer_id customer;
  if (gate.mRefusal == refusal_reason::UnknownCustomer &&
      mWorld.mCustomerFault == customer_fault::AcceptsUnknownKeys) {
    customer = mWorld.mCustomerStore.Name(aRequest.mCustomer);
  } else if (gate.mRefusal != refusal_reason::None) {
    aAnswer({ gate.mRefusal });
    return;
  } else {
    customer = gate.mCustomer->mName;
  }
  quota_decision quota = mQuota.Admit(customer, Now());
  if (!quota.mAdmitted) {
    aAnswer({ refusal_reason::QuotaExceeded, quota.mRetryAfter });
    return;
  }
  admitted_request admitted{
    aRequest, customer, Now() + kDeadline, 0, aAnswer
  };
  Later(mWorld.mSimulation.Exponential(kMeanWait),
        event_kind::Timer,
        [this, admitted = std::move(admitted)] { Attempt(admitted); });
}

void
entry_customers::Attempt(admitted_request aRequest)
{
  if (Now() > aRequest.mDeadline || aRequest.mAttempts == kMostAttempts) {
    GiveUp(aRequest, refusal_reason::DeadlinePassed);
    return;
  }
  gate_decision gate = CheckKey(aRequest.mRequest);
  if (gate.mRefusal != refusal_reason::None &&
      mWorld.mCustomerFault != customer_fault::AcceptsUnknownKeys) {
    GiveUp(aRequest, gate.mRefusal);
    return;
  }
  ++aRequest.mAttempts;
  if (mWorld.mSimulation.Chance(kUpstreamRefuses)) {
    Later(kRetryPause,
          event_kind::Timer,
          [this, request = std::move(aRequest)] { Attempt(request); });
    return;
  }
  soak_world world = mWorld;
  std::size_t entry = mAddress.mIndex;
  duration delay =
    mWorld.mNetwork.Delay(Domain(), mWorld.mSimulation.Index(kSoakDomains));
  mWorld.mSimulation.AtWorld(
    delay, event_kind::Upstream, [world, entry, request = std::move(aRequest)] {
      world.mCustomerOracle.OnRun(
        entry, request.mCustomer, request.mRequest.mKey);
      request.mAnswer({});
    });
}

void
entry_customers::GiveUp(const admitted_request& aRequest,
                        refusal_reason aReason)
{
  mQuota.Refund(aRequest.mCustomer, Now());
  aRequest.mAnswer({ aReason });
}

// --- configuration ------------------------------------------------------

void
entry_customers::WatchStore()
{
  instant now = Now();
  duration sinceRead = mLastRead ? now - *mLastRead : duration::max();
  std::optional<std::chrono::milliseconds> age = mAge.At(BootNow());
  bool isReader = !mFleet.Reader(now);
  bool isOld = !age || *age > kMaxKeyAge / 2;
  if ((isReader && sinceRead >= kReadPeriod) ||
      (isOld && sinceRead >= kOwnReadPause)) {
    mLastRead = now;
    ReadStore();
  }
  Later(kStoreCheckPeriod, event_kind::Timer, [this] { WatchStore(); });
}

void
entry_customers::ReadStore()
{
  soak_world world = mWorld;
  process_address self = mAddress;
  std::size_t domain = Domain();
  boot_instant sent = BootNow();
  duration delay = mWorld.mPlatform.Delay();
  if (!mWorld.mNetwork.IsOpen(domain, kPlatformSite)) {
    return;
  }
  mWorld.mSimulation.AtWorld(
    delay, event_kind::Platform, [this, world, self, domain, sent, delay] {
      std::optional<stamped_routes> read = world.mCustomerStore.Read();
      if (read && world.mNetwork.IsOpen(domain, kPlatformSite)) {
        world.mSimulation.AtProcess(
          self, delay, event_kind::Platform, [this, read, sent] {
            TakeRoutes(*read, sent);
          });
      }
    });
}

void
entry_customers::TakeRoutes(const stamped_routes& aRead, boot_instant aSent)
{
  PutInForce(aRead.mRoutes);
  mAge.RecordAnswer(aSent, aRead.mStamp);
  // An answer that was overtaken by a newer one dates an older version.
  if (aRead.mRoutes->Version() == mRoutes->Version()) {
    mAge.RecordCurrent(mRoutes->Version(), aRead.mStamp);
  }
  Register();
}

void
entry_customers::PutInForce(const std::shared_ptr<const route_table>& aRoutes)
{
  if (mRoutes && aRoutes->Version() <= mRoutes->Version()) {
    return;
  }
  mRoutes = aRoutes;
  mQuota.SetCustomers(mRoutes->Customers()->All());
  mFleet.NoteEra(kEra);
  mFleet.SetControlVersion({ kEra, mRoutes->Version() });
  mFleet.SetSettled(true);
}

// The rows of all instances that have ever started, as the store has them.
void
entry_customers::Register()
{
  std::vector<fleet_member> rows;
  for (std::size_t i = 0; i < kSoakEntries; ++i) {
    std::uint64_t incarnation = mWorld.mSimulation.Process(i).mIncarnation;
    if (incarnation > 0) {
      rows.push_back(FleetMember(i, incarnation));
    }
  }
  mFleet.Replace(rows);
  mFleet.CountReading(true);
}

void
entry_customers::WatchPeers()
{
  std::vector<fleet_member> ahead = mFleet.PeersWithNewerControl(Now());
  if (!ahead.empty()) {
    endpoint self = mFleet.Self().mPeer;
    const fleet_member& peer = ahead[mWorld.mSimulation.Index(ahead.size())];
    Send(peer.mPeer, [self](entry_customers& aPeer) {
      std::shared_ptr<const route_table> routes = aPeer.Routes();
      if (routes) {
        aPeer.Send(
          self, [routes](entry_customers& aSelf) { aSelf.PutInForce(routes); });
      }
    });
  }
  Later(kPeerCheckPeriod, event_kind::Timer, [this] { WatchPeers(); });
}

// --- heartbeats ---------------------------------------------------------

void
entry_customers::SendHeartbeats()
{
  fleet_heartbeat heartbeat = mFleet.Heartbeat();
  if (mRoutes) {
    heartbeat.mDocumentVersion = mRoutes->Version();
    heartbeat.mCurrentAsOf = mAge.CurrentAsOf();
  }
  for (const endpoint& target : mFleet.Targets()) {
    Send(target, [heartbeat](entry_customers& aPeer) {
      aPeer.ReceiveHeartbeat(heartbeat);
    });
  }
  mQuota.SetFleetSize(mWorld.mCustomerFault == customer_fault::IgnoresOthers
                        ? 1
                        : mFleet.KnownInstanceCount());
  Later(kHeartbeatPeriod, event_kind::Timer, [this] { SendHeartbeats(); });
}

void
entry_customers::ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat)
{
  mFleet.ReceiveHeartbeat(aHeartbeat, Now());
  bool isSameVersion =
    mRoutes && mRoutes->Version() == aHeartbeat.mDocumentVersion;
  if (isSameVersion && aHeartbeat.mCurrentAsOf) {
    mAge.RecordCurrent(aHeartbeat.mDocumentVersion, *aHeartbeat.mCurrentAsOf);
  }
}

// --- usage --------------------------------------------------------------

void
entry_customers::ExchangeUsage()
{
  instant now = Now();
  usage_list own = mQuota.Report(now);
  std::optional<endpoint> collector = mFleet.Collector(now);
  if (collector) {
    mCollectorSince.reset();
    std::size_t self = mAddress.mIndex;
    Send(*collector, [self, own](entry_customers& aPeer) {
      aPeer.ReceiveReport(self, own);
    });
  } else if (mQuota.IsActive() && !mFleet.InstanceLocations().empty()) {
    Collect(std::move(own));
  }
  Later(kUsagePeriod, event_kind::Timer, [this] { ExchangeUsage(); });
}

void
entry_customers::Collect(usage_list aOwn)
{
  instant now = Now();
  if (!mCollectorSince) {
    mCollectorSince = now;
    mCollector.TakeOverSilent(mQuota.SilentUsage(), now);
  }
  mCollector.ReportInstance(mFleet.Self().mInstance, std::move(aOwn), now);
  if (now - *mCollectorSince < kCollectorWarmUp) {
    return;
  }
  std::uint64_t turn = mCompositions++ / kTurnLength;
  soak_usage sum{ Domain(), mCollector.DomainUsage(now) };
  for (const endpoint& contact : mFleet.RemoteContacts(turn)) {
    Send(contact,
         [sum](entry_customers& aPeer) { aPeer.ReceiveSum(sum, false); });
  }
  usage_list totals = mCollector.FleetUsage(now);
  mQuota.RemoveUnlisted(totals);
  ReceiveTotals(totals);
  for (const endpoint& peer : mFleet.DomainPeers(now)) {
    Send(peer,
         [totals](entry_customers& aPeer) { aPeer.ReceiveTotals(totals); });
  }
}

void
entry_customers::ReceiveReport(std::size_t aEntry, usage_list aUsage)
{
  mCollector.ReportInstance(
    SoakMember(aEntry, 0).mInstance, std::move(aUsage), Now());
}

void
entry_customers::ReceiveSum(const soak_usage& aSum, bool aRelayed)
{
  std::optional<endpoint> collector = mFleet.Collector(Now());
  if (collector && !aRelayed) {
    Send(*collector,
         [aSum](entry_customers& aPeer) { aPeer.ReceiveSum(aSum, true); });
  }
  if (aSum.mDomain != Domain()) {
    domain_id domain{ "domain-" + std::to_string(aSum.mDomain) };
    mCollector.ReportDomain(domain, aSum.mUsage, Now());
  }
}

void
entry_customers::ReceiveTotals(const usage_list& aTotals)
{
  if (mWorld.mCustomerFault != customer_fault::IgnoresOthers) {
    mQuota.SetTotals(aTotals, Now());
  }
}

} // namespace laburnumdyke
