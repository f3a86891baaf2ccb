// One attempt of a request at one upstream, for requests steered by host and
// path.
//
// An answer is believed only if it names the request: one that names another
// is read to its end and passed over. Up to kHeldAnswer bytes of an idempotent
// request's answer are read before the caller's answer is begun, so that an
// answer that breaks off can be asked for again elsewhere.
//
// Usage:
//   attempt_outcome outcome =
//     co_await AttemptUpstream(pool, exchange, attempt);
//
// Errors are the attempt's end; nothing is thrown.
#pragma once

#include "laburnumdyke/decision/load_estimate.h"
#include "laburnumdyke/plugin/connection_pool.h"
#include "laburnumdyke/plugin/http_forward.h"

#include <functional>
#include <optional>
#include <string>

namespace laburnumdyke {

// What an upstream's header says, in terms of the product.
struct answer_facts
{
  enum class belongs
  {
    ToThisRequest,
    ToAnother,
    Unsaid,
  };

  belongs mBelongs = belongs::Unsaid;
  bool mSound = true;          // may be passed on as the upstream's answer
  bool mNotRun = false;        // the upstream will not run the request
  bool mWrongInstance = false; // another upstream has the address
  std::optional<reported_load> mLoad;
  // For how long the connection stays open without a request.
  std::optional<std::chrono::milliseconds> mIdleLife;
};

using upstream_head = http::response_header<>;

struct upstream_attempt
{
  endpoint mTo;
  std::string mBody;    // of the request, whole
  header_list mHeaders; // set on the forwarded request
  std::function<answer_facts(const upstream_head&)> mRead;
  instant mDeadline{};      // for the whole answer
  bool mIdempotent = false; // may use an idle connection, may be dropped
  bool mHoldErrors = false; // a server error is not passed on
};

enum class attempt_ending
{
  Answered,      // the whole answer was passed on
  NotSent,       // no byte of the request was written
  NotRun,        // refused by the upstream before any work
  WrongInstance, // another upstream has the address
  Errored,       // a server error that was not passed on
  Lost,          // the connection or the answer broke
  TimedOut,
  CutShort, // the caller's answer was begun and broke off
  CallerGone,
};

std::string_view
ToString(attempt_ending aEnd);

struct attempt_outcome
{
  attempt_ending mEnd = attempt_ending::NotSent;
  unsigned mStatus = 0; // of the upstream, where there was an answer
  std::size_t mBytes = 0;
  std::optional<reported_load> mLoad;
  std::optional<duration> mConnect; // of a new connection
};

asio::awaitable<attempt_outcome>
AttemptUpstream(table<connection_pool>& aPool,
                http_exchange& aExchange,
                const upstream_attempt& aAttempt);

} // namespace laburnumdyke
