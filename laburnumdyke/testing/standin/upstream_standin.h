// A stand-in for an upstream: an HTTP/1.1 server with slots, a connection
// limit, drain, cold start, load shedding, cancellation, deadlines and a
// lagging load page.
//
// Usage:
//   asio::io_context context;
//   upstream_standin upstream(context, { .mListen = { "127.0.0.1", 0 } });
//   std::optional<std::string> failure = upstream.Start();
//   ...upstream.Port()...
//   upstream.Stop();
//
// The context must outlive the stand-in. All work runs on a strand, so that
// the context may have several threads; Stop may be called from any of them.
//
// Work is any path outside /control and /load:
//   ms=N     service time, milliseconds
//   bytes=N  size of the answer's body
//   seed=N   selects the body's content, see AnswerBlock
//   Laburnumdyke-Request-Id    runs are counted by it; up to 128 bytes
//   Laburnumdyke-Deadline-Ms   what is left of the deadline
// An answer carries Upstream-Name, Upstream-Body-Bytes (received) and, where
// the request had one, Laburnumdyke-Request-Id. A refusal before any work is
// 503 with Upstream-Not-Run: shedding, draining or deadline. A deadline that
// passes during the work gives 504, during the answer's body a closed
// connection. The slot is held from the request's header to the last byte of
// the answer. A peer that closes its sending side while work is under way
// cancels it.
//
// GET /load, GET /control and POST /control speak JSON; see upstream_faults
// and upstream_counters for the fields. Control is answered on the main port,
// and on a port of its own that the connection limit and frozen do not touch.
//
// A header over kStandinHeaderLimit gets 431, a malformed request 400; both are
// counted and close the connection.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/standin/upstream_model.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace laburnumdyke {

struct upstream_standin_options
{
  endpoint mListen{ "127.0.0.1", 0 };       // port 0: any
  std::optional<endpoint> mControlListen{}; // a port for control alone
  std::uint32_t mConnections = 650;
  upstream_model_options mModel{};
  upstream_faults mFaults{};
};

class upstream_standin
{
public:
  upstream_standin(boost::asio::io_context& aContext,
                   upstream_standin_options aOptions);
  ~upstream_standin();
  upstream_standin(const upstream_standin&) = delete;
  upstream_standin& operator=(const upstream_standin&) = delete;

  // Returns why it can't listen, or nothing.
  std::optional<std::string> Start();

  // The ports listened on, once started.
  std::uint16_t Port() const;
  std::uint16_t ControlPort() const; // 0: none

  // Closes the listening sockets and every connection. Idempotent.
  void Stop();

private:
  class server;
  std::shared_ptr<server> mServer;
};

// Bodies of answers repeat one block of this many bytes.
inline constexpr std::size_t kAnswerBlock = 65536;

// The repeated block of printable bytes for a seed.
std::string
AnswerBlock(std::uint64_t aSeed);

} // namespace laburnumdyke
