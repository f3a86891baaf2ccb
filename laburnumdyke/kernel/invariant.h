// Invariants: conditions whose violation must stop the process.
//
// Usage:
//   CheckInvariant(inFlight <= slots, "slots_overshot", state);
//
// Active in every build. On violation the state is written to the log and to
// standard error as one line of key=value pairs, then the process aborts.
#pragma once

#include <string_view>

namespace laburnumdyke {

[[noreturn]] void
FailInvariant(std::string_view aName, std::string_view aState);

inline void
CheckInvariant(bool aHolds, std::string_view aName, std::string_view aState)
{
  if (!aHolds) {
    FailInvariant(aName, aState);
  }
}

} // namespace laburnumdyke
