// The query of an explanation of a route: a request that would be sent.
//
// Usage:
//   explain_query_result read = ReadExplainQuery(target);
//   if (!read.mQuery) ... answer 400 with read.mFault
//
// Errors: mFault describes what is wrong. It repeats no parameter, since a key
// may have been put there.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// A request that is to be explained.
struct explain_query
{
  std::string mHost;
  std::string mPath;
  std::string mObject;
  std::string mCustomer; // empty: by key
  std::string mKey;
  std::optional<std::chrono::milliseconds> mCallerTimeout;
};

struct explain_query_result
{
  std::optional<explain_query> mQuery;
  std::string mFault; // set if mQuery is empty
};

// Reads the target of a request for an explanation.
explain_query_result
ReadExplainQuery(std::string_view aTarget);

} // namespace laburnumdyke
