// Performs one small HTTP exchange with the platform or another instance.
//
// Each exchange opens a connection of its own: there are only a few a second,
// and an answer on a new connection can't belong to another request.
#pragma once

#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

struct client_request
{
  endpoint mTo;
  http::verb mMethod = http::verb::get;
  std::string mTarget;
  std::string mIfMatch; // the If-Match header; empty: not sent
  // Name of a header of the answer that the caller needs; empty: none.
  std::string mWantedHeader;
  std::vector<std::pair<std::string, std::string>> mHeaders; // further ones
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 2000 };
  std::size_t mLimit = 256UL * 1024 * 1024; // bytes of the answer's body
};

struct client_answer
{
  unsigned mStatus = 0;
  std::string mBody;
  std::string mHeader = {}; // value of the wanted header; empty: absent
};

// Returns nullopt if no complete answer with a valid final status arrived
// within mTimeout; the request may have taken effect nevertheless.
asio::awaitable<std::optional<client_answer>>
Exchange(client_request aRequest);

} // namespace laburnumdyke
