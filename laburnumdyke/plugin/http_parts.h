// What every forwarding of HTTP needs, whatever the front.
#pragma once

#include "laburnumdyke/plugin/http_server.h"

namespace laburnumdyke {

// Removes the headers that concern one connection alone, and those that the
// Connection header names.
void
EraseHopByHop(http::fields& aHead);

// Whether an answer to a request of aMethod has no body, whatever its headers.
bool
HasNoBody(http::verb aMethod, const http::response_header<>& aHead);

// Has the system find out that a peer is gone: it resets a connection whose
// peer acknowledges neither data nor probes.
void
DetectLoss(tcp::socket& aSocket);

// Whether the caller has closed its connection, as far as the system knows by
// now; also behind bytes of a next request.
bool
IsCallerGone(http_exchange& aExchange);

// Ends when the caller has closed its connection; otherwise waits until it is
// cancelled.
asio::awaitable<void>
WaitCallerGone(http_exchange& aExchange);

} // namespace laburnumdyke
