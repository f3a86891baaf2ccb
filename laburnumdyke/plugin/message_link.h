// Messages between instances over ZeroMQ: one PUSH socket for each target and
// one PULL socket to listen.
//
// Usage:
//   message_link link(kernel, [](std::string_view aBytes) { ... });
//   std::optional<std::string> failure = link.Listen(address, limit);
//   asio::co_spawn(link.Strand(), Beat(), asio::detached);
//   ... on the strand: link.Send(targets, bytes); link.Drain();
//   link.Close();                       // when no worker runs
//
// Sends never wait: what a slow or lost target can't take is dropped and
// counted under heartbeats_dropped_total, and the next message replaces it.
#pragma once

#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/strand.hpp>

#include <zmq.hpp>

#include <functional>
#include <map>
#include <optional>
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
  using taker = std::function<void(std::string_view)>;

  // aTake gets each message; aAfter is called when there are no more.
  message_link(kernel& aKernel, taker aTake, std::function<void()> aAfter = {});

  // Nothing, or why it can't listen. aLimit bounds one message, in bytes.
  std::optional<std::string> Listen(const endpoint& aAddress,
                                    std::size_t aLimit);

  strand& Strand() { return mStrand; }

  // On the strand: reads what has come.
  void Drain();

  // On the strand: sends, and drops connections to all other targets.
  void Send(const std::vector<addressed_message>& aMessages);

  void Close();

private:
  asio::awaitable<void> Receive();
  zmq::socket_t Open(const endpoint& aTarget);

  kernel& mKernel;
  taker mTake;
  std::function<void()> mAfter;
  zmq::context_t mZmq;
  strand mStrand;
  zmq::socket_t mReceiver;
  asio::posix::stream_descriptor mReadable;
  std::map<endpoint, zmq::socket_t> mTargets;
};

} // namespace laburnumdyke
