// Helpers for answering and forwarding HTTP messages, shared by all front ends.
#pragma once

#include "laburnumdyke/plugin/http_server.h"

#include <boost/json/fwd.hpp>

namespace laburnumdyke {

// Removes the hop-by-hop headers, including those that the Connection header
// names.
void
RemoveHopByHopHeaders(http::fields& aHead);

// Whether the answer to a request of method aMethod has no body, regardless of
// its Content-Length or Transfer-Encoding.
bool
HasNoBody(http::verb aMethod, const http::response_header<>& aHead);

enum class status_kind
{
  Interim, // another response follows
  Final,
  Invalid, // not a status that a server may answer with
};

// 101 is invalid: no request forwarded from here asks for another protocol.
status_kind
KindOfStatus(unsigned aStatus);

// Limit on the interim responses to one request.
inline constexpr int kMaxInterimAnswers = 16;

// Enables TCP keepalive and a user timeout, so that the kernel resets a
// connection whose peer acknowledges neither data nor probes. Also disables
// Nagle's algorithm.
void
EnableDeadPeerDetection(tcp::socket& aSocket);

// Whether the kernel already knows that the caller has closed its connection,
// even if bytes of a further request are still unread. Does not block.
bool
IsCallerGone(http_exchange& aExchange);

// Completes when the caller has closed its connection, or when cancelled.
asio::awaitable<void>
WaitCallerGone(http_exchange& aExchange);

// An answer with a JSON body that must not be cached.
string_answer
JsonAnswer(http::status aStatus, const boost::json::object& aBody);

} // namespace laburnumdyke
