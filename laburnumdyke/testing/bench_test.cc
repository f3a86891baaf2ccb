// Small runs of the bench's world with a fixed seed, judged on counts: the
// scenarios without a fault. bench_fault_test has the others.
#include "laburnumdyke/testing/bench/small_deployment.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace laburnumdyke::bench;

TEST_GROUP(Bench){};

TEST(Bench, NoLoadOvershootsRunsTwiceOrMisreports)
{
  for (const scenario& one : Scenarios()) {
    if (!one.HasFault()) {
      CheckScenario(one);
    }
  }
}

TEST(Bench, SameSeedSameFigures)
{
  scenario one = Scenarios().at(1);
  figures first = Run<steered<earliest_deadline_first>>(
    SmallDeployment(), one, 3, kSmallLength);
  figures second = Run<steered<earliest_deadline_first>>(
    SmallDeployment(), one, 3, kSmallLength);
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
    Run<baseline_steering>(SmallDeployment(), flood, 1, kSmallLength);
  CHECK(baseline.mOvershot > 0);
  CHECK(baseline.mDoubleRuns > 0);
  CHECK(baseline.mWasted > duration::zero());
}
