// Connect, write, read headers until one is ours, hold back the first part of
// the body, pass it on. The stage at which something fails decides what the
// failure means: before the first byte is written nothing can have run.
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

constexpr std::size_t kHeldAnswer = 256UL * 1024; // bytes
// Answers of others that are passed over on one connection.
constexpr int kMostForeignAnswers = 4;
// Of an answer that is passed over; a longer one costs its connection.
constexpr std::size_t kMostPassedOver = 64UL * 1024; // bytes
// For the rest of a refusal: the request is to go on.
constexpr std::chrono::milliseconds kRefusalTimeout{ 100 };
// A connection takes a round trip and the upstream's accept; a lost packet is
// sent again after a second, and another upstream is asked sooner than that.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
// A caller that takes nothing of its answer for so long is given up.
constexpr std::chrono::milliseconds kCallerTimeout{ 1500 };
// After the deadline, for an answer that has begun: a body without end looks
// like a long one.
constexpr std::chrono::milliseconds kLateAnswer{ 1500 };
// Shorter than what upstreams that state no time keep idle connections for.
constexpr std::chrono::milliseconds kUnsaidIdleLife{ 3000 };
// For a close that is on its way while the next request is written.
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

struct upstream_link
{
  std::unique_ptr<tcp_stream> mStream;
  beast::flat_buffer mBuffer{ kUnparsedLimit };
  std::unique_ptr<answer_parser> mParser;
  bool mClean = true; // nothing foreign was read from it
  answer_facts mAnswer;
};

asio::awaitable<error_code>
Connect(table<connection_pool>& aPool,
        const upstream_attempt& aAttempt,
        upstream_link& aLink,
        attempt_outcome& aOutcome)
{
  error_code failure;
  aLink.mStream =
    std::make_unique<tcp_stream>(co_await asio::this_coro::executor);
  if (aAttempt.mIdempotent) {
    std::optional<idle_socket> idle = aPool.With([&](connection_pool& aIdle) {
      return aIdle.Take(aAttempt.mTo, clock::now());
    });
    if (idle) {
      aLink.mStream->socket().assign(
        ToAsio(aAttempt.mTo).protocol(), idle->Release(), failure);
      co_return failure;
    }
  }
  instant begun = clock::now();
  aLink.mStream->expires_at(
    std::min(aAttempt.mDeadline, begun + kConnectTimeout));
  co_await aLink.mStream->async_connect(
    ToAsio(aAttempt.mTo), asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    aOutcome.mConnect = clock::now() - begun;
    EnableDeadPeerDetection(aLink.mStream->socket());
  }
  co_return failure;
}

asio::awaitable<error_code>
SendRequest(const http_exchange& aExchange,
            const upstream_attempt& aAttempt,
            upstream_link& aLink)
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
  for (const std::pair<std::string_view, std::string>& header :
       aAttempt.mHeaders) {
    request.set(ToBeast(header.first), header.second);
  }
  request.body() = aAttempt.mBody;
  if (hadBody) {
    request.content_length(aAttempt.mBody.size());
  }
  error_code failure;
  aLink.mStream->expires_at(aAttempt.mDeadline);
  co_await http::async_write(
    *aLink.mStream,
    request,
    asio::redirect_error(asio::use_awaitable, failure));
  co_return failure;
}

// Reads the rest of an answer, up to kMostPassedOver, and forgets it.
asio::awaitable<error_code>
PassOver(upstream_link& aLink, instant aUntil)
{
  std::vector<char> chunk(kStreamBuffer);
  std::size_t passed = 0;
  error_code failure;
  aLink.mStream->expires_at(aUntil);
  while (!aLink.mParser->is_done()) {
    if (passed > kMostPassedOver || clock::now() >= aUntil) {
      co_return http::error::body_limit;
    }
    aLink.mParser->get().body().data = chunk.data();
    aLink.mParser->get().body().size = chunk.size();
    co_await http::async_read(
      *aLink.mStream,
      aLink.mBuffer,
      *aLink.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    passed += chunk.size() - aLink.mParser->get().body().size;
  }
  co_return error_code();
}

// Reads headers until one does not belong to another request.
asio::awaitable<error_code>
ReadAnswerHead(const http_exchange& aExchange,
               const upstream_attempt& aAttempt,
               upstream_link& aLink)
{
  error_code failure;
  for (int foreign = 0; foreign <= kMostForeignAnswers; ++foreign) {
    aLink.mParser = std::make_unique<answer_parser>();
    aLink.mParser->header_limit(kHeaderLimit);
    aLink.mParser->body_limit(boost::none);
    aLink.mParser->skip(aExchange.Head().method() == http::verb::head);
    aLink.mStream->expires_at(aAttempt.mDeadline);
    co_await http::async_read_header(
      *aLink.mStream,
      aLink.mBuffer,
      *aLink.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return failure;
    }
    if (aLink.mParser->get().result_int() < 200) {
      continue; // interim: the answer is still to come
    }
    aLink.mAnswer = aAttempt.mRead(aLink.mParser->get());
    if (aLink.mAnswer.mBelongs != answer_facts::belongs::ToAnother) {
      co_return error_code();
    }
    aLink.mClean = false;
    failure = co_await PassOver(aLink, aAttempt.mDeadline);
    if (failure) {
      co_return failure;
    }
  }
  co_return http::error::unexpected_body;
}

// Reads body bytes to aHeld until there are kHeldAnswer or the body ends.
asio::awaitable<error_code>
HoldBody(upstream_link& aLink, std::string& aHeld, instant aUntil)
{
  std::vector<char> chunk(kStreamBuffer);
  error_code failure;
  aLink.mStream->expires_at(aUntil);
  while (!aLink.mParser->is_done() && aHeld.size() < kHeldAnswer) {
    // Bytes that are always there outrun the timer.
    if (clock::now() >= aUntil) {
      co_return beast::error::timeout;
    }
    aLink.mParser->get().body().data = chunk.data();
    aLink.mParser->get().body().size = chunk.size();
    co_await http::async_read(
      *aLink.mStream,
      aLink.mBuffer,
      *aLink.mParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    aHeld.append(chunk.data(), chunk.size() - aLink.mParser->get().body().size);
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

// Writes what is held, then the rest as it comes.
asio::awaitable<error_code>
PassOn(http_exchange& aExchange,
       const upstream_attempt& aAttempt,
       upstream_link& aLink,
       std::string& aHeld,
       attempt_outcome& aOutcome)
{
  http::response<http::buffer_body> head =
    MakeCallerHead(aExchange, *aLink.mParser);
  http::response_serializer<http::buffer_body> serializer(head);
  error_code failure;
  bool noBody = HasNoBody(aExchange.Head().method(), aLink.mParser->get());
  if (noBody) {
    aExchange.mStream.expires_at(aAttempt.mDeadline);
    co_await http::async_write_header(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
  }
  while (!serializer.is_done()) {
    head.body().data = aHeld.empty() ? nullptr : aHeld.data();
    head.body().size = aHeld.size();
    head.body().more = !aLink.mParser->is_done();
    aOutcome.mBytes += aHeld.size();
    aExchange.mStream.expires_at(
      std::max(aAttempt.mDeadline, clock::now() + kCallerTimeout));
    co_await http::async_write(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return failure;
    }
    aHeld.clear();
    if (!aLink.mParser->is_done()) {
      failure =
        co_await HoldBody(aLink, aHeld, aAttempt.mDeadline + kLateAnswer);
      if (failure) {
        co_return failure;
      }
    }
  }
  co_return error_code();
}

void
KeepLink(table<connection_pool>& aPool,
         const upstream_attempt& aAttempt,
         upstream_link& aLink)
{
  bool reusable = aLink.mClean && aLink.mParser->is_done() &&
                  aLink.mParser->get().keep_alive() &&
                  aLink.mBuffer.size() == 0;
  std::chrono::milliseconds life =
    aLink.mAnswer.mIdleLife.value_or(kUnsaidIdleLife + kIdleMargin) -
    kIdleMargin;
  if (!reusable || life <= std::chrono::milliseconds(0)) {
    return;
  }
  error_code failure;
  int handle = aLink.mStream->release_socket().release(failure);
  if (failure) {
    return;
  }
  idle_socket idle(handle);
  aPool.With([&](connection_pool& aIdle) {
    aIdle.Put(aAttempt.mTo, std::move(idle), clock::now(), life);
  });
}

attempt_ending
EndOf(error_code aFailure)
{
  return aFailure == beast::error::timeout ? attempt_ending::TimedOut
                                           : attempt_ending::Lost;
}

// What the header alone decides. Nothing where the answer is to be passed on.
std::optional<attempt_ending>
Judge(const upstream_link& aLink, const upstream_attempt& aAttempt)
{
  const answer_facts& answer = aLink.mAnswer;
  // On a connection that carried something foreign an unnamed refusal may be
  // that of another request.
  bool isNamed = answer.mBelongs == answer_facts::belongs::ToThisRequest;
  bool believed = isNamed || aLink.mClean;
  if (answer.mWrongInstance && believed) {
    return attempt_ending::WrongInstance;
  }
  if (answer.mNotRun && believed) {
    return attempt_ending::NotRun;
  }
  if (!answer.mSound || !isNamed) {
    return attempt_ending::Lost;
  }
  bool isError = aLink.mParser->get().result_int() >= 500;
  if (isError && aAttempt.mHoldErrors) {
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
  upstream_link link;
  error_code failure = co_await Connect(aPool, aAttempt, link, outcome);
  if (failure) {
    co_return outcome;
  }
  // Connecting may have taken a while.
  if (outcome.mConnect && IsCallerGone(aExchange)) {
    outcome.mEnd = attempt_ending::CallerGone;
    co_return outcome;
  }
  failure = co_await SendRequest(aExchange, aAttempt, link);
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  if (aAttempt.mIdempotent) {
    std::variant<error_code, std::monostate> first = co_await (
      ReadAnswerHead(aExchange, aAttempt, link) || WaitCallerGone(aExchange));
    if (first.index() == 1) {
      aExchange.mKeepAlive = false;
      outcome.mEnd = attempt_ending::CallerGone;
      co_return outcome;
    }
    failure = std::get<0>(first);
  } else {
    failure = co_await ReadAnswerHead(aExchange, aAttempt, link);
  }
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  outcome.mStatus = link.mParser->get().result_int();
  outcome.mLoad = link.mAnswer.mLoad;
  std::optional<attempt_ending> judged = Judge(link, aAttempt);
  if (judged) {
    outcome.mEnd = *judged;
    if (*judged != attempt_ending::Lost) {
      failure = co_await PassOver(
        link, std::min(aAttempt.mDeadline, clock::now() + kRefusalTimeout));
      if (!failure) {
        KeepLink(aPool, aAttempt, link);
      }
    }
    co_return outcome;
  }
  std::string held;
  failure = co_await HoldBody(link, held, aAttempt.mDeadline);
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  failure = co_await PassOn(aExchange, aAttempt, link, held, outcome);
  if (failure) {
    aExchange.mKeepAlive = false;
    outcome.mEnd = attempt_ending::CutShort;
    co_return outcome;
  }
  outcome.mEnd = attempt_ending::Answered;
  KeepLink(aPool, aAttempt, link);
  co_return outcome;
}

} // namespace laburnumdyke
