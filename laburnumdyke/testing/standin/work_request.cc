// Unknown query parameters are ignored: callers of the system may add their
// own. Known ones must be whole numbers within their limits.
#include "laburnumdyke/testing/standin/work_request.h"

#include "laburnumdyke/testing/standin/http_exchange.h"

#include <boost/beast/core/string.hpp>

#include <limits>

namespace laburnumdyke {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kIdField = "Laburnumdyke-Request-Id";
constexpr std::string_view kDeadlineField = "Laburnumdyke-Deadline-Ms";
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

std::string_view
Field(const http::request_header<http::fields>& aHeader, std::string_view aName)
{
  boost::beast::string_view value =
    aHeader[boost::beast::string_view(aName.data(), aName.size())];
  return { value.data(), value.size() };
}

// What is wrong with the query, or an empty text.
std::string
ReadQuery(const request_target& aTarget, work_request& aRequest)
{
  for (const query_parameter& parameter : aTarget.mQuery) {
    std::uint64_t maximum = kMaxNumber;
    if (parameter.mName == "ms") {
      maximum = static_cast<std::uint64_t>(kMaxServiceTime.count());
    } else if (parameter.mName == "bytes") {
      maximum = kMaxAnswerBytes;
    } else if (parameter.mName != "seed") {
      continue;
    }
    std::optional<std::uint64_t> number = ParseWhole(parameter.mValue, maximum);
    if (!number) {
      return parameter.mName + ": expected a whole number up to " +
             std::to_string(maximum);
    }
    if (parameter.mName == "ms") {
      aRequest.mServiceTime = std::chrono::milliseconds(*number);
    } else if (parameter.mName == "bytes") {
      aRequest.mAnswerBytes = *number;
    } else {
      aRequest.mSeed = *number;
    }
  }
  return {};
}

} // namespace

work_request_result
ParseWorkRequest(const http::request_header<http::fields>& aHeader)
{
  boost::beast::string_view target = aHeader.target();
  work_request request;
  std::string fault =
    ReadQuery(SplitTarget({ target.data(), target.size() }), request);
  if (!fault.empty()) {
    return { std::nullopt, fault };
  }
  request.mId = Field(aHeader, kIdField);
  if (request.mId.size() > kMaxIdBytes) {
    return { std::nullopt,
             std::string(kIdField) + ": expected at most " +
               std::to_string(kMaxIdBytes) + " bytes" };
  }
  std::string_view deadline = Field(aHeader, kDeadlineField);
  if (!deadline.empty()) {
    std::uint64_t maximum = static_cast<std::uint64_t>(kMaxServiceTime.count());
    std::optional<std::uint64_t> remaining = ParseWhole(deadline, maximum);
    if (!remaining) {
      return { std::nullopt,
               std::string(kDeadlineField) +
                 ": expected a whole number up to " + std::to_string(maximum) };
    }
    request.mRemaining = std::chrono::milliseconds(*remaining);
  }
  request.mHeadOnly = aHeader.method() == http::verb::head;
  request.mExpectsContinue = boost::beast::iequals(
    aHeader[http::field::expect], boost::beast::string_view("100-continue"));
  return { request, {} };
}

} // namespace laburnumdyke
