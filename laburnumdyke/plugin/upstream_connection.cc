// Only idempotent requests use idle connections: on one that the upstream is
// just closing, it can't be told whether the request ran.
#include "laburnumdyke/plugin/upstream_connection.h"

#include "laburnumdyke/plugin/http_parts.h"

#include <algorithm>
#include <span>
#include <utility>

namespace laburnumdyke {

namespace {

using clock = std::chrono::steady_clock;

// Connecting takes one round trip. A lost SYN is retransmitted only after a
// second; trying another upstream is quicker than that.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
// A timer that fires later than this shows that this process was held up, and
// says nothing about the upstream.
constexpr std::chrono::milliseconds kMaxTimerDelay{ 250 };
// For upstreams that state no idle timeout; shorter than their actual one.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{ 3000 };
// Safety margin, so that no request is written while the upstream's close is in
// transit.
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

// aTook: from the first packet to the failure. A shorter wait than
// kConnectTimeout, for lack of time, doesn't show that an upstream is silent.
connect_failure
ConnectFailureOf(error_code aFailure, duration aTook)
{
  if (aFailure == asio::error::connection_refused) {
    return connect_failure::Refused;
  }
  bool isSilent = aFailure == beast::error::timeout &&
                  aTook >= kConnectTimeout &&
                  aTook <= kConnectTimeout + kMaxTimerDelay;
  return isSilent ? connect_failure::TimedOut : connect_failure::Other;
}

} // namespace

asio::awaitable<error_code>
ConnectUpstream(table<connection_pool>& aPool,
                const upstream_attempt& aAttempt,
                upstream_connection& aConnection,
                attempt_outcome& aOutcome)
{
  error_code failure;
  aConnection.mStream =
    std::make_unique<tcp_stream>(co_await asio::this_coro::executor);
  if (aAttempt.mIdempotent) {
    std::optional<idle_socket> idle = aPool.With([&](connection_pool& aIdle) {
      return aIdle.Take(aAttempt.mTo, clock::now());
    });
    if (idle) {
      aConnection.mStream->socket().assign(
        ToAsio(aAttempt.mTo).protocol(), idle->Release(), failure);
      co_return failure;
    }
  }
  instant begun = clock::now();
  aConnection.mStream->expires_at(
    std::min(aAttempt.mDeadline, begun + kConnectTimeout));
  co_await aConnection.mStream->async_connect(
    ToAsio(aAttempt.mTo), asio::redirect_error(asio::use_awaitable, failure));
  duration took = clock::now() - begun;
  if (failure) {
    aOutcome.mConnectFailure = ConnectFailureOf(failure, took);
    if (aOutcome.mConnectFailure != connect_failure::Other) {
      aPool.With([&](connection_pool& aIdle) { aIdle.Discard(aAttempt.mTo); });
    }
  } else {
    aOutcome.mConnect = took;
    EnableDeadPeerDetection(aConnection.mStream->socket());
  }
  co_return failure;
}

void
SetPiece(http::buffer_body::value_type& aPiece,
         const block_buffer& aBytes,
         std::size_t aBlock,
         bool aEnds)
{
  std::size_t blocks = aBytes.Filled();
  std::span<const char> bytes;
  if (aBlock < blocks) {
    bytes = aBytes.Block(aBlock);
  }
  // The serializer does not modify the bytes.
  aPiece.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
  aPiece.size = bytes.size();
  aPiece.more = !aEnds || aBlock + 1 < blocks;
}

asio::awaitable<error_code>
SendRequest(const http_exchange& aExchange,
            const upstream_attempt& aAttempt,
            upstream_connection& aConnection)
{
  const request_parser::value_type& original = aExchange.Head();
  http::request<http::buffer_body> request;
  request.method_string(original.method_string());
  request.target(original.target());
  request.version(11);
  for (const http::fields::value_type& field : original) {
    request.insert(field.name(), field.name_string(), field.value());
  }
  RemoveHopByHopHeaders(request);
  request.erase(http::field::expect);
  bool hadBody = original.count(http::field::transfer_encoding) > 0 ||
                 original.count(http::field::content_length) > 0;
  request.erase(http::field::transfer_encoding);
  for (std::string_view withheld : aAttempt.mWithheld) {
    request.erase(ToBeast(withheld));
  }
  for (const std::pair<std::string_view, std::string>& header :
       aAttempt.mHeaders) {
    request.set(ToBeast(header.first), header.second);
  }
  const block_buffer none;
  const block_buffer& body = aAttempt.mBody == nullptr ? none : *aAttempt.mBody;
  if (hadBody) {
    request.content_length(body.Size());
  }
  http::request_serializer<http::buffer_body> serializer(request);
  error_code failure;
  aConnection.mStream->expires_at(aAttempt.mDeadline);
  for (std::size_t sent = 0; !serializer.is_done(); ++sent) {
    SetPiece(request.body(), body, sent, true);
    co_await http::async_write(
      *aConnection.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
  }
  co_return error_code();
}

void
KeepConnection(table<connection_pool>& aPool,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection)
{
  bool reusable = aConnection.mClean && aConnection.mSentWhole &&
                  aConnection.mParser->is_done() &&
                  aConnection.mParser->get().keep_alive() &&
                  aConnection.mBuffer.size() == 0;
  std::chrono::milliseconds idleTimeout =
    aConnection.mAnswer.mUpstreamIdleTimeout.value_or(kDefaultIdleTimeout +
                                                      kIdleMargin) -
    kIdleMargin;
  if (!reusable || idleTimeout <= std::chrono::milliseconds(0)) {
    return;
  }
  error_code failure;
  int handle = aConnection.mStream->release_socket().release(failure);
  if (failure) {
    return;
  }
  idle_socket idle(handle);
  aPool.With([&](connection_pool& aIdle) {
    aIdle.Put(aAttempt.mTo, std::move(idle), clock::now(), idleTimeout);
  });
}

} // namespace laburnumdyke
