// Listening sockets and the set of open connections of one stand-in.
//
// Everything here belongs to one strand.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <concepts>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace laburnumdyke {

// An open connection, as its stand-in sees it.
struct connection
{
  boost::asio::ip::tcp::socket* mSocket;
  bool mIdle; // between an answer and the next request
};

// The open connections; a connection is in the set as long as its guard lives.
class connection_set
{
public:
  std::size_t Size() const { return mOpen.size(); }
  void CloseAll();
  void CloseIdle();

private:
  friend class connection_guard;
  std::list<connection> mOpen;
};

class connection_guard
{
public:
  connection_guard(connection_set& aSet, boost::asio::ip::tcp::socket& aSocket);
  ~connection_guard();
  connection_guard(const connection_guard&) = delete;
  connection_guard& operator=(const connection_guard&) = delete;

  void SetIdle(bool aIdle) { mPlace->mIdle = aIdle; }

private:
  connection_set& mSet;
  std::list<connection>::iterator mPlace;
};

// Opens a listening socket; returns why it can't, or nothing.
std::optional<std::string>
Listen(boost::asio::ip::tcp::acceptor& aAcceptor, const endpoint& aAddress);

// Closes without an error and without an answer.
void
CloseSocket(boost::asio::ip::tcp::socket& aSocket);

// What an accept loop hands connections to.
template<class T>
concept connection_handler = requires(T& aHandler,
                                      boost::asio::ip::tcp::socket aSocket)
{
  {
    aHandler(std::move(aSocket))
    } -> std::same_as<boost::asio::awaitable<void>>;
};

// Pause after a failed accept, e.g. for want of file descriptors.
inline constexpr std::chrono::milliseconds kAcceptPause{ 20 };

// Accepts until the acceptor is closed; each connection is served by its own
// coroutine. aOwner keeps the acceptor alive.
template<class Owner, connection_handler Handler>
boost::asio::awaitable<void>
AcceptLoop([[maybe_unused]] std::shared_ptr<Owner> aOwner,
           boost::asio::ip::tcp::acceptor& aAcceptor,
           Handler aHandler)
{
  while (aAcceptor.is_open()) {
    boost::system::error_code failure;
    boost::asio::ip::tcp::socket socket = co_await aAcceptor.async_accept(
      boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    if (failure) {
      boost::asio::steady_timer pause(aAcceptor.get_executor(), kAcceptPause);
      co_await pause.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    boost::asio::co_spawn(aAcceptor.get_executor(),
                          aHandler(std::move(socket)),
                          boost::asio::detached);
  }
}

} // namespace laburnumdyke
