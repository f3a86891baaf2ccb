// Invariants: conditions whose violation must stop the process.
//
// Usage:
//   CheckInvariant(mPending.has_value(), "submission_waits", "pending=none");
//   CheckInvariant(inFlight <= slots, "slots_overshot", [&]() {
//     return "in_flight=" + std::to_string(inFlight);
//   });
//
// Active in every build. On violation the state is written to the log and to
// standard error as one line of key=value pairs, then the process aborts. A
// state that has to be built is given as a function, which is called on
// violation alone: a check that holds costs its condition.
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
