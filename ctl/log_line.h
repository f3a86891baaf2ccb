// Parser for one line of an instance's log.
//
// Usage:
//   std::optional<log_line> line = ParseLogLine(text);
//   if (line && line->Value("request") == id) ...
//
// A prefix added by a log collector before "time=" is ignored. Truncated lines
// and lines that were not written by an instance give nothing.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumdyke {

// Wall clock time in UTC.
using log_time =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

struct log_line
{
  log_time mTime;
  std::string mEvent;
  std::string mInstance;
  std::vector<std::pair<std::string, std::string>> mPairs; // after "instance"

  // Returns the value of the first pair with the key; empty if there is none.
  std::string_view Value(std::string_view aKey) const;

  // The event and the pairs, with values quoted as in the log.
  std::string Text() const;
};

std::optional<log_line>
ParseLogLine(std::string_view aText);

// Time format: 2026-03-27T17:53:12.611. Nothing if aText is malformed.
std::optional<log_time>
ParseLogTime(std::string_view aText);

std::string
FormatLogTime(log_time aTime);

} // namespace laburnumdyke
