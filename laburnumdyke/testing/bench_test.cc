// Small runs of the bench's world with a fixed seed, judged on counts: the
// scenarios without a fault. bench_fault_test has the others.
#include "laburnumdyke/testing/bench/small_deployment.h"

#include <map>
#include <string>

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

// Guards against a load model in which quotas don't reach the requests: with
// them, a customer that sends five times its usual is held, and the others are
// served.
TEST(Bench, QuotasHoldAHotCustomerAndServeTheOthers)
{
  std::map<std::string, scenario> scenarios;
  for (const scenario& one : Scenarios()) {
    scenarios[one.mName] = one;
  }
  figures open = Run<steered<earliest_deadline_first>>(
    SmallDeployment(),
    scenarios.at("hot customer, no quotas"),
    1,
    kSmallLength);
  figures held = Run<steered<earliest_deadline_first>>(
    SmallDeployment(), scenarios.at("hot customer"), 1, kSmallLength);
  const customer_figures& hot = held.mCustomers.at(0);
  LONGS_EQUAL(open.mCustomers.at(0).mOffered, hot.mOffered);
  LONGS_EQUAL(0, open.mCustomers.at(0).mOverQuota);
  CHECK(hot.mOverQuota > hot.mOffered / 2);
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
  std::uint64_t servedOpen = 0;
  for (std::size_t i = 1; i < held.mCustomers.size(); ++i) {
    offered += held.mCustomers[i].mOffered;
    served += held.mCustomers[i].mServed;
    servedOpen += open.mCustomers[i].mServed;
  }
  CHECK(served >= servedOpen);
  CHECK_TEXT(static_cast<double>(served) >= static_cast<double>(offered) * 0.95,
             std::to_string(served).c_str());
}
