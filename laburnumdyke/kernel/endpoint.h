// An IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

struct endpoint
{
  std::string mAddress; // IPv4 or IPv6, in canonical text form
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;

  // "192.0.2.1:80" or "[2001:db8::1]:80".
  std::string Text() const;
};

// Parses the form that Text returns. Returns nullopt for malformed text, host
// names (which are not resolved) and port 0.
std::optional<endpoint>
ParseEndpoint(std::string_view aText);

} // namespace laburnumdyke
