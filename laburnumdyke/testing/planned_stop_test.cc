// What an instance does at each time of a planned stop, in virtual time.
#include "laburnumdyke/decision/planned_stop.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr instant kBegin{ std::chrono::hours(1) };
constexpr std::chrono::milliseconds kGrace{ 6000 };

} // namespace

TEST_GROUP(PlannedStop)
{
  planned_stop mStop{ kGrace };

  bool MayBeginAt(std::chrono::milliseconds aAfter,
                  std::chrono::milliseconds aTimeout)
  {
    instant at = kBegin + aAfter;
    return mStop.MayBegin(at, at + aTimeout, at);
  }
};

TEST(PlannedStop, BeforeItEveryRequestMayBeginAndNoDeadlineIsShortened)
{
  CHECK(mStop.Phase(kBegin) == stop_phase::Running);
  CHECK(MayBeginAt(0ms, 1h));
  CHECK(mStop.LastAnswer() == instant::max());
}

TEST(PlannedStop, PhasesFollowInOrderWithinTheGracePeriod)
{
  mStop.Begin(kBegin);
  CHECK(mStop.Phase(kBegin) == stop_phase::Accepting);
  CHECK(mStop.Phase(kBegin + 2599ms) == stop_phase::Accepting);
  CHECK(mStop.Phase(kBegin + 2600ms) == stop_phase::LastHeaders);
  CHECK(mStop.Phase(kBegin + 2850ms) == stop_phase::Finishing);
  CHECK(mStop.Phase(kBegin + 5699ms) == stop_phase::Finishing);
  CHECK(mStop.Phase(kBegin + 5700ms) == stop_phase::Over);
  CHECK(mStop.LastAnswer() < kBegin + 5700ms);
}

// Guards against requests that are taken late and cut by the exit.
TEST(PlannedStop, NoRequestBeginsOnceTheProcessMayExit)
{
  mStop.Begin(kBegin);
  CHECK(MayBeginAt(2849ms, 4000ms));
  CHECK_FALSE(MayBeginAt(2850ms, 4000ms));
  // Nor one that could be answered in time: the process may be exiting.
  CHECK_FALSE(MayBeginAt(2850ms, 100ms));
}

TEST(PlannedStop, ARequestWithASlowBodyBeginsOnlyIfItsDeadlineIsInTime)
{
  mStop.Begin(kBegin);
  instant received = kBegin + 2000ms;
  instant now = kBegin + 4000ms;
  CHECK(mStop.MayBegin(received, kBegin + 5500ms, now));
  CHECK_FALSE(mStop.MayBegin(received, kBegin + 6000ms, now));
}

TEST(PlannedStop, ASecondSignalDoesNotLengthenIt)
{
  mStop.Begin(kBegin);
  mStop.Begin(kBegin + 3000ms);
  CHECK(mStop.Phase(kBegin + 5700ms) == stop_phase::Over);
}

TEST(PlannedStop, AShortGracePeriodLeavesHalfOfItForTheLastRequests)
{
  planned_stop stop(2000ms);
  stop.Begin(kBegin);
  CHECK(stop.Phase(kBegin + 999ms) == stop_phase::Accepting);
  CHECK(stop.Phase(kBegin + 1000ms) == stop_phase::LastHeaders);
  CHECK(stop.Phase(kBegin + 1250ms) == stop_phase::Finishing);
  CHECK(stop.Phase(kBegin + 1700ms) == stop_phase::Over);
}
