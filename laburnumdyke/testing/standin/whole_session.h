// Serves one HTTP/1.1 connection whose requests are gathered whole before
// they are performed: for small requests and answers.
//
// Usage: a class with Perform, Malformed and MaxBody, and
//   co_await ServeWhole(server, connections, std::move(socket));
// Perform returns nothing where the connection is to close unanswered. A server
// that is kept by shared pointers can leave accepting to StartWhole.
#pragma once

#include "laburnumdyke/testing/standin/connections.h"
#include "laburnumdyke/testing/standin/http_exchange.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace laburnumdyke {

using whole_request =
  boost::beast::http::request<boost::beast::http::string_body>;

template<class T>
concept whole_request_server = requires(T& aServer, whole_request aRequest)
{
  {
    aServer.Perform(std::move(aRequest))
    } -> std::same_as<boost::asio::awaitable<std::optional<short_answer>>>;
  {
    aServer.Malformed()
    } -> std::same_as<void>;
  {
    T::kMaxBody
    } -> std::convertible_to<std::uint64_t>;
};

// Reads one request, performs it and sends the answer. Returns whether the
// connection goes on.
template<whole_request_server Server>
boost::asio::awaitable<bool>
ServeWholeRequest(Server& aServer,
                  connection_guard& aGuard,
                  boost::asio::ip::tcp::socket& aSocket,
                  boost::beast::flat_buffer& aBuffer)
{
  namespace http = boost::beast::http;
  http::request_parser<http::string_body> parser;
  parser.header_limit(kStandinHeaderLimit);
  parser.body_limit(Server::kMaxBody);
  boost::beast::error_code failure;
  aGuard.SetIdle(true);
  co_await http::async_read(
    aSocket,
    aBuffer,
    parser,
    boost::asio::redirect_error(boost::asio::use_awaitable, failure));
  aGuard.SetIdle(false);
  std::optional<short_answer> answer;
  if (failure) {
    std::optional<http::status> status = StatusForReadFailure(failure);
    if (status) {
      aServer.Malformed();
      answer = MakeAnswer(*status, ErrorJson(failure.message()), false);
    }
  } else {
    answer = co_await aServer.Perform(parser.release());
  }
  if (!answer) {
    co_return false;
  }
  co_await http::async_write(
    aSocket,
    *answer,
    boost::asio::redirect_error(boost::asio::use_awaitable, failure));
  co_return !failure && answer->keep_alive();
}

// aKept: aServer, if it is to be kept for as long as the connection.
template<whole_request_server Server>
boost::asio::awaitable<void>
ServeWhole(Server& aServer,
           connection_set& aConnections,
           boost::asio::ip::tcp::socket aSocket,
           [[maybe_unused]] std::shared_ptr<Server> aKept = nullptr)
{
  constexpr std::size_t kBufferLimit = 131072;
  connection_guard guard(aConnections, aSocket);
  boost::beast::flat_buffer buffer(kBufferLimit);
  bool open = true;
  while (open) {
    open = co_await ServeWholeRequest(aServer, guard, aSocket, buffer);
  }
  CloseSocket(aSocket);
}

// Listens on aAddress and serves all connections until the acceptor is closed.
// The acceptor and the set are members of aServer. Returns why it can't listen,
// or nothing.
template<whole_request_server Server>
std::optional<std::string>
StartWhole(std::shared_ptr<Server> aServer,
           const endpoint& aAddress,
           boost::asio::ip::tcp::acceptor& aAcceptor,
           connection_set& aConnections)
{
  std::optional<std::string> failure = Listen(aAcceptor, aAddress);
  if (!failure) {
    auto serve = [aServer,
                  &aConnections](boost::asio::ip::tcp::socket aSocket) {
      return ServeWhole(*aServer, aConnections, std::move(aSocket), aServer);
    };
    boost::asio::co_spawn(aAcceptor.get_executor(),
                          AcceptLoop(aServer, aAcceptor, serve),
                          boost::asio::detached);
  }
  return failure;
}

} // namespace laburnumdyke
