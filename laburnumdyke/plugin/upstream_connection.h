// The connection of one attempt to an upstream: set up or taken from the idle
// ones, used to send the request, and kept for a later request if it can be.
//
// Usage:
//   upstream_connection connection;
//   co_await ConnectUpstream(pool, attempt, connection, outcome);
//   co_await SendRequest(exchange, attempt, connection);
//   ... read the answer (upstream_answer.h)
//   KeepConnection(pool, attempt, connection);
//
// Errors are returned; nothing is thrown.
#pragma once

#include "laburnumdyke/plugin/upstream_exchange.h"

#include <memory>

namespace laburnumdyke {

using answer_parser = http::response_parser<http::buffer_body>;

struct upstream_connection
{
  std::unique_ptr<tcp_stream> mStream;
  beast::flat_buffer mBuffer{ kUnparsedLimit };
  std::unique_ptr<answer_parser> mParser;
  bool mClean = true;     // carried no answer to another request
  bool mSentWhole = true; // the whole request was written
  answer_attributes mAnswer;
};

// Takes an idle connection only for an idempotent request. Sets
// aOutcome.mConnect if a new one was made, aOutcome.mConnectFailure if not.
asio::awaitable<error_code>
ConnectUpstream(table<connection_pool>& aPool,
                const upstream_attempt& aAttempt,
                upstream_connection& aConnection,
                attempt_outcome& aOutcome);

// Makes a block the next piece of a body. aEnds: the body ends with aBytes.
void
SetPiece(http::buffer_body::value_type& aPiece,
         const block_buffer& aBytes,
         std::size_t aBlock,
         bool aEnds);

// Sends the whole request. After a failure, an answer may still arrive.
asio::awaitable<error_code>
SendRequest(const http_exchange& aExchange,
            const upstream_attempt& aAttempt,
            upstream_connection& aConnection);

// Puts the connection among the idle ones if the upstream keeps it open and
// nothing on it remains unread.
void
KeepConnection(table<connection_pool>& aPool,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection);

} // namespace laburnumdyke
