// One line of an instance's log, read back.
//
// Usage:
//   std::optional<log_line> line = ParseLogLine(text);
//   if (line && line->Value("request") == id) ...
//
// What a log collector has put before "time=" is passed over. A line that is
// cut, or that no instance wrote, gives nothing.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumdyke {

// The civil time that an instance writes, in UTC.
using log_time =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

struct log_line
{
  log_time mTime;
  std::string mEvent;
  std::string mInstance;
  std::vector<std::pair<std::string, std::string>> mPairs; // after the instance

  // Empty where the key is not there.
  std::string_view Value(std::string_view aKey) const;

  // The line as an instance writes it, from the event on.
  std::string Text() const;
};

std::optional<log_line>
ParseLogLine(std::string_view aText);

// As it stands in a line: 2026-03-27T17:53:12.611.
std::optional<log_time>
ParseLogTime(std::string_view aText);

std::string
LogTimeText(log_time aTime);

} // namespace laburnumdyke
