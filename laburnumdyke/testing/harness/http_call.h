// One HTTP call of a test, with what it shows of a failure.
#pragma once

#include "laburnumdyke/plugin/http_types.h"

#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

struct call_request
{
  endpoint mTo;
  http::verb mMethod = http::verb::get;
  std::string mTarget;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 10000 };
};

struct call_result
{
  bool mSent = false;     // some of the request may have left
  bool mComplete = false; // the whole answer arrived
  unsigned mStatus = 0;   // 0: no header arrived
  http::fields mFields;
  std::string mBody;

  std::string Field(std::string_view aName) const;
};

asio::awaitable<call_result>
Call(call_request aRequest);

// The same, blocking.
call_result
CallNow(const call_request& aRequest);

// GET and POST of JSON, blocking. Empty where there was no answer.
std::string
GetText(const endpoint& aTo, const std::string& aTarget);
std::string
PostText(const endpoint& aTo, const std::string& aTarget, std::string aBody);

} // namespace laburnumdyke
