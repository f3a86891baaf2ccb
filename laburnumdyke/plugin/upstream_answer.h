// Reads the answer of an upstream and forwards it to the caller.
//
// Usage:
//   co_await ReadAnswerHead(exchange, attempt, connection);
//   held_response buffered(bodies);
//   co_await BufferBody(connection, buffered, deadline);
//   co_await ForwardAnswer(exchange, attempt, connection, buffered, outcome);
// or, if the answer is not forwarded:
//   co_await DiscardBody(connection, until);
//
// Errors are returned; nothing is thrown. bad_status: the status is not one
// that a server may answer with.
#pragma once

#include "laburnumdyke/plugin/held_body.h"
#include "laburnumdyke/plugin/upstream_connection.h"

namespace laburnumdyke {

// Reads headers until one arrives that does not name another request.
asio::awaitable<error_code>
ReadAnswerHead(const http_exchange& aExchange,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection);

// Reads and discards the rest of an answer, up to kMaxDiscardedBody bytes.
asio::awaitable<error_code>
DiscardBody(upstream_connection& aConnection, instant aUntil);

// Reads the body into aBuffered until it has kMaxBufferedAnswer bytes, the
// budget has no room for more, or the body ends.
asio::awaitable<error_code>
BufferBody(upstream_connection& aConnection,
           held_response& aBuffered,
           instant aUntil);

// Writes the buffered part of the body, then the rest as it arrives.
asio::awaitable<error_code>
ForwardAnswer(http_exchange& aExchange,
              const upstream_attempt& aAttempt,
              upstream_connection& aConnection,
              held_response& aBuffered,
              attempt_outcome& aOutcome);

} // namespace laburnumdyke
