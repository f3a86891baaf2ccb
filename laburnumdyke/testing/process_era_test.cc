// Real daemons while their store is restored from a backup, twice in a row:
// what they believe meanwhile, and what they write again.
#include "laburnumdyke/testing/harness/hosts_deployment.h"
#include "laburnumdyke/testing/harness/scenario.h"

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(ProcessEra)
{
  hosts_deployment mDeployed;
  const std::vector<std::string> mNames{ "one", "two", "three" };
  int mSent = 0;
  int mAnswered = 0;

  void setup() override
  {
    mDeployed.Store().With([](store_model& aRows) { aRows.SetEra(1); });
  }

  void SendFor(std::chrono::milliseconds aTime)
  {
    std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      ++mSent;
      call_result answer = mDeployed.Send(mNames[mSent % mNames.size()],
                                          "request-" + std::to_string(mSent));
      mAnswered += answer.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(5ms);
    }
  }

  // The versions of the configuration that a daemon has put in force, in order.
  std::vector<int> Configurations(const std::string& aName)
  {
    const std::string event = "event=configuration_in_force";
    std::string log = mDeployed.ReadLog(aName);
    std::vector<int> versions;
    for (std::size_t at = log.find(event); at != std::string::npos;
         at = log.find(event, at + 1)) {
      std::size_t version = log.find("version=", at);
      versions.push_back(std::stoi(log.substr(version + 8)));
    }
    return versions;
  }

  bool AllHave(int aConfiguration)
  {
    return WaitUntil(
      [&]() {
        return std::all_of(
          mNames.begin(), mNames.end(), [&](const std::string& aName) {
            std::vector<int> versions = Configurations(aName);
            return !versions.empty() && versions.back() == aConfiguration;
          });
      },
      kEventLimit);
  }

  bool AllLogged(const std::string& aText)
  {
    return WaitUntil(
      [&]() {
        return std::all_of(
          mNames.begin(), mNames.end(), [&](const std::string& aName) {
            return mDeployed.ReadLog(aName).find(aText) != std::string::npos;
          });
      },
      kEventLimit);
  }

  bool IsListed(const std::string& aTable, const std::string& aKey)
  {
    return mDeployed.Store().With([&](store_model& aRows) {
      std::vector<model_row> rows = aRows.Rows(aTable);
      return std::any_of(rows.begin(), rows.end(), [&](const model_row& aRow) {
        return aRow.mKey == aKey;
      });
    });
  }

  // The store is unavailable for a moment and returns from a backup that was
  // made at aBackup.
  std::vector<model_row> Drill(std::chrono::steady_clock::time_point aBackup)
  {
    mDeployed.Store().SetOutage(true);
    SendFor(500ms);
    std::vector<model_row> lost =
      mDeployed.Store().With([&](store_model& aRows) {
        return aRows.Restore(
          std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - aBackup));
      });
    mDeployed.Store().SetOutage(false);
    return lost;
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
};

// Guards against everything that a restored store could make the daemons
// believe. In the time that the backup lacks, i-2 registered, i-1 began to
// drain, i-3 left, the configuration changed and instance three registered. So
// only i-2 may be used, and the backup shows only the others. Instances four
// and five start after a restore, and must not fall back to its configuration.
TEST(ProcessEra, TwoRestoresInARowTakeNothingBack)
{
  mDeployed.AddUpstream("i-1");
  mDeployed.AddUpstream("i-3");
  CHECK(mDeployed.StartDaemon("one"));
  CHECK(mDeployed.StartDaemon("two"));
  std::this_thread::sleep_for(2500ms);
  std::chrono::steady_clock::time_point backup =
    std::chrono::steady_clock::now();
  std::this_thread::sleep_for(100ms);
  mDeployed.AddUpstream("i-2");
  mDeployed.Configure(2, {});
  CHECK(mDeployed.StartDaemon("three"));
  mDeployed.Register("i-1", true);
  mDeployed.Store().With(
    [](store_model& aRows) { aRows.Remove("servers", "i-3"); });
  CHECK(AllHave(2));
  SendFor(3000ms);
  CHECK(!mDeployed.Runs("i-2").empty());
  CHECK(IsListed("instances", "three"));
  std::chrono::steady_clock::time_point left = std::chrono::steady_clock::now();
  std::uint64_t era = 1;
  for (int drill = 0; drill < 2; ++drill) {
    std::vector<model_row> lost = Drill(backup);
    CHECK(!lost.empty());
    CHECK(IsListed("servers", "i-3"));
    CHECK_FALSE(IsListed("servers", "i-2"));
    CHECK_FALSE(IsListed("instances", "three"));
    CHECK(mDeployed.StartDaemon(drill == 0 ? "four" : "five"));
    SendFor(1000ms);
    mDeployed.Register("i-1", true);
    mDeployed.Register("i-2", false);
    std::string change = "to=" + std::to_string(++era);
    CHECK(AllLogged(change));
    SendFor(drill == 0 ? 2000ms : 6000ms);
  }
  // The operator is slow: the configuration of the backup is still the older.
  mDeployed.Configure(3, {});
  CHECK(AllHave(3));
  for (const std::string& name : mNames) {
    std::vector<int> versions = Configurations(name);
    CHECK(std::is_sorted(versions.begin(), versions.end()));
  }
  LONGS_EQUAL(2, Configurations("four").front());
  LONGS_EQUAL(2, Configurations("five").front());
  LONGS_EQUAL(0, RunsAfter("i-1", left));
  LONGS_EQUAL(0, RunsAfter("i-3", left));
  LONGS_EQUAL(mSent, mAnswered);
  CHECK(RunsAfter("i-2", std::chrono::steady_clock::now() - 3s) > 0);
  CHECK(IsListed("instances", "three"));
  CHECK(mDeployed.StopDaemons());
}

// Guards against a row that stays for ever: two is the last to know of three's
// leaving, and the backup lists three again.
TEST(ProcessEra, TheRowOfAWithdrawnInstanceIsDeletedAgain)
{
  mDeployed.AddUpstream("i-1");
  for (const std::string& name : mNames) {
    CHECK(mDeployed.StartDaemon(name));
  }
  CHECK(
    WaitUntil([&]() { return IsListed("instances", "three"); }, kEventLimit));
  std::this_thread::sleep_for(3000ms);
  std::chrono::steady_clock::time_point backup =
    std::chrono::steady_clock::now();
  std::this_thread::sleep_for(100ms);
  mDeployed.Daemon("three").mProcess->Signal(SIGTERM);
  CHECK(mDeployed.Daemon("three").mProcess->Wait(kEventLimit) ==
        std::optional<int>(0));
  CHECK_FALSE(IsListed("instances", "three"));
  mDeployed.Store().With([&](store_model& aRows) {
    aRows.Restore(std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - backup));
  });
  CHECK(IsListed("instances", "three"));
  CHECK(WaitUntil([&]() { return !IsListed("instances", "three"); }, 15s));
  std::this_thread::sleep_for(1000ms);
  CHECK_FALSE(IsListed("instances", "three"));
  CHECK(IsListed("instances", "one"));
  CHECK(IsListed("instances", "two"));
}
