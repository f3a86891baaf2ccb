// A deployment that runs in seconds, and the check that holds in each scenario.
#pragma once

#include "laburnumdyke/testing/bench/run.h"

#include <CppUTest/TestHarness.h>

namespace laburnumdyke::bench {

inline constexpr std::chrono::seconds kSmallLength =
  kMeasureFrom + std::chrono::seconds(10);

// Two regions, so that one can fail, with a third of the upstreams.
inline deployment
SmallDeployment()
{
  deployment made = Brackwater();
  made.mRegions.resize(2);
  for (service_load& load : made.mLoads) {
    load.mUpstreams /= 3;
  }
  for (service_load& load : made.mLoads) {
    load.mDeadline =
      std::min(load.mDeadline, duration(std::chrono::seconds(5)));
  }
  return made;
}

// Ends the test where the system overshoots, runs twice, misreports or leaves
// a rank without service.
inline void
CheckScenario(const scenario& aScenario)
{
  figures own = Run<steered<earliest_deadline_first>>(
    SmallDeployment(), aScenario, 1, kSmallLength);
  const char* name = aScenario.mName.c_str();
  LONGS_EQUAL_TEXT(0, own.mOvershot, name);
  LONGS_EQUAL_TEXT(0, own.mDoubleRuns, name);
  LONGS_EQUAL_TEXT(0, own.mFalseNotRun, name);
  for (const rank_figures& rank : own.mRanks) {
    CHECK_TEXT(rank.mOffered > 0 && rank.mServed > 0, name);
  }
}

} // namespace laburnumdyke::bench
