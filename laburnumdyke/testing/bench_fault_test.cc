// The scenarios of the bench's world that have a fault, at a small size.
#include "laburnumdyke/testing/bench/small_deployment.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace laburnumdyke::bench;

TEST_GROUP(BenchFault){};

TEST(BenchFault, NoFaultOvershootsRunsTwiceOrMisreports)
{
  for (const scenario& one : Scenarios()) {
    if (one.HasFault()) {
      CheckScenario(one);
    }
  }
}
