// A closed connection is reported by poll(), or by recv() returning 0. Bytes of
// a further request are only peeked at.
#include "laburnumdyke/plugin/http_parts.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <vector>

namespace laburnumdyke {

namespace {

constexpr std::array<http::field, 8> kHopByHop = {
  http::field::connection,
  http::field::keep_alive,
  http::field::proxy_authenticate,
  http::field::proxy_authorization,
  http::field::proxy_connection,
  http::field::te,
  http::field::trailer,
  http::field::upgrade,
};

// Interval of the checks on a caller that has already sent a further request.
constexpr std::chrono::milliseconds kDisconnectPollInterval{ 250 };

// Unacknowledged data makes a peer count as unreachable after this time.
constexpr std::chrono::milliseconds kUnackedTimeout{ 1500 };

} // namespace

void
RemoveHopByHopHeaders(http::fields& aHead)
{
  std::vector<std::string> named;
  for (beast::string_view token :
       http::token_list(aHead[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    // These delimit the body for the next hop, where they are set again.
    bool frames = beast::iequals(name, "content-length") ||
                  beast::iequals(name, "transfer-encoding");
    if (!frames) {
      aHead.erase(name);
    }
  }
  for (http::field name : kHopByHop) {
    aHead.erase(name);
  }
}

bool
HasNoBody(http::verb aMethod, const http::response_header<>& aHead)
{
  return aMethod == http::verb::head ||
         aHead.result() == http::status::no_content ||
         aHead.result() == http::status::not_modified;
}

status_kind
KindOfStatus(unsigned aStatus)
{
  if (aStatus < 100 || aStatus > 599 || aStatus == 101) {
    return status_kind::Invalid;
  }
  return aStatus < 200 ? status_kind::Interim : status_kind::Final;
}

void
EnableDeadPeerDetection(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  int handle = aSocket.native_handle();
  unsigned unacked = static_cast<unsigned>(kUnackedTimeout.count());
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof unacked);
  int on = 1;
  int second = 1;
  int probes = 2;
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

bool
IsCallerGone(http_exchange& aExchange)
{
  int handle = aExchange.mStream.socket().native_handle();
  pollfd state{ handle, POLLIN | POLLRDHUP, 0 };
  if (::poll(&state, 1, 0) <= 0) {
    return false;
  }
  if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    return true;
  }
  char byte = 0;
  ssize_t got = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool failed = got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
  return got == 0 || failed;
}

asio::awaitable<void>
WaitCallerGone(http_exchange& aExchange)
{
  tcp::socket& socket = aExchange.mStream.socket();
  error_code failure;
  co_await socket.async_wait(
    tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, failure));
  // With bytes of a further request unread, the socket stays readable and a
  // close causes no wake-up, so it is polled for.
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (!failure && !IsCallerGone(aExchange)) {
    pause.expires_after(kDisconnectPollInterval);
    co_await pause.async_wait(
      asio::redirect_error(asio::use_awaitable, failure));
  }
}

string_answer
JsonAnswer(http::status aStatus, const boost::json::object& aBody)
{
  string_answer answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(http::field::cache_control, "no-store");
  answer.body() = boost::json::serialize(aBody) + "\n";
  return answer;
}

} // namespace laburnumdyke
