// A ZeroMQ socket serves one thread at a time: all of them are used on one
// strand. The PULL socket's descriptor signals edges only, so after each wake
// messages are read until there are none.
#include "laburnumdyke/plugin/message_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

namespace {

constexpr int kSendQueue = 4;       // messages to one target
constexpr int kReceiveQueue = 1000; // messages

} // namespace

message_link::message_link(kernel& aKernel,
                           taker aTake,
                           std::function<void()> aAfter)
  : mKernel(aKernel)
  , mTake(std::move(aTake))
  , mAfter(std::move(aAfter))
  , mStrand(asio::make_strand(aKernel.Context()))
  , mReceiver(mZmq, zmq::socket_type::pull)
  , mReadable(mStrand)
{
}

std::optional<std::string>
message_link::Listen(const endpoint& aAddress, std::size_t aLimit)
{
  mReceiver.set(zmq::sockopt::linger, 0);
  mReceiver.set(zmq::sockopt::rcvhwm, kReceiveQueue);
  mReceiver.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(aLimit));
  try {
    mReceiver.bind("tcp://" + aAddress.Text());
  } catch (const zmq::error_t& failure) {
    return aAddress.Text() + ": " + failure.what();
  }
  mReadable.assign(mReceiver.get(zmq::sockopt::fd));
  asio::co_spawn(mStrand, Receive(), asio::detached);
  return std::nullopt;
}

asio::awaitable<void>
message_link::Receive()
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

void
message_link::Drain()
{
  zmq::message_t message;
  while (mReceiver.recv(message, zmq::recv_flags::dontwait)) {
    mTake({ static_cast<const char*>(message.data()), message.size() });
  }
  if (mAfter) {
    mAfter();
  }
}

zmq::socket_t
message_link::Open(const endpoint& aTarget)
{
  zmq::socket_t socket(mZmq, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueue);
  socket.connect("tcp://" + aTarget.Text());
  return socket;
}

void
message_link::Send(const std::vector<addressed_message>& aMessages)
{
  std::map<endpoint, zmq::socket_t> kept;
  for (const addressed_message& one : aMessages) {
    auto found = mTargets.find(one.mTarget);
    zmq::socket_t socket =
      found == mTargets.end() ? Open(one.mTarget) : std::move(found->second);
    zmq::message_t message(one.mBytes.data(), one.mBytes.size());
    bool sent = socket.send(message, zmq::send_flags::dontwait).has_value();
    if (!sent) {
      mKernel.Counters().Add("heartbeats_dropped_total");
    }
    kept.emplace(one.mTarget, std::move(socket));
  }
  mTargets = std::move(kept);
}

void
message_link::Close()
{
  // The descriptor belongs to ZeroMQ.
  mReadable.release();
  mTargets.clear();
  mReceiver.close();
}

} // namespace laburnumdyke
