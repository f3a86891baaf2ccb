// A mock HTTP client for tests of the platform client and of the command-line
// tool.
#pragma once

#include "laburnumdyke/plugin/http_client.h"

#include <deque>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <CppUTestExt/MockSupport.h>

namespace laburnumdyke {

// Satisfies http_exchanger. Returns the answers in the order given, then
// nullopt. Each exchange is recorded as a call of mock(), with its target.
struct mock_http
{
  std::deque<std::optional<client_answer>> mAnswers;
  std::vector<client_request> mRequests;

  asio::awaitable<std::optional<client_answer>> Exchange(
    client_request aRequest)
  {
    mock()
      .actualCall("Exchange")
      .withParameter("target", aRequest.mTarget.c_str());
    mRequests.push_back(std::move(aRequest));
    if (mAnswers.empty()) {
      co_return std::nullopt;
    }
    std::optional<client_answer> answer = std::move(mAnswers.front());
    mAnswers.pop_front();
    co_return answer;
  }
};

} // namespace laburnumdyke
