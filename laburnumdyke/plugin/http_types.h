// Type aliases, header names and limits shared by all HTTP plug-ins.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;
using tcp_stream = boost::beast::tcp_stream;

// Headers exchanged between callers and entry instances.
inline constexpr std::string_view kRankHeader = "Laburnumdyke-Rank";
inline constexpr std::string_view kDeadlineHeader = "Laburnumdyke-Deadline-Ms";
inline constexpr std::string_view kIdentityHeader = "Laburnumdyke-Identity";
inline constexpr std::string_view kOutcomeHeader = "Laburnumdyke-Outcome";
inline constexpr std::string_view kReasonHeader = "Laburnumdyke-Reason";
inline constexpr std::string_view kInstanceHeader = "Laburnumdyke-Instance";
// Sent by operators: the customer's key of a request that is to be explained.
inline constexpr std::string_view kExplainKeyHeader = "Laburnumdyke-Key";
// Sent to upstreams: the identity of a request that runs at most once.
inline constexpr std::string_view kRequestIdHeader = "Laburnumdyke-Request-Id";
// Sent by upstreams: why a request was refused before any work was done on it.
inline constexpr std::string_view kUpstreamNotRunHeader = "Upstream-Not-Run";
// Between entry instances: why the request is relayed ("issuer" or "home"), and
// the time stamp of the advertisement that the relay is based on.
inline constexpr std::string_view kRelayHeader = "Laburnumdyke-Relay";
inline constexpr std::string_view kStampHeader = "Laburnumdyke-Advert-Ms";

inline constexpr std::uint32_t kHeaderLimit = 16 * 1024; // bytes
// Bytes per direction of a connection.
inline constexpr std::size_t kStreamBuffer = 32UL * 1024;
// Bytes read from a peer but not parsed yet: a message or chunk header.
inline constexpr std::size_t kUnparsedLimit = 128UL * 1024;
// The same from a client, beyond the limit on its header: a chunk header.
// Small, since each of many connections may hold as much.
inline constexpr std::size_t kUnparsedRequest = 8UL * 1024;
inline constexpr std::size_t kReplayableBody = 64UL * 1024; // bytes
inline constexpr std::chrono::seconds kIdleTimeout{ 60 };
inline constexpr std::chrono::seconds kHeaderTimeout{ 10 };
inline constexpr std::chrono::seconds kProgressTimeout{ 30 };

inline tcp::endpoint
ToAsio(const endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort };
}

inline boost::beast::string_view
ToBeast(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

inline std::string_view
FromBeast(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace laburnumdyke
