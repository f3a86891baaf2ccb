// Rendezvous hashing: each key belongs to the candidate of highest weight. When
// a candidate is added or removed, only the keys that it gains or had move.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstdint>
#include <string_view>

namespace laburnumdyke {

// Rendezvous weight of a candidate for a key.
std::uint64_t
RendezvousWeight(std::string_view aCandidate, std::string_view aKey);

// Hash that identifies one incarnation of an instance in messages.
using member_key = std::uint64_t;

member_key
KeyOf(const instance_id& aInstance, std::uint64_t aIncarnation);

// Whether the first instance ranks before the second for a key. A strict order:
// equal weights are ordered by name.
bool
Outranks(const instance_id& aFirst,
         const instance_id& aSecond,
         std::string_view aKey);

} // namespace laburnumdyke
