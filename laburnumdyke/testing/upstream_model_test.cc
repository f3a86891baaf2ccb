// The upstream's stand-in as a model in virtual time: refusals, warm-up and
// load that lags.
#include "laburnumdyke/testing/standin/upstream_model.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamModel)
{
  instant mStart{ 1000s };
};

TEST(UpstreamModel, RefusesInOrderOfReason)
{
  struct row
  {
    const char* mName;
    std::uint32_t mSlots;
    bool mDraining;
    std::optional<std::chrono::milliseconds> mRemaining;
    const char* mExpected;
  };
  const row rows[] = {
    { "free", 1, false, std::nullopt, "taken" },
    { "time left", 1, false, 1ms, "taken" },
    { "no time left", 1, false, 0ms, "deadline" },
    { "draining", 1, true, 1ms, "draining" },
    { "draining and late", 1, true, 0ms, "deadline" },
    { "full", 0, false, 1ms, "shedding" },
    { "full and draining", 0, true, 1ms, "draining" },
  };
  for (const row& each : rows) {
    upstream_model model({ .mSlots = each.mSlots }, mStart);
    model.SetFaults(mStart, { .mDraining = each.mDraining });
    std::optional<upstream_refusal> refused =
      model.Arrive(mStart, each.mRemaining);
    std::string got(refused ? ToString(*refused) : "taken");
    STRCMP_EQUAL_TEXT(each.mExpected, got.c_str(), each.mName);
    UNSIGNED_LONGS_EQUAL(each.mSlots == 0 ? 1 : 0, model.Counters().mOvershot);
  }
}

TEST(UpstreamModel, ServiceTimeShrinksOverTheWarmUp)
{
  upstream_model model({ .mWarmUp = 10s, .mColdFactor = 5 }, mStart);
  CHECK(model.ServiceTime(mStart, 100ms) == 500ms);
  CHECK(model.ServiceTime(mStart + 5s, 100ms) == 300ms);
  CHECK(model.ServiceTime(mStart + 10s, 100ms) == 100ms);
  CHECK(model.Load(mStart + 9s).mState == "cold");
  CHECK(model.Load(mStart + 10s).mState == "serving");
}

TEST(UpstreamModel, LoadIsReportedAsItWasTheLagAgo)
{
  upstream_model model({ .mSlots = 2 }, mStart);
  model.SetFaults(mStart, { .mLoadLag = 10s });
  CHECK(!model.Arrive(mStart + 1s, std::nullopt));
  model.SetConnections(mStart + 2s, 7);
  model.Release(mStart + 3s, work_end::Finished);
  model.SetFaults(mStart + 4s, { .mDraining = true, .mLoadLag = 10s });
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 10s).mBusy);
  UNSIGNED_LONGS_EQUAL(1, model.Load(mStart + 11s).mBusy);
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 11s).mConnections);
  UNSIGNED_LONGS_EQUAL(7, model.Load(mStart + 12s).mConnections);
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 13s).mBusy);
  CHECK(model.Load(mStart + 13s).mState == "serving");
  CHECK(model.Load(mStart + 14s).mState == "draining");
  model.SetFaults(mStart + 14s, { .mDraining = true, .mLoadLies = true });
  CHECK(model.Load(mStart + 20s).mState == "serving");
}

// The oracle keeps every change and searches all of them.
TEST(UpstreamModel, LaggingLoadAgreesWithAFullRecord)
{
  for (std::uint32_t seed = 1; seed <= 20; seed++) {
    std::mt19937 generator(seed);
    upstream_model model({ .mSlots = 4 }, mStart);
    std::vector<std::pair<instant, std::uint32_t>> record{ { mStart, 0 } };
    instant now = mStart;
    std::uint32_t busy = 0;
    for (int step = 0; step < 500; step++) {
      now += std::chrono::milliseconds(generator() % 1000);
      if (generator() % 2 == 0 && busy > 0) {
        model.Release(now, work_end::Finished);
        busy--;
      } else if (!model.Arrive(now, std::nullopt)) {
        busy++;
      }
      record.push_back({ now, busy });
      std::chrono::milliseconds lag(generator() % 60001);
      model.SetFaults(now, { .mLoadLag = lag });
      std::uint32_t expected = 0;
      for (const std::pair<instant, std::uint32_t>& each : record) {
        expected = each.first <= now - lag ? each.second : expected;
      }
      UNSIGNED_LONGS_EQUAL(expected, model.Load(now).mBusy);
    }
    CHECK(model.Counters().mMaxBusy <= 4);
  }
}
