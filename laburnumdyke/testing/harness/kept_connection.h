// A caller's connection that is kept for several requests, whose answers are
// read to their end. Blocking.
//
// Usage:
//   kept_connection connection(address);
//   kept_answer answer = connection.Send({ "POST", "/book/1", "id", 4000ms });
#pragma once

#include "laburnumdyke/plugin/http_types.h"

#include <chrono>
#include <string>

namespace laburnumdyke {

struct kept_request
{
  std::string mMethod;
  std::string mTarget;
  std::string mId;
  std::chrono::milliseconds mTimeout{ 0 }; // as told to the instance
  std::chrono::milliseconds mWork{ 0 };    // for the upstream
  std::string mBody{};
  bool mChunked = false; // the body is sent in two chunks
  std::string mNote{};   // a header field of this value, if not empty
};

struct kept_answer
{
  unsigned mStatus = 0;    // 0: no whole answer arrived
  bool mKeepAlive = false; // the connection may be used again
};

class kept_connection
{
public:
  explicit kept_connection(const endpoint& aTo);

  kept_answer Send(const kept_request& aRequest);

  // Whether the far side has closed the connection.
  bool IsClosed();

private:
  asio::io_context mContext;
  tcp::socket mSocket;
};

} // namespace laburnumdyke
