// The first part of the body is buffered before anything is sent to the caller;
// the rest is forwarded as it arrives, through the same buffer.
#include "laburnumdyke/plugin/upstream_answer.h"

#include "laburnumdyke/plugin/http_parts.h"

#include <algorithm>
#include <memory>
#include <span>
#include <vector>

namespace laburnumdyke {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t kMaxBufferedAnswer = 256UL * 1024; // bytes
// Limit on answers to other requests that are discarded on one connection.
constexpr int kMaxForeignAnswers = 4;
// Limit on the body of a discarded answer; the connection of a longer one is
// closed.
constexpr std::size_t kMaxDiscardedBody = 64UL * 1024; // bytes
// Time after the deadline in which an answer that was begun may be completed.
// Bounded, since an endless body can't be told from a long one.
constexpr std::chrono::milliseconds kLateAnswerTimeout{ 1500 };

http::response<http::buffer_body>
MakeCallerHead(const http_exchange& aExchange, const answer_parser& aParser)
{
  const answer_parser::value_type& from = aParser.get();
  http::response<http::buffer_body> head;
  head.result(from.result_int());
  head.reason(from.reason());
  head.version(aExchange.Head().version());
  for (const http::fields::value_type& field : from) {
    head.insert(field.name(), field.name_string(), field.value());
  }
  RemoveHopByHopHeaders(head);
  bool endsByLength =
    from.has_content_length() || HasNoBody(aExchange.Head().method(), from);
  if (!endsByLength) {
    head.chunked(aExchange.Head().version() == 11);
  }
  head.keep_alive(aExchange.mKeepAlive);
  return head;
}

} // namespace

asio::awaitable<error_code>
DiscardBody(upstream_connection& aConnection, instant aUntil)
{
  std::vector<char> chunk(kStreamBuffer);
  std::size_t discarded = 0;
  error_code failure;
  aConnection.mStream->expires_at(aUntil);
  while (!aConnection.mParser->is_done()) {
    if (discarded > kMaxDiscardedBody || clock::now() >= aUntil) {
      co_return http::error::body_limit;
    }
    aConnection.mParser->get().body().data = chunk.data();
    aConnection.mParser->get().body().size = chunk.size();
    co_await http::async_read(
      *aConnection.mStream,
      aConnection.mBuffer,
      *aConnection.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    discarded += chunk.size() - aConnection.mParser->get().body().size;
  }
  co_return error_code();
}

asio::awaitable<error_code>
ReadAnswerHead(const http_exchange& aExchange,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection)
{
  error_code failure;
  int foreign = 0;
  int interim = 0;
  while (foreign <= kMaxForeignAnswers && interim <= kMaxInterimAnswers) {
    aConnection.mParser = std::make_unique<answer_parser>();
    aConnection.mParser->header_limit(kHeaderLimit);
    aConnection.mParser->body_limit(boost::none);
    aConnection.mParser->skip(aExchange.Head().method() == http::verb::head);
    aConnection.mStream->expires_at(aAttempt.mDeadline);
    co_await http::async_read_header(
      *aConnection.mStream,
      aConnection.mBuffer,
      *aConnection.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return failure;
    }
    status_kind kind = KindOfStatus(aConnection.mParser->get().result_int());
    if (kind == status_kind::Invalid) {
      co_return http::error::bad_status;
    }
    if (kind == status_kind::Interim) {
      ++interim;
      continue;
    }
    aConnection.mAnswer = aAttempt.mRead(aConnection.mParser->get());
    if (aConnection.mAnswer.mBelongs != answer_attributes::belongs::ToAnother) {
      co_return error_code();
    }
    ++foreign;
    aConnection.mClean = false;
    failure = co_await DiscardBody(aConnection, aAttempt.mDeadline);
    if (failure) {
      co_return failure;
    }
  }
  co_return http::error::unexpected_body;
}

asio::awaitable<error_code>
BufferBody(upstream_connection& aConnection,
           held_response& aBuffered,
           instant aUntil)
{
  error_code failure;
  aConnection.mStream->expires_at(aUntil);
  while (!aConnection.mParser->is_done() &&
         aBuffered.Bytes().Size() < kMaxBufferedAnswer) {
    // Reads that complete at once never let the stream's timer expire.
    if (clock::now() >= aUntil) {
      co_return beast::error::timeout;
    }
    std::span<char> space = aBuffered.Space();
    if (space.empty()) {
      co_return error_code();
    }
    aConnection.mParser->get().body().data = space.data();
    aConnection.mParser->get().body().size = space.size();
    co_await http::async_read(
      *aConnection.mStream,
      aConnection.mBuffer,
      *aConnection.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    aBuffered.Bytes().Commit(space.size() -
                             aConnection.mParser->get().body().size);
  }
  co_return error_code();
}

asio::awaitable<error_code>
ForwardAnswer(http_exchange& aExchange,
              const upstream_attempt& aAttempt,
              upstream_connection& aConnection,
              held_response& aBuffered,
              attempt_outcome& aOutcome)
{
  http::response<http::buffer_body> head =
    MakeCallerHead(aExchange, *aConnection.mParser);
  http::response_serializer<http::buffer_body> serializer(head);
  error_code failure;
  bool noBody =
    HasNoBody(aExchange.Head().method(), aConnection.mParser->get());
  if (noBody) {
    aExchange.mStream.expires_at(aAttempt.mDeadline);
    co_await http::async_write_header(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
  }
  while (!serializer.is_done()) {
    std::size_t blocks = std::max<std::size_t>(aBuffered.Bytes().Filled(), 1);
    for (std::size_t i = 0; i < blocks && !serializer.is_done(); ++i) {
      SetPiece(
        head.body(), aBuffered.Bytes(), i, aConnection.mParser->is_done());
      aOutcome.mBytes += head.body().size;
      // A caller must read at a minimum rate, not the whole in a given time.
      aExchange.mStream.expires_at(std::max(
        aAttempt.mDeadline, aBuffered.ReadBy(head.body().size, clock::now())));
      co_await http::async_write(
        aExchange.mStream,
        serializer,
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure && failure != http::error::need_buffer) {
        co_return failure;
      }
    }
    aBuffered.Bytes().Clear();
    if (!aConnection.mParser->is_done()) {
      failure = co_await BufferBody(
        aConnection, aBuffered, aAttempt.mDeadline + kLateAnswerTimeout);
      if (failure) {
        co_return failure;
      }
    }
  }
  co_return error_code();
}

} // namespace laburnumdyke
