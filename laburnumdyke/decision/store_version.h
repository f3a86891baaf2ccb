// The position of a reading in the history of the platform's store.
//
// Usage:
//   store_version read(era, version);
//   if (read < known) ... the reading is older
//
// The store counts versions within an era. When it is restored from a backup,
// versions go back and are issued again, and the era rises. Versions of
// different eras therefore name different states, and the order is (era,
// version). Era 0 is unknown: the store has not reported one.
#pragma once

#include <compare>
#include <cstdint>

namespace laburnumdyke {

struct store_version
{
  constexpr store_version() = default;

  // A version of unknown era. Implicit, because a store that reports no era
  // orders its readings by the version alone.
  constexpr store_version(std::uint64_t aVersion)
    : mVersion(aVersion)
  {
  }

  constexpr store_version(std::uint64_t aEra, std::uint64_t aVersion)
    : mEra(aEra)
    , mVersion(aVersion)
  {
  }

  std::uint64_t mEra = 0;
  std::uint64_t mVersion = 0;

  constexpr std::strong_ordering operator<=>(const store_version&) const =
    default;
  constexpr bool operator==(const store_version&) const = default;
};

} // namespace laburnumdyke
