// Exchanges messages between instances over ZeroMQ, with one PUSH socket per
// target and one PULL socket that receives from all peers.
//
// Usage:
//   message_link link(kernel, [](std::string_view aBytes) { ... });
//   std::optional<std::string> failure = link.Listen(address, limit);
//   asio::co_spawn(link.Strand(), SendPeriodically(), asio::detached);
//   ... on the strand: link.Send(messages); link.Drain();
//   link.Close();                       // after all workers have stopped
//
// Send never blocks. A message that a slow or unreachable target can't accept
// is dropped and counted under heartbeats_dropped_total; the next message
// supersedes it.
#pragma once

#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/strand.hpp>

#include <zmq.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct addressed_message
{
  endpoint mTarget;
  std::string mBytes;
};

class message_link
{
public:
  using strand = asio::strand<asio::io_context::executor_type>;
  using message_handler = std::function<void(std::string_view)>;

  // aHandler is called with each message, aOnDrained each time that no more
  // messages are pending. Both run on the strand.
  message_link(kernel& aKernel,
               message_handler aHandler,
               std::function<void()> aOnDrained = {});

  // Binds to aAddress and starts receiving. Returns an error message if the
  // bind fails. aMaxMessageBytes limits the size of one message, in bytes.
  std::optional<std::string> Listen(const endpoint& aAddress,
                                    std::size_t aMaxMessageBytes);

  strand& Strand() { return mStrand; }

  // Handles all pending messages. Must run on the strand.
  void Drain();

  // Sends aMessages, connecting to targets as needed. Must run on the strand.
  void Send(const std::vector<addressed_message>& aMessages);

  // Closes the connections to all targets but aTargets. Must run on the strand.
  void CloseOthers(const std::set<endpoint>& aTargets);

  // Closes all sockets. No worker may be running.
  void Close();

private:
  asio::awaitable<void> Receive();
  zmq::socket_t Connect(const endpoint& aTarget);

  kernel& mKernel;
  message_handler mHandler;
  std::function<void()> mOnDrained;
  zmq::context_t mZmq;
  strand mStrand;
  zmq::socket_t mReceiver;
  asio::posix::stream_descriptor mReadable;
  std::map<endpoint, zmq::socket_t> mTargets;
};

} // namespace laburnumdyke
