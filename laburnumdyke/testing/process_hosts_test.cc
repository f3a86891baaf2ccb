// Real daemons that steer by host and path, with a stand-in for the users'
// store: what followers of a reader do when it freezes, what an outage of the
// store leaves, and what the logs say afterwards.
#include "laburnumdyke/testing/harness/hosts_deployment.h"
#include "laburnumdyke/testing/harness/scenario.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

// After an upstream's word that it leaves it must get nothing more.
constexpr std::chrono::milliseconds kDrainTimeout{ 2000 };

} // namespace

TEST_GROUP(ProcessHosts)
{
  hosts_deployment mDeployed;
  int mSent = 0;
  int mAnswered = 0;

  bool StartThree()
  {
    mDeployed.AddUpstream("i-1");
    mDeployed.AddUpstream("i-2");
    return mDeployed.StartDaemon("one") && mDeployed.StartDaemon("two") &&
           mDeployed.StartDaemon("three");
  }

  bool Follows(const std::string& aName, const std::string& aReader)
  {
    return WaitUntil(
      [&]() {
        std::string log = mDeployed.ReadLog(aName);
        std::size_t last = log.rfind("event=upstreams_read_from");
        return last != std::string::npos &&
               log.find("source=" + aReader, last) != std::string::npos;
      },
      kEventLimit);
  }

  // Begins an outage of the store in which the entries of all upstreams lapse.
  void LapseInAnOutage()
  {
    mDeployed.Store().SetOutage(true);
    SendFor(3000ms, { "one", "two", "three" });
    mDeployed.Store().With([](store_model& aRows) {
      aRows.Remove("servers", "i-1");
      aRows.Remove("servers", "i-2");
    });
  }

  long RunsAfter(const std::string& aUpstream,
                 std::chrono::steady_clock::time_point aTime)
  {
    std::vector<std::chrono::steady_clock::time_point> runs =
      mDeployed.Runs(aUpstream);
    return std::count_if(
      runs.begin(),
      runs.end(),
      [&](std::chrono::steady_clock::time_point aRun) { return aRun > aTime; });
  }

  // Sends by turns for a time.
  void SendFor(std::chrono::milliseconds aTime,
               const std::vector<std::string>& aNames)
  {
    std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      const std::string& name = aNames[mSent % aNames.size()];
      ++mSent;
      call_result answer =
        mDeployed.Send(name, "request-" + std::to_string(mSent));
      mAnswered += answer.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(5ms);
    }
  }
};

TEST(ProcessHosts, AFrozenReaderDelaysNoDrain)
{
  CHECK(StartThree());
  CHECK(Follows("two", "one"));
  CHECK(Follows("three", "one"));
  SendFor(500ms, { "two", "three" });
  CHECK(!mDeployed.Runs("i-1").empty());
  mDeployed.Daemon("one").mProcess->Signal(SIGSTOP);
  mDeployed.Register("i-1", true);
  std::chrono::steady_clock::time_point told = std::chrono::steady_clock::now();
  SendFor(5000ms, { "two", "three" });
  mDeployed.Daemon("one").mProcess->Signal(SIGCONT);
  LONGS_EQUAL(0, RunsAfter("i-1", told + kDrainTimeout));
  LONGS_EQUAL(mSent, mAnswered);
  CHECK(mDeployed.StopDaemons());
}

TEST(ProcessHosts, AnotherReadsWhereTheReaderDies)
{
  CHECK(StartThree());
  CHECK(Follows("three", "one"));
  mDeployed.Daemon("one").mProcess->Signal(SIGKILL);
  CHECK(Follows("two", "platform"));
  CHECK(Follows("three", "two"));
  // What the new reader learns reaches its follower.
  mDeployed.AddUpstream("i-3");
  mDeployed.Register("i-1", true);
  mDeployed.Register("i-2", true);
  CHECK(WaitUntil(
    [&]() {
      SendFor(100ms, { "three" });
      return !mDeployed.Runs("i-3").empty();
    },
    kEventLimit));
  LONGS_EQUAL(mSent, mAnswered);
}

// Entries lapse while the store is away, and are back a second after it.
TEST(ProcessHosts, AnOutageOfTheStoreCostsNoRequest)
{
  CHECK(StartThree());
  CHECK(Follows("three", "one"));
  LapseInAnOutage();
  SendFor(1000ms, { "one", "two", "three" });
  mDeployed.Store().SetOutage(false);
  SendFor(1000ms, { "one", "two", "three" });
  mDeployed.Register("i-1", false);
  mDeployed.Register("i-2", false);
  SendFor(4000ms, { "one", "two", "three" });
  LONGS_EQUAL(mSent, mAnswered);
  CHECK(mDeployed.StopDaemons());
}

// Guards against upstreams that stay unknown, and whose leaving is not noticed,
// because their entries lapsed and came back within one answer of the feed.
TEST(ProcessHosts, EntriesThatComeBackInAnOutageAreKnownAndMayLeave)
{
  CHECK(StartThree());
  CHECK(Follows("three", "one"));
  LapseInAnOutage();
  mDeployed.Register("i-1", false);
  mDeployed.Register("i-2", false);
  mDeployed.Store().SetOutage(false);
  SendFor(5000ms, { "one", "two", "three" });
  LONGS_EQUAL(mSent, mAnswered);
  mDeployed.Store().With(
    [](store_model& aRows) { aRows.Remove("servers", "i-1"); });
  std::chrono::steady_clock::time_point gone = std::chrono::steady_clock::now();
  SendFor(4000ms, { "one", "two", "three" });
  LONGS_EQUAL(0, RunsAfter("i-1", gone + kDrainTimeout));
  LONGS_EQUAL(mSent, mAnswered);
  CHECK(mDeployed.StopDaemons());
}

TEST(ProcessHosts, TheToolExplainsWhatADaemonLogged)
{
  CHECK(StartThree());
  LONGS_EQUAL(200, mDeployed.Send("two", "request-to-explain").mStatus);
  CHECK(mDeployed.StopDaemons());
  std::string output = mDeployed.Daemon("two").mLog + ".explained";
  process tool(ProgramFolder() + "/laburnumctl",
               { "explain",
                 "request-to-explain",
                 mDeployed.Daemon("one").mLog,
                 mDeployed.Daemon("two").mLog },
               output);
  CHECK(tool.Wait(kEventLimit) == std::optional<int>(0));
  std::ifstream file(output);
  std::string story{ std::istreambuf_iterator<char>(file), {} };
  STRCMP_CONTAINS("believed  two  configuration_in_force version=1",
                  story.c_str());
  STRCMP_CONTAINS("attempt request=request-to-explain route=r", story.c_str());
  STRCMP_CONTAINS("end=answered", story.c_str());
  CHECK(story.find("could not be read") == std::string::npos);
}
