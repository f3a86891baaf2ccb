// The values of a document's fields, from text and to text.
//
// Usage:
//   if (!TakeNumber(spec.mCap, text, 1, most)) { ...fault... }
//   out << ShowTime(spec.mDeadline);
//
// A value that is refused may leave the target changed.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/kernel/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumdyke {

bool
TakeNumber(std::uint32_t& aTarget,
           std::string_view aText,
           std::uint32_t aLeast,
           std::uint32_t aMost);

template<class Tag>
bool
TakeName(name_of<Tag>& aTarget, std::string_view aText)
{
  if (!IsName(aText)) {
    return false;
  }
  aTarget.mValue = aText;
  return true;
}

// A whole number with the unit ms, s or m, up to an hour.
bool
TakeTime(std::chrono::milliseconds& aTarget,
         std::string_view aText,
         std::chrono::milliseconds aLeast);

std::string
ShowTime(std::chrono::milliseconds aTime);

// "2026-12-04T11:00:00Z" and nothing else.
bool
TakeCivilTime(civil_time& aTarget, std::string_view aText);

std::string
ShowCivilTime(civil_time aTime);

bool
TakeRank(work_rank& aTarget, std::string_view aText);

bool
TakeYesOrNo(bool& aTarget, std::string_view aText);

bool
TakeState(upstream_state& aTarget, std::string_view aText);

bool
TakeAddress(endpoint& aTarget, std::string_view aText);

// Two different names, in their order.
bool
TakePair(link_spec& aLink, std::string_view aText);

} // namespace laburnumdyke
