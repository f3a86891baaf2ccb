// Real daemons whose failure domains are cut off from each other: each goes on
// serving, and what happened meanwhile reaches it once they are joined.
#include "laburnumdyke/testing/process_checks.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::chrono::seconds kSettle{ 2 };

void
SetMunsterPlatform(deployment& aDeployment, bool aCut)
{
  for (const char* name : { "munster-a-1", "munster-a-2" }) {
    aDeployment.Links().Set(PlatformLink(name), { .mCut = aCut });
  }
}

} // namespace

TEST_GROUP(ProcessCut)
{
  deployment mDeployed{ { .mPlatformLinks = true, .mDomainLinks = true } };

  void CutDomains(bool aCut)
  {
    mDeployed.CutDomains("leinster-a", "munster-a", aCut);
  }

  void CheckDomainsAlone()
  {
    for (const std::string& name : mDeployed.DaemonNames()) {
      CHECK_EQUAL(1, PeersSeen(mDeployed, name));
    }
  }
};

// The failure domains start while they are cut off from each other, and
// munster-a is cut off from the platform once it has its document.
TEST(ProcessCut, DomainsThatStartCutGoOnServing)
{
  PlanTwoDomains(mDeployed, 2);
  CutDomains(true);
  mDeployed.Start(TwoDomainHead());
  CHECK(WaitForPeers(mDeployed, 1));
  CHECK(WaitForVersionEverywhere(mDeployed, 1));
  CHECK(mDeployed.WaitForHomes(kEventLimit));
  SetMunsterPlatform(mDeployed, true);
  background_load load(CallerAddresses(mDeployed), 15);
  AddThreeRanks(load.Callers());
  load.Start();
  CHECK(WaitForRunsIn(mDeployed, "leinster-a"));
  CHECK(WaitForRunsIn(mDeployed, "munster-a"));
  std::this_thread::sleep_for(2 * kSettle);
  CheckDomainsAlone();
  CutDomains(false);
  CHECK(mDeployed.WaitForVersion(1, kEventLimit));
  std::this_thread::sleep_for(kSettle);
  CheckPromises("failure domains cut, then joined", mDeployed, load.Stop());
}

// They know each other when the cut comes, under load. A version that is
// accepted meanwhile reaches munster-a through its peers alone.
TEST(ProcessCut, DomainsThatKnowEachOtherGoOnServing)
{
  PlanTwoDomains(mDeployed, 2);
  CHECK(StartTwoDomains(mDeployed));
  background_load load(CallerAddresses(mDeployed), 18);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  for (std::uint64_t version : { 2, 3 }) {
    CutDomains(true);
    SetMunsterPlatform(mDeployed, true);
    CHECK(WaitForPeers(mDeployed, 1));
    CHECK(WaitForRunsIn(mDeployed, "leinster-a"));
    CHECK(WaitForRunsIn(mDeployed, "munster-a"));
    CHECK(
      mDeployed.Submit(version,
                       mDeployed.Document({ "report-munster-a-" +
                                            std::to_string(version - 1) })));
    std::this_thread::sleep_for(2 * kSettle);
    CheckDomainsAlone();
    CHECK_EQUAL(version, VersionOf(mDeployed, "leinster-a-1"));
    CHECK_EQUAL(version - 1, VersionOf(mDeployed, "munster-a-1"));
    CutDomains(false);
    CHECK(mDeployed.WaitForVersion(version, kEventLimit));
  }
  SetMunsterPlatform(mDeployed, false);
  std::this_thread::sleep_for(kSettle);
  CheckPromises(
    "failure domains cut twice, then joined", mDeployed, load.Stop());
}

// One daemon of the cut domain is frozen for 4 s, the other is killed and
// started again while the cut lasts.
TEST(ProcessCut, CutFreezeAndKillTogether)
{
  PlanTwoDomains(mDeployed, 2);
  CHECK(StartTwoDomains(mDeployed));
  background_load load(CallerAddresses(mDeployed), 19);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  mDeployed.Daemon("munster-a-1").Signal(SIGSTOP);
  CutDomains(true);
  mDeployed.Daemon("munster-a-2").Signal(SIGKILL);
  mDeployed.Daemon("munster-a-2").Wait(kEventLimit);
  CHECK(WaitForRunsIn(mDeployed, "leinster-a"));
  mDeployed.StartDaemon("munster-a-2");
  std::this_thread::sleep_for(2 * kSettle);
  mDeployed.Daemon("munster-a-1").Signal(SIGCONT);
  CHECK(WaitForPeers(mDeployed, 1));
  CHECK(WaitForRunsIn(mDeployed, "munster-a"));
  CutDomains(false);
  CHECK(mDeployed.WaitForVersion(1, kEventLimit));
  CHECK(WaitForRunsIn(mDeployed, "munster-a"));
  CheckPromises("cut, frozen and killed together", mDeployed, load.Stop());
}
