// Bounds how many lines are written, and says how many were left out.
//
// Usage:
//   std::optional<std::uint64_t> skipped = budget.Take(now);
//   if (skipped) ... write the line, and that *skipped came before it
//
// A token bucket: the rate holds over time, the burst for a moment.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

struct line_budget_options
{
  double mPerSecond = 200; // lines
  double mBurst = 1000;    // lines
};

class line_budget
{
public:
  using instant = std::chrono::steady_clock::time_point;

  explicit line_budget(line_budget_options aOptions = {})
    : mOptions(aOptions)
    , mLeft(aOptions.mBurst)
  {
  }

  // The lines that were left out since the last one taken; nothing where this
  // one is to be left out too.
  std::optional<std::uint64_t> Take(instant aNow);

  // A line that was taken could not be written.
  void Skip() { ++mSkipped; }

private:
  line_budget_options mOptions;
  double mLeft;
  instant mLast{};
  bool mStarted = false;
  std::uint64_t mSkipped = 0;
};

} // namespace laburnumdyke
