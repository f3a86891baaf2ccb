// Encodes updates of upstreams as protobuf, for transfer between the instances
// of a failure domain.
//
// A follower sends its version to the reader's relay address. The reader
// answers once it has a later version:
//   GET /v1/news?after=VERSION           the era of the store is unknown
//   GET /v1/news?after=VERSION&era=ERA
//   200 with the update; 503 if this instance can't provide one
#pragma once

#include "laburnumdyke/decision/upstream_update.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// Returns the request target that asks for the changes after version aAfter.
std::string
UpdateTarget(store_version aAfter);

// Returns the version that a request target names; nullopt if it is not a
// target made by UpdateTarget().
std::optional<store_version>
ReadUpdateTarget(std::string_view aTarget);

std::string
EncodeUpdate(const upstream_update& aUpdate);

// Returns nullopt if the bytes are not a valid update, or if an upstream in
// them has no id or no valid address.
std::optional<upstream_update>
DecodeUpdate(std::string_view aBytes);

} // namespace laburnumdyke
