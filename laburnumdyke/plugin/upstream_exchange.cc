// The steps are: connect, write the request, read headers until one belongs to
// this request, buffer the first part of the body, forward it. The outcome of a
// failure depends on the step: before the first byte is written, the request
// can't have run.
#include "laburnumdyke/plugin/upstream_exchange.h"

#include "laburnumdyke/plugin/http_parts.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

using namespace asio::experimental::awaitable_operators;

using answer_parser = http::response_parser<http::buffer_body>;
using clock = std::chrono::steady_clock;

constexpr std::size_t kMaxBufferedAnswer = 256UL * 1024; // bytes
// Limit on answers to other requests that are discarded on one connection.
constexpr int kMaxForeignAnswers = 4;
// Limit on the body of a discarded answer; the connection of a longer one is
// closed.
constexpr std::size_t kMaxDiscardedBody = 64UL * 1024; // bytes
// For reading the rest of a refusal; short, since the request is then tried
// elsewhere.
constexpr std::chrono::milliseconds kRefusalTimeout{ 100 };
// Connecting takes one round trip. A lost SYN is retransmitted only after a
// second; trying another upstream is quicker than that.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
// The answer to a caller that reads nothing for this time is aborted.
constexpr std::chrono::milliseconds kCallerTimeout{ 1500 };
// Time after the deadline in which an answer that was begun may be completed.
// Bounded, since an endless body can't be told from a long one.
constexpr std::chrono::milliseconds kLateAnswerTimeout{ 1500 };
// For upstreams that state no idle timeout; shorter than their actual one.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{ 3000 };
// Safety margin, so that no request is written while the upstream's close is in
// transit.
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

struct upstream_connection
{
  std::unique_ptr<tcp_stream> mStream;
  beast::flat_buffer mBuffer{ kUnparsedLimit };
  std::unique_ptr<answer_parser> mParser;
  bool mClean = true; // carried no answer to another request
  answer_attributes mAnswer;
};

asio::awaitable<error_code>
Connect(table<connection_pool>& aPool,
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
  if (!failure) {
    aOutcome.mConnect = clock::now() - begun;
    EnableDeadPeerDetection(aConnection.mStream->socket());
  }
  co_return failure;
}

asio::awaitable<error_code>
SendRequest(const http_exchange& aExchange,
            const upstream_attempt& aAttempt,
            upstream_connection& aConnection)
{
  const request_parser::value_type& original = aExchange.Head();
  http::request<http::string_body> request;
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
  request.body() = aAttempt.mBody;
  if (hadBody) {
    request.content_length(aAttempt.mBody.size());
  }
  error_code failure;
  aConnection.mStream->expires_at(aAttempt.mDeadline);
  co_await http::async_write(
    *aConnection.mStream,
    request,
    asio::redirect_error(asio::use_awaitable, failure));
  co_return failure;
}

// Reads and discards the rest of an answer, up to kMaxDiscardedBody bytes.
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

// Reads headers until one arrives that does not name another request.
asio::awaitable<error_code>
ReadAnswerHead(const http_exchange& aExchange,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection)
{
  error_code failure;
  for (int foreign = 0; foreign <= kMaxForeignAnswers; ++foreign) {
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
    if (aConnection.mParser->get().result_int() < 200) {
      continue; // interim (1xx); the final answer follows
    }
    aConnection.mAnswer = aAttempt.mRead(aConnection.mParser->get());
    if (aConnection.mAnswer.mBelongs != answer_attributes::belongs::ToAnother) {
      co_return error_code();
    }
    aConnection.mClean = false;
    failure = co_await DiscardBody(aConnection, aAttempt.mDeadline);
    if (failure) {
      co_return failure;
    }
  }
  co_return http::error::unexpected_body;
}

// Reads the body into aBuffered until it has kMaxBufferedAnswer bytes or the
// body ends.
asio::awaitable<error_code>
BufferBody(upstream_connection& aConnection,
           std::string& aBuffered,
           instant aUntil)
{
  std::vector<char> chunk(kStreamBuffer);
  error_code failure;
  aConnection.mStream->expires_at(aUntil);
  while (!aConnection.mParser->is_done() &&
         aBuffered.size() < kMaxBufferedAnswer) {
    // Reads that complete at once never let the stream's timer expire.
    if (clock::now() >= aUntil) {
      co_return beast::error::timeout;
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
    aBuffered.append(chunk.data(),
                     chunk.size() - aConnection.mParser->get().body().size);
  }
  co_return error_code();
}

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

// Writes the buffered part of the body, then the rest as it arrives.
asio::awaitable<error_code>
ForwardAnswer(http_exchange& aExchange,
              const upstream_attempt& aAttempt,
              upstream_connection& aConnection,
              std::string& aBuffered,
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
    head.body().data = aBuffered.empty() ? nullptr : aBuffered.data();
    head.body().size = aBuffered.size();
    head.body().more = !aConnection.mParser->is_done();
    aOutcome.mBytes += aBuffered.size();
    aExchange.mStream.expires_at(
      std::max(aAttempt.mDeadline, clock::now() + kCallerTimeout));
    co_await http::async_write(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    aBuffered.clear();
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

void
KeepConnection(table<connection_pool>& aPool,
               const upstream_attempt& aAttempt,
               upstream_connection& aConnection)
{
  bool reusable = aConnection.mClean && aConnection.mParser->is_done() &&
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

attempt_ending
EndOf(error_code aFailure)
{
  return aFailure == beast::error::timeout ? attempt_ending::TimedOut
                                           : attempt_ending::Lost;
}

// Decides from the header alone. Returns nullopt if the answer is to be
// forwarded.
std::optional<attempt_ending>
DecideFromHeader(const upstream_connection& aConnection,
                 const upstream_attempt& aAttempt)
{
  const answer_attributes& answer = aConnection.mAnswer;
  // On a connection that carried an answer to another request, a refusal that
  // names no request may belong to another request, too.
  bool isNamed = answer.mBelongs == answer_attributes::belongs::ToThisRequest;
  bool accepted = isNamed || aConnection.mClean;
  if (answer.mWrongInstance && accepted) {
    return attempt_ending::WrongInstance;
  }
  if (answer.mNotRun && accepted) {
    return attempt_ending::NotRun;
  }
  if (!answer.mValid || !isNamed) {
    return attempt_ending::Lost;
  }
  bool isError = aConnection.mParser->get().result_int() >= 500;
  if (isError && aAttempt.mWithholdErrors) {
    return attempt_ending::Errored;
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToString(attempt_ending aEnd)
{
  switch (aEnd) {
    case attempt_ending::Answered:
      return "answered";
    case attempt_ending::NotSent:
      return "not_sent";
    case attempt_ending::UpstreamLeaving:
      return "upstream_leaving";
    case attempt_ending::NotRun:
      return "not_run";
    case attempt_ending::WrongInstance:
      return "wrong_instance";
    case attempt_ending::Errored:
      return "errored";
    case attempt_ending::Lost:
      return "lost";
    case attempt_ending::TimedOut:
      return "timed_out";
    case attempt_ending::CutShort:
      return "cut_short";
    case attempt_ending::CallerGone:
      return "caller_gone";
  }
  return "unknown";
}

asio::awaitable<attempt_outcome>
AttemptUpstream(table<connection_pool>& aPool,
                http_exchange& aExchange,
                const upstream_attempt& aAttempt)
{
  attempt_outcome outcome;
  upstream_connection connection;
  error_code failure = co_await Connect(aPool, aAttempt, connection, outcome);
  if (failure) {
    co_return outcome;
  }
  // The caller may have left while the connection was being set up.
  if (outcome.mConnect && IsCallerGone(aExchange)) {
    outcome.mEnd = attempt_ending::CallerGone;
    co_return outcome;
  }
  // The upstream may have begun to leave meanwhile.
  if (!aAttempt.mMaySend()) {
    outcome.mEnd = attempt_ending::UpstreamLeaving;
    co_return outcome;
  }
  failure = co_await SendRequest(aExchange, aAttempt, connection);
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  if (aAttempt.mIdempotent) {
    std::variant<error_code, std::monostate> first =
      co_await (ReadAnswerHead(aExchange, aAttempt, connection) ||
                WaitCallerGone(aExchange));
    if (first.index() == 1) {
      aExchange.mKeepAlive = false;
      outcome.mEnd = attempt_ending::CallerGone;
      co_return outcome;
    }
    failure = std::get<0>(first);
  } else {
    failure = co_await ReadAnswerHead(aExchange, aAttempt, connection);
  }
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  outcome.mStatus = connection.mParser->get().result_int();
  outcome.mLoad = connection.mAnswer.mLoad;
  outcome.mMalformedLoad = connection.mAnswer.mMalformedLoad;
  std::optional<attempt_ending> decided =
    DecideFromHeader(connection, aAttempt);
  if (decided) {
    outcome.mEnd = *decided;
    if (*decided != attempt_ending::Lost) {
      failure = co_await DiscardBody(
        connection,
        std::min(aAttempt.mDeadline, clock::now() + kRefusalTimeout));
      if (!failure) {
        KeepConnection(aPool, aAttempt, connection);
      }
    }
    co_return outcome;
  }
  std::string buffered;
  failure = co_await BufferBody(connection, buffered, aAttempt.mDeadline);
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  failure =
    co_await ForwardAnswer(aExchange, aAttempt, connection, buffered, outcome);
  if (failure) {
    aExchange.mKeepAlive = false;
    outcome.mEnd = attempt_ending::CutShort;
    co_return outcome;
  }
  outcome.mEnd = attempt_ending::Answered;
  KeepConnection(aPool, aAttempt, connection);
  co_return outcome;
}

} // namespace laburnumdyke
