// Encodes and decodes heartbeats as protobuf.
//
// Usage:
//   std::string bytes = EncodeHeartbeat(message);
//   std::optional<heartbeat> decoded = DecodeHeartbeat(bytes);
#pragma once

#include "laburnumdyke/decision/membership.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kMaxHeartbeatBytes = 64UL * 1024; // bytes
// Entries in each list of a heartbeat. The load list may have twice as many.
inline constexpr int kMaxListEntries = 2000;
// Heartbeats with a longer duration are rejected.
inline constexpr std::chrono::hours kMaxDuration{ 24L * 365 * 100 };

std::string
EncodeHeartbeat(const heartbeat& aHeartbeat);

// Returns nullopt if aBytes is not a valid heartbeat: malformed, longer than
// kMaxHeartbeatBytes, with an invalid name, address or duration, or with too
// many entries in a list.
std::optional<heartbeat>
DecodeHeartbeat(std::string_view aBytes);

} // namespace laburnumdyke
