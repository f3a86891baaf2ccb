// The main job, shown: callers of three ranks are served by daemons in two
// regions and three failure domains while one daemon is killed, one upstream
// is drained by a change of the document and one daemon is stopped on plan.
//
// Prints outcomes by rank and every promise with its figure; ends non-zero if
// a promise was broken.
#include "laburnumdyke/testing/harness/background_load.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <thread>

namespace {

using namespace laburnumdyke;

constexpr std::string_view kHead = "[region leinster]\n"
                                   "cap = 36\n"
                                   "[region munster]\n"
                                   "cap = 18\n"
                                   "[service booking]\n"
                                   "rank = urgent\n"
                                   "idempotent = no\n"
                                   "answer_life = 2s\n"
                                   "warm_up = 1s\n"
                                   "[service job-sheet]\n"
                                   "rank = standard\n"
                                   "answer_life = 2s\n"
                                   "warm_up = 1s\n"
                                   "[service report]\n"
                                   "rank = bulk\n"
                                   "answer_life = 2s\n"
                                   "deadline = 10s\n"
                                   "warm_up = 1s\n"
                                   "[rank urgent]\n"
                                   "floor = 50\n"
                                   "queue = 64\n"
                                   "[rank standard]\n"
                                   "floor = 30\n"
                                   "queue = 64\n"
                                   "[rank bulk]\n"
                                   "floor = 10\n"
                                   "queue = 64\n"
                                   "[link leinster-munster]\n"
                                   "between = leinster, munster\n"
                                   "rate = 300\n"
                                   "[blocks]\n"
                                   "leinster-a = 10.1.0.0/16\n"
                                   "leinster-b = 10.2.0.0/16\n"
                                   "munster-a = 10.3.0.0/16\n";

constexpr std::chrono::seconds kPhase{ 4 };
constexpr std::chrono::seconds kStartLimit{ 60 };
constexpr std::chrono::seconds kStopLimit{ 60 };

void
Plan(deployment& aDeployment)
{
  const std::vector<std::string> domains = { "leinster-a",
                                             "leinster-b",
                                             "munster-a" };
  aDeployment.AddDomain("leinster-a", "leinster");
  aDeployment.AddDomain("leinster-b", "leinster");
  aDeployment.AddDomain("munster-a", "munster");
  for (const std::string service : { "booking", "job-sheet", "report" }) {
    for (const std::string& domain : domains) {
      for (const char* number : { "-1", "-2" }) {
        std::string name = service;
        name.append("-").append(domain).append(number);
        aDeployment.AddUpstream({ name, service, domain, 3 });
      }
    }
  }
  for (const std::string& domain : domains) {
    aDeployment.AddDaemon(domain + "-1", domain);
    aDeployment.AddDaemon(domain + "-2", domain);
  }
}

void
AddCallers(caller_group& aCallers)
{
  for (const char* client : { "10.1.0.9", "10.2.0.9", "10.3.0.9" }) {
    caller_plan booking;
    booking.mService = "booking";
    booking.mClient = client;
    booking.mRank = work_rank::Urgent;
    booking.mIdempotent = false;
    aCallers.Add(booking, 6);
    caller_plan sheet;
    sheet.mService = "job-sheet";
    sheet.mClient = client;
    sheet.mRank = work_rank::Standard;
    aCallers.Add(sheet, 8);
    caller_plan report;
    report.mService = "report";
    report.mClient = client;
    report.mRank = work_rank::Bulk;
    report.mServiceTime = std::chrono::milliseconds(100);
    report.mAnswerBytes = 300000;
    report.mDeadline = std::chrono::milliseconds(10000);
    aCallers.Add(report, 8);
  }
}

std::chrono::microseconds
Quantile(std::vector<std::chrono::microseconds> aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return std::chrono::microseconds(0);
  }
  std::size_t index = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aTimes.size() - 1));
  std::nth_element(aTimes.begin(),
                   aTimes.begin() + static_cast<std::ptrdiff_t>(index),
                   aTimes.end());
  return aTimes[index];
}

void
PrintTable(const caller_report& aReport)
{
  std::printf("%-9s %9s %8s %8s %9s %11s %11s\n",
              "rank",
              "answered",
              "not-run",
              "unknown",
              "attempts",
              "median ms",
              "p99 ms");
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const rank_tally& tally = aReport.mRanks.at(i);
    std::printf(
      "%-9s %9llu %8llu %8llu %9llu %11.1f %11.1f\n",
      std::string(ToString(static_cast<work_rank>(i))).c_str(),
      static_cast<unsigned long long>(tally.mAnswered),
      static_cast<unsigned long long>(tally.mNotRun),
      static_cast<unsigned long long>(tally.mUnknown),
      static_cast<unsigned long long>(tally.mAttempts),
      static_cast<double>(Quantile(tally.mLatencies, 0.5).count()) / 1000,
      static_cast<double>(Quantile(tally.mLatencies, 0.99).count()) / 1000);
    for (const std::pair<const std::string, std::uint64_t>& reason :
         tally.mReasons) {
      std::printf("          refused attempts: %s %llu\n",
                  reason.first.c_str(),
                  static_cast<unsigned long long>(reason.second));
    }
  }
}

bool
Promise(const char* aText, std::uint64_t aBroken)
{
  std::printf("%-58s %s (%llu)\n",
              aText,
              aBroken == 0 ? "kept" : "BROKEN",
              static_cast<unsigned long long>(aBroken));
  return aBroken == 0;
}

// Marks an upstream as leaving and returns how much work began there after
// the limit.
std::uint64_t
DrainUpstream(deployment& aDeployment, const std::string& aName)
{
  aDeployment.Submit(2, aDeployment.Document({ aName }));
  return WorkAfterLeaveLimit(aDeployment, aName).mRuns;
}

bool
JudgePromises(const deployment& aDeployment,
              const caller_report& aReport,
              const endpoint& aStopped,
              std::uint64_t aLateWork)
{
  upstream_count upstreams = CountUpstreams(aDeployment);
  std::uint64_t cutByStop = 0;
  for (const cut_request& cut : aReport.mCut) {
    cutByStop += cut.mEntry == aStopped ? 1 : 0;
  }
  std::uint64_t unserved = 0;
  for (const rank_tally& tally : aReport.mRanks) {
    unserved += tally.mAnswered == 0 ? 1 : 0;
  }
  bool kept = Promise("every rank was served", unserved);
  kept &= Promise("each caller got the whole answer to its own request",
                  WrongAnswers(aReport));
  kept &= Promise("no booking ran twice", upstreams.RunTwice());
  kept &=
    Promise("told \"not run\": truly not run", FalseNotRun(upstreams, aReport));
  kept &=
    Promise("no upstream was given more than its slots", upstreams.mOvershot);
  kept &= Promise("the leaving upstream got no new work after 3 s", aLateWork);
  kept &= Promise("the planned stop cut no request", cutByStop);
  return kept;
}

int
RunDemo()
{
  deployment deployed;
  Plan(deployed);
  deployed.Start(std::string(kHead));
  if (!deployed.WaitForVersion(1, kStartLimit) ||
      !deployed.WaitForHomes(kStartLimit)) {
    std::printf("the daemons did not come up\n");
    return 2;
  }
  std::printf("6 daemons in 3 failure domains and 2 regions, 18 upstreams\n");
  background_load load(CallerAddresses(deployed), 1);
  AddCallers(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kPhase);
  std::printf("killing daemon leinster-a-1\n");
  deployed.Daemon("leinster-a-1").Signal(SIGKILL);
  std::this_thread::sleep_for(kPhase);
  std::printf("draining upstream job-sheet-leinster-b-1\n");
  std::uint64_t late = DrainUpstream(deployed, "job-sheet-leinster-b-1");
  std::printf("stopping daemon munster-a-1 on plan\n");
  deployed.Daemon("munster-a-1").Signal(SIGTERM);
  std::optional<int> status = deployed.Daemon("munster-a-1").Wait(kStopLimit);
  std::this_thread::sleep_for(kPhase / 2);
  const caller_report& report = load.Stop();
  PrintTable(report);
  bool kept = JudgePromises(
    deployed, report, deployed.Addresses("munster-a-1").mCaller, late);
  kept &=
    Promise("the planned stop ended with exit status 0", status == 0 ? 0 : 1);
  return kept ? 0 : 1;
}

} // namespace

int
main()
{
  return RunDemo();
}
