// Forwards one request to an upstream or an entry instance and streams the
// answer back, with back-pressure both ways.
//
// The caller's answer is begun only when the far side's header has arrived and
// is no refusal; until then another attempt can be made where the body is
// replayable.
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
  bool mComplete = false; // nothing is left to read: may be sent again
};

// Reads up to kReplayableBody bytes. Nothing where the caller is gone.
asio::awaitable<std::optional<body_prefix>>
ReadPrefix(http_exchange& aExchange);

using header_list = std::vector<std::pair<std::string_view, std::string>>;

// Ends once so many bytes may be sent; false where they may not be in time.
using body_gate = std::function<asio::awaitable<bool>(std::size_t aBytes)>;

struct forward_request
{
  endpoint mTo;
  std::string mTarget;  // path and query
  header_list mHeaders; // set on the forwarded request
  header_list mAnswer;  // set on the answer
  // Gives the credits to tell with the answer, when its header is written.
  // Empty: none are told.
  std::function<std::string()> mCredits;
  instant mDeadline{}; // for the whole answer
  bool mReuse = true;  // may use an idle connection
  bool mCancel = true; // drop the attempt when the caller is gone
  // Asked once a connection is there, immediately before the first byte is
  // written; false ends the attempt as LeaseLapsed. Empty: always true.
  std::function<bool()> mMayBegin;
  // Awaited before each piece of a body is sent on; false ends the attempt.
  // Empty: none is held back.
  body_gate mRequestGate;
  body_gate mAnswerGate;
};

// What an upstream's answer says of the upstream itself.
enum class upstream_sign
{
  None,
  Draining, // refused the request since it leaves
  Shedding, // refused the request since it is overloaded
  Errored,  // answered with a server error
};

struct forward_result
{
  outcome_kind mOutcome = outcome_kind::NotRun;
  refusal_reason mReason = refusal_reason::None;
  // The caller's answer has been begun; where the outcome is not Answered it
  // was cut short.
  bool mBegun = false;
  upstream_sign mSign = upstream_sign::None;
  // Where the request was refused: when to come back; zero where nothing says.
  std::chrono::milliseconds mRetryAfter{ 0 };
  std::string mCredits{}; // that the far side told, as in credit_header.h
};

asio::awaitable<forward_result>
Forward(table<connection_pool>& aPool,
        http_exchange& aExchange,
        const body_prefix& aPrefix,
        const forward_request& aRequest);

} // namespace laburnumdyke
