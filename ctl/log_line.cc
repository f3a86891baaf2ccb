// A line is a sequence of key=value pairs separated by one space. Values are
// quoted as by QuoteLogValue(); a line with any other syntax is rejected as
// truncated.
#include "ctl/log_line.h"

#include "laburnumdyke/kernel/event_log.h"
#include "laburnumdyke/kernel/number.h"

#include <cstdio>

namespace laburnumdyke {

namespace {

constexpr std::string_view kTimeKey = "time=";
constexpr std::size_t kTimeLength = 23; // 2026-03-27T17:53:12.611

// Returns the byte of an escape \xNN, given the text after "\x". Nothing if
// aText does not begin with two hexadecimal digits.
std::optional<char>
HexByte(std::string_view aText)
{
  std::optional<unsigned> value = ReadNumber<unsigned>(aText.substr(0, 2), 16);
  bool isValid = aText.size() >= 2 && value;
  return isValid ? std::optional<char>(static_cast<char>(*value))
                 : std::nullopt;
}

// Removes a quoted value and its closing quote from the front of aText, which
// begins after the opening quote. Nothing if the value is malformed.
std::optional<std::string>
ConsumeQuoted(std::string_view& aText)
{
  std::string value;
  while (!aText.empty()) {
    char c = aText.front();
    aText.remove_prefix(1);
    if (c == '"') {
      return value;
    }
    if (c != '\\') {
      value += c;
      continue;
    }
    if (aText.empty()) {
      break;
    }
    char escaped = aText.front();
    aText.remove_prefix(1);
    if (escaped == 'x') {
      std::optional<char> byte = HexByte(aText);
      if (!byte) {
        return std::nullopt;
      }
      aText.remove_prefix(2);
      escaped = *byte;
    }
    value += escaped;
  }
  return std::nullopt;
}

std::optional<std::string>
ConsumeValue(std::string_view& aText)
{
  if (!aText.empty() && aText.front() == '"') {
    aText.remove_prefix(1);
    return ConsumeQuoted(aText);
  }
  std::string_view value = aText.substr(0, aText.find(' '));
  aText.remove_prefix(value.size());
  return std::string(value);
}

// Removes a pair and the space after it from the front of aText. Nothing if the
// pair is malformed.
std::optional<std::pair<std::string, std::string>>
ConsumePair(std::string_view& aText)
{
  std::size_t equals = aText.find('=');
  std::string_view key = aText.substr(0, equals);
  if (equals == std::string_view::npos || key.empty() ||
      key.find(' ') != std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(equals + 1);
  std::optional<std::string> value = ConsumeValue(aText);
  if (!value || (!aText.empty() && aText.front() != ' ')) {
    return std::nullopt;
  }
  aText.remove_prefix(aText.empty() ? 0 : 1);
  return std::make_pair(std::string(key), std::move(*value));
}

} // namespace

std::string_view
log_line::Value(std::string_view aKey) const
{
  for (const std::pair<std::string, std::string>& pair : mPairs) {
    if (pair.first == aKey) {
      return pair.second;
    }
  }
  return {};
}

std::string
log_line::Text() const
{
  std::string text = mEvent;
  for (const std::pair<std::string, std::string>& pair : mPairs) {
    text += ' ' + pair.first + '=' + QuoteLogValue(pair.second);
  }
  return text;
}

std::optional<log_time>
ParseLogTime(std::string_view aText)
{
  if (aText.size() != kTimeLength) {
    return std::nullopt;
  }
  std::optional<unsigned> year = ReadNumber<unsigned>(aText.substr(0, 4));
  std::optional<unsigned> month = ReadNumber<unsigned>(aText.substr(5, 2));
  std::optional<unsigned> day = ReadNumber<unsigned>(aText.substr(8, 2));
  std::optional<unsigned> hour = ReadNumber<unsigned>(aText.substr(11, 2));
  std::optional<unsigned> minute = ReadNumber<unsigned>(aText.substr(14, 2));
  std::optional<unsigned> second = ReadNumber<unsigned>(aText.substr(17, 2));
  std::optional<unsigned> milli = ReadNumber<unsigned>(aText.substr(20, 3));
  if (!year || !month || !day || !hour || !minute || !second || !milli) {
    return std::nullopt;
  }
  std::chrono::year_month_day date{ std::chrono::year(static_cast<int>(*year)),
                                    std::chrono::month(*month),
                                    std::chrono::day(*day) };
  if (!date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(*hour) +
         std::chrono::minutes(*minute) + std::chrono::seconds(*second) +
         std::chrono::milliseconds(*milli);
}

std::string
FormatLogTime(log_time aTime)
{
  std::chrono::sys_days midnight = std::chrono::floor<std::chrono::days>(aTime);
  std::chrono::year_month_day date(midnight);
  std::chrono::hh_mm_ss<std::chrono::milliseconds> time(aTime - midnight);
  char text[64];
  std::snprintf(text,
                sizeof text,
                "%04d-%02u-%02uT%02d:%02d:%02d.%03d",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()),
                static_cast<int>(time.seconds().count()),
                static_cast<int>(time.subseconds().count()));
  return text;
}

std::optional<log_line>
ParseLogLine(std::string_view aText)
{
  std::size_t begin = aText.find(kTimeKey);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(begin);
  std::vector<std::pair<std::string, std::string>> pairs;
  while (!aText.empty()) {
    std::optional<std::pair<std::string, std::string>> pair =
      ConsumePair(aText);
    if (!pair) {
      return std::nullopt;
    }
    pairs.push_back(std::move(*pair));
  }
  constexpr std::size_t kHeaderPairs = 4; // time, level, event, instance
  if (pairs.size() < kHeaderPairs || pairs[2].first != "event" ||
      pairs[3].first != "instance") {
    return std::nullopt;
  }
  std::optional<log_time> time = ParseLogTime(pairs[0].second);
  if (!time) {
    return std::nullopt;
  }
  log_line line;
  line.mTime = *time;
  line.mEvent = pairs[2].second;
  line.mInstance = pairs[3].second;
  line.mPairs.assign(pairs.begin() + kHeaderPairs, pairs.end());
  return line;
}

} // namespace laburnumdyke
