// Sends heartbeats to peers every membership::kPeriod and receives theirs.
//
// A heartbeat that a slow or unreachable peer can't accept is dropped; the next
// one supersedes it.
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/heartbeat_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <vector>

namespace laburnumdyke {

namespace {

constexpr int kLeavingHeartbeatCount = 3;
constexpr std::chrono::milliseconds kLeavingInterval{ 50 };

class peer_link
{
public:
  static constexpr std::string_view kName = "peer_link";
  static constexpr plugin_stage kStage = plugin_stage::Peer;

  explicit peer_link(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mLink(
        aKernel,
        [this](std::string_view aBytes) { ReceiveHeartbeat(aBytes); },
        [this] { SendIfRequested(); })
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mLink.Listen(mKernel.Settings().mPeer, kMaxHeartbeatBytes);
    if (failure) {
      return failure;
    }
    asio::co_spawn(mLink.Strand(), SendPeriodically(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant aNow)
  {
    mTables.Membership().With(
      [&](membership& aMembership) { aMembership.BeginLeaving(aNow); });
    asio::co_spawn(mLink.Strand(), AnnounceLeaving(), asio::detached);
  }

  std::string PendingWork(instant) { return {}; }

  void Stop() { mLink.Close(); }

private:
  static instant Now() { return std::chrono::steady_clock::now(); }

  void ReceiveHeartbeat(std::string_view aBytes)
  {
    std::optional<heartbeat> decoded = DecodeHeartbeat(aBytes);
    if (!decoded) {
      mKernel.Counters().Add("heartbeat_rejected_total", "malformed");
      return;
    }
    bool applied = mTables.Membership().With([&](membership& aMembership) {
      return aMembership.ReceiveHeartbeat(*decoded, Now());
    });
    mKernel.Counters().Add(applied ? "heartbeats_total"
                                   : "heartbeats_ignored_total");
  }

  void SendIfRequested()
  {
    bool sendNow = mTables.Membership().With(
      [](membership& aMembership) { return aMembership.TakeSendNow(); });
    if (sendNow) {
      instant now = Now();
      SendHeartbeats(now);
      mTables.RefreshHomes(now);
    }
  }

  // Sends several heartbeats at short intervals, so that losing one does not
  // delay the takeover by other instances.
  asio::awaitable<void> AnnounceLeaving()
  {
    for (int i = 0; i < kLeavingHeartbeatCount; ++i) {
      instant now = Now();
      SendHeartbeats(now);
      mTables.RefreshHomes(now);
      co_await SleepFor(kLeavingInterval);
    }
  }

  asio::awaitable<void> SendPeriodically()
  {
    while (true) {
      instant now = Now();
      SendHeartbeats(now);
      mLink.Drain();
      mTables.RefreshHomes(now);
      co_await SleepFor(membership::kPeriod);
    }
  }

  heartbeat Compose(instant aNow)
  {
    heartbeat message = mTables.Membership().With(
      [&](membership& aMembership) { return aMembership.Compose(aNow); });
    mTables.DocumentState().With([&](document_state& aState) {
      message.mVersion = aState.Version();
      message.mContentHash = aState.ContentHash();
    });
    message.mStamp = mTables.Stamp(aNow);
    message.mCredits = mTables.Credits(aNow);
    return message;
  }

  void SendHeartbeats(instant aNow)
  {
    heartbeat full = Compose(aNow);
    std::vector<addressed_heartbeat> outgoing = mTables.Membership().With(
      [&](membership& aMembership) { return aMembership.Address(full, aNow); });
    std::vector<addressed_message> messages;
    std::set<endpoint> targets;
    for (const addressed_heartbeat& heartbeatToSend : outgoing) {
      messages.push_back(
        { heartbeatToSend.mTarget, EncodeHeartbeat(heartbeatToSend.mMessage) });
      targets.insert(heartbeatToSend.mTarget);
    }
    mLink.CloseOthers(targets);
    mLink.Send(messages);
  }

  kernel& mKernel;
  entry_tables mTables;
  message_link mLink;
};

const plugin_registrar<peer_link> kRegistered;

} // namespace

} // namespace laburnumdyke
