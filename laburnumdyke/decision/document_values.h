// Parsing and formatting of the field values of a document.
//
// Usage:
//   if (!ParseNumber(spec.mCap, text, 1, max)) { ...report a fault... }
//   out << FormatDuration(spec.mDeadline);
//
// The parsers return false if the text is not a valid value; the target may
// have changed even then. The whole text must match: no blanks, signs or
// trailing characters are skipped.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/kernel/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumdyke {

// A decimal number from aMin to aMax.
bool
ParseNumber(std::uint32_t& aTarget,
            std::string_view aText,
            std::uint32_t aMin,
            std::uint32_t aMax);

template<class Tag>
bool
ParseName(name_of<Tag>& aTarget, std::string_view aText)
{
  if (!IsName(aText)) {
    return false;
  }
  aTarget.mValue = aText;
  return true;
}

// A whole number with the unit ms, s or m, from aMin to one hour.
bool
ParseDuration(std::chrono::milliseconds& aTarget,
              std::string_view aText,
              std::chrono::milliseconds aMin);

// Uses the largest unit that gives a whole number.
std::string
FormatDuration(std::chrono::milliseconds aTime);

// Exactly the form "2026-12-04T11:00:00Z", in the years 1970 to 2200.
bool
ParseUtcTime(wall_time& aTarget, std::string_view aText);

std::string
FormatUtcTime(wall_time aTime);

bool
ParseServiceRank(work_rank& aTarget, std::string_view aText);

bool
ParseYesNo(bool& aTarget, std::string_view aText);

bool
ParseUpstreamState(upstream_state& aTarget, std::string_view aText);

bool
ParseUpstreamAddress(endpoint& aTarget, std::string_view aText);

// The names of two different regions, separated by a comma with optional blanks
// around it. Sets mFirst to the lesser name.
bool
ParseRegionPair(link_spec& aLink, std::string_view aText);

} // namespace laburnumdyke
