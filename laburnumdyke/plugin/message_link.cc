// ZeroMQ sockets are not thread-safe, so all of them are used on one strand.
// The PULL socket's file descriptor is edge-triggered: after each wake-up,
// messages are read until none are pending.
#include "laburnumdyke/plugin/message_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

namespace {

constexpr int kSendQueueLimit = 4;       // messages per target
constexpr int kReceiveQueueLimit = 1000; // messages

} // namespace

message_link::message_link(kernel& aKernel,
                           message_handler aHandler,
                           std::function<void()> aOnDrained)
  : mKernel(aKernel)
  , mHandler(std::move(aHandler))
  , mOnDrained(std::move(aOnDrained))
  , mStrand(asio::make_strand(aKernel.Context()))
  , mReceiver(mZmq, zmq::socket_type::pull)
  , mReadable(mStrand)
{
}

std::optional<std::string>
message_link::Listen(const endpoint& aAddress, std::size_t aMaxMessageBytes)
{
  mReceiver.set(zmq::sockopt::linger, 0);
  mReceiver.set(zmq::sockopt::rcvhwm, kReceiveQueueLimit);
  mReceiver.set(zmq::sockopt::maxmsgsize,
                static_cast<std::int64_t>(aMaxMessageBytes));
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
    mHandler({ static_cast<const char*>(message.data()), message.size() });
  }
  if (mOnDrained) {
    mOnDrained();
  }
}

zmq::socket_t
message_link::Connect(const endpoint& aTarget)
{
  zmq::socket_t socket(mZmq, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueueLimit);
  socket.connect("tcp://" + aTarget.Text());
  return socket;
}

void
message_link::Send(const std::vector<addressed_message>& aMessages)
{
  for (const addressed_message& outgoing : aMessages) {
    auto found = mTargets.find(outgoing.mTarget);
    if (found == mTargets.end()) {
      found =
        mTargets.emplace(outgoing.mTarget, Connect(outgoing.mTarget)).first;
    }
    zmq::message_t message(outgoing.mBytes.data(), outgoing.mBytes.size());
    bool sent =
      found->second.send(message, zmq::send_flags::dontwait).has_value();
    if (!sent) {
      mKernel.Counters().Add("heartbeats_dropped_total");
    }
  }
}

void
message_link::CloseOthers(const std::set<endpoint>& aTargets)
{
  std::erase_if(mTargets,
                [&](const std::pair<const endpoint, zmq::socket_t>& aOne) {
                  return aTargets.count(aOne.first) == 0;
                });
}

void
message_link::Close()
{
  // ZeroMQ owns the file descriptor, so release it instead of closing it.
  mReadable.release();
  mTargets.clear();
  mReceiver.close();
}

} // namespace laburnumdyke
