// A budget for retries and repeated hand-overs, as a share of the successes
// of the last kWindow.
//
// Successes earn, retries spend, and both are forgotten as the window slides.
// A flood of failures earns nothing, so it can't multiply itself: with no
// success an instance makes at most kReserve retries in a window.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace laburnumdyke {

class retry_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Retries;
  static constexpr std::chrono::seconds kWindow{ 10 };
  static constexpr std::uint64_t kSuccessesPerRetry = 10;
  static constexpr std::uint64_t kReserve = 10; // retries in a window

  void CountRequest(instant aNow);
  void CountSuccess(instant aNow);

  // Takes one retry from the budget; false where there is none.
  bool TakeRetry(instant aNow);

private:
  static constexpr std::size_t kSteps = 10;
  static constexpr duration kStep = duration(kWindow) / kSteps;

  struct step
  {
    std::int64_t mIndex = -1; // time of the step, in steps
    std::uint64_t mSuccesses = 0;
    std::uint64_t mRetries = 0;
  };

  step& At(instant aNow);
  step SumOfWindow(instant aNow) const;

  std::array<step, kSteps> mSteps{};
};

} // namespace laburnumdyke
