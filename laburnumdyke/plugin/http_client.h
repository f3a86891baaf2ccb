// One small HTTP exchange with the platform or another instance.
//
// A connection per exchange: these are a few a second, and a new connection
// leaves no doubt about whose answer arrives.
#pragma once

#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <string>

namespace laburnumdyke {

struct client_request
{
  endpoint mTo;
  http::verb mMethod = http::verb::get;
  std::string mTarget;
  std::string mIfMatch; // empty: none
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 2000 };
  std::size_t mLimit = 256UL * 1024 * 1024; // bytes of the answer's body
};

struct client_answer
{
  unsigned mStatus = 0;
  std::string mBody;
};

// Nothing where no whole answer came in time: the request may still have
// taken effect.
asio::awaitable<std::optional<client_answer>>
Exchange(client_request aRequest);

} // namespace laburnumdyke
