// IPv4 and IPv6 address prefixes, which describe blocks of client addresses.
//
// An IPv4 prefix a.b.c.d/n is stored as the IPv6 prefix ::ffff:a.b.c.d/(96+n),
// so that one type serves both address families.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// An IPv6 or IPv4-mapped address, in network byte order.
using address_bytes = std::array<std::uint8_t, 16>;

struct client_prefix
{
  address_bytes mAddress{};
  std::uint8_t mLength = 0; // bits, of the IPv6 form

  auto operator<=>(const client_prefix&) const = default;

  // Canonical text: "10.0.0.0/24" or "2001:db8::/32".
  std::string Text() const;
};

// Returns nullopt if the text is not an IPv4 or IPv6 address.
std::optional<address_bytes>
ParseAddress(std::string_view aText);

// Returns nullopt if the text is not a prefix or has bits set beyond its
// length.
std::optional<client_prefix>
ParsePrefix(std::string_view aText);

} // namespace laburnumdyke
