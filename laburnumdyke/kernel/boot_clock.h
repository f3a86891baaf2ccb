// A steady clock that also counts the time during which the machine is
// suspended, unlike std::chrono::steady_clock. For deadlines that must hold
// across a suspension. Serves as the clock of std::chrono::time_point.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace laburnumdyke {

struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;

  static time_point Now() noexcept
  {
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
  }
};

} // namespace laburnumdyke
