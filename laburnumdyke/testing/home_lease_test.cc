// Tests of home_lease alone, then randomised runs checked by the oracle of
// lease_cluster.
#include "laburnumdyke/testing/lease_run.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using std::chrono::milliseconds;

TEST_GROUP(HomeLease){};

TEST(HomeLease, OnlyInstanceOfADomainHoldsAllAfterListening)
{
  lease_cluster cluster(1, 1);
  cluster.SetFaults(false);
  cluster.Advance(home_lease::kTakeoverDelay - milliseconds(1));
  CHECK_EQUAL(0u, cluster.Holders(0));
  cluster.Advance(2 * home_lease::kPeriod);
  for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
    CHECK_EQUAL(1u, cluster.Holders(i));
  }
}

TEST(HomeLease, DeathOfAPeerDoesNotInterruptWhatOthersHold)
{
  lease_cluster cluster(4, 1);
  cluster.SetFaults(false);
  cluster.Advance(milliseconds(8000));
  std::vector<std::size_t> held;
  cluster.Freeze(0, std::chrono::hours(1));
  for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
    if (cluster.Holders(i) == 1) {
      held.push_back(i);
    }
  }
  CHECK(held.size() < lease_cluster::kUpstreams);
  for (int elapsed = 0; elapsed < 6000; elapsed += 10) {
    cluster.Advance(milliseconds(10));
    for (std::size_t i : held) {
      CHECK_EQUAL(1u, cluster.Holders(i));
    }
  }
  for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
    CHECK_EQUAL(1u, cluster.Holders(i));
  }
}

TEST(HomeLease, PlannedStopHandsOverWithinAPeriod)
{
  lease_cluster cluster(4, 2);
  cluster.SetFaults(false);
  cluster.Advance(milliseconds(8000));
  cluster.Leave(0);
  cluster.Advance(home_lease::kPeriod);
  for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
    CHECK_EQUAL(1u, cluster.Holders(i));
  }
}

TEST(HomeLease, RefusesADeadlineBeyondTheLongestRequest)
{
  home_lease lease;
  lease.Open({ "a" }, 1);
  instant now{ std::chrono::hours(1) };
  std::map<upstream_id, upstream_limits> limits{ { { "u" },
                                                   { 1, milliseconds(100) } } };
  lease.UpdateClaims(limits, now);
  lease.Compose(1, now);
  CHECK(!lease.BeginDispatch({ "u" }, 1, now, now));
  CHECK(lease.LastReason() == lease_refusal::NotYetEligible);
  for (int i = 0; i < 10; ++i) {
    now += home_lease::kPeriod;
    lease.Compose(2 + i, now);
  }
  CHECK(!lease.BeginDispatch({ "u" }, 1, now + milliseconds(101), now));
  CHECK(lease.LastReason() == lease_refusal::DeadlineTooFar);
  CHECK(lease.BeginDispatch({ "u" }, 1, now + milliseconds(100), now));
  CHECK(!lease.BeginDispatch({ "u" }, 2, now + milliseconds(100), now));
  CHECK(lease.LastReason() == lease_refusal::SlotsHeld);
  lease.EndDispatch(1);
  CHECK(lease.BeginDispatch({ "u" }, 2, now + milliseconds(100), now));
}

TEST(HomeLease, RandomisedNeverTwoHoldersNorSlotsOvershot)
{
  for (const random_run& run : { random_run{ 1, 11 },
                                 random_run{ 2, 12 },
                                 random_run{ 3, 13 },
                                 random_run{ 4, 14 },
                                 random_run{ 4, 15 },
                                 random_run{ 5, 16 } }) {
    lease_cluster cluster(run.mInstances, run.mSeed);
    bool sound = true;
    for (int i = 0; i < kEpisodes && sound; ++i) {
      sound = cluster.Run(kEventsPerEpisode) && cluster.Recover();
    }
    PrintResult(cluster, run);
    CHECK_TEXT(sound, cluster.Violation().c_str());
  }
}
