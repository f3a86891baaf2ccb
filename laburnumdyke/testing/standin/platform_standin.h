// A stand-in for the platform: an HTTP/1.1 server with a transactional table,
// an object store, a lagging list of instances, and faults that tests switch.
//
// Usage:
//   asio::io_context context;
//   platform_standin platform(context, { .mListen = { "127.0.0.1", 0 } });
//   std::optional<std::string> failure = platform.Start();
//   ...platform.Port()...
//   platform.Stop();
//
// The context must outlive the stand-in. All work runs on a strand, so that
// the context may have several threads; Stop may be called from any of them.
//
//   GET /v1/tables/{table}/rows/{key}   200 {"revision":N,"value":"..."}, 404
//   PUT same, If-Match: N (0: no row)   200 {"revision":N+1},
//                                       412 {"revision":N,"value":"..."}
//   PUT /v1/objects/{sha256}            200, 400 where the hash differs
//   GET same                            200 bytes, 404
//   PUT /v1/instances/{name}            200; {"address":"ip:port",
//                                       "state":"live" or "leaving"}
//   DELETE same                         200
//   GET /v1/instances                   200 {"instances":[...]}
//   GET /v1/instances?state=leaving     the same, leaving ones alone
//   GET /control, POST /control         platform_counters, platform_faults
//
// Names of tables, rows and instances are 1 to 128 letters, digits, dots,
// hyphens and underscores; values are UTF-8 of up to 1 MB, objects up to
// 64 MB. Faults of form get 400, 413 or 431 and are counted. The delay comes
// before a request takes effect, and a request takes effect also when its
// sender has gone meanwhile. In an outage connections are closed on their
// first request, but for /control; those open when it begins are closed.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/standin/platform_model.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace laburnumdyke {

struct platform_standin_options
{
  endpoint mListen{ "127.0.0.1", 0 }; // port 0: any
  platform_faults mFaults{};
};

class platform_standin
{
public:
  platform_standin(boost::asio::io_context& aContext,
                   platform_standin_options aOptions);
  ~platform_standin();
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;

  // Returns why it can't listen, or nothing.
  std::optional<std::string> Start();

  // The port listened on, once started.
  std::uint16_t Port() const;

  // Closes the listening socket and every connection. Idempotent.
  void Stop();

private:
  class server;
  std::shared_ptr<server> mServer;
};

} // namespace laburnumdyke
