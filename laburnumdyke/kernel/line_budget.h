// Bounds how many lines are written, and says how many were left out.
//
// Usage:
//   std::optional<std::uint64_t> skipped = budget.Take(kind, now);
//   if (skipped) ... write the line, and that *skipped came before it
//
// A token bucket: the rate holds over time, the burst for a moment. What went
// as usual leaves half of the burst to the rest, so that a flood of successes
// pushes out no failure.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

enum class line_kind
{
  Routine, // what went as usual
  Notable, // failures, refusals, and what changes a belief
};

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
  std::optional<std::uint64_t> Take(line_kind aKind, instant aNow);

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
