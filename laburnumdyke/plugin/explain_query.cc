// Parameters are decoded like a form; each may be given once.
#include "laburnumdyke/plugin/explain_query.h"

#include "laburnumdyke/plugin/console_form.h"

#include <charconv>
#include <cstdint>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxParameterBytes = 4096;
constexpr std::int64_t kMaxCallerTimeout = 24LL * 3600 * 1000; // milliseconds

bool
ReadTimeout(explain_query& aQuery, const std::string& aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, value);
  aQuery.mCallerTimeout = std::chrono::milliseconds(value);
  return parsed.ec == std::errc() && parsed.ptr == end && value > 0 &&
         value <= kMaxCallerTimeout;
}

// Stores a parameter. Returns whether it is known and valid.
bool
SetParameter(explain_query& aQuery,
             const std::string& aName,
             const std::string& aValue)
{
  if (aValue.empty() || aValue.size() > kMaxParameterBytes) {
    return false;
  }
  if (aName == "host") {
    aQuery.mHost = aValue;
  } else if (aName == "path") {
    aQuery.mPath = aValue;
    return aValue.front() == '/';
  } else if (aName == "object") {
    aQuery.mObject = aValue;
  } else if (aName == "customer") {
    aQuery.mCustomer = aValue;
  } else if (aName == "deadline_ms") {
    return ReadTimeout(aQuery, aValue);
  } else {
    return false;
  }
  return true;
}

} // namespace

explain_query_result
ReadExplainQuery(std::string_view aTarget)
{
  std::size_t separator = aTarget.find('?');
  std::optional<form_fields> fields = DecodeForm(
    separator == std::string_view::npos ? std::string_view()
                                        : aTarget.substr(separator + 1));
  if (!fields) {
    return { std::nullopt, "malformed encoding of a parameter" };
  }
  explain_query query;
  std::set<std::string> seen;
  for (const std::pair<std::string, std::string>& field : *fields) {
    if (!seen.insert(field.first).second ||
        !SetParameter(query, field.first, field.second)) {
      // Doesn't repeat the parameter, which may be a key that was put there.
      return { std::nullopt,
               "expected each of host, path, object, customer and deadline_ms "
               "at most once, with a valid value, and no other parameter" };
    }
  }
  if (query.mHost.empty() || query.mPath.empty()) {
    return { std::nullopt, "expected host= and path=" };
  }
  return { std::move(query), std::string() };
}

} // namespace laburnumdyke
