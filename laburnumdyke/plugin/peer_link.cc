// Heartbeats between instances over ZeroMQ, one PUSH socket for each target
// and one PULL socket to listen.
//
// A ZeroMQ socket serves one thread at a time: all of them are used on one
// strand. The PULL socket's descriptor signals edges only, so after each wake
// messages are read until there are none. Sends never wait: what a slow or
// lost target can't take is dropped, and the next heartbeat replaces it.
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/heartbeat_codec.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <zmq.hpp>

#include <map>

namespace laburnumdyke {

namespace {

constexpr int kSendQueue = 4;       // heartbeats to one target
constexpr int kReceiveQueue = 1000; // heartbeats
constexpr int kLeavingHeartbeats = 3;
constexpr std::chrono::milliseconds kLeavingGap{ 50 };

class peer_link
{
public:
  static constexpr std::string_view kName = "peer_link";
  static constexpr plugin_stage kStage = plugin_stage::Peer;

  explicit peer_link(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mStrand(asio::make_strand(aKernel.Context()))
    , mReceiver(mZmq, zmq::socket_type::pull)
    , mReadable(mStrand)
  {
  }

  std::optional<std::string> Start(instant)
  {
    mReceiver.set(zmq::sockopt::linger, 0);
    mReceiver.set(zmq::sockopt::rcvhwm, kReceiveQueue);
    mReceiver.set(zmq::sockopt::maxmsgsize,
                  static_cast<std::int64_t>(kLongestHeartbeat));
    const endpoint& address = mKernel.Settings().mPeer;
    try {
      mReceiver.bind("tcp://" + address.Text());
    } catch (const zmq::error_t& failure) {
      return address.Text() + ": " + failure.what();
    }
    mReadable.assign(mReceiver.get(zmq::sockopt::fd));
    asio::co_spawn(mStrand, Receive(), asio::detached);
    asio::co_spawn(mStrand, Beat(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant aNow)
  {
    mTables.Membership().With(
      [&](membership& aMembership) { aMembership.BeginLeaving(aNow); });
    asio::co_spawn(mStrand, AnnounceLeaving(), asio::detached);
  }

  std::string Waiting(instant) { return {}; }

  void Stop()
  {
    // The descriptor belongs to ZeroMQ.
    mReadable.release();
    mTargets.clear();
    mReceiver.close();
  }

private:
  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> Receive()
  {
    while (true) {
      Drain();
      error_code failure;
      co_await mReadable.async_wait(
        asio::posix::stream_descriptor::wait_read,
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
    }
  }

  void Drain()
  {
    zmq::message_t message;
    while (mReceiver.recv(message, zmq::recv_flags::dontwait)) {
      std::optional<heartbeat> decoded = DecodeHeartbeat(
        { static_cast<const char*>(message.data()), message.size() });
      if (!decoded) {
        mKernel.Counters().Add("heartbeat_rejected_total", "malformed");
        continue;
      }
      bool taken = mTables.Membership().With([&](membership& aMembership) {
        return aMembership.Hear(*decoded, Now());
      });
      mKernel.Counters().Add(taken ? "heartbeats_total"
                                   : "heartbeats_ignored_total");
    }
    bool answerNow = mTables.Membership().With(
      [](membership& aMembership) { return aMembership.TakeAnswerNow(); });
    if (answerNow) {
      instant now = Now();
      SendHeartbeats(now);
      mTables.RefreshHomes(now);
    }
  }

  // Several at once, so that one lost heartbeat doesn't delay a successor.
  asio::awaitable<void> AnnounceLeaving()
  {
    for (int i = 0; i < kLeavingHeartbeats; ++i) {
      instant now = Now();
      SendHeartbeats(now);
      mTables.RefreshHomes(now);
      co_await SleepFor(kLeavingGap);
    }
  }

  asio::awaitable<void> Beat()
  {
    while (true) {
      instant now = Now();
      SendHeartbeats(now);
      Drain();
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
    heartbeat whole = Compose(aNow);
    std::vector<addressed_heartbeat> addressed =
      mTables.Membership().With([&](membership& aMembership) {
        return aMembership.Address(whole, aNow);
      });
    std::map<endpoint, zmq::socket_t> kept;
    for (const addressed_heartbeat& one : addressed) {
      auto found = mTargets.find(one.mTarget);
      zmq::socket_t socket =
        found == mTargets.end() ? Open(one.mTarget) : std::move(found->second);
      Send(socket, EncodeHeartbeat(one.mMessage));
      kept.emplace(one.mTarget, std::move(socket));
    }
    mTargets = std::move(kept);
  }

  void Send(zmq::socket_t& aSocket, const std::string& aBytes)
  {
    zmq::message_t message(aBytes.data(), aBytes.size());
    bool sent = aSocket.send(message, zmq::send_flags::dontwait).has_value();
    if (!sent) {
      mKernel.Counters().Add("heartbeats_dropped_total");
    }
  }

  zmq::socket_t Open(const endpoint& aTarget)
  {
    zmq::socket_t socket(mZmq, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kSendQueue);
    socket.connect("tcp://" + aTarget.Text());
    return socket;
  }

  kernel& mKernel;
  entry_tables mTables;
  zmq::context_t mZmq;
  asio::strand<asio::io_context::executor_type> mStrand;
  zmq::socket_t mReceiver;
  asio::posix::stream_descriptor mReadable;
  std::map<endpoint, zmq::socket_t> mTargets;
};

const registered<peer_link> kRegistered;

} // namespace

} // namespace laburnumdyke
