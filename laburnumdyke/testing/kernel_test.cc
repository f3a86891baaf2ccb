// Tests of lock order, counters, log lines, INI text, settings and the kernel.
#include "laburnumdyke/kernel/counters.h"
#include "laburnumdyke/kernel/event_log.h"
#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/kernel/log_rate_limiter.h"
#include "laburnumdyke/kernel/settings.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::string_view kGoodSettings = "[instance]\n"
                                           "name = leinster-a-1\n"
                                           "region = leinster\n"
                                           "failure_domain = leinster-a\n"
                                           "[listen]\n"
                                           "caller = 127.0.0.1:7001\n"
                                           "relay = 127.0.0.1:7002\n"
                                           "peer = 127.0.0.1:7003\n"
                                           "operator = 127.0.0.1:7004\n"
                                           "[platform]\n"
                                           "address = 127.0.0.1:7000\n"
                                           "[peers]\n"
                                           "seeds = 127.0.0.1:7013, [::1]:1\n";

// The additional settings of an instance that routes by host and path. Sections
// that kGoodSettings has too are repeated.
const std::string kHostsSettings = "[instance]\n"
                                   "front = hosts\n"
                                   "[listen]\n"
                                   "ready = 127.0.0.1:7005\n"
                                   "directory = 127.0.0.1:7006\n"
                                   "[domains]\n"
                                   "leinster-a = leinster\n"
                                   "munster-a = munster\n"
                                   "[bounds]\n"
                                   "most_shift = 0.25\n"
                                   "drain_timeout = 2500ms\n"
                                   "grace = 7s\n"
                                   "[limits]\n"
                                   "process_memory = 3000000\n"
                                   "body_memory = 1000000\n"
                                   "body_rate = 100\n"
                                   "body_grace = 20s\n"
                                   "reader_rate = 200\n"
                                   "reader_grace = 1700ms\n";

std::string
HostsSettings(const std::string& aOld, const std::string& aNew)
{
  std::string text = std::string(kGoodSettings) + kHostsSettings;
  std::size_t at = text.find(aOld);
  CHECK_TEXT(at != std::string::npos, aOld.c_str());
  return text.replace(at, aOld.size(), aNew);
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsSettingsOfHostFront)
{
  settings_result result = ParseSettings(HostsSettings("hosts", "hosts"));
  CHECK(result.mSettings.has_value());
  const settings& read = *result.mSettings;
  CHECK(read.mFront == front_kind::Hosts);
  LONGS_EQUAL(7006, read.mDirectory.mPort);
  CHECK_EQUAL(std::string("munster"), read.mDomains.at("munster-a"));
  DOUBLES_EQUAL(0.25, read.mBounds.mMostShift, 1e-9);
  CHECK(read.mBounds.mDrainTimeout == std::chrono::milliseconds(2500));
  CHECK(read.mBounds.mGrace == std::chrono::seconds(7));
  LONGS_EQUAL(3000000, read.mLimits.mProcessMemory);
  LONGS_EQUAL(1000000, read.mLimits.mBodyMemory);
  LONGS_EQUAL(100, read.mLimits.mBodyRate);
  CHECK(read.mLimits.mBodyGrace == std::chrono::seconds(20));
  LONGS_EQUAL(200, read.mLimits.mReaderRate);
  CHECK(read.mLimits.mReaderGrace == std::chrono::milliseconds(1700));
}

TEST(Settings, ReportsEachFaultOfHostFrontSettings)
{
  const char* rows[][3] = {
    { "front = hosts", "front = host", "instance.front" },
    { "ready = 127.0.0.1:7005\n", "", "listen.ready" },
    { "directory = 127.0.0.1:7006\n", "", "listen.directory" },
    { "leinster-a = leinster\nm", "m", "domains" },
    { "munster-a = munster", "munster-a = Munster", "domains.munster-a" },
    { "munster-a = munster", "leinster-a = munster", "domains.leinster-a" },
    { "= 3000000", "= 3M", "limits.process_memory" },
    { "= 1000000", "= 0", "limits.body_memory" },
    { "= 1000000", "= 64MB", "limits.body_memory" },
    { "= 100\n", "= -1\n", "limits.body_rate" },
    { "= 20s", "= 20", "limits.body_grace" },
    { "= 200\n", "= 0\n", "limits.reader_rate" },
    { "= 1700ms\n", "= x\n", "limits.reader_grace" },
    { "0.25", "-1", "bounds.most_shift" },
    { "0.25", "0.25x", "bounds.most_shift" },
    { "2500ms", "2500", "bounds.drain_timeout" },
    { "7s", "7m", "bounds.grace" },
    { "7s", "soon", "bounds.grace" },
  };
  for (const char* const(&row)[3] : rows) {
    settings_result result = ParseSettings(HostsSettings(row[0], row[1]));
    CHECK_TEXT(!result.mSettings.has_value(), row[1]);
    LONGS_EQUAL_TEXT(1, result.mFaults.size(), row[1]);
    CHECK_EQUAL(std::string(row[2]), result.mFaults[0].mField);
  }
}

// Guards against an instance that does not start because a bound of the
// deployment is not a whole number.
TEST(Settings, TimesMayBeFractions)
{
  const std::pair<const char*, std::chrono::milliseconds> rows[] = {
    { "6.5s", std::chrono::milliseconds(6500) },
    { "0.25s", std::chrono::milliseconds(250) },
    { "1500.4ms", std::chrono::milliseconds(1500) },
    { "1500.6ms", std::chrono::milliseconds(1501) },
    { "6.0s", std::chrono::milliseconds(6000) },
  };
  for (const std::pair<const char*, std::chrono::milliseconds>& row : rows) {
    settings_result result = ParseSettings(HostsSettings("7s", row.first));
    CHECK_TEXT(result.mSettings.has_value(), row.first);
    CHECK_TEXT(result.mSettings->mBounds.mGrace == row.second, row.first);
  }
  for (const char* faulty :
       { "-6.5s", "6,5s", "6.s5", "nans", "infs", "1e9s", "5000000000s" }) {
    settings_result result = ParseSettings(HostsSettings("7s", faulty));
    CHECK_TEXT(!result.mSettings.has_value(), faulty);
  }
}

TEST(Settings, TheUseOfLearnedSpeedsIsAChoiceOfThree)
{
  settings_result result = ParseSettings(kGoodSettings);
  CHECK(result.mSettings->mLearnedSpeed == learned_speed::Reported);
  const std::pair<const char*, learned_speed> rows[] = {
    { "reported", learned_speed::Reported },
    { "always", learned_speed::Always },
    { "never", learned_speed::Never },
  };
  const std::string head = std::string(kGoodSettings) + "[steering]\n";
  for (const std::pair<const char*, learned_speed>& row : rows) {
    result = ParseSettings(head + "learned_speed = " + row.first + "\n");
    CHECK_TEXT(result.mSettings.has_value(), row.first);
    CHECK_TEXT(result.mSettings->mLearnedSpeed == row.second, row.first);
  }
  result = ParseSettings(head + "learned_speed = yes\n");
  LONGS_EQUAL(1, result.mFaults.size());
  STRCMP_EQUAL("steering.learned_speed", result.mFaults[0].mField.c_str());
}

TEST(Settings, TheUseOfUnevenLoadIsAChoiceOfThree)
{
  settings_result result = ParseSettings(kGoodSettings);
  CHECK(result.mSettings->mUnevenLoad == uneven_load::Never);
  const std::string head = std::string(kGoodSettings) + "[steering]\n";
  result = ParseSettings(head + "uneven_load = auto\n");
  CHECK(result.mSettings->mUnevenLoad == uneven_load::Auto);
  result = ParseSettings(head + "uneven_load = always\n");
  CHECK(result.mSettings->mUnevenLoad == uneven_load::Always);
  result = ParseSettings(head + "uneven_load = yes\n");
  LONGS_EQUAL(1, result.mFaults.size());
  STRCMP_EQUAL("steering.uneven_load", result.mFaults[0].mField.c_str());
}

TEST(Settings, ReadsEverySetting)
{
  settings_result result = ParseSettings(kGoodSettings);
  CHECK(result.mSettings.has_value());
  CHECK_EQUAL(std::string("leinster-a-1"), result.mSettings->mInstance);
  CHECK_EQUAL(2u, result.mSettings->mSeeds.size());
  CHECK_EQUAL(std::string("[::1]:1"), result.mSettings->mSeeds[1].Text());
}

TEST(Settings, ReportsEveryFaultWithItsLine)
{
  settings_result result = ParseSettings("[instance]\n"
                                         "name = Upper\n"
                                         "workers = 0\n"
                                         "colour = red\n"
                                         "name = twice\n"
                                         "nonsense\n");
  CHECK(!result.mSettings.has_value());
  std::vector<std::string> lines;
  for (const text_fault& fault : result.mFaults) {
    lines.push_back(fault.Describe("x.ini"));
  }
  CHECK_EQUAL(std::string("x.ini:6: expected \"[section]\" or \"key = value\""),
              lines.at(0));
  CHECK_EQUAL(0u, lines.at(1).find("x.ini:2: instance.name: expected a name"));
  CHECK_EQUAL(0u, lines.at(2).find("x.ini:3: instance.workers: expected"));
  CHECK_EQUAL(0u, lines.at(3).find("x.ini:4: instance.colour: expected"));
  CHECK_EQUAL(0u, lines.at(4).find("x.ini:5: instance.name: expected"));
  CHECK_EQUAL(12u, lines.size()); // and seven required settings are missing
}

TEST_GROUP(Endpoint){};

TEST(Endpoint, AcceptsOnlyIpAddressWithPort)
{
  struct row
  {
    const char* mText;
    bool mGood;
  };
  const row kRows[] = {
    { "127.0.0.1:80", true },
    { "[::1]:80", true },
    { "localhost:80", false },
    { "127.0.0.1", false },
    { "127.0.0.1:0", false },
    { "::1:80", false },
    { "127.0.0.1:65536", false },
    { "", false },
    { "[]:1", false },
  };
  for (const row& one : kRows) {
    CHECK_EQUAL_TEXT(
      one.mGood, ParseEndpoint(one.mText).has_value(), one.mText);
  }
}

TEST_GROUP(RankedMutex){};

TEST(RankedMutex, AllowsInnerLockUnderOuterLock)
{
  guarded<int, lock_rank::Document> outer(1);
  guarded<int, lock_rank::Counters> inner(2);
  int sum = outer.With([&](int& aOuter) {
    return aOuter + inner.With([](int& aInner) { return aInner; });
  });
  CHECK_EQUAL(3, sum);
}

TEST_GROUP(Counters){};

TEST(Counters, AreExactUnderConcurrency)
{
  counters counted;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&]() {
      for (int j = 0; j < 1000; ++j) {
        counted.Add("refused_total", "queue_full");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_EQUAL(4000u, counted.Value("refused_total", "queue_full"));
}

TEST_GROUP(EventLog){};

TEST(EventLog, ValuesStayOnOneLine)
{
  CHECK_EQUAL(std::string("plain"), QuoteLogValue("plain"));
  CHECK_EQUAL(std::string("\"a b\""), QuoteLogValue("a b"));
  CHECK_EQUAL(std::string("\"a\\x0ab\""), QuoteLogValue("a\nb"));
  CHECK_EQUAL(std::string("\"\""), QuoteLogValue(""));
}

namespace {

struct recording_state
{
  static constexpr lock_rank kLockRank = lock_rank::Membership;
  std::string mCalls;
};

// Records the calls it receives in a table of its kernel.
class recording_plugin
{
public:
  static constexpr std::string_view kName = "recording";
  static constexpr plugin_stage kStage = plugin_stage::Peer;

  explicit recording_plugin(kernel& aKernel)
    : mTable(aKernel.Table<recording_state>())
  {
  }

  std::optional<std::string> Start(instant)
  {
    Record("start ");
    return std::nullopt;
  }
  void Leave(instant) { Record("leave "); }
  std::string PendingWork(instant) { return "recording"; }
  void Stop() { Record("stop "); }

private:
  void Record(std::string_view aCall)
  {
    mTable.With([&](recording_state& aState) { aState.mCalls += aCall; });
  }

  table<recording_state>& mTable;
};

} // namespace

TEST_GROUP(Kernel){};

TEST(Kernel, KernelsInOneProcessShareNothing)
{
  std::vector<plugin_record> records = { MakeRecord<recording_plugin>() };
  settings parsed = *ParseSettings(kGoodSettings).mSettings;
  kernel one(parsed, records);
  kernel two(parsed, records);
  instant now{};
  CHECK(!one.Start(now).has_value());
  one.Leave(now);
  one.Leave(now);
  CHECK_EQUAL(std::string("recording"), one.PendingWork(now));
  one.Stop();
  std::string calls = one.Table<recording_state>().With(
    [](recording_state& aState) { return aState.mCalls; });
  CHECK_EQUAL(std::string("start leave stop "), calls);
  std::string others = two.Table<recording_state>().With(
    [](recording_state& aState) { return aState.mCalls; });
  CHECK_EQUAL(std::string(), others);
}

TEST_GROUP(LogRateLimiter){};

TEST(LogRateLimiter, LimitsRateAndCountsDroppedLines)
{
  log_rate_limiter limiter({ 10, 20 });
  log_rate_limiter::instant now{};
  int acquired = 0;
  for (int i = 0; i < 100; ++i) {
    acquired += limiter.TryAcquire(log_line_kind::Notable, now) ? 1 : 0;
  }
  LONGS_EQUAL(20, acquired);
  now += std::chrono::seconds(1);
  CHECK(limiter.TryAcquire(log_line_kind::Notable, now) ==
        std::optional<std::uint64_t>(80));
  CHECK(limiter.TryAcquire(log_line_kind::Notable, now) ==
        std::optional<std::uint64_t>(0));
  limiter.CountSkipped();
  CHECK(limiter.TryAcquire(log_line_kind::Notable, now) ==
        std::optional<std::uint64_t>(1));
}

// A flood of routine lines, 50 for each line that the rate permits, must not
// displace the notable lines among them, which come at half the rate.
TEST(LogRateLimiter, FloodOfRoutineLinesDisplacesNoNotableLine)
{
  log_rate_limiter limiter({ 10, 20 });
  log_rate_limiter::instant now{};
  int routine = 0;
  int notable = 0;
  constexpr int kSeconds = 20;
  for (int i = 0; i < kSeconds * 10; ++i) {
    now += std::chrono::milliseconds(100);
    for (int j = 0; j < 50; ++j) {
      routine += limiter.TryAcquire(log_line_kind::Routine, now) ? 1 : 0;
    }
    if (i % 2 == 0) {
      notable += limiter.TryAcquire(log_line_kind::Notable, now) ? 1 : 0;
    }
  }
  LONGS_EQUAL(kSeconds * 5, notable);
  // Routine lines get the rest of the rate, and half of the burst.
  CHECK(routine >= kSeconds * 5 - 1);
  CHECK(routine + notable <= kSeconds * 10 + 20);
}
