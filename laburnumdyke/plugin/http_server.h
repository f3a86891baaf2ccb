// An HTTP/1.1 server that passes each request to a handler.
//
// Usage:
//   http_server<my_handler> server(kernel, handler);
//   std::optional<std::string> failure = server.Listen(endpoint);
//   server.Leave();         // answers close their connections from here on
//   server.StopAccepting(); // open connections serve their current request
//   server.Close();         // stops accepting and closes every connection
//
// The handler is given an http_exchange: the request's header has been read,
// its body has not. Each connection runs on its own strand. A request that is
// not valid HTTP, whose body length is ambiguous, or whose header exceeds the
// limit gets 400 or 431 and its connection is closed; it is counted in
// http_rejected_total. A handler can override the limits by defining Limits(),
// and the size of the kernel's buffers by defining kSocketBuffer.
//
// Limits may change while connections are open. Each header meets those of the
// moment at which its first bytes arrive. A connection is closed once it has
// been idle for as long as the limit of that moment; a shorter limit applies to
// a connection that is idle already from the end of the longer one at latest.
#pragma once

#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/http_types.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace laburnumdyke {

using request_parser = http::request_parser<http::buffer_body>;

// One request on one connection.
struct http_exchange
{
  tcp_stream& mStream;
  beast::flat_buffer& mBuffer;
  request_parser& mParser;
  instant mReceived; // when the whole header had been read
  // Whether the connection may serve another request. A handler clears it if
  // the answer is incomplete or the body was not read.
  bool mKeepAlive;

  const request_parser::value_type& Head() const { return mParser.get(); }
};

struct server_limits
{
  std::uint32_t mHeaderBytes = kHeaderLimit;
  // From the first to the last byte of a header.
  std::chrono::milliseconds mHeaderTimeout = kHeaderTimeout;
  // Between requests, while no byte arrives.
  std::chrono::milliseconds mIdleTimeout = kIdleTimeout;
};

// Handles one request; must write one answer or clear mKeepAlive.
template<class T>
concept http_handler = requires(T& aHandler, http_exchange& aExchange)
{
  {
    aHandler.Handle(aExchange)
    } -> std::same_as<asio::awaitable<void>>;
};

// Reads the rest of the body. Returns nullopt if it exceeds aLimit bytes or the
// connection fails.
asio::awaitable<std::optional<std::string>>
ReadBody(http_exchange& aExchange, std::size_t aLimit);

using string_answer = http::response<http::string_body>;

// Writes a whole answer. Clears mKeepAlive on failure, and where the request's
// body was not read to its end.
asio::awaitable<void>
WriteAnswer(http_exchange& aExchange, string_answer aAnswer);

// Waits for the first bytes of the next request, unless aBuffer holds some.
// Returns false if the connection fails or the wait is cancelled.
asio::awaitable<bool>
ReadFirstBytes(tcp_stream& aStream, beast::flat_buffer& aBuffer);

// Reads the header of a request whose first bytes are in aBuffer. Returns false
// if there is none; a malformed request is answered with an error and counted.
asio::awaitable<bool>
ReadHead(kernel& aKernel,
         tcp_stream& aStream,
         beast::flat_buffer& aBuffer,
         request_parser& aParser,
         server_limits aLimits);

// Releases the memory of bytes that have been parsed, where a large header or a
// body made the buffer grow beyond its first size.
void
ShrinkBuffer(beast::flat_buffer& aBuffer);

// Sends 100 Continue to a caller that waits for it before it sends the body.
asio::awaitable<void>
SendContinue(http_exchange& aExchange);

// Ends the writing side, then reads and discards for a while what the caller
// still sends of a body that was refused: closing at once would reset the
// connection, and the caller might lose the answer.
asio::awaitable<void>
DiscardRest(tcp_stream& aStream);

// An accepted connection. Used on the strand of its stream alone.
struct server_connection
{
  explicit server_connection(tcp::socket aSocket)
    : mStream(std::move(aSocket))
    , mIdleTimer(mStream.get_executor())
  {
  }

  tcp_stream mStream;
  asio::steady_timer mIdleTimer;
  // Since when it has waited for the first bytes of a request; nullopt: it does
  // not wait.
  std::optional<instant> mWaitsSince;
  // Has served a request and has received no byte of another one.
  bool mIsIdle = false;
  bool mServesOneMore = true; // another request may be read
};

// The open connections of one server, which Close() closes.
struct open_connections
{
  static constexpr lock_rank kLockRank = lock_rank::Connections;
  std::set<std::shared_ptr<server_connection>> mAll;
};

template<class Handler>
class http_server
{
public:
  http_server(kernel& aKernel, Handler& aHandler)
    : mKernel(aKernel)
    , mHandler(aHandler)
    , mAcceptor(asio::make_strand(aKernel.Context()))
  {
    // Checked here and not on the class: a plug-in that is its own handler
    // holds a server as a member, while the plug-in's type is incomplete.
    static_assert(http_handler<Handler>);
  }

  std::optional<std::string> Listen(const endpoint& aEndpoint)
  {
    error_code failure;
    tcp::endpoint address = ToAsio(aEndpoint);
    mAcceptor.open(address.protocol(), failure);
    if (!failure) {
      mAcceptor.set_option(asio::socket_base::reuse_address(true), failure);
      SetSocketBuffers();
      mAcceptor.bind(address, failure);
    }
    if (!failure) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      return aEndpoint.Text() + ": " + failure.message();
    }
    asio::co_spawn(mAcceptor.get_executor(), Accept(), asio::detached);
    return std::nullopt;
  }

  void Leave() { mLeaving = true; }

  // Accepts no more connections. Open ones are closed once they are idle; those
  // on which no request has arrived yet may still serve one.
  void StopAccepting()
  {
    asio::post(mAcceptor.get_executor(), [this] {
      error_code ignored;
      mAcceptor.close(ignored);
    });
    mConnections.With([](open_connections& aOpen) {
      for (const std::shared_ptr<server_connection>& open : aOpen.mAll) {
        asio::post(open->mStream.get_executor(),
                   [open] { CloseIfIdle(*open); });
      }
    });
  }

  // Number of requests whose header was read and that are not yet answered.
  std::size_t InFlight() const { return mInFlight; }

  // Closes every connection. Must be called while no worker runs.
  void Close()
  {
    error_code ignored;
    mAcceptor.close(ignored);
    mConnections.With([](open_connections& aOpen) { aOpen.mAll.clear(); });
  }

private:
  asio::awaitable<void> Accept()
  {
    while (mAcceptor.is_open()) {
      error_code failure;
      tcp::socket socket = co_await mAcceptor.async_accept(
        asio::make_strand(mKernel.Context()),
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_await PauseAfter(failure);
        continue;
      }
      std::shared_ptr<server_connection> connection =
        std::make_shared<server_connection>(std::move(socket));
      connection->mStream.socket().set_option(tcp::no_delay(true), failure);
      mConnections.With(
        [&](open_connections& aOpen) { aOpen.mAll.insert(connection); });
      asio::co_spawn(
        connection->mStream.get_executor(), Serve(connection), asio::detached);
    }
  }

  // Accepted sockets inherit them; the window scale depends on them, so that
  // they are set before a connection is made.
  void SetSocketBuffers()
  {
    if constexpr (requires { Handler::kSocketBuffer; }) {
      error_code ignored;
      mAcceptor.set_option(
        asio::socket_base::receive_buffer_size(Handler::kSocketBuffer),
        ignored);
      mAcceptor.set_option(
        asio::socket_base::send_buffer_size(Handler::kSocketBuffer), ignored);
    }
  }

  static void CloseIfIdle(server_connection& aConnection)
  {
    aConnection.mServesOneMore = false;
    if (aConnection.mIsIdle) {
      aConnection.mStream.cancel(); // ends the wait for a request
    }
  }

  // File descriptors may be exhausted, so the next accept is delayed.
  asio::awaitable<void> PauseAfter(error_code aFailure)
  {
    if (aFailure == asio::error::operation_aborted) {
      co_return;
    }
    mKernel.Counters().Add("accept_failed_total");
    co_await SleepFor(std::chrono::milliseconds(100));
  }

  asio::awaitable<void> Serve(std::shared_ptr<server_connection> aConnection)
  {
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      ShrinkBuffer(buffer);
      std::optional<request_parser> parser(std::in_place);
      open = co_await AwaitRequest(aConnection, buffer) &&
             co_await ReadHeadWithin(Limits(), *aConnection, buffer, *parser);
      if (open) {
        ShrinkBuffer(buffer);
        ++mInFlight;
        http_exchange exchange{ aConnection->mStream,
                                buffer,
                                *parser,
                                std::chrono::steady_clock::now(),
                                parser->get().keep_alive() && !mLeaving };
        co_await mHandler.Handle(exchange);
        --mInFlight;
        aConnection->mIsIdle = true;
        open = exchange.mKeepAlive && aConnection->mServesOneMore;
        bool unread = !exchange.mKeepAlive && !parser->is_done();
        parser.reset(); // its header is no longer counted
        if (unread) {
          co_await DiscardRest(aConnection->mStream);
        }
      }
    }
    error_code ignored;
    aConnection->mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    mConnections.With(
      [&](open_connections& aOpen) { aOpen.mAll.erase(aConnection); });
  }

  // Waits for the first bytes of a request. Returns false if none arrive.
  asio::awaitable<bool> AwaitRequest(
    std::shared_ptr<server_connection> aConnection,
    beast::flat_buffer& aBuffer)
  {
    instant now = std::chrono::steady_clock::now();
    aConnection->mWaitsSince = now;
    CancelWaitAt(aConnection, now, now + Limits().mIdleTimeout);
    bool arrived = co_await ReadFirstBytes(aConnection->mStream, aBuffer);
    aConnection->mWaitsSince.reset();
    aConnection->mIdleTimer.cancel();
    aConnection->mIsIdle = false;
    co_return arrived;
  }

  // Cancels the wait that has begun at aSince if it lasts until aEnd, unless
  // the idle timeout has become longer by then.
  void CancelWaitAt(const std::shared_ptr<server_connection>& aConnection,
                    instant aSince,
                    instant aEnd)
  {
    aConnection->mIdleTimer.expires_at(aEnd);
    aConnection->mIdleTimer.async_wait(
      [this, aConnection, aSince, aEnd](error_code aFailure) {
        if (aFailure || aConnection->mWaitsSince != aSince) {
          return;
        }
        instant end = aSince + Limits().mIdleTimeout;
        if (end > aEnd) {
          CancelWaitAt(aConnection, aSince, end);
        } else {
          aConnection->mStream.cancel();
        }
      });
  }

  asio::awaitable<bool> ReadHeadWithin(server_limits aLimits,
                                       server_connection& aConnection,
                                       beast::flat_buffer& aBuffer,
                                       request_parser& aParser)
  {
    std::size_t most = aLimits.mHeaderBytes + kUnparsedRequest;
    // The bytes of a pipelined request may be there already.
    aBuffer.max_size(std::max(most, aBuffer.size()));
    aParser.header_limit(aLimits.mHeaderBytes);
    aParser.body_limit(boost::none);
    return ReadHead(mKernel, aConnection.mStream, aBuffer, aParser, aLimits);
  }

  server_limits Limits()
  {
    if constexpr (requires { mHandler.Limits(); }) {
      return mHandler.Limits();
    } else {
      return {};
    }
  }

  kernel& mKernel;
  Handler& mHandler;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mLeaving{ false };
  std::atomic<std::size_t> mInFlight{ 0 };
  guarded<open_connections, open_connections::kLockRank> mConnections;
};

} // namespace laburnumdyke
