// The peer has closed when its socket is readable and a peek finds no byte.
#include "laburnumdyke/testing/standin/socket_watch.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumdyke {

namespace asio = boost::asio;
using asio::ip::tcp;

struct deadline_watch::state
{
  explicit state(shared_socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket->get_executor())
  {
  }

  shared_socket mSocket;
  asio::steady_timer mTimer;
  bool mArmed = true;
  bool mPassed = false;
};

deadline_watch::deadline_watch(shared_socket aSocket,
                               std::chrono::steady_clock::time_point aDeadline)
{
  if (aDeadline == std::chrono::steady_clock::time_point::max()) {
    return;
  }
  mState = std::make_shared<state>(std::move(aSocket));
  mState->mTimer.expires_at(aDeadline);
  mState->mTimer.async_wait(
    [watch = mState](const boost::system::error_code& aFailure) {
      if (!aFailure && watch->mArmed) {
        boost::system::error_code ignored;
        watch->mPassed = true;
        watch->mSocket->cancel(ignored);
      }
    });
}

deadline_watch::~deadline_watch()
{
  if (mState) {
    mState->mArmed = false;
    mState->mTimer.cancel();
  }
}

bool
deadline_watch::Passed() const
{
  return mState && mState->mPassed;
}

namespace {

struct close_watch
{
  explicit close_watch(const asio::any_io_executor& aStrand)
    : mTimer(aStrand)
  {
  }

  asio::steady_timer mTimer;
  bool mArmed = true;
  bool mReadable = false;
};

bool
PeerClosed(tcp::socket& aSocket)
{
  boost::system::error_code failure;
  char byte = 0;
  aSocket.non_blocking(true, failure);
  std::size_t seen =
    aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
  return failure != asio::error::would_block && seen == 0;
}

void
Watch(tcp::socket& aSocket, std::shared_ptr<close_watch> aWatch)
{
  aSocket.async_wait(
    tcp::socket::wait_read,
    [watch = std::move(aWatch)](const boost::system::error_code& aFailure) {
      if (aFailure != asio::error::operation_aborted && watch->mArmed) {
        watch->mReadable = true;
        watch->mTimer.cancel();
      }
    });
}

} // namespace

asio::awaitable<bool>
WaitWhileOpen(shared_socket aSocket,
              bool aWatch,
              std::chrono::steady_clock::time_point aUntil)
{
  std::shared_ptr<close_watch> watch =
    std::make_shared<close_watch>(aSocket->get_executor());
  watch->mTimer.expires_at(aUntil);
  if (aWatch) {
    Watch(*aSocket, watch);
  }
  boost::system::error_code failure;
  co_await watch->mTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, failure));
  bool closed = !aSocket->is_open();
  if (watch->mReadable && !closed) {
    closed = PeerClosed(*aSocket);
    if (!closed) { // the next request is here
      co_await watch->mTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, failure));
      closed = !aSocket->is_open();
    }
  }
  watch->mArmed = false;
  if (aWatch && !closed) {
    aSocket->cancel(failure);
  }
  co_return !closed;
}

} // namespace laburnumdyke
