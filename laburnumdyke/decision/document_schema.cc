// The parser and the formatter of each field are declared together, so that the
// canonical text stays readable by the parser.
#include "laburnumdyke/decision/document_schema.h"

#include "laburnumdyke/decision/document_values.h"

#include <array>

namespace laburnumdyke {

namespace {

using text = std::string_view;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxInFlight = 10'000'000;
constexpr std::uint32_t kMaxSlots = 100'000;
constexpr std::uint32_t kMaxConnections = 1'000'000;
constexpr std::uint32_t kMaxQueued = 65'536;
constexpr std::uint32_t kMaxMegabitsPerSecond = 10'000'000;

constexpr text kNameRule = "a name of lower-case letters, digits and hyphens, "
                           "starting with a letter, at most 48 bytes";

constexpr std::array<field_rule<region_spec>, 1> kRegionFields = { {
  { "cap",
    true,
    "requests in flight, a whole number from 1 to 10000000",
    [](region_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mCap, aText, 1, kMaxInFlight);
    },
    [](const region_spec& aSpec) { return std::to_string(aSpec.mCap); } },
} };

constexpr std::array<field_rule<domain_spec>, 1> kDomainFields = { {
  { "region",
    true,
    kNameRule,
    [](domain_spec& aSpec, text aText) {
      return ParseName(aSpec.mRegion, aText);
    },
    [](const domain_spec& aSpec) { return aSpec.mRegion.mValue; } },
} };

constexpr std::array<field_rule<service_spec>, 5> kServiceFields = { {
  { "rank",
    true,
    "urgent, standard or bulk",
    [](service_spec& aSpec, text aText) {
      return ParseServiceRank(aSpec.mRank, aText);
    },
    [](const service_spec& aSpec) {
      return std::string(ToString(aSpec.mRank));
    } },
  { "idempotent",
    false,
    "yes or no",
    [](service_spec& aSpec, text aText) {
      return ParseYesNo(aSpec.mIdempotent, aText);
    },
    [](const service_spec& aSpec) {
      return std::string(aSpec.mIdempotent ? "yes" : "no");
    } },
  { "answer_life",
    false,
    "a time from 100ms to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return ParseDuration(aSpec.mLookupTtl, aText, milliseconds(100));
    },
    [](const service_spec& aSpec) {
      return FormatDuration(aSpec.mLookupTtl);
    } },
  { "deadline",
    false,
    "a time from 1ms to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return ParseDuration(aSpec.mDeadline, aText, milliseconds(1));
    },
    [](const service_spec& aSpec) { return FormatDuration(aSpec.mDeadline); } },
  { "warm_up",
    false,
    "a time from 0s to 60m, in ms, s or m",
    [](service_spec& aSpec, text aText) {
      return ParseDuration(aSpec.mWarmUp, aText, milliseconds(0));
    },
    [](const service_spec& aSpec) { return FormatDuration(aSpec.mWarmUp); } },
} };

constexpr std::array<field_rule<upstream_spec>, 6> kUpstreamFields = { {
  { "service",
    true,
    kNameRule,
    [](upstream_spec& aSpec, text aText) {
      return ParseName(aSpec.mService, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mService.mValue; } },
  { "failure_domain",
    true,
    kNameRule,
    [](upstream_spec& aSpec, text aText) {
      return ParseName(aSpec.mDomain, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mDomain.mValue; } },
  { "address",
    true,
    "an IP address and port such as 127.0.0.1:9001",
    [](upstream_spec& aSpec, text aText) {
      return ParseUpstreamAddress(aSpec.mAddress, aText);
    },
    [](const upstream_spec& aSpec) { return aSpec.mAddress.Text(); } },
  { "slots",
    true,
    "requests in flight, a whole number from 1 to 100000",
    [](upstream_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mSlots, aText, 1, kMaxSlots);
    },
    [](const upstream_spec& aSpec) { return std::to_string(aSpec.mSlots); } },
  { "connections",
    true,
    "connections, a whole number from 1 to 1000000",
    [](upstream_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mConnections, aText, 1, kMaxConnections);
    },
    [](const upstream_spec& aSpec) {
      return std::to_string(aSpec.mConnections);
    } },
  { "state",
    false,
    "serving or leaving",
    [](upstream_spec& aSpec, text aText) {
      return ParseUpstreamState(aSpec.mState, aText);
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
      return ParseNumber(aSpec.mFloorPercent, aText, 0, 100);
    },
    [](const rank_spec& aSpec) {
      return std::to_string(aSpec.mFloorPercent);
    } },
  { "queue",
    false,
    "requests waiting, a whole number from 0 to 65536",
    [](rank_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mQueue, aText, 0, kMaxQueued);
    },
    [](const rank_spec& aSpec) { return std::to_string(aSpec.mQueue); } },
} };

constexpr std::array<field_rule<link_spec>, 2> kLinkFields = { {
  { "between",
    true,
    "the names of two different regions, separated by a comma",
    ParseRegionPair,
    [](const link_spec& aSpec) {
      return aSpec.mFirst.mValue + ", " + aSpec.mSecond.mValue;
    } },
  { "rate",
    true,
    "Mbit/s in each direction, a whole number from 1 to 10000000",
    [](link_spec& aSpec, text aText) {
      return ParseNumber(
        aSpec.mMegabitsPerSecond, aText, 1, kMaxMegabitsPerSecond);
    },
    [](const link_spec& aSpec) {
      return std::to_string(aSpec.mMegabitsPerSecond);
    } },
} };

constexpr std::array<field_rule<shift_spec>, 6> kShiftFields = { {
  { "service",
    true,
    kNameRule,
    [](shift_spec& aSpec, text aText) {
      return ParseName(aSpec.mService, aText);
    },
    [](const shift_spec& aSpec) { return aSpec.mService.mValue; } },
  { "from",
    true,
    kNameRule,
    [](shift_spec& aSpec, text aText) { return ParseName(aSpec.mFrom, aText); },
    [](const shift_spec& aSpec) { return aSpec.mFrom.mValue; } },
  { "to",
    true,
    kNameRule,
    [](shift_spec& aSpec, text aText) { return ParseName(aSpec.mTo, aText); },
    [](const shift_spec& aSpec) { return aSpec.mTo.mValue; } },
  { "share",
    true,
    "percent, a whole number from 1 to 100",
    [](shift_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mSharePercent, aText, 1, 100);
    },
    [](const shift_spec& aSpec) {
      return std::to_string(aSpec.mSharePercent);
    } },
  { "cap",
    true,
    "percentage points per minute, a whole number from 1 to 100",
    [](shift_spec& aSpec, text aText) {
      return ParseNumber(aSpec.mCapPercentPerMinute, aText, 1, 100);
    },
    [](const shift_spec& aSpec) {
      return std::to_string(aSpec.mCapPercentPerMinute);
    } },
  { "start",
    true,
    "a time in UTC such as 2026-12-04T11:00:00Z",
    [](shift_spec& aSpec, text aText) {
      return ParseUtcTime(aSpec.mStart, aText);
    },
    [](const shift_spec& aSpec) { return FormatUtcTime(aSpec.mStart); } },
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
