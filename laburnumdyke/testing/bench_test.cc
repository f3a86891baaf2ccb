// Small runs of the bench's world with a fixed seed, judged on counts.
#include "laburnumdyke/testing/bench/run.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace laburnumdyke::bench;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kLength = kMeasureFrom + 10s;

// Two regions, so that one can fail, with a third of the upstreams.
deployment
SmallDeployment()
{
  deployment made = Brackwater();
  made.mRegions.resize(2);
  for (service_load& load : made.mLoads) {
    load.mUpstreams /= 3;
  }
  for (service_load& load : made.mLoads) {
    load.mDeadline = std::min(load.mDeadline, duration(5s));
  }
  return made;
}

} // namespace

TEST_GROUP(Bench){};

TEST(Bench, NoScenarioOvershootsRunsTwiceOrMisreports)
{
  for (const scenario& one : Scenarios()) {
    figures own =
      Run<steered<earliest_deadline_first>>(SmallDeployment(), one, 1, kLength);
    const char* name = one.mName.c_str();
    LONGS_EQUAL_TEXT(0, own.mOvershot, name);
    LONGS_EQUAL_TEXT(0, own.mDoubleRuns, name);
    LONGS_EQUAL_TEXT(0, own.mFalseNotRun, name);
    for (const rank_figures& rank : own.mRanks) {
      CHECK_TEXT(rank.mOffered > 0 && rank.mServed > 0, name);
    }
  }
}

TEST(Bench, SameSeedSameFigures)
{
  scenario one = Scenarios().at(1);
  figures first =
    Run<steered<earliest_deadline_first>>(SmallDeployment(), one, 3, kLength);
  figures second =
    Run<steered<earliest_deadline_first>>(SmallDeployment(), one, 3, kLength);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    LONGS_EQUAL(first.mRanks.at(i).mServed, second.mRanks.at(i).mServed);
    CHECK(first.mRanks.at(i).mLatencies == second.mRanks.at(i).mLatencies);
  }
}

// The world counts what it is meant to count.
TEST(Bench, BaselineOvershootsUnderAFlood)
{
  scenario flood{ .mName = "urgent flood", .mFlood = { 5, 1, 1 } };
  figures baseline =
    Run<baseline_steering>(SmallDeployment(), flood, 1, kLength);
  CHECK(baseline.mOvershot > 0);
  CHECK(baseline.mDoubleRuns > 0);
  CHECK(baseline.mWasted > duration::zero());
}
