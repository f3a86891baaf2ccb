// Parses integers.
//
// Usage:
//   std::optional<std::uint16_t> port = ReadNumber<std::uint16_t>(text);
//
// Returns nullopt if the text is empty, holds anything beside the number or is
// out of range. A minus sign is accepted only if Number is signed.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace laburnumdyke {

template<std::integral Number>
std::optional<Number>
ReadNumber(std::string_view aText, int aBase = 10)
{
  Number number = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result read =
    std::from_chars(aText.data(), end, number, aBase);
  bool complete = read.ec == std::errc() && read.ptr == end;
  return complete ? std::optional<Number>(number) : std::nullopt;
}

} // namespace laburnumdyke
