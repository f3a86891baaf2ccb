// One entry instance of the randomised run: the stages of the request
// pipeline, the heartbeats and the configuration watch as events, over mocks
// of the network, the upstreams and the platform.
//
//   identity -> route -> admit -> forward -> settle
//
// Each stage that waits in the product is an event here, so that a freeze or
// a kill can come between any two of them.
#pragma once

#include "laburnumdyke/testing/soak/entry_customers.h"
#include "laburnumdyke/testing/soak/entry_decisions.h"

#include <array>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

enum class soak_origin
{
  Caller,
  IssuerRelay,
  HomeRelay,
};

struct soak_request
{
  attempt_tag mTag;
  std::size_t mService = 0;
  std::chrono::milliseconds mAllowed{ 0 };
  std::optional<request_identity> mIdentity;
  soak_origin mOrigin = soak_origin::Caller;
  std::chrono::milliseconds mStamp{ 0 };
};

using answer_callback = std::function<void(const attempt_end&)>;

class entry_instance
{
public:
  entry_instance(soak_world aWorld,
                 std::size_t aIndex,
                 std::uint64_t aIncarnation);

  // Begins heartbeats, ticks and polls.
  void Start();

  void Receive(const soak_request& aRequest, answer_callback aAnswer);
  void ReceiveHeartbeat(const heartbeat& aHeartbeat);
  // The process at the other end of relays has died.
  void PeerReset(std::size_t aPeer);

  std::vector<instance_id> Lookup(const service_id& aService,
                                  std::size_t aClientDomain);
  std::optional<request_identity> Issue();

  void BeginLeaving();
  bool IsIdle() const { return mFlows.empty(); }
  const process_address& Address() const { return mAddress; }
  const entry_decisions& Decisions() const { return mDecisions; }
  entry_customers& Customers() { return mCustomers; }

private:
  using flow_id = std::uint64_t;

  // One request on its way through this instance.
  struct flow
  {
    soak_request mRequest;
    answer_callback mAnswer;
    instant mDeadline{};
    std::set<instance_id> mTried;
    std::size_t mAttempt = 0;
    bool mOwned = false; // its identity was begun here
    // Why an earlier attempt may have run; None where none has.
    refusal_reason mMayHaveRun = refusal_reason::None;
    bool mRelayed = false;
    std::size_t mRelayPeer = 0;
    std::optional<grant> mGrant;
    request_number mNumber = 0;
    std::uint64_t mConnection = 0;
    std::uint64_t mStep = 0; // grows as a stage ends; voids its events
  };

  struct idle_connection
  {
    std::uint64_t mConnection = 0;
    instant mSince{};
  };

  using flow_action = std::function<void(flow_id, flow&)>;

  instant Now() const { return mWorld.mSimulation.Now(); }
  std::size_t Domain() const { return DomainOfEntry(mAddress.mIndex); }
  void Later(duration aAfter, event_kind aKind, simulation::action aAction);
  // Runs the action unless the flow's stage has ended in the meantime.
  void LaterInStage(flow_id aId,
                    const flow& aFlow,
                    duration aAfter,
                    event_kind aKind,
                    flow_action aAction);
  void InStage(flow_id aId, std::uint64_t aStep, const flow_action& aAction);

  void BeginAttempt(flow_id aId, flow& aFlow);
  void EndAttempt(flow_id aId, flow& aFlow, const attempt_end& aEnd);
  void EndFlow(flow_id aId, flow& aFlow, const attempt_end& aEnd);

  void RunHere(flow_id aId, flow& aFlow);
  void GiveUpQueued(flow_id aId, flow& aFlow);
  void Deliver(const admission_changes& aChanges);
  void Granted(const grant& aGrant);
  void Refused(const queue_refusal& aRefusal);

  void Dispatch(flow_id aId, flow& aFlow);
  void Connect(flow_id aId, flow& aFlow, std::size_t aUpstream);
  void Connected(flow_id aId, flow& aFlow, std::size_t aUpstream, bool aUp);
  void Write(flow_id aId, flow& aFlow, std::size_t aUpstream);
  void Answered(std::size_t aUpstream,
                std::uint64_t aConnection,
                const upstream_answer& aAnswer);
  void TimeOut(flow_id aId, flow& aFlow, std::size_t aUpstream);
  void EndDispatch(flow_id aId, flow& aFlow, const attempt_end& aEnd);

  void ReleaseSlot(request_number aNumber, const attempt_end& aEnd);

  void RelayToIssuer(flow_id aId, flow& aFlow);
  void Relay(flow_id aId,
             flow& aFlow,
             const relay_target& aTarget,
             soak_origin aOrigin);

  void TickMembership();
  void SendHeartbeats();
  void TickAdmission();
  // Asks the upstreams whose home this is for their load.
  void WatchLoad();
  void AskLoad(std::size_t aUpstream);
  void HearDrain(std::size_t aUpstream);
  void TakeLoad(std::size_t aUpstream, const upstream_load& aLoad);
  void Poll();
  void AskPeer();
  void PutInForce(const known_document& aDocument);
  void NoteLeaving();

  soak_world mWorld;
  process_address mAddress;
  entry_decisions mDecisions;
  entry_customers mCustomers;
  std::unordered_map<flow_id, flow> mFlows;
  std::unordered_map<request_number, flow_id> mWaiting;    // for a grant
  std::unordered_map<std::uint64_t, flow_id> mConnections; // in use
  std::array<std::vector<idle_connection>, kSoakUpstreams> mIdle;
  flow_id mLastFlow = 0;
  request_number mLastNumber = 0;
  std::uint64_t mLastConnection = 0;
};

} // namespace laburnumdyke
