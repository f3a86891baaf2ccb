// Two passes of XXH3: the hash of the candidate is the seed for the hash of the
// key.
#include "laburnumdyke/decision/rendezvous.h"

#include <xxhash.h>

#include <utility>

namespace laburnumdyke {

std::uint64_t
RendezvousWeight(std::string_view aCandidate, std::string_view aKey)
{
  std::uint64_t seed = XXH3_64bits(aCandidate.data(), aCandidate.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

member_key
KeyOf(const instance_id& aInstance, std::uint64_t aIncarnation)
{
  const std::string& name = aInstance.mValue;
  return XXH3_64bits_withSeed(name.data(), name.size(), aIncarnation);
}

bool
Outranks(const instance_id& aFirst,
         const instance_id& aSecond,
         std::string_view aKey)
{
  std::uint64_t first = RendezvousWeight(aFirst.mValue, aKey);
  std::uint64_t second = RendezvousWeight(aSecond.mValue, aKey);
  return first != second ? first > second : aFirst < aSecond;
}

} // namespace laburnumdyke
