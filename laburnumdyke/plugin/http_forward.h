// Forwards one request to an upstream or an entry instance and streams the
// answer back, with back-pressure both ways.
//
// Writing the answer to the caller begins only once the remote server's header
// has arrived and is not a refusal. Until then the request can be attempted
// again, provided that its body is replayable.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/plugin/connection_pool.h"
#include "laburnumdyke/plugin/http_server.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

// The part of the request's body that has been read from the caller.
struct body_prefix
{
  std::string mBytes;
  bool mComplete = false; // this is the whole body, so it is replayable
};

// Reads up to kReplayableBody bytes. Returns nullopt if the caller's connection
// fails.
asio::awaitable<std::optional<body_prefix>>
ReadPrefix(http_exchange& aExchange);

using header_list = std::vector<std::pair<std::string_view, std::string>>;

// Waits until aBytes may be sent. Returns false if that is not before the
// deadline.
using body_rate_limiter =
  std::function<asio::awaitable<bool>(std::size_t aBytes)>;

struct forward_request
{
  endpoint mTo;
  std::string mTarget;  // path and query
  header_list mHeaders; // set on the forwarded request
  header_list mAnswer;  // set on the answer
  // Called when the answer's header is written; returns the credits to send
  // in it. Empty: no credits are sent.
  std::function<std::string()> mCredits;
  instant mDeadline{}; // for the whole answer
  bool mReuse = true;  // may use an idle connection
  bool mCancel = true; // abandon the attempt if the caller disconnects
  // Called once connected, immediately before the first byte is written; if
  // it returns false, the attempt ends as LeaseLapsed. Empty: always true.
  std::function<bool()> mMayBegin;
  // Awaited before each piece of a body is forwarded; false ends the attempt.
  // Empty: not limited.
  body_rate_limiter mRequestLimiter;
  body_rate_limiter mAnswerLimiter;
};

// What an answer tells about the state of the upstream that sent it.
enum class upstream_health_signal
{
  None,
  Draining, // refused the request because it is draining
  Shedding, // refused the request because it is overloaded
  Errored,  // answered with a server error
};

struct forward_result
{
  outcome_kind mOutcome = outcome_kind::NotRun;
  refusal_reason mReason = refusal_reason::None;
  // The answer to the caller has been begun. If the outcome is not Answered,
  // that answer is truncated.
  bool mBegun = false;
  upstream_health_signal mHealthSignal = upstream_health_signal::None;
  // For a refused request, when to retry; zero if not stated.
  std::chrono::milliseconds mRetryAfter{ 0 };
  std::string mCredits{}; // sent by the remote server; see credit_header.h
};

asio::awaitable<forward_result>
Forward(table<connection_pool>& aPool,
        http_exchange& aExchange,
        const body_prefix& aPrefix,
        const forward_request& aRequest);

} // namespace laburnumdyke
