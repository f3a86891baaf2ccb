// Decodes in a single pass over the text.
#include "laburnumdyke/plugin/credit_header.h"

#include "laburnumdyke/kernel/settings.h"

#include <array>
#include <charconv>
#include <optional>

namespace laburnumdyke {

namespace {

// Parses the first credit of aText and removes it, with the comma that follows.
std::optional<service_credit>
ConsumeCredit(std::string_view& aText)
{
  service_credit credit;
  std::size_t equals = aText.find('=');
  credit.mService.mValue = aText.substr(0, equals);
  if (equals == std::string_view::npos || !IsName(credit.mService.mValue)) {
    return std::nullopt;
  }
  const char* next = aText.data() + equals;
  const char* end = aText.data() + aText.size();
  constexpr std::string_view kSeparators = "=//";
  const std::array<std::uint32_t*, 3> numbers = { &credit.mSlots,
                                                  &credit.mFree,
                                                  &credit.mWaiting };
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (next == end || *next != kSeparators.at(i)) {
      return std::nullopt;
    }
    std::from_chars_result parsed =
      std::from_chars(next + 1, end, *numbers.at(i));
    if (parsed.ec != std::errc()) {
      return std::nullopt;
    }
    next = parsed.ptr;
  }
  if (next != end && *next != ',') {
    return std::nullopt;
  }
  std::size_t consumed = static_cast<std::size_t>(next - aText.data());
  aText.remove_prefix(next == end ? consumed : consumed + 1);
  return credit;
}

} // namespace

std::string
EncodeCredits(const std::vector<service_credit>& aCredits)
{
  std::string text;
  for (const service_credit& credit : aCredits) {
    text += text.empty() ? "" : ",";
    text += credit.mService.mValue;
    text += '=';
    text += std::to_string(credit.mSlots);
    text += '/';
    text += std::to_string(credit.mFree);
    text += '/';
    text += std::to_string(credit.mWaiting);
  }
  return text;
}

std::vector<service_credit>
DecodeCredits(std::string_view aText)
{
  std::vector<service_credit> credits;
  while (!aText.empty()) {
    std::optional<service_credit> credit = ConsumeCredit(aText);
    if (!credit) {
      return {};
    }
    credits.push_back(std::move(*credit));
  }
  return credits;
}

} // namespace laburnumdyke
