// Watches on a socket for the length of one step of a coroutine: for a
// deadline while it reads or writes, and for the peer's closing while it
// waits. Each belongs to the strand of the socket.
//
// The callbacks share the watch's state, not the coroutine's frame, so that a
// callback already queued when the step ends finds itself disarmed. Waiting
// for the first of two awaitables would start two coroutines for each step.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace laburnumdyke {

using shared_socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

// Cancels what the socket is doing once a deadline passes.
class deadline_watch
{
public:
  // A deadline of time_point::max() never passes.
  deadline_watch(shared_socket aSocket,
                 std::chrono::steady_clock::time_point aDeadline);
  ~deadline_watch();
  deadline_watch(const deadline_watch&) = delete;
  deadline_watch& operator=(const deadline_watch&) = delete;

  bool Passed() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

// Waits until a time, or until the peer has closed: returns false then. With
// bytes of a next request already there the peer is not watched.
boost::asio::awaitable<bool>
WaitWhileOpen(shared_socket aSocket,
              bool aWatch,
              std::chrono::steady_clock::time_point aUntil);

} // namespace laburnumdyke
