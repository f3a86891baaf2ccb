// Real daemons when a whole region dies, and when one kind of work floods in.
// Verdicts are on counts: what is answered of each rank, and what callers of
// the others were told.
#include "laburnumdyke/testing/process_checks.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::chrono::seconds kSettle{ 2 };
constexpr std::chrono::seconds kFlood{ 6 };
constexpr std::size_t kFloodCallers = 150; // beside AddThreeRanks'

const rank_tally&
TallyOf(const caller_report& aReport, work_rank aRank)
{
  return aReport.mRanks.at(static_cast<std::size_t>(aRank));
}

// Callers who ask again at once.
caller_plan
FloodPlan(work_rank aRank)
{
  caller_plan plan;
  plan.mService = aRank == work_rank::Urgent ? "booking" : "report";
  plan.mClient = "10.1.0.9";
  plan.mRank = aRank;
  plan.mIdempotent = aRank != work_rank::Urgent;
  plan.mServiceTime = std::chrono::milliseconds(100);
  plan.mPause = std::chrono::milliseconds(1);
  return plan;
}

// The load of all three ranks for a while, with a flood of one beside it.
caller_report
RunFlood(deployment& aDeployment, work_rank aRank, std::uint64_t aSeed)
{
  PlanTwoDomains(aDeployment, 2);
  CHECK(StartTwoDomains(aDeployment));
  background_load load(CallerAddresses(aDeployment), aSeed);
  AddThreeRanks(load.Callers());
  load.Callers().Add(FloodPlan(aRank), kFloodCallers);
  load.Start();
  std::this_thread::sleep_for(kFlood);
  return load.Stop();
}

} // namespace

TEST_GROUP(ProcessFlood){};

TEST(ProcessFlood, RegionKilledAndBack)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 22);
  AddThreeRanks(load.Callers());
  load.Start();
  for (int time = 0; time < 2; ++time) {
    std::this_thread::sleep_for(kSettle);
    for (const char* name : { "munster-a-1", "munster-a-2" }) {
      deployed.Daemon(name).Signal(SIGKILL);
    }
    for (const char* name : { "munster-a-1", "munster-a-2" }) {
      deployed.Daemon(name).Wait(kEventLimit);
    }
    CHECK(WaitForRunsIn(deployed, "leinster-a"));
    std::this_thread::sleep_for(kSettle);
    CHECK(WaitForRunsIn(deployed, "leinster-a"));
    for (const char* name : { "munster-a-1", "munster-a-2" }) {
      deployed.StartDaemon(name);
    }
    CHECK(deployed.WaitForVersion(1, kEventLimit));
    CHECK(WaitForRunsIn(deployed, "munster-a"));
  }
  CheckPromises("a region killed twice and back", deployed, load.Stop());
}

TEST(ProcessFlood, BulkFloodLeavesTheOthersWhatTheyHad)
{
  deployment deployed;
  caller_report report = RunFlood(deployed, work_rank::Bulk, 23);
  CheckPromises("flood of bulk work", deployed, report);
  CHECK_EQUAL(0, TallyOf(report, work_rank::Urgent).mNotRun);
  CHECK_EQUAL(0, TallyOf(report, work_rank::Standard).mNotRun);
  CHECK_EQUAL(0, UnknownCount(report));
}

TEST(ProcessFlood, UrgentFloodLeavesTheOthersSome)
{
  deployment deployed;
  caller_report report = RunFlood(deployed, work_rank::Urgent, 24);
  CheckPromises("flood of urgent work", deployed, report);
  CHECK(TallyOf(report, work_rank::Standard).mAnswered >
        TallyOf(report, work_rank::Standard).mNotRun);
  CHECK(TallyOf(report, work_rank::Bulk).mAnswered >
        TallyOf(report, work_rank::Bulk).mNotRun);
  CHECK_EQUAL(0, UnknownCount(report));
}
