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
  bool mClean = true;     // carried no answer to another request
  bool mSentWhole = true; // the whole request was written
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

// Makes a block the next piece of a body. aEnds: the body ends with aBytes.
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

// Reads the body into aBuffered until it has kMaxBufferedAnswer bytes, the
// budget has no room for more, or the body ends.
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

attempt_ending
EndOf(error_code aFailure)
{
  if (aFailure == http::error::bad_status) {
    return attempt_ending::Garbled;
  }
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
    case attempt_ending::Garbled:
      return "garbled";
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
AttemptUpstream(const exchange_tables& aTables,
                http_exchange& aExchange,
                const upstream_attempt& aAttempt)
{
  attempt_outcome outcome;
  upstream_connection connection;
  error_code failure =
    co_await Connect(aTables.mPool, aAttempt, connection, outcome);
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
  error_code sendFailure =
    co_await SendRequest(aExchange, aAttempt, connection);
  if (sendFailure == beast::error::timeout) {
    outcome.mEnd = attempt_ending::TimedOut;
    co_return outcome;
  }
  // An upstream that closes its connection before it has read the body may have
  // answered.
  connection.mSentWhole = !sendFailure;
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
    outcome.mEnd = EndOf(sendFailure ? sendFailure : failure);
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
        KeepConnection(aTables.mPool, aAttempt, connection);
      }
    }
    co_return outcome;
  }
  held_response buffered(aTables.mBodies);
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
  KeepConnection(aTables.mPool, aAttempt, connection);
  co_return outcome;
}

} // namespace laburnumdyke
