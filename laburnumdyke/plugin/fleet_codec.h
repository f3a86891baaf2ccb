// Encodes and decodes, as protobuf, the heartbeats of instances that route by
// host and path.
//
// A compact heartbeat identifies its sender by an 8-byte key. A receiver that
// does not know that incarnation, from a full heartbeat or from its
// registration, can't resolve the key.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::size_t kMaxFleetHeartbeatBytes = 4096; // bytes

enum class fleet_heartbeat_form
{
  Full,    // with the sender's names and addresses
  Compact, // with the sender's key instead
};

std::string
EncodeFleetHeartbeat(const fleet_heartbeat& aHeartbeat,
                     fleet_heartbeat_form aForm);

// Returns nullopt if aBytes is longer than kMaxFleetHeartbeatBytes, malformed,
// or does not identify a sender. In a compact heartbeat mSender is empty and
// mSenderKey is set.
std::optional<fleet_heartbeat>
DecodeFleetHeartbeat(std::string_view aBytes);

} // namespace laburnumdyke
