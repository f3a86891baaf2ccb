// Targets are split by hand: the stand-ins take no percent-encoded names.
#include "laburnumdyke/testing/standin/http_exchange.h"

#include <boost/beast/http/error.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace laburnumdyke {

namespace http = boost::beast::http;

namespace {

std::vector<std::string>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    std::size_t end = aText.find(aSeparator, begin);
    if (end == std::string_view::npos) {
      end = aText.size();
    }
    parts.emplace_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

} // namespace

request_target
SplitTarget(std::string_view aTarget)
{
  request_target result;
  std::size_t question = aTarget.find('?');
  result.mPath = std::string(aTarget.substr(0, question));
  if (question == std::string_view::npos) {
    return result;
  }
  for (const std::string& part : Split(aTarget.substr(question + 1), '&')) {
    std::size_t equals = part.find('=');
    std::string value =
      equals == std::string::npos ? std::string() : part.substr(equals + 1);
    result.mQuery.push_back({ part.substr(0, equals), value });
  }
  return result;
}

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  if (!aPath.empty() && aPath.front() == '/') {
    aPath.remove_prefix(1);
  }
  return Split(aPath, '/');
}

std::optional<std::uint64_t>
ParseWhole(std::string_view aText, std::uint64_t aMaximum)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value > aMaximum) {
    return std::nullopt;
  }
  return value;
}

std::optional<http::status>
StatusForReadFailure(boost::beast::error_code aFailure)
{
  if (aFailure == http::error::header_limit ||
      aFailure == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (aFailure == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  bool ended = aFailure == http::error::end_of_stream ||
               aFailure == http::error::partial_message;
  if (ended || aFailure.category() !=
                 http::make_error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  return http::status::bad_request;
}

short_answer
MakeAnswer(http::status aStatus, std::string aJson, bool aKeepAlive)
{
  short_answer answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.keep_alive(aKeepAlive);
  answer.body() = std::move(aJson);
  answer.prepare_payload();
  return answer;
}

std::string
ErrorJson(std::string_view aReason)
{
  boost::json::object object;
  object["error"] = boost::json::string_view(aReason.data(), aReason.size());
  return boost::json::serialize(object);
}

} // namespace laburnumdyke
