// Connects, writes and reads under one deadline; any failure gives nullopt.
#include "laburnumdyke/plugin/http_client.h"

#include "laburnumdyke/plugin/http_parts.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>

namespace laburnumdyke {

asio::awaitable<std::optional<client_answer>>
Exchange(client_request aRequest)
{
  tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aRequest.mTimeout);
  error_code failure;
  co_await stream.async_connect(
    ToAsio(aRequest.mTo), asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return std::nullopt;
  }
  EnableDeadPeerDetection(stream.socket());
  http::request<http::string_body> request(
    aRequest.mMethod, aRequest.mTarget, 11);
  request.set(http::field::host, aRequest.mTo.Text());
  if (!aRequest.mIfMatch.empty()) {
    request.set(http::field::if_match, aRequest.mIfMatch);
  }
  for (const std::pair<std::string, std::string>& header : aRequest.mHeaders) {
    request.set(header.first, header.second);
  }
  request.keep_alive(false);
  request.body() = std::move(aRequest.mBody);
  request.prepare_payload();
  co_await http::async_write(
    stream, request, asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return std::nullopt;
  }
  beast::flat_buffer buffer(kUnparsedLimit);
  for (int read = 0; read <= kMaxInterimAnswers; ++read) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(aRequest.mLimit);
    co_await http::async_read(
      stream,
      buffer,
      parser,
      asio::redirect_error(asio::use_awaitable, failure));
    status_kind kind = KindOfStatus(parser.get().result_int());
    if (failure || kind == status_kind::Invalid) {
      co_return std::nullopt;
    }
    if (kind == status_kind::Final) {
      std::string header;
      if (!aRequest.mWantedHeader.empty()) {
        header = FromBeast(parser.get()[aRequest.mWantedHeader]);
      }
      co_return client_answer{ parser.get().result_int(),
                               std::move(parser.get().body()),
                               std::move(header) };
    }
  }
  co_return std::nullopt;
}

} // namespace laburnumdyke
