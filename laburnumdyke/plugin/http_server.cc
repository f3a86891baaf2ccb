// Bodies are read through a fixed-size buffer and only when a handler asks for
// them, so that a slow peer occupies one buffer rather than a whole body.
#include "laburnumdyke/plugin/http_server.h"

#include <array>

namespace laburnumdyke {

namespace {

constexpr std::size_t kDiscardLimit = 64UL * 1024; // bytes
// For the rest of a body that was refused: a round trip or two.
constexpr std::chrono::milliseconds kLingerTime{ 1000 };
constexpr std::size_t kLingerLimit = 4UL * 1024 * 1024; // bytes
constexpr std::size_t kFirstRead = 4096; // bytes; most headers fit

bool
IsClosing(error_code aFailure)
{
  return aFailure == http::error::end_of_stream ||
         aFailure == beast::error::timeout ||
         aFailure == asio::error::operation_aborted ||
         aFailure == asio::error::connection_reset ||
         aFailure == asio::error::eof;
}

// Stands for any malformed request, as opposed to a network failure.
constexpr http::error kMalformed = http::error::bad_transfer_encoding;

// Whether the body's end is unambiguous. Guards against request smuggling: the
// parser would read a body with a transfer coding that it does not decode as
// one of the stated Content-Length, and what follows as another request.
bool
HasUnambiguousLength(const request_parser& aParser)
{
  const request_parser::value_type& head = aParser.get();
  bool hasCoding = head.count(http::field::transfer_encoding) > 0;
  bool hasLength = head.count(http::field::content_length) > 0;
  bool isChunked =
    beast::iequals(head[http::field::transfer_encoding], "chunked");
  return !hasCoding || (isChunked && !hasLength);
}

asio::awaitable<void>
Reject(kernel& aKernel, tcp_stream& aStream, error_code aFailure)
{
  bool tooLong = aFailure == http::error::header_limit ||
                 aFailure == http::error::buffer_overflow;
  aKernel.Counters().Add("http_rejected_total",
                         tooLong ? "header_too_long" : "malformed");
  string_answer answer(tooLong ? http::status::request_header_fields_too_large
                               : http::status::bad_request,
                       11);
  answer.set(ToBeast(kOutcomeHeader), "not-run");
  answer.set(ToBeast(kReasonHeader), "malformed_request");
  answer.set(http::field::content_type, "text/plain");
  answer.keep_alive(false);
  answer.body() = aFailure.message() + "\n";
  answer.prepare_payload();
  aStream.expires_after(kHeaderTimeout);
  error_code ignored;
  co_await http::async_write(
    aStream, answer, asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

asio::awaitable<bool>
ReadFirstBytes(tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  if (aBuffer.size() > 0) {
    co_return true;
  }
  error_code failure;
  aStream.expires_never();
  std::size_t got = co_await aStream.async_read_some(
    aBuffer.prepare(kFirstRead),
    asio::redirect_error(asio::use_awaitable, failure));
  aBuffer.commit(got);
  co_return !failure;
}

void
ShrinkBuffer(beast::flat_buffer& aBuffer)
{
  if (aBuffer.capacity() > kFirstRead) {
    aBuffer.shrink_to_fit();
  }
}

asio::awaitable<bool>
ReadHead(kernel& aKernel,
         tcp_stream& aStream,
         beast::flat_buffer& aBuffer,
         request_parser& aParser,
         server_limits aLimits)
{
  error_code failure;
  aStream.expires_after(aLimits.mHeaderTimeout);
  co_await http::async_read_header(
    aStream,
    aBuffer,
    aParser,
    asio::redirect_error(asio::use_awaitable, failure));
  if (!failure && !HasUnambiguousLength(aParser)) {
    failure = kMalformed;
  }
  if (!failure) {
    co_return true;
  }
  if (!IsClosing(failure)) {
    co_await Reject(aKernel, aStream, failure);
  }
  co_return false;
}

asio::awaitable<void>
SendContinue(http_exchange& aExchange)
{
  bool waits =
    aExchange.Head().version() == 11 &&
    beast::iequals(aExchange.Head()[http::field::expect], "100-continue") &&
    !aExchange.mParser.is_done() && aExchange.mBuffer.size() == 0;
  if (!waits) {
    co_return;
  }
  http::response<http::empty_body> continueAnswer(http::status::continue_, 11);
  aExchange.mStream.expires_after(kProgressTimeout);
  error_code failure; // occurs again when the body is read
  co_await http::async_write(
    aExchange.mStream,
    continueAnswer,
    asio::redirect_error(asio::use_awaitable, failure));
}

asio::awaitable<std::optional<std::string>>
ReadBody(http_exchange& aExchange, std::size_t aLimit)
{
  co_await SendContinue(aExchange);
  std::string body;
  std::array<char, 4096> chunk;
  request_parser& parser = aExchange.mParser;
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    parser.get().body().more = true;
    error_code failure;
    aExchange.mStream.expires_after(kProgressTimeout);
    co_await http::async_read(
      aExchange.mStream,
      aExchange.mBuffer,
      parser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) {
      co_return std::nullopt;
    }
    body.append(chunk.data(), chunk.size() - parser.get().body().size);
    if (body.size() > aLimit) {
      co_return std::nullopt;
    }
  }
  co_return body;
}

asio::awaitable<void>
DiscardRest(tcp_stream& aStream)
{
  error_code failure;
  aStream.socket().shutdown(tcp::socket::shutdown_send, failure);
  std::array<char, 4096> chunk;
  std::size_t discarded = 0;
  aStream.expires_after(kLingerTime);
  while (!failure && discarded < kLingerLimit) {
    discarded += co_await aStream.async_read_some(
      asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, failure));
  }
}

asio::awaitable<void>
WriteAnswer(http_exchange& aExchange, string_answer aAnswer)
{
  if (aExchange.mKeepAlive && !aExchange.mParser.is_done()) {
    std::optional<std::string> rest =
      co_await ReadBody(aExchange, kDiscardLimit);
    aExchange.mKeepAlive = rest.has_value();
  }
  aAnswer.version(aExchange.Head().version());
  aAnswer.keep_alive(aExchange.mKeepAlive);
  aAnswer.prepare_payload();
  aExchange.mStream.expires_after(kProgressTimeout);
  error_code failure;
  if (aExchange.Head().method() == http::verb::head) {
    http::response_serializer<http::string_body> serializer(aAnswer);
    co_await http::async_write_header(
      aExchange.mStream,
      serializer,
      asio::redirect_error(asio::use_awaitable, failure));
  } else {
    co_await http::async_write(
      aExchange.mStream,
      aAnswer,
      asio::redirect_error(asio::use_awaitable, failure));
  }
  if (failure) {
    aExchange.mKeepAlive = false;
  }
}

} // namespace laburnumdyke
