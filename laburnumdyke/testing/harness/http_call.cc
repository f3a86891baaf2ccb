// A connection per call, so that each outcome stands for itself.
#include "laburnumdyke/testing/harness/http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

std::string
call_result::Field(std::string_view aName) const
{
  return std::string(FromBeast(mFields[ToBeast(aName)]));
}

asio::awaitable<call_result>
Call(call_request aRequest)
{
  call_result result;
  error_code failure;
  tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aRequest.mTimeout);
  co_await stream.async_connect(
    ToAsio(aRequest.mTo), asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return result;
  }
  http::request<http::string_body> request(
    aRequest.mMethod, aRequest.mTarget, 11);
  request.set(http::field::host, aRequest.mTo.Text());
  for (const std::pair<std::string, std::string>& header : aRequest.mHeaders) {
    request.set(header.first, header.second);
  }
  request.keep_alive(false);
  request.body() = std::move(aRequest.mBody);
  request.prepare_payload();
  result.mSent = true;
  co_await http::async_write(
    stream, request, asio::redirect_error(asio::use_awaitable, failure));
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read(
    stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
  result.mComplete = !failure;
  if (parser.is_header_done()) {
    result.mStatus = parser.get().result_int();
    result.mFields = parser.get().base();
    result.mBody = std::move(parser.get().body());
  }
  co_return result;
}

call_result
CallNow(const call_request& aRequest)
{
  asio::io_context context;
  call_result result;
  asio::co_spawn(
    context, Call(aRequest), [&](std::exception_ptr, call_result aResult) {
      result = std::move(aResult);
    });
  context.run();
  return result;
}

std::string
GetText(const endpoint& aTo, const std::string& aTarget)
{
  call_request request;
  request.mTo = aTo;
  request.mTarget = aTarget;
  return CallNow(request).mBody;
}

std::string
PostText(const endpoint& aTo, const std::string& aTarget, std::string aBody)
{
  call_request request;
  request.mTo = aTo;
  request.mMethod = http::verb::post;
  request.mTarget = aTarget;
  request.mBody = std::move(aBody);
  return CallNow(request).mBody;
}

} // namespace laburnumdyke
