// Parsing and formatting use inet_pton and inet_ntop: every textual form of an
// address is accepted, and only the canonical one is produced.
#include "laburnumdyke/decision/prefix.h"

#include "laburnumdyke/kernel/number.h"

#include <arpa/inet.h>

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMappedBytes = 12; // ::ffff:0:0/96
constexpr std::uint8_t kMappedBits = 96;
constexpr std::uint8_t kAddressBits = 128;
constexpr address_bytes kMapped = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

bool
IsMapped(const address_bytes& aAddress)
{
  return std::equal(
    kMapped.begin(), kMapped.begin() + kMappedBytes, aAddress.begin());
}

bool
HasBitsBeyond(const address_bytes& aAddress, std::uint8_t aLength)
{
  for (std::size_t bit = aLength; bit < kAddressBits; ++bit) {
    if ((aAddress[bit / 8] & (0x80u >> (bit % 8))) != 0) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
client_prefix::Text() const
{
  char text[INET6_ADDRSTRLEN];
  if (mLength >= kMappedBits && IsMapped(mAddress)) {
    inet_ntop(AF_INET, mAddress.data() + kMappedBytes, text, sizeof text);
    return std::string(text) + "/" + std::to_string(mLength - kMappedBits);
  }
  inet_ntop(AF_INET6, mAddress.data(), text, sizeof text);
  return std::string(text) + "/" + std::to_string(mLength);
}

std::optional<address_bytes>
ParseAddress(std::string_view aText)
{
  char text[INET6_ADDRSTRLEN];
  if (aText.size() >= sizeof text ||
      aText.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  aText.copy(text, aText.size());
  text[aText.size()] = '\0';
  address_bytes address = kMapped;
  bool isV6 = aText.find(':') != std::string_view::npos;
  if (inet_pton(isV6 ? AF_INET6 : AF_INET,
                text,
                address.data() + (isV6 ? 0 : kMappedBytes)) != 1) {
    return std::nullopt;
  }
  return address;
}

std::optional<client_prefix>
ParsePrefix(std::string_view aText)
{
  std::size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, slash);
  std::string_view bits = aText.substr(slash + 1);
  std::optional<address_bytes> address = ParseAddress(host);
  std::optional<std::uint8_t> read = ReadNumber<std::uint8_t>(bits);
  if (!address || !read || *read > kAddressBits) {
    return std::nullopt;
  }
  std::uint8_t length = *read;
  if (host.find(':') == std::string_view::npos) {
    if (length > kAddressBits - kMappedBits) {
      return std::nullopt;
    }
    length += kMappedBits;
  }
  if (HasBitsBeyond(*address, length)) {
    return std::nullopt;
  }
  return client_prefix{ *address, length };
}

} // namespace laburnumdyke
