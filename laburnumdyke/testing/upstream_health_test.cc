// Health of one upstream: drains, and probing after them.
#include "laburnumdyke/decision/upstream_health.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kWarmUp{ 2 };
constexpr std::uint32_t kSlots = 3;

} // namespace

TEST_GROUP(UpstreamHealth)
{
  instant mNow = instant() + 1h;
  upstream_health mHealth;

  void RecordAttempt(attempt_result aResult)
  {
    mHealth.RecordAttempt(aResult, kWarmUp, mNow);
  }
};

// Guards against an upstream getting more than one slot before it answers a
// probe: requests that were in flight when the drain was reported may end with
// any result during it.
TEST(UpstreamHealth, FailuresDuringADrainKeepOneProbeSlot)
{
  struct row
  {
    const char* mName;
    attempt_result mResult;
  };
  const row kRows[] = {
    { "refused", attempt_result::Refused },
    { "failed", attempt_result::Failed },
    { "errored", attempt_result::Errored },
    { "shedding", attempt_result::Shedding },
    { "answered", attempt_result::Answered },
    { "abandoned", attempt_result::Abandoned },
  };
  for (const row& each : kRows) {
    mHealth = upstream_health();
    RecordAttempt(attempt_result::Draining);
    mNow += 50ms;
    RecordAttempt(each.mResult);
    mNow += upstream_health::kMinDrainTime;
    mHealth.Report(0, mNow);
    CHECK(mHealth.State(mNow) == health_state::Usable);
    LONGS_EQUAL_TEXT(1, mHealth.Allowed(kSlots, mNow), each.mName);
  }
}

TEST(UpstreamHealth, ADrainEndsWithALaterLoadReport)
{
  RecordAttempt(attempt_result::Draining);
  instant drainStart = mNow;
  mNow = drainStart + upstream_health::kMinDrainTime - 1ms;
  mHealth.Report(0, mNow);
  CHECK(mHealth.State(mNow) == health_state::Draining);
  mNow += 20s;
  CHECK(mHealth.State(mNow) == health_state::Draining);
  mHealth.Report(0, mNow);
  CHECK(mHealth.State(mNow) == health_state::Usable);
  LONGS_EQUAL(1, mHealth.Allowed(kSlots, mNow));
  RecordAttempt(attempt_result::Answered);
  mNow += kWarmUp;
  LONGS_EQUAL(kSlots, mHealth.Allowed(kSlots, mNow));
}

TEST(UpstreamHealth, ARepeatedReportProlongsTheDrain)
{
  RecordAttempt(attempt_result::Draining);
  for (int second = 0; second < 120; ++second) {
    mNow += 1s;
    RecordAttempt(attempt_result::Draining);
    CHECK(mHealth.State(mNow) == health_state::Draining);
  }
  mNow += upstream_health::kMinDrainTime - 1ms;
  mHealth.Report(0, mNow);
  CHECK(mHealth.State(mNow) == health_state::Draining);
}

TEST(UpstreamHealth, WithoutLoadReportsTheDrainTimesOut)
{
  RecordAttempt(attempt_result::Draining);
  mNow += upstream_health::kDrainTimeout - 1ms;
  CHECK(mHealth.State(mNow) == health_state::Draining);
  mNow += 1ms;
  CHECK(mHealth.State(mNow) == health_state::Usable);
  LONGS_EQUAL(1, mHealth.Allowed(kSlots, mNow));
  RecordAttempt(attempt_result::Draining);
  CHECK(mHealth.State(mNow) == health_state::Draining);
}
