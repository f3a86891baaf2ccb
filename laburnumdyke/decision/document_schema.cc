// Each field's reader and writer stand side by side, so that the canonical
// text can't drift from what is read.
#include "laburnumdyke/decision/document_schema.h"

#include "laburnumdyke/kernel/settings.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace laburnumdyke {

namespace {

using text = std::string_view;
using std::chrono::milliseconds;

constexpr std::uint32_t kMostInFlight = 10'000'000;
constexpr std::uint32_t kMostSlots = 100'000;
constexpr std::uint32_t kMostConnections = 1'000'000;
constexpr std::uint32_t kMostQueued = 65'536;
constexpr std::uint32_t kMostMegabits = 10'000'000;
constexpr milliseconds kLongestTime = std::chrono::minutes(60);

constexpr text kName = "a name of lower-case letters, digits and hyphens, "
                       "starting with a letter, at most 48 bytes";

bool
TakeNumber(std::uint32_t& aTarget,
           text aText,
           std::uint32_t aLeast,
           std::uint32_t aMost)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget >= aLeast &&
         aTarget <= aMost;
}

template<class Tag>
bool
TakeName(name_of<Tag>& aTarget, text aText)
{
  if (!IsName(aText)) {
    return false;
  }
  aTarget.mValue = aText;
  return true;
}

bool
TakeTime(milliseconds& aTarget, text aText, milliseconds aLeast)
{
  std::size_t unit = aText.find_first_not_of("0123456789");
  std::uint32_t count = 0;
  if (unit == text::npos ||
      !TakeNumber(count, aText.substr(0, unit), 0, kLongestTime.count())) {
    return false;
  }
  text name = aText.substr(unit);
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
TakeCivilTime(civil_time& aTarget, text aText)
{
  constexpr text kForm = "dddd-dd-ddTdd:dd:ddZ";
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
TakeRank(work_rank& aTarget, text aText)
{
  std::optional<work_rank> parsed = ParseRank(aText);
  aTarget = parsed.value_or(aTarget);
  return parsed.has_value();
}

bool
TakeYesOrNo(bool& aTarget, text aText)
{
  aTarget = aText == "yes";
  return aTarget || aText == "no";
}

bool
TakeState(upstream_state& aTarget, text aText)
{
  aTarget =
    aText == "leaving" ? upstream_state::Leaving : upstream_state::Serving;
  return aText == "leaving" || aText == "serving";
}

bool
TakeAddress(endpoint& aTarget, text aText)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
TakePair(link_spec& aLink, text aText)
{
  std::size_t comma = aText.find(',');
  if (comma == text::npos) {
    return false;
  }
  text first = aText.substr(0, comma);
  text second = aText.substr(comma + 1);
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

constexpr std::array<field_rule<region_spec>, 1> kRegionFields = { {
  { "cap",
    true,
    "requests in flight, a whole number from 1 to 10000000",
    [](region_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mCap, aText, 1, kMostInFlight);
    },
    [](const region_spec& aSpec) { return std::to_string(aSpec.mCap); } },
} };

constexpr std::array<field_rule<domain_spec>, 1> kDomainFields = { {
  { "region",
    true,
    kName,
    [](domain_spec& aSpec, text aText) {
      return TakeName(aSpec.mRegion, aText);
    },
    [](const domain_spec& aSpec) { return aSpec.mRegion.mValue; } },
} };

constexpr std::array<field_rule<service_spec>, 5> kServiceFields = { {
  { "rank",
    true,
    "urgent, standard or bulk",
    [](service_spec& aSpec, text aText) {
      return TakeRank(aSpec.mRank, aText);
    },
    [](const service_spec& aSpec) {
      return std::string(ToString(aSpec.mRank));
    } },
  { "idempotent",
    false,
    "yes or no",
    [](service_spec& aSpec, text aText) {
      return TakeYesOrNo(aSpec.mIdempotent, aText);
    },
    [](const service_spec& aSpec) {
      return std::string(aSpec.mIdempotent ? "yes" : "no");
    } },
  { "answer_life",
    false,
    "a time from 100ms to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return TakeTime(aSpec.mAnswerLife, aText, milliseconds(100));
    },
    [](const service_spec& aSpec) { return ShowTime(aSpec.mAnswerLife); } },
  { "deadline",
    false,
    "a time from 1ms to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return TakeTime(aSpec.mDeadline, aText, milliseconds(1));
    },
    [](const service_spec& aSpec) { return ShowTime(aSpec.mDeadline); } },
  { "warm_up",
    false,
    "a time from 0s to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return TakeTime(aSpec.mWarmUp, aText, milliseconds(0));
    },
    [](const service_spec& aSpec) { return ShowTime(aSpec.mWarmUp); } },
} };

constexpr std::array<field_rule<upstream_spec>, 6> kUpstreamFields = { {
  { "service",
    true,
    kName,
    [](upstream_spec& aSpec, text aText) {
      return TakeName(aSpec.mService, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mService.mValue; } },
  { "failure_domain",
    true,
    kName,
    [](upstream_spec& aSpec, text aText) {
      return TakeName(aSpec.mDomain, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mDomain.mValue; } },
  { "address",
    true,
    "an IP address and port such as 127.0.0.1:9001",
    [](upstream_spec& aSpec, text aText) {
      return TakeAddress(aSpec.mAddress, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mAddress.Text(); } },
  { "slots",
    true,
    "requests in flight, a whole number from 1 to 100000",
    [](upstream_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mSlots, aText, 1, kMostSlots);
    },
    [](const upstream_spec& aSpec) { return std::to_string(aSpec.mSlots); } },
  { "connections",
    true,
    "connections, a whole number from 1 to 1000000",
    [](upstream_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mConnections, aText, 1, kMostConnections);
    },
    [](const upstream_spec& aSpec) {
      return std::to_string(aSpec.mConnections);
    } },
  { "state",
    false,
    "serving or leaving",
    [](upstream_spec& aSpec, text aText) {
      return TakeState(aSpec.mState, aText);
    },
    [](const upstream_spec& aSpec) {
      return std::string(aSpec.mState == upstream_state::Serving ? "serving"
                                                                 : "leaving");
    } },
} };

constexpr std::array<field_rule<rank_spec>, 2> kRankFields = { {
  { "floor",
    false,
    "percent, a whole number from 0 to 100",
    [](rank_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mFloorPercent, aText, 0, 100);
    },
    [](const rank_spec& aSpec) {
      return std::to_string(aSpec.mFloorPercent);
    } },
  { "queue",
    false,
    "requests waiting, a whole number from 0 to 65536",
    [](rank_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mQueue, aText, 0, kMostQueued);
    },
    [](const rank_spec& aSpec) { return std::to_string(aSpec.mQueue); } },
} };

constexpr std::array<field_rule<link_spec>, 2> kLinkFields = { {
  { "between",
    true,
    "the names of two different regions, separated by a comma",
    TakePair,
    [](const link_spec& aSpec) {
      return aSpec.mFirst.mValue + ", " + aSpec.mSecond.mValue;
    } },
  { "rate",
    true,
    "Mbit/s each way, a whole number from 1 to 10000000",
    [](link_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mMegabits, aText, 1, kMostMegabits);
    },
    [](const link_spec& aSpec) { return std::to_string(aSpec.mMegabits); } },
} };

constexpr std::array<field_rule<shift_spec>, 6> kShiftFields = { {
  { "service",
    true,
    kName,
    [](shift_spec& aSpec, text aText) {
      return TakeName(aSpec.mService, aText);
    },
    [](const shift_spec& aSpec) { return aSpec.mService.mValue; } },
  { "from",
    true,
    kName,
    [](shift_spec& aSpec, text aText) { return TakeName(aSpec.mFrom, aText); },
    [](const shift_spec& aSpec) { return aSpec.mFrom.mValue; } },
  { "to",
    true,
    kName,
    [](shift_spec& aSpec, text aText) { return TakeName(aSpec.mTo, aText); },
    [](const shift_spec& aSpec) { return aSpec.mTo.mValue; } },
  { "share",
    true,
    "percent, a whole number from 1 to 100",
    [](shift_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mSharePercent, aText, 1, 100);
    },
    [](const shift_spec& aSpec) {
      return std::to_string(aSpec.mSharePercent);
    } },
  { "cap",
    true,
    "percentage points a minute, a whole number from 1 to 100",
    [](shift_spec& aSpec, text aText) {
      return TakeNumber(aSpec.mCapPercentPerMinute, aText, 1, 100);
    },
    [](const shift_spec& aSpec) {
      return std::to_string(aSpec.mCapPercentPerMinute);
    } },
  { "start",
    true,
    "a time in UTC such as 2026-12-04T11:00:00Z",
    [](shift_spec& aSpec, text aText) {
      return TakeCivilTime(aSpec.mStart, aText);
    },
    [](const shift_spec& aSpec) { return ShowCivilTime(aSpec.mStart); } },
} };

} // namespace

template<>
std::span<const field_rule<region_spec>>
Fields()
{
  return kRegionFields;
}

template<>
std::span<const field_rule<domain_spec>>
Fields()
{
  return kDomainFields;
}

template<>
std::span<const field_rule<service_spec>>
Fields()
{
  return kServiceFields;
}

template<>
std::span<const field_rule<upstream_spec>>
Fields()
{
  return kUpstreamFields;
}

template<>
std::span<const field_rule<rank_spec>>
Fields()
{
  return kRankFields;
}

template<>
std::span<const field_rule<link_spec>>
Fields()
{
  return kLinkFields;
}

template<>
std::span<const field_rule<shift_spec>>
Fields()
{
  return kShiftFields;
}

} // namespace laburnumdyke
