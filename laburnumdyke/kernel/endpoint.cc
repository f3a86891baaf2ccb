// Addresses are validated and brought into canonical form by inet_pton and
// inet_ntop, without name resolution.
#include "laburnumdyke/kernel/endpoint.h"

#include "laburnumdyke/kernel/number.h"

#include <arpa/inet.h>

namespace laburnumdyke {

namespace {

std::optional<std::string>
CanonicalAddress(int aFamily, const std::string& aText)
{
  unsigned char bytes[sizeof(in6_addr)];
  char text[INET6_ADDRSTRLEN];
  if (inet_pton(aFamily, aText.c_str(), bytes) != 1) {
    return std::nullopt;
  }
  return std::string(inet_ntop(aFamily, bytes, text, sizeof text));
}

} // namespace

std::string
endpoint::Text() const
{
  bool isV6 = mAddress.find(':') != std::string::npos;
  std::string host = isV6 ? "[" + mAddress + "]" : mAddress;
  return host + ":" + std::to_string(mPort);
}

std::optional<endpoint>
ParseEndpoint(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  std::string_view port = aText.substr(colon + 1);
  std::optional<std::uint16_t> number = ReadNumber<std::uint16_t>(port);
  if (!number || *number == 0) {
    return std::nullopt;
  }
  endpoint result;
  result.mPort = *number;
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::optional<std::string> address =
    CanonicalAddress(bracketed ? AF_INET6 : AF_INET, std::string(host));
  if (!address) {
    return std::nullopt;
  }
  result.mAddress = *address;
  return result;
}

} // namespace laburnumdyke
