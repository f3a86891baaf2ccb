// Heartbeats as protobuf.
#pragma once

#include "laburnumdyke/decision/membership.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kLongestHeartbeat = 64UL * 1024; // bytes
// Entries in each list of a heartbeat.
inline constexpr int kMostListed = 2000;
// Longer times in a heartbeat are refused.
inline constexpr std::chrono::hours kLongestTime{ 24L * 365 * 100 };

std::string
EncodeHeartbeat(const heartbeat& aHeartbeat);

// Nothing where the bytes are no heartbeat: broken, over-long, or with a name,
// address or time that is none, or with too many entries in a list.
std::optional<heartbeat>
DecodeHeartbeat(std::string_view aBytes);

} // namespace laburnumdyke
