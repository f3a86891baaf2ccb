// Rendezvous hashing: each key belongs to the candidate of highest weight, so
// that a change of the candidates moves only what it must.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstdint>
#include <string_view>

namespace laburnumdyke {

// Rendezvous weight of a candidate for a key.
std::uint64_t
RendezvousWeight(std::string_view aCandidate, std::string_view aKey);

// Stands for one incarnation of an instance in messages.
using member_key = std::uint64_t;

member_key
KeyOf(const instance_id& aInstance, std::uint64_t aIncarnation);

// Whether the first instance precedes the second for a key. A strict order,
// equal weights included.
bool
Outranks(const instance_id& aFirst,
         const instance_id& aSecond,
         std::string_view aKey);

} // namespace laburnumdyke
