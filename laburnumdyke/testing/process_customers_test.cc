// Real daemons that serve customers with keys: keys that come and go, a store
// that is silent for all instances or for one, and a quota over two instances.
// Verdicts are on counts and order. The only times compared are those from
// which on a request must not run.
#include "laburnumdyke/testing/harness/hosts_deployment.h"
#include "laburnumdyke/testing/harness/scenario.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

using time_point = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds kRevokeTimeout{ 2000 };
constexpr std::chrono::milliseconds kPause{ 20 };

constexpr const char* kSettings = "[bounds]\nrevoke_timeout = 2s\n";

constexpr const char* kOneKey = R"([{"name":"alpha","api-keys":["k-one"]}])";
constexpr const char* kBothKeys =
  R"([{"name":"alpha","api-keys":["k-one","k-two"]}])";
constexpr const char* kOtherKey = R"([{"name":"alpha","api-keys":["k-two"]}])";
// No configuration: which customer holds the key can't be told.
constexpr const char* kAmbiguousKey =
  R"([{"name":"alpha","api-keys":["k-two"]},)"
  R"({"name":"beta","api-keys":["k-two"]}])";

time_point
Now()
{
  return std::chrono::steady_clock::now();
}

// Answers by status; 0: none.
using status_counts = std::map<unsigned, long>;

long
CountOf(const status_counts& aCounts, unsigned aStatus)
{
  auto found = aCounts.find(aStatus);
  return found == aCounts.end() ? 0 : found->second;
}

void
PrintCounts(const char* aWhat, const status_counts& aCounts)
{
  std::printf("%s:", aWhat);
  for (const std::pair<const unsigned, long>& one : aCounts) {
    std::printf(" %u: %ld", one.first, one.second);
  }
  std::printf("\n");
}

// Of the customer "hot" in kQuotaCustomers.
constexpr double kRate = 20;
constexpr double kBurst = 10;
constexpr const char* kQuotaCustomers =
  R"([{"name":"hot","api-keys":["k-hot"],"rate-per-s":20,"burst":10},)"
  R"({"name":"calm","api-keys":["k-calm"],"rate-per-s":100,"burst":20}])";

constexpr std::chrono::seconds kWindow{ 5 };
constexpr std::chrono::seconds kQuotaRun{ 15 };
constexpr int kSendersPerInstance = 2;

// The bound of the quota: overshoot and slack have their defaults.
long
MostAllowed()
{
  return static_cast<long>(
    (kRate * static_cast<double>(kWindow.count()) + kBurst) * 1.1 + 20);
}

// The most runs of a customer in any window.
long
MostRuns(const std::vector<host_run>& aRuns, const std::string& aCustomer)
{
  std::vector<time_point> begun;
  for (const host_run& run : aRuns) {
    if (run.mCustomer == aCustomer) {
      begun.push_back(run.mBegun);
    }
  }
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < begun.size(); ++last) {
    while (begun[last] - begun[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<long>(most);
}

struct customers_fixture : public Utest
{
  hosts_deployment mDeployed{ kSettings };
  std::vector<std::string> mNames;
  std::atomic<int> mSent{ 0 };

  bool StartAlone(const std::vector<std::string>& aNames,
                  const char* aCustomers)
  {
    mNames = aNames;
    mDeployed.Configure(2, aCustomers);
    mDeployed.AddUpstream("i-1");
    mDeployed.AddUpstream("i-2");
    return std::all_of(
      mNames.begin(), mNames.end(), [&](const std::string& aName) {
        return mDeployed.StartDaemon(aName);
      });
  }

  // Starts instances that have heard of each other: the first reads the
  // platform for the others.
  bool Start(const std::vector<std::string>& aNames, const char* aCustomers)
  {
    return StartAlone(aNames, aCustomers) &&
           std::all_of(
             mNames.begin() + 1, mNames.end(), [&](const std::string& aName) {
               return Follows(aName, mNames.front());
             });
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

  call_result Ask(const std::string& aName, const std::string& aKey)
  {
    return mDeployed.SendRequest(
      aName, { "request-" + std::to_string(++mSent), "/x/1", KeyHeader(aKey) });
  }

  call_result AskOpen(const std::string& aName)
  {
    return mDeployed.SendRequest(
      aName, { "request-" + std::to_string(++mSent), "/open/1" });
  }

  static std::vector<std::pair<std::string, std::string>> KeyHeader(
    const std::string& aKey)
  {
    return { { "X-Key", aKey } };
  }

  bool WaitForStatus(const std::string& aName,
                     const std::string& aKey,
                     unsigned aStatus)
  {
    return WaitUntil([&]() { return Ask(aName, aKey).mStatus == aStatus; },
                     kEventLimit);
  }

  bool WaitForStatusEverywhere(const std::string& aKey, unsigned aStatus)
  {
    return std::all_of(
      mNames.begin(), mNames.end(), [&](const std::string& aName) {
        return WaitForStatus(aName, aKey, aStatus);
      });
  }

  // The answers of an instance to requests that are sent in a time.
  status_counts AskUntil(const std::string& aName,
                         const std::string& aKey,
                         time_point aEnd,
                         std::chrono::milliseconds aPause = kPause)
  {
    status_counts counts;
    while (Now() < aEnd) {
      ++counts[Ask(aName, aKey).mStatus];
      std::this_thread::sleep_for(aPause);
    }
    return counts;
  }

  // The run of a request; the test fails where there is none.
  host_run RunOf(const std::string& aRequest)
  {
    std::vector<host_run> runs = mDeployed.AllRuns();
    auto found =
      std::find_if(runs.begin(), runs.end(), [&](const host_run& aRun) {
        return aRun.mRequest == aRequest;
      });
    CHECK(found != runs.end());
    return *found;
  }

  // Every request that an upstream ran was named to be of the customer, and no
  // key reached an upstream.
  void CheckRunsOf(const std::string& aCustomer)
  {
    std::vector<host_run> runs = mDeployed.AllRuns();
    CHECK(!runs.empty());
    for (const host_run& run : runs) {
      STRCMP_EQUAL(aCustomer.c_str(), run.mCustomer.c_str());
      CHECK(!run.mHasKey);
    }
  }

  // Revokes a key while an instance cannot reach the store.
  void RevokeWhileApart(const std::string& aName)
  {
    CHECK(Start({ "one", "two", "three" }, kBothKeys));
    CHECK(WaitForStatusEverywhere("k-one", 200));
    mDeployed.Daemon(aName).mStore->TurnAway(true);
    CHECK(WaitUntil(
      [&]() {
        return mDeployed.ReadLog(aName).find("event=platform_lost") !=
               std::string::npos;
      },
      kEventLimit));
    mDeployed.Configure(3, kOtherKey);
    std::this_thread::sleep_until(Now() + kRevokeTimeout);
    status_counts revoked = AskUntil(aName, "k-one", Now() + 2s);
    PrintCounts("a revoked key at an instance turned away", revoked);
    LONGS_EQUAL(0, CountOf(revoked, 200));
    CHECK(WaitForStatus(aName, "k-one", 401));
    CHECK(WaitForStatus(aName, "k-two", 200));
    status_counts valid = AskUntil(aName, "k-two", Now() + 4s);
    PrintCounts("a valid key at an instance turned away", valid);
    LONGS_EQUAL(1, valid.size());
    CHECK(CountOf(valid, 200) > 0);
    CHECK(mDeployed.StopDaemons());
  }

  // Sends through every instance, and gathers the answers of each customer.
  void SendBoth(std::chrono::seconds aTime,
                status_counts& aHot,
                status_counts& aCalm)
  {
    std::mutex mutex;
    auto gather = [&](status_counts& aSum, const status_counts& aCounts) {
      std::scoped_lock lock(mutex);
      for (const std::pair<const unsigned, long>& one : aCounts) {
        aSum[one.first] += one.second;
      }
    };
    time_point end = Now() + aTime;
    std::vector<std::thread> senders;
    for (const std::string& name : mNames) {
      for (int i = 0; i < kSendersPerInstance; ++i) {
        senders.emplace_back(
          [&]() { gather(aHot, AskUntil(name, "k-hot", end, 3ms)); });
      }
      senders.emplace_back(
        [&]() { gather(aCalm, AskUntil(name, "k-calm", end, 100ms)); });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
  }

  // Sends far more than the quota of "hot" and less than that of "calm".
  void CheckQuotas()
  {
    status_counts hot;
    status_counts calm;
    SendBoth(kQuotaRun, hot, calm);
    long most = MostRuns(mDeployed.AllRuns(), "hot");
    PrintCounts("hot customer", hot);
    PrintCounts("calm customer", calm);
    std::printf("most runs in 5 s: %ld of %ld\n", most, MostAllowed());
    CHECK(most <= MostAllowed());
    CHECK(CountOf(hot, 429) > 3 * CountOf(hot, 200));
    CHECK(
      CountOf(hot, 200) >
      static_cast<long>(kRate * static_cast<double>(kQuotaRun.count()) / 2));
    LONGS_EQUAL(0, CountOf(calm, 429));
    CHECK(CountOf(calm, 200) > 0);
  }
};

} // namespace

TEST_GROUP_BASE(ProcessCustomers, customers_fixture){};

// Guards against an instance that misses a key that was added, or serves one
// that was revoked.
TEST(ProcessCustomers, KeysComeAndGoAtEveryInstance)
{
  CHECK(Start({ "one", "two", "three" }, kOneKey));
  CHECK(WaitForStatusEverywhere("k-one", 200));
  CHECK(WaitForStatusEverywhere("k-two", 401));
  CHECK(WaitForStatusEverywhere("", 401));
  mDeployed.Configure(3, kBothKeys);
  CHECK(WaitForStatusEverywhere("k-two", 200));
  CHECK(WaitForStatusEverywhere("k-one", 200));
  mDeployed.Configure(4, kOtherKey);
  time_point bound = Now() + kRevokeTimeout;
  CHECK(WaitForStatusEverywhere("k-one", 401));
  CHECK(WaitForStatusEverywhere("k-two", 200));
  std::this_thread::sleep_until(bound);
  for (const std::string& name : mNames) {
    status_counts revoked = AskUntil(name, "k-one", Now() + 1s);
    PrintCounts("a revoked key after the bound", revoked);
    LONGS_EQUAL(0, CountOf(revoked, 200));
    CHECK(CountOf(revoked, 401) > 0);
  }
  CheckRunsOf("alpha");
  CHECK(mDeployed.StopDaemons());
}

// Guards against a revoked key that stays in force because the version that
// revokes it can't be read.
TEST(ProcessCustomers, AVersionThatCannotBeReadEndsKeysInTime)
{
  CHECK(Start({ "one", "two", "three" }, kOneKey));
  CHECK(WaitForStatusEverywhere("k-one", 200));
  mDeployed.Configure(3, kAmbiguousKey);
  std::this_thread::sleep_until(Now() + kRevokeTimeout);
  for (const std::string& name : mNames) {
    status_counts revoked = AskUntil(name, "k-one", Now() + 1s);
    PrintCounts("a key of the version before one that can't be read", revoked);
    LONGS_EQUAL(0, CountOf(revoked, 200));
    LONGS_EQUAL(200, AskOpen(name).mStatus);
  }
  mDeployed.Configure(4, kOtherKey);
  CHECK(WaitForStatusEverywhere("k-two", 200));
  CHECK(WaitForStatusEverywhere("k-one", 401));
  CHECK(mDeployed.StopDaemons());
}

// Guards against a configuration that is refused whole for a key which callers
// can send, and against keys of which only a part is compared.
TEST(ProcessCustomers, AKeyMayBeAsLongAsAHeaderAllows)
{
  std::string start(12000, 'k');
  CHECK(Start({ "one" }, kOneKey));
  mDeployed.Configure(
    3, R"([{"name":"alpha","api-keys":["k-two",")" + start + R"(-one"]}])");
  CHECK(WaitForStatusEverywhere("k-two", 200));
  LONGS_EQUAL(200, Ask("one", start + "-one").mStatus);
  LONGS_EQUAL(401, Ask("one", start + "-two").mStatus);
  LONGS_EQUAL(401, Ask("one", start).mStatus);
  LONGS_EQUAL(401, Ask("one", "k-one").mStatus);
  CHECK(mDeployed.StopDaemons());
}

// Guards against upstreams that see a key, or a customer whom the client
// names.
TEST(ProcessCustomers, UpstreamsSeeTheCustomerAndNoKey)
{
  CHECK(Start({ "one", "two" }, kOneKey));
  CHECK(WaitForStatusEverywhere("k-one", 200));
  for (const std::string& name : mNames) {
    CHECK(WaitUntil(
      [&]() {
        return mDeployed
                 .SendRequest(
                   name,
                   { "forged-" + name,
                     "/x/1",
                     { { "X-Key", "k-one" }, { "X-Tenant", "beta" } } })
                 .mStatus == 200;
      },
      kEventLimit));
    STRCMP_EQUAL("alpha", RunOf("forged-" + name).mCustomer.c_str());
    LONGS_EQUAL(
      200,
      mDeployed
        .SendRequest(name,
                     { "open-" + name,
                       "/open/1",
                       { { "X-Key", "k-none" }, { "X-Tenant", "beta" } } })
        .mStatus);
    STRCMP_EQUAL("", RunOf("open-" + name).mCustomer.c_str());
  }
  for (const host_run& run : mDeployed.AllRuns()) {
    CHECK(!run.mHasKey);
  }
  CHECK(mDeployed.StopDaemons());
}

// Guards against keys that are accepted although nobody can tell whether they
// were revoked, and against instances that refuse more than these.
TEST(ProcessCustomers, ASilentStoreEndsKeysAndNothingElse)
{
  CHECK(Start({ "one", "two", "three" }, kOneKey));
  CHECK(WaitForStatusEverywhere("k-one", 200));
  mDeployed.Store().SetOutage(true);
  std::this_thread::sleep_until(Now() + kRevokeTimeout);
  for (const std::string& name : mNames) {
    status_counts counts = AskUntil(name, "k-one", Now() + 1s);
    PrintCounts("a key in an outage", counts);
    LONGS_EQUAL(0, CountOf(counts, 200));
    call_result refused = Ask(name, "k-one");
    LONGS_EQUAL(503, refused.mStatus);
    CHECK(!refused.Field("Retry-After").empty());
    LONGS_EQUAL(200, AskOpen(name).mStatus);
  }
  mDeployed.Store().SetOutage(false);
  CHECK(WaitForStatusEverywhere("k-one", 200));
  CHECK(mDeployed.StopDaemons());
}

// Guards against an instance that goes on with a revoked key because the store
// turns it away, or that refuses the other keys although its peers vouch for
// its configuration.
TEST(ProcessCustomers, AFollowerTurnedAwayHearsOfARevocation)
{
  RevokeWhileApart("three");
}

// The same for the instance that reads the platform for the others.
TEST(ProcessCustomers, AReaderTurnedAwayHearsOfARevocation)
{
  RevokeWhileApart("one");
}

// Guards against a quota that each instance grants anew, and against a hot
// customer who costs another one its requests.
TEST(ProcessCustomers, OneQuotaHoldsOverTwoInstances)
{
  CHECK(Start({ "one", "two" }, kQuotaCustomers));
  CHECK(WaitForStatusEverywhere("k-calm", 200));
  CheckQuotas();
  CHECK(mDeployed.StopDaemons());
}

// The same while the instances have only just started and may not have heard
// of each other.
TEST(ProcessCustomers, OneQuotaHoldsFromTheStart)
{
  CHECK(StartAlone({ "one", "two" }, kQuotaCustomers));
  CheckQuotas();
  CHECK(mDeployed.StopDaemons());
}
