// A state machine for each request in place of the pipeline's coroutine.
// Answers of upstreams come by connection, as over HTTP/1.1: whichever request
// holds the connection takes the answer.
#include "laburnumdyke/testing/soak/entry_instance.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMostAttempts = 4;
constexpr std::chrono::milliseconds kTickPeriod{ 25 };
constexpr std::chrono::milliseconds kPollLeast{ 800 };
constexpr std::chrono::milliseconds kPollMost{ 1200 };
constexpr std::chrono::milliseconds kLoadPeriod{ 1000 }; // as load_watch's
constexpr std::chrono::seconds kIdleLife{ 5 };
constexpr std::chrono::milliseconds kCancelSettle{ 250 }; // as the pipeline's
constexpr double kHeartbeatLoss = 0.005;
constexpr double kClosedWhileIdle = 0.002; // the upstream closed it

attempt_end
NotRun(refusal_reason aReason)
{
  return { outcome_kind::NotRun, aReason };
}

attempt_end
Unknown(refusal_reason aReason)
{
  return { outcome_kind::Unknown, aReason };
}

std::vector<endpoint>
Seeds()
{
  std::vector<endpoint> seeds;
  for (std::size_t i = 0; i < kSoakEntries; ++i) {
    seeds.push_back(SoakMember(i, 0).mPeer);
  }
  return seeds;
}

} // namespace

entry_instance::entry_instance(soak_world aWorld,
                               std::size_t aIndex,
                               std::uint64_t aIncarnation)
  : mWorld(aWorld)
  , mAddress{ aIndex, aIncarnation }
  , mDecisions(SoakMember(aIndex, aIncarnation),
               Seeds(),
               aWorld.mSimulation.Now())
  , mCustomers(aWorld, mAddress)
{
}

void
entry_instance::Later(duration aAfter,
                      event_kind aKind,
                      simulation::action aAction)
{
  mWorld.mSimulation.AtProcess(mAddress, aAfter, aKind, std::move(aAction));
}

void
entry_instance::InStage(flow_id aId,
                        std::uint64_t aStep,
                        const flow_action& aAction)
{
  auto found = mFlows.find(aId);
  if (found != mFlows.end() && found->second.mStep == aStep) {
    aAction(aId, found->second);
  }
}

void
entry_instance::LaterInStage(flow_id aId,
                             const flow& aFlow,
                             duration aAfter,
                             event_kind aKind,
                             flow_action aAction)
{
  std::uint64_t step = aFlow.mStep;
  Later(aAfter, aKind, [this, aId, step, action = std::move(aAction)] {
    InStage(aId, step, action);
  });
}

void
entry_instance::Start()
{
  TickMembership();
  TickAdmission();
  WatchLoad();
  Poll();
  mCustomers.Start();
}

// --- identity -----------------------------------------------------------

void
entry_instance::Receive(const soak_request& aRequest, answer_callback aAnswer)
{
  if (!mDecisions.Document().Document()) {
    aAnswer(NotRun(refusal_reason::NoDocument));
    return;
  }
  flow_id id = ++mLastFlow;
  flow& one = mFlows[id];
  one.mRequest = aRequest;
  one.mAnswer = std::move(aAnswer);
  one.mDeadline = Now() + aRequest.mAllowed;
  bool owned = !SoakServices().at(aRequest.mService).mIdempotent &&
               aRequest.mOrigin != soak_origin::HomeRelay;
  if (owned && !aRequest.mIdentity) {
    EndFlow(id, one, NotRun(refusal_reason::IdentityRequired));
    return;
  }
  if (!owned) {
    BeginAttempt(id, one);
    return;
  }
  if (!mDecisions.Ledger().IsOwn(*aRequest.mIdentity)) {
    RelayToIssuer(id, one);
    return;
  }
  begin_result begun = mDecisions.Ledger().Begin(*aRequest.mIdentity, Now());
  if (!begun.mMayRun) {
    EndFlow(id, one, { begun.mOutcome, begun.mReason });
    return;
  }
  one.mOwned = true;
  BeginAttempt(id, one);
}

void
entry_instance::RelayToIssuer(flow_id aId, flow& aFlow)
{
  const request_identity& identity = *aFlow.mRequest.mIdentity;
  std::optional<peer> issuer = mDecisions.FindPeer(identity.mIssuer, Now());
  bool reachable = issuer && aFlow.mRequest.mOrigin == soak_origin::Caller &&
                   issuer->mLast.mSender.mIncarnation == identity.mIncarnation;
  if (!reachable) {
    EndFlow(aId, aFlow, Unknown(refusal_reason::IssuerGone));
    return;
  }
  aFlow.mAttempt = kMostAttempts; // passed on once
  relay_target target{ identity.mIssuer,
                       issuer->mLast.mSender.mRelay,
                       issuer->mLast.mStamp,
                       issuer->mLast.mSender.mRegion };
  Relay(aId, aFlow, target, soak_origin::IssuerRelay);
}

// --- route --------------------------------------------------------------

void
entry_instance::BeginAttempt(flow_id aId, flow& aFlow)
{
  ++aFlow.mAttempt;
  aFlow.mRelayed = false;
  if (aFlow.mAttempt == 1) {
    mDecisions.Retries().CountRequest(Now());
  }
  if (aFlow.mRequest.mOrigin == soak_origin::HomeRelay) {
    if (mDecisions.IsFresh(aFlow.mRequest.mStamp, Now())) {
      RunHere(aId, aFlow);
    } else {
      EndAttempt(aId, aFlow, NotRun(refusal_reason::StaleAdvert));
    }
    return;
  }
  route next = mDecisions.Route(
    SoakServices().at(aFlow.mRequest.mService).mService, aFlow.mTried, Now());
  switch (next.mStep) {
    case route_step::Here:
      RunHere(aId, aFlow);
      return;
    case route_step::Relay:
      aFlow.mTried.insert(next.mTarget.mInstance);
      Relay(aId, aFlow, next.mTarget, soak_origin::HomeRelay);
      return;
    case route_step::Refuse:
      EndAttempt(aId, aFlow, NotRun(next.mReason));
      return;
  }
}

void
entry_instance::EndAttempt(flow_id aId, flow& aFlow, const attempt_end& aEnd)
{
  ++aFlow.mStep;
  if (aEnd.mOutcome == outcome_kind::Unknown) {
    aFlow.mMayHaveRun = aEnd.mReason;
  }
  bool idempotent = SoakServices().at(aFlow.mRequest.mService).mIdempotent;
  bool again =
    mDecisions.RetryReasonOf(aEnd, aFlow.mRelayed, idempotent).has_value() &&
    aFlow.mAttempt < kMostAttempts && Now() < aFlow.mDeadline &&
    mDecisions.Retries().TakeRetry(Now());
  if (!again) {
    // "Not run" speaks for all attempts, not for the last alone.
    bool uncertain = aEnd.mOutcome == outcome_kind::NotRun &&
                     aFlow.mMayHaveRun != refusal_reason::None;
    EndFlow(aId, aFlow, uncertain ? Unknown(aFlow.mMayHaveRun) : aEnd);
    return;
  }
  LaterInStage(
    aId,
    aFlow,
    duration(0),
    event_kind::Timer,
    [this](flow_id aSame, flow& aOne) { BeginAttempt(aSame, aOne); });
}

void
entry_instance::EndFlow(flow_id aId, flow& aFlow, const attempt_end& aEnd)
{
  if (aFlow.mOwned) {
    mDecisions.Ledger().Finish(*aFlow.mRequest.mIdentity, aEnd.mOutcome, Now());
  }
  if (aEnd.mOutcome == outcome_kind::Answered) {
    mDecisions.Retries().CountSuccess(Now());
  }
  answer_callback answer = std::move(aFlow.mAnswer);
  mFlows.erase(aId);
  answer(aEnd);
}

// --- admit --------------------------------------------------------------

void
entry_instance::RunHere(flow_id aId, flow& aFlow)
{
  const soak_service& service = SoakServices().at(aFlow.mRequest.mService);
  aFlow.mNumber = ++mLastNumber;
  aFlow.mGrant.reset();
  mWaiting[aFlow.mNumber] = aId;
  admission_answer answer = mDecisions.RequestSlot(
    { aFlow.mNumber, service.mService, service.mRank, aFlow.mDeadline }, Now());
  Deliver(answer.mOthers);
  switch (answer.mStep) {
    case admission_step::Granted:
      Granted(answer.mGrant);
      return;
    case admission_step::Queued:
      LaterInStage(
        aId,
        aFlow,
        aFlow.mDeadline - Now(),
        event_kind::Timer,
        [this](flow_id aSame, flow& aOne) { GiveUpQueued(aSame, aOne); });
      return;
    case admission_step::Refused:
      mWaiting.erase(aFlow.mNumber);
      aFlow.mTried.insert(mDecisions.Self().mInstance);
      EndAttempt(aId, aFlow, NotRun(answer.mReason));
      return;
  }
}

void
entry_instance::GiveUpQueued(flow_id aId, flow& aFlow)
{
  if (aFlow.mGrant) {
    return; // granted in the meantime
  }
  mDecisions.Withdraw(aFlow.mNumber);
  mWaiting.erase(aFlow.mNumber);
  EndAttempt(aId, aFlow, NotRun(refusal_reason::DeadlinePassed));
}

// Grants wake their request by a later event, as the product's waiters do.
void
entry_instance::Deliver(const admission_changes& aChanges)
{
  for (const grant& one : aChanges.mGrants) {
    Granted(one);
  }
  for (const queue_refusal& one : aChanges.mRefusals) {
    Refused(one);
  }
}

void
entry_instance::Granted(const grant& aGrant)
{
  auto waiting = mWaiting.find(aGrant.mNumber);
  flow_id id = waiting->second;
  mWaiting.erase(waiting);
  flow& one = mFlows.at(id);
  one.mGrant = aGrant;
  ++one.mStep;
  LaterInStage(
    id, one, duration(0), event_kind::Timer, [this](flow_id aSame, flow& aOne) {
      Dispatch(aSame, aOne);
    });
}

void
entry_instance::Refused(const queue_refusal& aRefusal)
{
  auto waiting = mWaiting.find(aRefusal.mNumber);
  flow_id id = waiting->second;
  mWaiting.erase(waiting);
  EndAttempt(id, mFlows.at(id), NotRun(aRefusal.mReason));
}

// --- forward ------------------------------------------------------------

void
entry_instance::Dispatch(flow_id aId, flow& aFlow)
{
  ++aFlow.mStep;
  bool may = mDecisions.BeginDispatch(*aFlow.mGrant, aFlow.mDeadline, Now());
  if (!may) {
    EndDispatch(aId, aFlow, NotRun(refusal_reason::LeaseLapsed));
    return;
  }
  std::size_t upstream = UpstreamIndex(aFlow.mGrant->mUpstream).value();
  LaterInStage(aId,
               aFlow,
               std::max(aFlow.mDeadline - Now(), duration(0)),
               event_kind::Timer,
               [this, upstream](flow_id aSame, flow& aOne) {
                 TimeOut(aSame, aOne, upstream);
               });
  std::vector<idle_connection>& idle = mIdle.at(upstream);
  if (!idle.empty() && Now() - idle.back().mSince >= kIdleLife) {
    idle.clear();
  }
  bool reuse =
    SoakServices().at(aFlow.mRequest.mService).mIdempotent && !idle.empty();
  if (reuse) {
    aFlow.mConnection = idle.back().mConnection;
    idle.pop_back();
    mConnections[aFlow.mConnection] = aId;
    Write(aId, aFlow, upstream);
  } else {
    Connect(aId, aFlow, upstream);
  }
}

void
entry_instance::Connect(flow_id aId, flow& aFlow, std::size_t aUpstream)
{
  aFlow.mConnection = 0;
  duration oneWay = mWorld.mNetwork.Delay(Domain(), Domain());
  std::uint64_t step = aFlow.mStep;
  soak_world world = mWorld;
  process_address self = mAddress;
  mWorld.mSimulation.AtWorld(
    oneWay,
    event_kind::Upstream,
    [this, world, self, aId, step, aUpstream, oneWay] {
      bool up = world.mUpstreams.at(aUpstream).IsUp();
      world.mSimulation.AtProcess(
        self, oneWay, event_kind::Message, [this, aId, step, aUpstream, up] {
          InStage(aId, step, [&](flow_id aSame, flow& aOne) {
            Connected(aSame, aOne, aUpstream, up);
          });
        });
    });
}

void
entry_instance::Connected(flow_id aId,
                          flow& aFlow,
                          std::size_t aUpstream,
                          bool aUp)
{
  if (!aUp) {
    ++aFlow.mStep;
    EndDispatch(aId, aFlow, NotRun(refusal_reason::UpstreamConnect));
    return;
  }
  if (!mDecisions.MayDispatch(aFlow.mGrant->mUpstream, Now())) {
    ++aFlow.mStep;
    EndDispatch(aId, aFlow, NotRun(refusal_reason::LeaseLapsed));
    return;
  }
  aFlow.mConnection = ++mLastConnection;
  mConnections[aFlow.mConnection] = aId;
  Write(aId, aFlow, aUpstream);
}

void
entry_instance::Write(flow_id, flow& aFlow, std::size_t aUpstream)
{
  upstream_work work;
  work.mTag = aFlow.mRequest.mTag;
  work.mFrom = mAddress;
  work.mConnection = aFlow.mConnection;
  work.mCancel = SoakServices().at(aFlow.mRequest.mService).mIdempotent;
  work.mDeadline = aFlow.mDeadline;
  duration delay = mWorld.mNetwork.Delay(Domain(), Domain());
  bool closed = work.mCancel && mWorld.mSimulation.Chance(kClosedWhileIdle);
  std::uint64_t connection = aFlow.mConnection;
  soak_world world = mWorld;
  process_address self = mAddress;
  upstream_callback answer = [this, world, self, aUpstream, connection, delay](
                               const upstream_answer& aAnswer) {
    world.mSimulation.AtProcess(
      self, delay, event_kind::Message, [this, aUpstream, connection, aAnswer] {
        Answered(aUpstream, connection, aAnswer);
      });
  };
  mWorld.mSimulation.AtWorld(
    delay,
    event_kind::Upstream,
    [world, aUpstream, work, closed, answer = std::move(answer)] {
      if (closed) {
        answer({ upstream_reply::Lost });
      } else {
        world.mUpstreams.at(aUpstream).Arrive(work, answer);
      }
    });
}

void
entry_instance::Answered(std::size_t aUpstream,
                         std::uint64_t aConnection,
                         const upstream_answer& aAnswer)
{
  auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return; // closed in the meantime
  }
  flow_id id = found->second;
  mConnections.erase(found);
  flow& one = mFlows.at(id);
  ++one.mStep;
  if (aAnswer.mReply != upstream_reply::Lost) {
    mIdle.at(aUpstream).push_back({ aConnection, Now() });
  }
  switch (aAnswer.mReply) {
    case upstream_reply::Answered:
      EndDispatch(
        id,
        one,
        { outcome_kind::Answered, refusal_reason::None, aAnswer.mAnswerOf });
      return;
    case upstream_reply::Refused:
      EndDispatch(id, one, NotRun(refusal_reason::UpstreamRefused));
      return;
    case upstream_reply::Draining:
      HearDrain(aUpstream);
      EndDispatch(
        id,
        one,
        { outcome_kind::NotRun, refusal_reason::UpstreamRefused, 0, true });
      return;
    case upstream_reply::Lost:
      EndDispatch(id, one, Unknown(refusal_reason::UpstreamLost));
      return;
  }
}

// Closes the connection: a late answer on it must meet no other request.
void
entry_instance::TimeOut(flow_id aId, flow& aFlow, std::size_t aUpstream)
{
  ++aFlow.mStep;
  if (aFlow.mConnection == 0) {
    EndDispatch(aId, aFlow, NotRun(refusal_reason::UpstreamConnect));
    return;
  }
  std::uint64_t connection = aFlow.mConnection;
  mConnections.erase(connection);
  mWorld.mSimulation.AtWorld(
    mWorld.mNetwork.Delay(Domain(), Domain()),
    event_kind::Upstream,
    [world = mWorld, aUpstream, connection, from = mAddress] {
      world.mUpstreams.at(aUpstream).Close(from, connection);
    });
  EndDispatch(aId, aFlow, Unknown(refusal_reason::UpstreamTimeout));
}

// After an unknown outcome the upstream may still be at work for a moment.
void
entry_instance::EndDispatch(flow_id aId, flow& aFlow, const attempt_end& aEnd)
{
  request_number number = aFlow.mNumber;
  EndAttempt(aId, aFlow, aEnd);
  if (aEnd.mOutcome == outcome_kind::Unknown) {
    Later(kCancelSettle, event_kind::Timer, [this, number, aEnd] {
      ReleaseSlot(number, aEnd);
    });
  } else {
    ReleaseSlot(number, aEnd);
  }
}

void
entry_instance::ReleaseSlot(request_number aNumber, const attempt_end& aEnd)
{
  mDecisions.EndDispatch(aNumber);
  Deliver(mDecisions.Release(aNumber, aEnd, Now()));
}

// --- relay --------------------------------------------------------------

void
entry_instance::Relay(flow_id aId,
                      flow& aFlow,
                      const relay_target& aTarget,
                      soak_origin aOrigin)
{
  ++aFlow.mStep;
  std::size_t target = EntryIndex(aTarget.mInstance).value();
  std::size_t far = DomainOfEntry(target);
  aFlow.mRelayed = true;
  aFlow.mRelayPeer = target;
  soak_request passed = aFlow.mRequest;
  passed.mOrigin = aOrigin;
  passed.mStamp = aTarget.mStamp;
  passed.mAllowed =
    std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
               aFlow.mDeadline - Now()),
             std::chrono::milliseconds(0));
  std::uint64_t step = aFlow.mStep;
  answer_callback back = [this, aId, step](const attempt_end& aEnd) {
    InStage(aId, step, [&](flow_id aSame, flow& aOne) {
      EndAttempt(aSame, aOne, aEnd);
    });
  };
  LaterInStage(aId,
               aFlow,
               std::max(aFlow.mDeadline - Now(), duration(0)),
               event_kind::Timer,
               [this](flow_id aSame, flow& aOne) {
                 EndAttempt(
                   aSame, aOne, Unknown(refusal_reason::UpstreamTimeout));
               });
  soak_world world = mWorld;
  process_address self = mAddress;
  std::size_t near = Domain();
  duration delay = mWorld.mNetwork.Delay(near, far);
  // Carries the answer unless the link is cut by then.
  answer_callback home =
    [world, self, near, far, delay, back](const attempt_end& aEnd) {
      if (world.mNetwork.IsOpen(near, far)) {
        world.mSimulation.AtProcess(
          self, delay, event_kind::Message, [back, aEnd] { back(aEnd); });
      }
    };
  mWorld.mSimulation.AtWorld(
    delay * 3,
    event_kind::Message,
    [this, world, self, delay, near, far, target, passed, home] {
      if (!world.mNetwork.IsOpen(near, far)) {
        return; // the sender's deadline ends it
      }
      if (!world.mSimulation.Process(target).mRunning) {
        world.mSimulation.AtProcess(
          self, delay, event_kind::Message, [this, target] {
            mDecisions.RecordRelayConnectFailure(
              SoakMember(target, 0).mInstance, Now());
          });
        home(NotRun(refusal_reason::RelayConnect));
        return;
      }
      world.mSimulation.AtProcess({ target, 0 },
                                  duration(0),
                                  event_kind::Message,
                                  [world, target, passed, home] {
                                    world.mEntries.at(target)->Receive(passed,
                                                                       home);
                                  });
    });
}

void
entry_instance::PeerReset(std::size_t aPeer)
{
  std::vector<flow_id> broken;
  for (const std::pair<const flow_id, flow>& entry : mFlows) {
    if (entry.second.mRelayed && entry.second.mRelayPeer == aPeer) {
      broken.push_back(entry.first);
    }
  }
  std::sort(broken.begin(), broken.end());
  for (flow_id id : broken) {
    EndAttempt(id, mFlows.at(id), Unknown(refusal_reason::RelayLost));
  }
}

// --- heartbeats ---------------------------------------------------------

void
entry_instance::ReceiveHeartbeat(const heartbeat& aHeartbeat)
{
  mDecisions.ReceiveHeartbeat(aHeartbeat, Now());
  if (mDecisions.TakeSendNow()) {
    SendHeartbeats();
    Deliver(mDecisions.RefreshHomes(Now()));
  }
}

void
entry_instance::SendHeartbeats()
{
  for (addressed_heartbeat& one : mDecisions.Heartbeats(Now())) {
    std::size_t index = EntryAt(one.mTarget).value();
    std::size_t far = DomainOfEntry(index);
    bool lost = !mWorld.mNetwork.IsOpen(Domain(), far) ||
                mWorld.mSimulation.Chance(kHeartbeatLoss);
    if (!lost) {
      soak_world world = mWorld;
      std::shared_ptr<const heartbeat> message =
        std::make_shared<const heartbeat>(std::move(one.mMessage));
      mWorld.mSimulation.AtProcess({ index, 0 },
                                   mWorld.mNetwork.Delay(Domain(), far),
                                   event_kind::Message,
                                   [world, index, message] {
                                     world.mEntries.at(index)->ReceiveHeartbeat(
                                       *message);
                                   });
    }
  }
}

void
entry_instance::TickMembership()
{
  SendHeartbeats();
  Deliver(mDecisions.RefreshHomes(Now()));
  Later(membership::kPeriod, event_kind::Timer, [this] { TickMembership(); });
}

void
entry_instance::TickAdmission()
{
  Deliver(mDecisions.Tick(Now()));
  Later(kTickPeriod, event_kind::Timer, [this] { TickAdmission(); });
}

void
entry_instance::BeginLeaving()
{
  mDecisions.BeginLeaving(Now());
  mCustomers.BeginLeaving();
  SendHeartbeats();
  Deliver(mDecisions.RefreshHomes(Now()));
}

// --- load of upstreams --------------------------------------------------

void
entry_instance::WatchLoad()
{
  for (const upstream_view& upstream : mDecisions.Upstreams()) {
    if (upstream.mHome) {
      AskLoad(UpstreamIndex(upstream.mUpstream).value());
    }
  }
  Later(kLoadPeriod, event_kind::Timer, [this] { WatchLoad(); });
}

void
entry_instance::AskLoad(std::size_t aUpstream)
{
  soak_world world = mWorld;
  process_address self = mAddress;
  duration delay = mWorld.mNetwork.Delay(Domain(), Domain());
  mWorld.mSimulation.AtWorld(
    delay, event_kind::Upstream, [this, world, self, aUpstream, delay] {
      std::optional<upstream_load> load = world.mUpstreams.at(aUpstream).Load();
      if (load) {
        world.mSimulation.AtProcess(
          self, delay, event_kind::Upstream, [this, aUpstream, load] {
            TakeLoad(aUpstream, *load);
          });
      }
    });
}

// A word that was true when it was sent may be late.
void
entry_instance::HearDrain(std::size_t aUpstream)
{
  if (mWorld.mUpstreams.at(aUpstream).IsLeaving()) {
    mWorld.mOracle.OnLeavingLearnt(aUpstream, mAddress, leaving_sign::OwnWord);
  }
}

void
entry_instance::TakeLoad(std::size_t aUpstream, const upstream_load& aLoad)
{
  if (aLoad.mDraining) {
    HearDrain(aUpstream);
  }
  mDecisions.Report(SoakUpstream(aUpstream), aLoad, Now());
}

// --- configuration ------------------------------------------------------

void
entry_instance::Poll()
{
  soak_world world = mWorld;
  process_address self = mAddress;
  std::size_t domain = Domain();
  duration delay = mWorld.mPlatform.Delay();
  if (mWorld.mNetwork.IsOpen(domain, kPlatformSite)) {
    mWorld.mSimulation.AtWorld(
      delay, event_kind::Platform, [this, world, self, domain, delay] {
        std::optional<row_snapshot> row = world.mPlatform.ReadRow();
        std::optional<config_row> state =
          row ? DecodeConfigRow(row->mValue) : std::nullopt;
        std::optional<known_document> fetched =
          state ? world.mPlatform.Fetch(*state) : std::nullopt;
        if (fetched && world.mNetwork.IsOpen(domain, kPlatformSite)) {
          world.mSimulation.AtProcess(
            self, delay * 3, event_kind::Platform, [this, fetched] {
              PutInForce(*fetched);
            });
        }
      });
  }
  AskPeer();
  Later(mWorld.mSimulation.Between(kPollLeast, kPollMost),
        event_kind::Timer,
        [this] { Poll(); });
}

void
entry_instance::AskPeer()
{
  std::optional<std::size_t> best;
  std::uint64_t newest = mDecisions.Document().Version();
  for (const peer& one : mDecisions.LivePeers(Now())) {
    if (one.mLast.mVersion > newest) {
      newest = one.mLast.mVersion;
      best = EntryIndex(one.mLast.mSender.mInstance);
    }
  }
  if (!best || !mWorld.mNetwork.IsOpen(Domain(), DomainOfEntry(*best))) {
    return;
  }
  soak_world world = mWorld;
  process_address self = mAddress;
  std::size_t source = *best;
  duration delay = mWorld.mNetwork.Delay(Domain(), DomainOfEntry(source));
  mWorld.mSimulation.AtProcess(
    { source, 0 },
    delay,
    event_kind::Message,
    [this, world, self, source, delay] {
      const document_state& state =
        world.mEntries.at(source)->Decisions().Document();
      known_document known{
        state.Version(), state.ContentHash(), state.Objects(), state.Document()
      };
      if (known.mDocument) {
        world.mSimulation.AtProcess(self,
                                    delay,
                                    event_kind::Message,
                                    [this, known] { PutInForce(known); });
      }
    });
}

void
entry_instance::PutInForce(const known_document& aDocument)
{
  if (!mDecisions.Accept(aDocument)) {
    return;
  }
  mWorld.mOracle.OnVersion(mAddress, mDecisions.Document().Version());
  NoteLeaving();
  Deliver(mDecisions.RefreshHomes(Now()));
}

void
entry_instance::NoteLeaving()
{
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       mDecisions.Document().Document()->mUpstreams) {
    std::size_t upstream = UpstreamIndex(entry.first).value();
    if (entry.second.mState == upstream_state::Leaving) {
      mWorld.mOracle.OnLeavingLearnt(
        upstream, mAddress, leaving_sign::Document);
    } else {
      mWorld.mOracle.OnServingLearnt(upstream, mAddress);
    }
  }
}

// --- look-ups -----------------------------------------------------------

std::vector<instance_id>
entry_instance::Lookup(const service_id& aService, std::size_t aClientDomain)
{
  return mDecisions.Lookup(aService, SoakClient(aClientDomain), Now());
}

std::optional<request_identity>
entry_instance::Issue()
{
  return mDecisions.Ledger().Issue(Now());
}

} // namespace laburnumdyke
