// Sends a request to one upstream once, for requests routed by host and path.
//
// An answer is accepted only if it names the request; an answer that names
// another request is read to its end and discarded. Up to kMaxBufferedAnswer
// bytes of an answer's body are buffered before the answer to the caller is
// begun, so that an idempotent request can be retried elsewhere if the answer
// breaks off. Fewer are buffered if the budget of bodies has no room for them.
//
// Usage:
//   attempt_outcome outcome =
//     co_await AttemptUpstream(tables, exchange, attempt);
//
// Errors are reported in attempt_outcome::mEnd; nothing is thrown.
#pragma once

#include "laburnumdyke/decision/load_estimate.h"
#include "laburnumdyke/decision/restart_suspicion.h"
#include "laburnumdyke/plugin/connection_pool.h"
#include "laburnumdyke/plugin/held_body.h"
#include "laburnumdyke/plugin/http_forward.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// The content of an answer's header, independent of the header dialect.
struct answer_attributes
{
  enum class belongs
  {
    ToThisRequest,
    ToAnother,
    Unstated,
  };

  belongs mBelongs = belongs::Unstated;
  bool mValid = true;          // may be forwarded as the upstream's answer
  bool mNotRun = false;        // the upstream will not run the request
  bool mWrongInstance = false; // another upstream now has the address
  std::optional<reported_load> mLoad;
  bool mMalformedLoad = false; // a load was reported but can't be read
  // How long the upstream keeps the connection open without a request.
  std::optional<std::chrono::milliseconds> mUpstreamIdleTimeout;
};

using upstream_head = http::response_header<>;

struct upstream_attempt
{
  endpoint mTo;
  const block_buffer* mBody = nullptr; // whole; null: the request has none
  header_list mHeaders;                // set on the forwarded request
  // Headers of the caller that are not forwarded.
  std::vector<std::string_view> mWithheld;
  std::function<answer_attributes(const upstream_head&)> mRead;
  // Whether the request may still be sent; asked once the connection is up.
  std::function<bool()> mMaySend;
  instant mDeadline{}; // for the whole answer
  // May use an idle connection; abandoned if the caller disconnects.
  bool mIdempotent = false;
  bool mWithholdErrors = false; // a server error is not forwarded to the caller
};

enum class attempt_ending
{
  Answered,        // the whole answer was forwarded
  NotSent,         // no byte of the request was written
  UpstreamLeaving, // not sent: mMaySend forbade it
  NotRun,          // refused by the upstream before any work
  WrongInstance,   // another upstream now has the address
  Errored,         // a server error that was not forwarded
  Lost,            // the connection or the answer broke
  Garbled,         // the answer's status is not one of HTTP
  TimedOut,
  CutShort, // the answer to the caller was begun and broke off
  CallerGone,
};

std::string_view
ToString(attempt_ending aEnd);

std::string_view
ToString(connect_failure aFailure);

struct attempt_outcome
{
  attempt_ending mEnd = attempt_ending::NotSent;
  unsigned mStatus = 0;   // of the upstream's answer; 0: none arrived
  std::size_t mBytes = 0; // of the answer's body, forwarded to the caller
  std::optional<reported_load> mLoad;
  bool mMalformedLoad = false;      // a load was reported but can't be read
  std::optional<duration> mConnect; // time to set up a new connection
  connect_failure mConnectFailure = connect_failure::None;
};

struct exchange_tables
{
  table<connection_pool>& mPool;
  table<body_table>& mBodies;
};

asio::awaitable<attempt_outcome>
AttemptUpstream(const exchange_tables& aTables,
                http_exchange& aExchange,
                const upstream_attempt& aAttempt);

} // namespace laburnumdyke
