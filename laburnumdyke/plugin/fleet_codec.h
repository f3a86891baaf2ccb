// Heartbeats of instances that steer by host and path, as protobuf.
//
// A brief one names its sender by a key of eight bytes. It says nothing to who
// has not heard of that incarnation, by a full one or by its registration.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kLongestFleetBeat = 4096; // bytes

enum class beat_form
{
  Full,
  Brief,
};

std::string
EncodeFleetBeat(const fleet_beat& aBeat, beat_form aForm);

// Nothing where the bytes are no heartbeat or name no sender. Of a brief one
// the sender is empty.
std::optional<fleet_beat>
DecodeFleetBeat(std::string_view aBytes);

} // namespace laburnumdyke
