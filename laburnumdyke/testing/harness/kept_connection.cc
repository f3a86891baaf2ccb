// Requests are written as text, so that the framing of the body is exact.
#include "laburnumdyke/testing/harness/kept_connection.h"

#include <boost/asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <cstdio>

namespace laburnumdyke {

namespace {

std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

std::string
Encode(const kept_request& aRequest)
{
  std::string text =
    aRequest.mMethod + " " + aRequest.mTarget +
    " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + aRequest.mId +
    "\r\nX-Deadline-Ms: " + std::to_string(aRequest.mTimeout.count()) +
    "\r\nX-Work-Ms: " + std::to_string(aRequest.mWork.count()) + "\r\n";
  if (!aRequest.mNote.empty()) {
    text += "X-Note: " + aRequest.mNote + "\r\n";
  }
  if (!aRequest.mChunked) {
    return text + "Content-Length: " + std::to_string(aRequest.mBody.size()) +
           "\r\n\r\n" + aRequest.mBody;
  }
  std::size_t half = aRequest.mBody.size() / 2;
  return text + "Transfer-Encoding: chunked\r\n\r\n" +
         Chunk(aRequest.mBody.substr(0, half)) +
         Chunk(aRequest.mBody.substr(half)) + "0\r\n\r\n";
}

} // namespace

kept_connection::kept_connection(const endpoint& aTo)
  : mSocket(mContext)
{
  error_code ignored; // seen by the first request
  mSocket.connect(ToAsio(aTo), ignored);
}

kept_answer
kept_connection::Send(const kept_request& aRequest)
{
  error_code failure;
  asio::write(mSocket, asio::buffer(Encode(aRequest)), failure);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  if (!failure) {
    http::read(mSocket, buffer, parser, failure);
  }
  if (failure) {
    return {};
  }
  return { parser.get().result_int(), parser.get().keep_alive() };
}

bool
kept_connection::IsClosed()
{
  pollfd state{ mSocket.native_handle(), POLLIN | POLLRDHUP, 0 };
  return ::poll(&state, 1, 0) > 0 && (state.revents & POLLRDHUP) != 0;
}

} // namespace laburnumdyke
