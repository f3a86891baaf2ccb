// An IP address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

struct endpoint
{
  std::string mAddress; // IPv4 or IPv6, in canonical text
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;

  // "192.0.2.1:80" or "[2001:db8::1]:80".
  std::string Text() const;
};

// Nothing where the text is no address with a port; names are not resolved.
std::optional<endpoint>
ParseEndpoint(std::string_view aText);

} // namespace laburnumdyke
