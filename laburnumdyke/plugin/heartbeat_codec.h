// Heartbeats as protobuf.
#pragma once

#include "laburnumdyke/decision/membership.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kLongestHeartbeat = 64UL * 1024; // bytes

std::string
EncodeHeartbeat(const heartbeat& aHeartbeat);

// Nothing where the bytes are no heartbeat: broken, over-long, or with a name
// or address that is none.
std::optional<heartbeat>
DecodeHeartbeat(std::string_view aBytes);

} // namespace laburnumdyke
