// Each value is formatted in one way only. Parsers reject any text that they
// don't consume completely.
#include "laburnumdyke/decision/document_values.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace laburnumdyke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration = std::chrono::minutes(60);

} // namespace

bool
ParseNumber(std::uint32_t& aTarget,
            std::string_view aText,
            std::uint32_t aMin,
            std::uint32_t aMax)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget >= aMin &&
         aTarget <= aMax;
}

bool
ParseDuration(milliseconds& aTarget, std::string_view aText, milliseconds aMin)
{
  std::size_t unitStart = aText.find_first_not_of("0123456789");
  std::uint32_t count = 0;
  if (unitStart == std::string_view::npos ||
      !ParseNumber(
        count, aText.substr(0, unitStart), 0, kMaxDuration.count())) {
    return false;
  }
  std::string_view suffix = aText.substr(unitStart);
  if (suffix == "ms") {
    aTarget = milliseconds(count);
  } else if (suffix == "s") {
    aTarget = std::chrono::seconds(count);
  } else if (suffix == "m") {
    aTarget = std::chrono::minutes(count);
  } else {
    return false;
  }
  return aTarget >= aMin && aTarget <= kMaxDuration;
}

std::string
FormatDuration(milliseconds aTime)
{
  if (aTime.count() % 60000 == 0 && aTime.count() > 0) {
    return std::to_string(aTime.count() / 60000) + "m";
  }
  if (aTime.count() % 1000 == 0) {
    return std::to_string(aTime.count() / 1000) + "s";
  }
  return std::to_string(aTime.count()) + "ms";
}

// Matches the text against a pattern ('d' is any digit) while it collects the
// numbers between the separators.
bool
ParseUtcTime(wall_time& aTarget, std::string_view aText)
{
  constexpr std::string_view kPattern = "dddd-dd-ddTdd:dd:ddZ";
  if (aText.size() != kPattern.size()) {
    return false;
  }
  std::array<int, 6> parts{}; // year, month, day, hour, minute, second
  std::size_t part = 0;
  for (std::size_t i = 0; i < kPattern.size(); ++i) {
    bool isDigit = aText[i] >= '0' && aText[i] <= '9';
    if (kPattern[i] == 'd' ? !isDigit : aText[i] != kPattern[i]) {
      return false;
    }
    if (isDigit) {
      parts.at(part) = parts.at(part) * 10 + (aText[i] - '0');
    } else {
      ++part;
    }
  }
  std::chrono::year_month_day day(
    std::chrono::year(parts[0]),
    std::chrono::month(static_cast<unsigned>(parts[1])),
    std::chrono::day(static_cast<unsigned>(parts[2])));
  if (!day.ok() || parts[0] < 1970 || parts[0] > 2200 || parts[3] > 23 ||
      parts[4] > 59 || parts[5] > 59) {
    return false;
  }
  aTarget = std::chrono::sys_days(day) + std::chrono::hours(parts[3]) +
            std::chrono::minutes(parts[4]) + std::chrono::seconds(parts[5]);
  return true;
}

std::string
FormatUtcTime(wall_time aTime)
{
  std::chrono::sys_days days = std::chrono::floor<std::chrono::days>(aTime);
  std::chrono::year_month_day day(days);
  std::chrono::hh_mm_ss<std::chrono::seconds> time(
    std::chrono::floor<std::chrono::seconds>(aTime - days));
  char buffer[64];
  std::snprintf(buffer,
                sizeof buffer,
                "%04d-%02u-%02uT%02d:%02d:%02dZ",
                static_cast<int>(day.year()),
                static_cast<unsigned>(day.month()),
                static_cast<unsigned>(day.day()),
                static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()),
                static_cast<int>(time.seconds().count()));
  return buffer;
}

bool
ParseServiceRank(work_rank& aTarget, std::string_view aText)
{
  std::optional<work_rank> parsed = ParseRank(aText);
  aTarget = parsed.value_or(aTarget);
  return parsed.has_value();
}

bool
ParseYesNo(bool& aTarget, std::string_view aText)
{
  aTarget = aText == "yes";
  return aTarget || aText == "no";
}

bool
ParseUpstreamState(upstream_state& aTarget, std::string_view aText)
{
  aTarget =
    aText == "leaving" ? upstream_state::Leaving : upstream_state::Serving;
  return aText == "leaving" || aText == "serving";
}

bool
ParseUpstreamAddress(endpoint& aTarget, std::string_view aText)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
ParseRegionPair(link_spec& aLink, std::string_view aText)
{
  std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return false;
  }
  std::string_view first = aText.substr(0, comma);
  std::string_view second = aText.substr(comma + 1);
  first = first.substr(0, first.find_last_not_of(' ') + 1);
  second.remove_prefix(std::min(second.find_first_not_of(' '), second.size()));
  if (!ParseName(aLink.mFirst, first) || !ParseName(aLink.mSecond, second)) {
    return false;
  }
  if (aLink.mSecond < aLink.mFirst) {
    std::swap(aLink.mFirst, aLink.mSecond);
  }
  return aLink.mFirst != aLink.mSecond;
}

} // namespace laburnumdyke
