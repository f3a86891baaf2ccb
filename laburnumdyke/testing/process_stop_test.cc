// Real daemons: planned stops under load cut no request and end with status 0.
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/planned_stops.h"
#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

#include <csignal>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::size_t kStops = 8;

} // namespace

TEST_GROUP(ProcessStop){};

// The homes of upstreams move with each stop and start: the slots hold as well.
TEST(ProcessStop, PlannedStopsUnderLoadCutNothing)
{
  stop_report report = RunPlannedStops(kStops, 1);
  PrintStops(report);
  CHECK(report.mStarted);
  CHECK_EQUAL(kStops, report.mStops);
  CHECK_EQUAL(0, report.mBadStatus);
  CHECK_EQUAL(0, report.mCut);
  CHECK_EQUAL(0, report.mWrong);
  CHECK_EQUAL(0, report.mRunTwice);
  CHECK_EQUAL(0, report.mFalseNotRun);
  CHECK_EQUAL(0, report.mOvershot);
  CHECK(report.mAnswered > 0);
}

// SIGHUP once ended the process.
TEST(ProcessStop, ReloadSignalChecksTheSettingsAndEndsNothing)
{
  deployment deployed;
  PlanTwoDomains(deployed, 1);
  CHECK(StartTwoDomains(deployed));
  process& daemon = deployed.Daemon("leinster-a-1");
  daemon.Signal(SIGHUP);
  bool logged = WaitUntil(
    [&]() {
      return deployed.ReadLog("leinster-a-1.log").find("settings_reloaded") !=
             std::string::npos;
    },
    kEventLimit);
  CHECK(logged);
  call_request request;
  request.mTo = deployed.Addresses("leinster-a-1").mCaller;
  request.mTarget = "/v1/request/report/work?ms=20&bytes=100";
  CHECK_EQUAL(200, CallNow(request).mStatus);
  daemon.Signal(SIGTERM);
  CHECK_EQUAL(0, daemon.Wait(kEventLimit).value_or(-1));
}

TEST(ProcessStop, SecondSignalSaysWhatTheStopWaitsFor)
{
  deployment deployed;
  PlanTwoDomains(deployed, 1);
  CHECK(StartTwoDomains(deployed));
  call_request request;
  request.mTo = deployed.Addresses("leinster-a-1").mCaller;
  request.mTarget = "/v1/request/report/work?ms=4000&bytes=5000";
  request.mHeaders = { { std::string(kDeadlineHeader), "30000" } };
  request.mTimeout = std::chrono::milliseconds(30000);
  call_result result;
  std::thread caller([&]() { result = CallNow(request); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  process& daemon = deployed.Daemon("leinster-a-1");
  daemon.Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  daemon.Signal(SIGTERM);
  bool logged = WaitUntil(
    [&]() {
      return deployed.ReadLog("leinster-a-1.log").find("still_waiting") !=
             std::string::npos;
    },
    kEventLimit);
  std::optional<int> status = daemon.Wait(kEventLimit);
  caller.join();
  CHECK(logged);
  CHECK_EQUAL(0, status.value_or(-1));
  CHECK(result.mComplete);
  CHECK_EQUAL(200, result.mStatus);
  CHECK_EQUAL(5000, result.mBody.size());
}
