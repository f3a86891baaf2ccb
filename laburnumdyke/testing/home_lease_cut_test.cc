// Tests of home_lease where instances of a domain are cut off from each other,
// and in domains so large that a message can't have all indirect
// acknowledgements.
#include "laburnumdyke/testing/lease_run.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using std::chrono::milliseconds;

TEST_GROUP(HomeLeaseCut){};

namespace {

// Repeatedly cuts one instance off from all others except an intermediary.
void
CheckCutsThatLeaveOneIntermediary(const random_run& aRun)
{
  lease_cluster cluster(aRun.mInstances, aRun.mSeed);
  std::mt19937 random(aRun.mSeed);
  cluster.SetFaults(false);
  bool sound = cluster.Advance(milliseconds(8000));
  for (int i = 0; i < kEpisodes && sound; ++i) {
    std::size_t victim = random() % aRun.mInstances;
    std::size_t intermediary =
      (victim + 1 + random() % (aRun.mInstances - 1)) % aRun.mInstances;
    for (std::size_t other = 0; other < aRun.mInstances; ++other) {
      if (other != victim && other != intermediary) {
        cluster.Cut(victim, other);
      }
    }
    sound = cluster.Advance(milliseconds(1000 + random() % 8000));
    cluster.Heal();
    sound = sound && cluster.Advance(milliseconds(random() % 4000));
  }
  PrintResult(cluster, aRun);
  CHECK_TEXT(sound, cluster.Violation().c_str());
}

} // namespace

// Guards against two holders where only one instance hears both sides. Neither
// side may take over upstreams of the other: the intermediary reports, when
// asked, which heartbeats of the other side it has heard.
TEST(HomeLeaseCut, OneIntermediaryConfirmsAllInstancesCutOff)
{
  constexpr std::size_t kInstances = 24;
  lease_cluster cluster(kInstances, 3);
  cluster.SetFaults(false);
  cluster.Advance(milliseconds(8000));
  for (std::size_t other = 2; other < kInstances; ++other) {
    cluster.Cut(0, other);
  }
  for (int elapsed = 0; elapsed < 20000; elapsed += 20) {
    CHECK_TEXT(cluster.Advance(milliseconds(20)), cluster.Violation().c_str());
    for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
      CHECK(cluster.Holders(i) <= 1);
    }
  }
  cluster.Heal();
  cluster.Advance(lease_cluster::kRecovery);
  for (std::size_t i = 0; i < lease_cluster::kUpstreams; ++i) {
    CHECK_EQUAL(1u, cluster.Holders(i));
  }
}

TEST(HomeLeaseCut, RandomisedInADomainTooLargeToConfirmAllAtOnce)
{
  random_run run{ 14, 17 };
  lease_cluster cluster(run.mInstances, run.mSeed);
  bool sound = true;
  for (int i = 0; i < kEpisodes / 4 && sound; ++i) {
    sound = cluster.Run(4 * kEventsPerEpisode) && cluster.Recover();
  }
  PrintResult(cluster, run);
  CHECK_TEXT(sound, cluster.Violation().c_str());
}

TEST(HomeLeaseCut, RandomisedCutsThatLeaveOneIntermediaryOfThree)
{
  CheckCutsThatLeaveOneIntermediary({ 3, 18 });
}

TEST(HomeLeaseCut, RandomisedCutsThatLeaveOneIntermediaryOfSeven)
{
  CheckCutsThatLeaveOneIntermediary({ 7, 22 });
}

TEST(HomeLeaseCut, RandomisedCutsThatLeaveOneIntermediaryOfSixteen)
{
  CheckCutsThatLeaveOneIntermediary({ 16, 31 });
}
