// What the stand-ins' HTTP/1.1 front ends share: targets, whole numbers,
// short answers and the status for a request that can't be read.
#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Bytes of a request's line and header together.
inline constexpr std::uint32_t kStandinHeaderLimit = 8192;

using short_answer =
  boost::beast::http::response<boost::beast::http::string_body>;

struct query_parameter
{
  std::string mName;
  std::string mValue;
};

struct request_target
{
  std::string mPath;
  std::vector<query_parameter> mQuery;
};

request_target
SplitTarget(std::string_view aTarget);

// The path's segments, without the leading slash: "/a/b" is "a", "b".
std::vector<std::string>
SplitPath(std::string_view aPath);

// Decimal digits alone, up to aMaximum.
std::optional<std::uint64_t>
ParseWhole(std::string_view aText, std::uint64_t aMaximum);

// The status for a request whose header or body could not be read; nothing
// where the connection ended and nobody is there to be answered.
std::optional<boost::beast::http::status>
StatusForReadFailure(boost::beast::error_code aFailure);

short_answer
MakeAnswer(boost::beast::http::status aStatus,
           std::string aJson,
           bool aKeepAlive);

// {"error":"..."}
std::string
ErrorJson(std::string_view aReason);

} // namespace laburnumdyke
