// Real daemons under load of all three ranks: kills, freezes, lost answers, an
// outage of the platform and leaving upstreams. Verdicts are on what the
// upstreams counted and what callers were told.
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/process_checks.h"

#include <csignal>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::chrono::seconds kSettle{ 2 };
constexpr std::chrono::seconds kFreeze{ 5 };
constexpr std::chrono::seconds kOutage{ 60 };

std::uint64_t
LostAnswers(const deployment& aDeployment, const std::string& aUpstream)
{
  return JsonNumber(
    JsonObject(GetText(aDeployment.UpstreamAddress(aUpstream), "/control")),
    "lost_answers");
}

} // namespace

TEST_GROUP(ProcessFault){};

TEST(ProcessFault, KilledDaemon)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 11);
  AddThreeRanks(load.Callers());
  load.Start();
  for (const char* name : { "leinster-a-1", "munster-a-2" }) {
    std::this_thread::sleep_for(kSettle);
    deployed.Daemon(name).Signal(SIGKILL);
    deployed.Daemon(name).Wait(kEventLimit);
    std::this_thread::sleep_for(kSettle);
    deployed.StartDaemon(name);
    CHECK(deployed.WaitForVersion(1, kEventLimit));
  }
  std::this_thread::sleep_for(kSettle);
  CheckPromises("two daemons killed and started again", deployed, load.Stop());
}

TEST(ProcessFault, FrozenDaemonThatWakes)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 12);
  AddThreeRanks(load.Callers());
  load.Start();
  for (const char* name : { "leinster-a-1", "leinster-a-2" }) {
    std::this_thread::sleep_for(kSettle);
    deployed.Daemon(name).Signal(SIGSTOP);
    std::this_thread::sleep_for(kFreeze);
    deployed.Daemon(name).Signal(SIGCONT);
  }
  std::this_thread::sleep_for(kSettle);
  CheckPromises("two daemons frozen for 5 s", deployed, load.Stop());
}

TEST(ProcessFault, LostUpstreamAnswersAreUnknownAndRunOnce)
{
  constexpr std::uint64_t kLost = 3; // at each of two upstreams
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 13);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  std::vector<std::string> losing = { "booking-leinster-a-1",
                                      "booking-munster-a-1" };
  for (const std::string& name : losing) {
    deployed.SetUpstream(name, R"({"lose_answers":3})");
  }
  bool lost = WaitUntil(
    [&]() {
      return LostAnswers(deployed, losing[0]) == kLost &&
             LostAnswers(deployed, losing[1]) == kLost;
    },
    kEventLimit);
  std::this_thread::sleep_for(kSettle);
  const caller_report& report = load.Stop();
  CHECK(lost);
  // Each lost answer is told as unknown, also after retries of the identity.
  CHECK_EQUAL(2 * kLost, UnknownCount(report));
  CheckPromises("6 answers of bookings lost", deployed, report);
}

TEST(ProcessFault, PlatformDown)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 14);
  AddThreeRanks(load.Callers());
  deployed.SetPlatform(R"({"outage":true})");
  load.Start();
  std::this_thread::sleep_for(kOutage);
  const caller_report& report = load.Stop();
  CheckPromises("60 s of an outage of the platform", deployed, report);
  CHECK_EQUAL(0, UnknownCount(report));
  // Then it is back, and slow.
  deployed.SetPlatform(R"({"outage":false,"delay_ms":1000})");
  CHECK(deployed.Submit(2, deployed.Document({ "report-munster-a-1" })));
  CHECK(deployed.WaitForVersion(2, kEventLimit));
}

TEST(ProcessFault, UpstreamLeavingByTheDocument)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 16);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  std::string name = "job-sheet-leinster-a-1";
  CHECK(deployed.Submit(2, deployed.Document({ name })));
  upstream_count late = WorkAfterLeaveLimit(deployed, name);
  std::printf("leaving by the document: work begun after 3 s: %llu\n",
              static_cast<unsigned long long>(late.mRuns));
  CheckPromises("upstream leaving by the document", deployed, load.Stop());
  CHECK_EQUAL(0, late.mRuns);
}

TEST(ProcessFault, UpstreamDrainingByItsOwnAnswer)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 17);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  std::string name = "job-sheet-leinster-a-1";
  deployed.SetUpstream(name, R"({"draining":true})");
  upstream_count late = WorkAfterLeaveLimit(deployed, name);
  std::printf("draining by its own answer: after 3 s begun %llu, offered and "
              "refused %llu\n",
              static_cast<unsigned long long>(late.mRuns),
              static_cast<unsigned long long>(late.mOfferedDraining));
  CheckPromises("upstream draining", deployed, load.Stop());
  CHECK_EQUAL(0, late.mRuns);
  CHECK_EQUAL(0, late.mOfferedDraining);
}
