// The steps are: connect, send header and body, read the header, classify it,
// stream the answer, return the connection to the pool. Two fixed buffers per
// request bound its memory regardless of the size of the bodies.
//
// The outcome of a failure depends on the step. Before the first byte is
// written, the request can't have run. From then on the outcome is unknown,
// unless the remote server states that it did not run the request.
#include "laburnumdyke/plugin/http_forward.h"

#include "laburnumdyke/plugin/credit_header.h"
#include "laburnumdyke/plugin/http_parts.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace laburnumdyke {

namespace {

using namespace asio::experimental::awaitable_operators;

using request_head = http::request<http::buffer_body>;
using answer_parser = http::response_parser<http::buffer_body>;
using answer_head = http::response<http::buffer_body>;

constexpr std::chrono::seconds kLongestRetryAfter{ 30 };

struct remote_connection
{
  std::unique_ptr<tcp_stream> mStream;
  beast::flat_buffer mBuffer{ kUnparsedLimit };
  std::unique_ptr<answer_parser> mParser;
};

forward_result
Fail(outcome_kind aOutcome, refusal_reason aReason, bool aBegun = false)
{
  return { aOutcome, aReason, aBegun, upstream_health_signal::None };
}

upstream_health_signal
HealthSignalOf(const answer_head& aHead)
{
  std::string_view refusal = FromBeast(aHead[ToBeast(kUpstreamNotRunHeader)]);
  if (refusal == "draining") {
    return upstream_health_signal::Draining;
  }
  if (refusal == "shedding") {
    return upstream_health_signal::Shedding;
  }
  bool isError =
    http::to_status_class(aHead.result()) == http::status_class::server_error;
  return isError ? upstream_health_signal::Errored
                 : upstream_health_signal::None;
}

asio::awaitable<error_code>
Connect(table<connection_pool>& aPool,
        const forward_request& aRequest,
        asio::any_io_executor aExecutor,
        remote_connection& aRemote)
{
  error_code failure;
  aRemote.mStream = std::make_unique<tcp_stream>(aExecutor);
  if (aRequest.mReuse) {
    std::optional<idle_socket> idle = aPool.With([&](connection_pool& aIdle) {
      return aIdle.Take(aRequest.mTo, std::chrono::steady_clock::now());
    });
    if (idle) {
      aRemote.mStream->socket().assign(
        ToAsio(aRequest.mTo).protocol(), idle->Release(), failure);
      co_return failure;
    }
  }
  aRemote.mStream->expires_at(aRequest.mDeadline);
  co_await aRemote.mStream->async_connect(
    ToAsio(aRequest.mTo), asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    aRemote.mStream->socket().set_option(tcp::no_delay(true), failure);
  }
  co_return failure;
}

request_head
MakeHead(const http_exchange& aExchange, const forward_request& aRequest)
{
  request_head head;
  const request_parser::value_type& original = aExchange.Head();
  head.method_string(original.method_string());
  head.target(aRequest.mTarget);
  head.version(11);
  for (const http::fields::value_type& field : original) {
    head.insert(field.name(), field.name_string(), field.value());
  }
  RemoveHopByHopHeaders(head);
  head.set(http::field::host, aRequest.mTo.Text());
  for (const std::pair<std::string_view, std::string>& header :
       aRequest.mHeaders) {
    head.set(ToBeast(header.first), header.second);
  }
  head.keep_alive(true);
  return head;
}

asio::awaitable<bool>
AwaitRateLimit(const body_rate_limiter& aLimiter, std::size_t aBytes)
{
  bool open = !aLimiter || aBytes == 0;
  if (!open) {
    open = co_await aLimiter(aBytes);
  }
  co_return open;
}

// Sends the header, the prefix and the rest of the caller's body.
asio::awaitable<error_code>
SendRequest(http_exchange& aExchange,
            const body_prefix& aPrefix,
            const forward_request& aRequest,
            remote_connection& aRemote)
{
  request_head head = MakeHead(aExchange, aRequest);
  http::request_serializer<http::buffer_body> serializer(head);
  std::array<char, kStreamBuffer> chunk;
  request_parser& source = aExchange.mParser;
  error_code failure;
  // The serializer does not modify the body's bytes.
  head.body().data = const_cast<char*>(aPrefix.mBytes.data());
  head.body().size = aPrefix.mBytes.size();
  head.body().more = !aPrefix.mComplete;
  if (aPrefix.mComplete && aPrefix.mBytes.empty()) {
    head.body().data = nullptr;
  }
  while (true) {
    aRemote.mStream->expires_at(aRequest.mDeadline);
    co_await http::async_write(
      *aRemote.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    if (serializer.is_done()) {
      co_return error_code();
    }
    source.get().body().data = chunk.data();
    source.get().body().size = chunk.size();
    aExchange.mStream.expires_at(aRequest.mDeadline);
    if (!source.is_done()) {
      co_await http::async_read(
        aExchange.mStream,
        aExchange.mBuffer,
        source,
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure && failure != http::error::need_buffer) {
        co_return failure;
      }
    }
    head.body().data = chunk.data();
    head.body().size = chunk.size() - source.get().body().size;
    head.body().more = !source.is_done();
    if (!co_await AwaitRateLimit(aRequest.mRequestLimiter, head.body().size)) {
      co_return beast::error::timeout;
    }
  }
}

asio::awaitable<error_code>
ReadAnswerHead(const forward_request& aRequest,
               bool aIsHead,
               remote_connection& aRemote)
{
  error_code failure;
  aRemote.mStream->expires_at(aRequest.mDeadline);
  for (int read = 0; read <= kMaxInterimAnswers; ++read) {
    aRemote.mParser = std::make_unique<answer_parser>();
    aRemote.mParser->header_limit(kHeaderLimit);
    aRemote.mParser->body_limit(boost::none);
    aRemote.mParser->skip(aIsHead);
    co_await http::async_read_header(
      *aRemote.mStream,
      aRemote.mBuffer,
      *aRemote.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    status_kind kind = KindOfStatus(aRemote.mParser->get().result_int());
    if (!failure && kind == status_kind::Invalid) {
      failure = http::error::bad_status;
    }
    if (failure || kind == status_kind::Final) {
      co_return failure;
    }
  }
  co_return http::error::unexpected_body;
}

refusal_reason
LossReason(error_code aFailure)
{
  return aFailure == beast::error::timeout ? refusal_reason::UpstreamTimeout
                                           : refusal_reason::UpstreamLost;
}

// The Retry-After of an answer, in whole seconds; zero if it has none. Capped,
// since the value comes from the upstream.
std::chrono::milliseconds
RetryAfterOf(const answer_head& aHead)
{
  std::string_view text = FromBeast(aHead[http::field::retry_after]);
  std::uint32_t seconds = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed = std::from_chars(text.data(), end, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::chrono::milliseconds(0);
  }
  return std::min(std::chrono::seconds(seconds), kLongestRetryAfter);
}

// Derives the outcome of the request from the remote server's header.
forward_result
Classify(const answer_head& aHead)
{
  if (aHead.result() == http::status::service_unavailable &&
      aHead.count(ToBeast(kUpstreamNotRunHeader)) > 0) {
    return { outcome_kind::NotRun,
             refusal_reason::UpstreamRefused,
             false,
             HealthSignalOf(aHead),
             RetryAfterOf(aHead) };
  }
  std::string_view outcome = FromBeast(aHead[ToBeast(kOutcomeHeader)]);
  if (outcome.empty()) {
    return {
      outcome_kind::Answered, refusal_reason::None, false, HealthSignalOf(aHead)
    };
  }
  std::optional<outcome_kind> kind = ParseOutcome(outcome);
  std::optional<refusal_reason> reason =
    ParseRefusal(FromBeast(aHead[ToBeast(kReasonHeader)]));
  return { kind.value_or(outcome_kind::Unknown),
           reason.value_or(refusal_reason::None),
           false,
           upstream_health_signal::None,
           RetryAfterOf(aHead) };
}

answer_head
MakeAnswer(const http_exchange& aExchange,
           const forward_request& aRequest,
           const answer_head& aFrom)
{
  answer_head head;
  head.result(aFrom.result_int());
  head.reason(aFrom.reason());
  head.version(aExchange.Head().version());
  for (const http::fields::value_type& field : aFrom) {
    head.insert(field.name(), field.name_string(), field.value());
  }
  RemoveHopByHopHeaders(head);
  for (const std::pair<std::string_view, std::string>& header :
       aRequest.mAnswer) {
    head.set(ToBeast(header.first), header.second);
  }
  if (!head.has_content_length() && !head.chunked() &&
      !HasNoBody(aExchange.Head().method(), aFrom)) {
    if (head.version() == 11) {
      head.chunked(true);
    }
  }
  head.erase(ToBeast(kCreditsHeader));
  if (aRequest.mCredits) {
    head.set(ToBeast(kCreditsHeader), aRequest.mCredits());
  }
  head.keep_alive(aExchange.mKeepAlive);
  return head;
}

// Streams the answer to the caller. Returns None if it was forwarded whole.
asio::awaitable<refusal_reason>
StreamAnswer(http_exchange& aExchange,
             const forward_request& aRequest,
             remote_connection& aRemote)
{
  answer_head head = MakeAnswer(aExchange, aRequest, aRemote.mParser->get());
  http::response_serializer<http::buffer_body> serializer(head);
  std::array<char, kStreamBuffer> chunk;
  error_code failure;
  aExchange.mStream.expires_at(aRequest.mDeadline);
  co_await http::async_write_header(
    aExchange.mStream,
    serializer,
    asio::redirect_error(asio::use_awaitable, failure));
  if (failure || HasNoBody(aExchange.Head().method(), aRemote.mParser->get())) {
    co_return failure ? refusal_reason::UpstreamLost : refusal_reason::None;
  }
  while (!serializer.is_done()) {
    if (!aRemote.mParser->is_done()) {
      // Reads that complete at once never let the stream's timer expire.
      if (std::chrono::steady_clock::now() >= aRequest.mDeadline) {
        co_return refusal_reason::UpstreamTimeout;
      }
      aRemote.mParser->get().body().data = chunk.data();
      aRemote.mParser->get().body().size = chunk.size();
      aRemote.mStream->expires_at(aRequest.mDeadline);
      co_await http::async_read(
        *aRemote.mStream,
        aRemote.mBuffer,
        *aRemote.mParser,
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure && failure != http::error::need_buffer) {
        co_return refusal_reason::UpstreamLost;
      }
      head.body().data = chunk.data();
      head.body().size = chunk.size() - aRemote.mParser->get().body().size;
      head.body().more = !aRemote.mParser->is_done();
    } else {
      head.body().data = nullptr;
      head.body().size = 0;
      head.body().more = false;
    }
    if (!co_await AwaitRateLimit(aRequest.mAnswerLimiter, head.body().size)) {
      co_return refusal_reason::LinkOverBudget;
    }
    aExchange.mStream.expires_at(aRequest.mDeadline);
    co_await http::async_write(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return refusal_reason::UpstreamLost;
    }
  }
  co_return refusal_reason::None;
}

void
KeepConnection(table<connection_pool>& aPool,
               const forward_request& aRequest,
               remote_connection& aRemote)
{
  bool clean = aRemote.mParser->is_done() &&
               aRemote.mParser->get().keep_alive() &&
               aRemote.mBuffer.size() == 0;
  if (!clean) {
    return;
  }
  error_code failure;
  int handle = aRemote.mStream->release_socket().release(failure);
  if (failure) {
    return;
  }
  aPool.With([&](connection_pool& aIdle) {
    aIdle.Put(
      aRequest.mTo, idle_socket(handle), std::chrono::steady_clock::now());
  });
}

} // namespace

asio::awaitable<std::optional<body_prefix>>
ReadPrefix(http_exchange& aExchange)
{
  co_await SendContinue(aExchange);
  body_prefix prefix;
  request_parser& parser = aExchange.mParser;
  std::array<char, 4096> chunk;
  while (!parser.is_done() && prefix.mBytes.size() < kReplayableBody) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    aExchange.mStream.expires_after(kProgressTimeout);
    error_code failure;
    co_await http::async_read(
      aExchange.mStream,
      aExchange.mBuffer,
      parser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      aExchange.mKeepAlive = false;
      co_return std::nullopt;
    }
    prefix.mBytes.append(chunk.data(), chunk.size() - parser.get().body().size);
  }
  prefix.mComplete = parser.is_done();
  co_return prefix;
}

asio::awaitable<forward_result>
Forward(table<connection_pool>& aPool,
        http_exchange& aExchange,
        const body_prefix& aPrefix,
        const forward_request& aRequest)
{
  remote_connection remote;
  error_code failure =
    co_await Connect(aPool, aRequest, aExchange.mStream.get_executor(), remote);
  if (failure) {
    co_return Fail(outcome_kind::NotRun, refusal_reason::UpstreamConnect);
  }
  if (!co_await AwaitRateLimit(aRequest.mRequestLimiter,
                               aPrefix.mBytes.size())) {
    co_return Fail(outcome_kind::NotRun, refusal_reason::LinkOverBudget);
  }
  // The caller may have left while the request waited for a slot, or while it
  // was refused elsewhere.
  if (IsCallerGone(aExchange)) {
    aExchange.mKeepAlive = false;
    co_return Fail(outcome_kind::NotRun, refusal_reason::CallerGone);
  }
  if (aRequest.mMayBegin && !aRequest.mMayBegin()) {
    co_return Fail(outcome_kind::NotRun, refusal_reason::LeaseLapsed);
  }
  // From here on the remote server may have received bytes of the request.
  bool isHead = aExchange.Head().method() == http::verb::head;
  failure = co_await SendRequest(aExchange, aPrefix, aRequest, remote);
  if (failure && !aExchange.mParser.is_done()) {
    aExchange.mKeepAlive = false;
    co_return Fail(outcome_kind::Unknown, LossReason(failure));
  }
  if (aRequest.mCancel) {
    std::variant<error_code, std::monostate> first = co_await (
      ReadAnswerHead(aRequest, isHead, remote) || WaitCallerGone(aExchange));
    if (first.index() == 1) {
      aExchange.mKeepAlive = false;
      co_return Fail(outcome_kind::Unknown, refusal_reason::CallerGone);
    }
    failure = std::get<0>(first);
  } else {
    failure = co_await ReadAnswerHead(aRequest, isHead, remote);
  }
  if (failure) {
    co_return Fail(outcome_kind::Unknown, LossReason(failure));
  }
  forward_result result = Classify(remote.mParser->get());
  result.mCredits = FromBeast(remote.mParser->get()[ToBeast(kCreditsHeader)]);
  if (result.mOutcome != outcome_kind::Answered) {
    co_return result;
  }
  result.mBegun = true;
  refusal_reason cut = co_await StreamAnswer(aExchange, aRequest, remote);
  if (cut != refusal_reason::None) {
    aExchange.mKeepAlive = false;
    co_return Fail(outcome_kind::Unknown, cut, true);
  }
  KeepConnection(aPool, aRequest, remote);
  co_return result;
}

} // namespace laburnumdyke
