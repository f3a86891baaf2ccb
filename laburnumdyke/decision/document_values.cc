// Each value has one form that is written, and few that are read: what is not
// wholly taken is refused.
#include "laburnumdyke/decision/document_values.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace laburnumdyke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestTime = std::chrono::minutes(60);

} // namespace

bool
TakeNumber(std::uint32_t& aTarget,
           std::string_view aText,
           std::uint32_t aLeast,
           std::uint32_t aMost)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget >= aLeast &&
         aTarget <= aMost;
}

bool
TakeTime(milliseconds& aTarget, std::string_view aText, milliseconds aLeast)
{
  std::size_t unit = aText.find_first_not_of("0123456789");
  std::uint32_t count = 0;
  if (unit == std::string_view::npos ||
      !TakeNumber(count, aText.substr(0, unit), 0, kLongestTime.count())) {
    return false;
  }
  std::string_view name = aText.substr(unit);
  if (name == "ms") {
    aTarget = milliseconds(count);
  } else if (name == "s") {
    aTarget = std::chrono::seconds(count);
  } else if (name == "m") {
    aTarget = std::chrono::minutes(count);
  } else {
    return false;
  }
  return aTarget >= aLeast && aTarget <= kLongestTime;
}

std::string
ShowTime(milliseconds aTime)
{
  if (aTime.count() % 60000 == 0 && aTime.count() > 0) {
    return std::to_string(aTime.count() / 60000) + "m";
  }
  if (aTime.count() % 1000 == 0) {
    return std::to_string(aTime.count() / 1000) + "s";
  }
  return std::to_string(aTime.count()) + "ms";
}

// "2026-12-04T11:00:00Z" and nothing else.
bool
TakeCivilTime(civil_time& aTarget, std::string_view aText)
{
  constexpr std::string_view kForm = "dddd-dd-ddTdd:dd:ddZ";
  if (aText.size() != kForm.size()) {
    return false;
  }
  std::array<int, 6> parts{}; // year, month, day, hour, minute, second
  std::size_t part = 0;
  for (std::size_t i = 0; i < kForm.size(); ++i) {
    bool isDigit = aText[i] >= '0' && aText[i] <= '9';
    if (kForm[i] == 'd' ? !isDigit : aText[i] != kForm[i]) {
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
ShowCivilTime(civil_time aTime)
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
TakeRank(work_rank& aTarget, std::string_view aText)
{
  std::optional<work_rank> parsed = ParseRank(aText);
  aTarget = parsed.value_or(aTarget);
  return parsed.has_value();
}

bool
TakeYesOrNo(bool& aTarget, std::string_view aText)
{
  aTarget = aText == "yes";
  return aTarget || aText == "no";
}

bool
TakeState(upstream_state& aTarget, std::string_view aText)
{
  aTarget =
    aText == "leaving" ? upstream_state::Leaving : upstream_state::Serving;
  return aText == "leaving" || aText == "serving";
}

bool
TakeAddress(endpoint& aTarget, std::string_view aText)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
TakePair(link_spec& aLink, std::string_view aText)
{
  std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return false;
  }
  std::string_view first = aText.substr(0, comma);
  std::string_view second = aText.substr(comma + 1);
  first = first.substr(0, first.find_last_not_of(' ') + 1);
  second.remove_prefix(std::min(second.find_first_not_of(' '), second.size()));
  if (!TakeName(aLink.mFirst, first) || !TakeName(aLink.mSecond, second)) {
    return false;
  }
  if (aLink.mSecond < aLink.mFirst) {
    std::swap(aLink.mFirst, aLink.mSecond);
  }
  return aLink.mFirst != aLink.mSecond;
}

} // namespace laburnumdyke
