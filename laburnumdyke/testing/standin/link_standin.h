// A stand-in for the network between two processes: a TCP relay that can be
// cut, stalled and delayed.
//
// Usage:
//   asio::io_context context;
//   link_standin link(context, { .mTo = { "127.0.0.1", 7003 } });
//   std::optional<std::string> failure = link.Start();
//   ...connect to link.Port()...
//   link.Set({ .mCut = true });
//
// Cut: open connections are closed and new ones refused. Stalled: connections
// stay open and bytes are held back, as where packets are lost. Delay: each
// byte arrives that much later, in both directions, also the one that closes.
// Once the connection beyond can't be made, the near one is closed.
//
// A cut that ends while another process has taken the port stays a cut; the
// control port then answers 400.
//
// The context must outlive the stand-in. All work runs on a strand; Set and
// Stop may be called from any thread and take effect soon after. The control
// port takes POST /control with {"cut":bool,"stalled":bool,"delay_ms":N} and
// GET /control, both answered with link_counters as JSON.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace laburnumdyke {

struct link_faults
{
  bool mCut = false;
  bool mStalled = false;
  std::chrono::milliseconds mDelay{ 0 };
};

struct link_counters
{
  std::uint64_t mConnections = 0; // relayed so far
  std::uint64_t mBytes = 0;       // relayed, both directions
  std::uint64_t mUnreachable = 0; // the far end could not be connected
};

struct link_standin_options
{
  endpoint mListen{ "127.0.0.1", 0 }; // port 0: any
  endpoint mTo{};
  std::optional<endpoint> mControlListen{};
  link_faults mFaults{};
};

class link_standin
{
public:
  link_standin(boost::asio::io_context& aContext,
               link_standin_options aOptions);
  ~link_standin();
  link_standin(const link_standin&) = delete;
  link_standin& operator=(const link_standin&) = delete;

  // Returns why it can't listen, or nothing.
  std::optional<std::string> Start();

  // The ports listened on, once started; they stay the same across cuts.
  std::uint16_t Port() const;
  std::uint16_t ControlPort() const; // 0: none

  void Set(const link_faults& aFaults);

  // Closes the listening sockets and every connection. Idempotent.
  void Stop();

private:
  class server;
  std::shared_ptr<server> mServer;
};

} // namespace laburnumdyke
