// Invariants: conditions whose violation aborts the process.
//
// Usage:
//   CheckInvariant(mPending.has_value(), "submission_waits", "pending=none");
//   CheckInvariant(inFlight <= slots, "slots_overshot", [&]() {
//     return "in_flight=" + std::to_string(inFlight);
//   });
//
// Checked in every build. On violation the name and the state are written to
// standard error as one line of key=value pairs, and the process aborts. A
// state that is expensive to format is passed as a function, which is called
// only on violation.
#pragma once

#include <concepts>
#include <string>
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

template<class T>
concept state_builder = requires(const T& aBuild)
{
  {
    aBuild()
    } -> std::convertible_to<std::string>;
};

template<state_builder Builder>
void
CheckInvariant(bool aHolds, std::string_view aName, const Builder& aState)
{
  if (!aHolds) {
    FailInvariant(aName, aState());
  }
}

} // namespace laburnumdyke
