// Whole numbers read from text.
//
// Usage:
//   std::optional<std::uint16_t> port = ReadNumber<std::uint16_t>(text);
//
// Nothing where the text holds anything else, is empty, or is out of range; a
// sign is only read where Number has one.
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
  bool whole = read.ec == std::errc() && read.ptr == end;
  return whole ? std::optional<Number>(number) : std::nullopt;
}

} // namespace laburnumdyke
