// Heartbeats of instances that steer by host and path, as protobuf.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kLongestFleetBeat = 4096; // bytes

std::string
EncodeFleetBeat(const fleet_beat& aBeat);

// Nothing where the bytes are no heartbeat or name no sender.
std::optional<fleet_beat>
DecodeFleetBeat(std::string_view aBytes);

} // namespace laburnumdyke
