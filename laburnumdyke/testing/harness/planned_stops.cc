// Any connection cut under a request counts, whichever daemon it was to: no
// process is killed during the run.
#include "laburnumdyke/testing/harness/planned_stops.h"

#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <thread>

namespace laburnumdyke {

namespace {

constexpr unsigned kDaemons = 2; // in each failure domain
constexpr std::chrono::milliseconds kLoadBefore{ 500 };

void
StopOne(deployment& aDeployment, const std::string& aName, stop_report& aReport)
{
  std::optional<int> status = aDeployment.Daemon(aName).Wait(kEventLimit);
  ++aReport.mStops;
  aReport.mBadStatus += status == 0 ? 0 : 1;
  if (status != 0) {
    std::printf(
      "%s ended with status %d\n", aName.c_str(), status.value_or(-1));
  }
}

// The longest of two daemons' stops.
std::chrono::milliseconds
StopTwo(deployment& aDeployment,
        const std::array<std::string, 2>& aNames,
        stop_report& aReport)
{
  std::chrono::steady_clock::time_point began =
    std::chrono::steady_clock::now();
  for (const std::string& name : aNames) {
    aDeployment.Daemon(name).Signal(SIGTERM);
  }
  for (const std::string& name : aNames) {
    StopOne(aDeployment, name, aReport);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - began);
}

} // namespace

stop_report
RunPlannedStops(std::size_t aStops, std::uint64_t aSeed)
{
  stop_report report;
  deployment deployed;
  PlanTwoDomains(deployed, kDaemons);
  report.mStarted = StartTwoDomains(deployed);
  background_load load(CallerAddresses(deployed), aSeed);
  AddThreeRanks(load.Callers());
  load.Start();
  for (unsigned round = 0; report.mStarted && report.mStops < aStops; ++round) {
    std::string number = "-" + std::to_string(round % kDaemons + 1);
    std::array<std::string, 2> names = { "leinster-a" + number,
                                         "munster-a" + number };
    std::this_thread::sleep_for(kLoadBefore);
    report.mLongest =
      std::max(report.mLongest, StopTwo(deployed, names, report));
    for (const std::string& name : names) {
      deployed.StartDaemon(name);
    }
    report.mStarted = deployed.WaitForVersion(1, kEventLimit);
  }
  const caller_report& seen = load.Stop();
  upstream_count upstreams = CountUpstreams(deployed);
  report.mCut = seen.mCut.size();
  report.mAnswered = Answered(seen);
  report.mWrong = WrongAnswers(seen);
  report.mRunTwice = upstreams.RunTwice();
  report.mFalseNotRun = FalseNotRun(upstreams, seen);
  report.mOvershot = upstreams.mOvershot;
  return report;
}

void
PrintStops(const stop_report& aReport)
{
  std::printf("planned stops %zu, exit status not 0: %zu, requests cut %zu, "
              "answered %llu, wrong %llu, run twice %llu, false not-run %llu, "
              "overshot %llu, longest stop %lld ms\n",
              aReport.mStops,
              aReport.mBadStatus,
              aReport.mCut,
              static_cast<unsigned long long>(aReport.mAnswered),
              static_cast<unsigned long long>(aReport.mWrong),
              static_cast<unsigned long long>(aReport.mRunTwice),
              static_cast<unsigned long long>(aReport.mFalseNotRun),
              static_cast<unsigned long long>(aReport.mOvershot),
              static_cast<long long>(aReport.mLongest.count()));
}

} // namespace laburnumdyke
