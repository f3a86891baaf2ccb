// Real daemons: versions of the document spread and never go back, through
// kills, cuts of the platform's links, stale reads and lost write answers.
// Times are printed; verdicts are on counts and order.
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"
#include "laburnumdyke/testing/harness/version_watch.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::chrono::seconds kInForceTarget{ 5 };

void
PrintSpreading(const char* aWhat, const spreading& aSpreading)
{
  std::printf("%s: in force everywhere after %lld ms (last %s), target 5000 "
              "ms %s\n",
              aWhat,
              static_cast<long long>(aSpreading.mWorst.count()),
              aSpreading.mLast.c_str(),
              aSpreading.mWorst <= kInForceTarget ? "met" : "missed");
}

// Fails where a version went back.
void
CheckNoDecrease(version_watch& aWatch)
{
  aWatch.Stop();
  for (const std::string& decrease : aWatch.Decreases()) {
    std::printf("version went back: %s\n", decrease.c_str());
  }
  std::printf("versions that went back: %zu of %llu readings\n",
              aWatch.Decreases().size(),
              static_cast<unsigned long long>(aWatch.Readings()));
  CHECK(aWatch.Readings() > 0);
  CHECK_EQUAL(0, aWatch.Decreases().size());
}

// The whole document with another cap, so that its content differs.
std::string
ChangedDocument(const deployment& aDeployment, unsigned aCap)
{
  std::string text = aDeployment.Document({});
  std::string from = "cap = 18";
  text.replace(text.find(from), from.size(), "cap = " + std::to_string(aCap));
  return text;
}

std::string
WriteDocument(const deployment& aDeployment,
              const std::string& aName,
              unsigned aCap)
{
  std::string file = aDeployment.Folder() + "/" + aName;
  std::ofstream(file) << ChangedDocument(aDeployment, aCap);
  return file;
}

std::vector<std::string>
SubmitArguments(const deployment& aDeployment, const std::string& aFile)
{
  return { "submit",      aFile,  "--platform", aDeployment.Platform().Text(),
           "--submitter", "test", "--json" };
}

std::uint64_t
RowRevision(const deployment& aDeployment)
{
  return JsonNumber(JsonObject(GetText(aDeployment.Platform(),
                                       "/v1/tables/config/rows/current")),
                    "revision");
}

call_result
LookUp(const endpoint& aCaller)
{
  call_request request;
  request.mTo = aCaller;
  request.mTarget = "/v1/lookup?service=job-sheet&client=10.1.0.9";
  return CallNow(request);
}

call_result
RequestWork(const endpoint& aCaller)
{
  call_request request;
  request.mTo = aCaller;
  request.mTarget = "/v1/request/job-sheet/work?ms=1&bytes=10";
  return CallNow(request);
}

} // namespace

TEST_GROUP(ProcessConfig){};

TEST(ProcessConfig, NewVersionsReachEveryInstance)
{
  deployment deployed;
  PlanTwoDomains(deployed, 3);
  CHECK(StartTwoDomains(deployed));
  version_watch watch(deployed);
  std::chrono::milliseconds worst{ 0 };
  for (std::uint64_t version = 2; version <= 6; ++version) {
    std::string text =
      ChangedDocument(deployed, 10 + static_cast<unsigned>(version));
    CHECK(deployed.Submit(version, text));
    spreading spread =
      WaitInForce(deployed, deployed.DaemonNames(), version, kEventLimit);
    CHECK(spread.mEverywhere);
    PrintSpreading("accepted version", spread);
    worst = std::max(worst, spread.mWorst);
  }
  std::printf("worst of 5 versions at 6 instances: %lld ms\n",
              static_cast<long long>(worst.count()));
  CheckNoDecrease(watch);
}

TEST(ProcessConfig, CutFromThePlatformLearnsThroughPeers)
{
  deployment deployed({ .mPlatformLinks = true });
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  version_watch watch(deployed);
  for (const char* name : { "leinster-a-2", "munster-a-1", "munster-a-2" }) {
    deployed.Links().Set(PlatformLink(name), { .mCut = true });
  }
  CHECK(deployed.Submit(2, ChangedDocument(deployed, 12)));
  spreading spread =
    WaitInForce(deployed, deployed.DaemonNames(), 2, kEventLimit);
  CHECK(spread.mEverywhere);
  PrintSpreading("3 of 4 instances cut from the platform", spread);
  CheckNoDecrease(watch);
}

TEST(ProcessConfig, VersionsNeverGoBack)
{
  deployment deployed({ .mPlatformLinks = true });
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  version_watch watch(deployed);
  // Reads are stale from here: the platform goes on showing version 1.
  CHECK(deployed.Submit(2, ChangedDocument(deployed, 12)));
  CHECK(
    WaitInForce(deployed, deployed.DaemonNames(), 2, kEventLimit).mEverywhere);
  deployed.SetPlatform(R"({"stale_reads":true})");
  CHECK(deployed.Submit(3, ChangedDocument(deployed, 13)));
  deployed.SetPlatform(R"({"stale_reads":false})");
  CHECK(
    WaitInForce(deployed, deployed.DaemonNames(), 3, kEventLimit).mEverywhere);
  // A replaced instance takes the highest of the platform and its peers.
  for (const char* name : { "munster-a-2", "leinster-a-2" }) {
    deployed.Daemon(name).Signal(SIGKILL);
    deployed.Daemon(name).Wait(kEventLimit);
    deployed.Links().Set(PlatformLink(name), { .mCut = true });
    deployed.StartDaemon(name);
    CHECK(WaitInForce(deployed, { name }, 3, kEventLimit).mEverywhere);
    deployed.Links().Set(PlatformLink(name), {});
  }
  // A freeze across a change.
  deployed.Daemon("munster-a-1").Signal(SIGSTOP);
  CHECK(deployed.Submit(4, ChangedDocument(deployed, 14)));
  CHECK(WaitInForce(deployed, { "munster-a-2" }, 4, kEventLimit).mEverywhere);
  deployed.Daemon("munster-a-1").Signal(SIGCONT);
  CHECK(
    WaitInForce(deployed, deployed.DaemonNames(), 4, kEventLimit).mEverywhere);
  CheckNoDecrease(watch);
}

// The platform of the restarted instance lags: it shows version 1, which the
// instance's former incarnation and its peers have left behind.
TEST(ProcessConfig, RestartUnderStaleReadsTakesTheNewestOfItsPeers)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  version_watch watch(deployed);
  CHECK(deployed.Submit(2, ChangedDocument(deployed, 12)));
  CHECK(
    WaitInForce(deployed, deployed.DaemonNames(), 2, kEventLimit).mEverywhere);
  endpoint lagging = deployed.StartLaggingPlatform();
  for (const char* name : { "leinster-a-2", "munster-a-1", "munster-a-2" }) {
    deployed.Daemon(name).Signal(SIGKILL);
    deployed.Daemon(name).Wait(kEventLimit);
    deployed.UsePlatform(name, lagging);
    deployed.StartDaemon(name);
    CHECK(WaitInForce(deployed, { name }, 2, kEventLimit).mEverywhere);
  }
  CheckNoDecrease(watch);
}

TEST(ProcessConfig, RefusesWorkUntilItHasADocument)
{
  deployment deployed({ .mPlatformLinks = true });
  PlanTwoDomains(deployed, 0);
  deployed.AddDaemon("leinster-a-1", "leinster-a");
  CHECK(StartTwoDomains(deployed));
  endpoint caller = deployed.Addresses("leinster-a-1").mCaller;
  deployed.Daemon("leinster-a-1").Signal(SIGKILL);
  deployed.Daemon("leinster-a-1").Wait(kEventLimit);
  deployed.Links().Set(PlatformLink("leinster-a-1"), { .mCut = true });
  deployed.StartDaemon("leinster-a-1");
  CHECK(WaitUntil([&]() { return LookUp(caller).mComplete; }, kEventLimit));
  call_result lookup = LookUp(caller);
  CHECK_EQUAL(503, lookup.mStatus);
  CHECK(lookup.mBody.find("no_document") != std::string::npos);
  call_result refused = RequestWork(caller);
  CHECK_EQUAL(503, refused.mStatus);
  STRCMP_EQUAL("not-run", refused.Field(kOutcomeHeader).c_str());
  STRCMP_EQUAL("no_document", refused.Field(kReasonHeader).c_str());
  deployed.Links().Set(PlatformLink("leinster-a-1"), {});
  CHECK(WaitInForce(deployed, { "leinster-a-1" }, 1, kEventLimit).mEverywhere);
  CHECK(WaitUntil([&]() { return RequestWork(caller).mStatus == 200; },
                  kEventLimit));
}

TEST(ProcessConfig, LostWriteAnswerIsResolvedAndAppliedOnce)
{
  deployment deployed;
  PlanTwoDomains(deployed, 1);
  CHECK(StartTwoDomains(deployed));
  for (std::uint64_t version = 2; version <= 4; ++version) {
    deployed.SetPlatform(R"({"lose_write_answers":1,"lose_object_answers":1})");
    std::string file =
      WriteDocument(deployed, "lost.ini", 10 + static_cast<unsigned>(version));
    tool_result tool = deployed.RunTool(SubmitArguments(deployed, file));
    std::printf("%s", tool.mOutput.c_str());
    CHECK_EQUAL(0, tool.mStatus.value_or(-1));
    CHECK_EQUAL(version, RowRevision(deployed));
    CHECK(WaitInForce(deployed, deployed.DaemonNames(), version, kEventLimit)
            .mEverywhere);
  }
}

TEST(ProcessConfig, OneOfTwoOperatorsWins)
{
  deployment deployed;
  PlanTwoDomains(deployed, 1);
  CHECK(StartTwoDomains(deployed));
  for (std::uint64_t version = 1; version <= 4; ++version) {
    std::vector<process> tools;
    for (unsigned i = 0; i < 2; ++i) {
      std::string name = "race-" + std::to_string(i);
      unsigned cap = 10 + 2 * static_cast<unsigned>(version) + i;
      std::vector<std::string> arguments =
        SubmitArguments(deployed, WriteDocument(deployed, name, cap));
      arguments.insert(arguments.end(), { "--base", std::to_string(version) });
      tools.push_back(deployed.StartTool(arguments, name + ".log"));
    }
    std::vector<int> statuses;
    for (process& tool : tools) {
      statuses.push_back(tool.Wait(kEventLimit).value_or(-1));
    }
    std::sort(statuses.begin(), statuses.end());
    CHECK_EQUAL(0, statuses[0]);
    CHECK_EQUAL(1, statuses[1]);
    CHECK_EQUAL(version + 1, RowRevision(deployed));
    CHECK(
      WaitInForce(deployed, deployed.DaemonNames(), version + 1, kEventLimit)
        .mEverywhere);
  }
  std::string told =
    deployed.ReadLog("race-0.log") + deployed.ReadLog("race-1.log");
  CHECK(told.find("\"conflict\"") != std::string::npos);
}
