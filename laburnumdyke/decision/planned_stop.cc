// Each phase ends at a fixed time after the begin. A request whose header
// arrives in the phase Finishing is refused even if it could be answered in
// time: the process may already be exiting.
#include "laburnumdyke/decision/planned_stop.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// Exceeds the time for which callers usually cache a look-up answer plus the
// time until peers know that the instance is leaving.
constexpr std::chrono::milliseconds kAccept{ 2600 };
// Time to read the headers on connections that were accepted last.
constexpr std::chrono::milliseconds kLastHeaders{ 250 };
// Reserved out of the grace period for the exit of the process.
constexpr std::chrono::milliseconds kExit{ 300 };
// Between the last answers and the exit.
constexpr std::chrono::milliseconds kLastAnswers{ 100 };

} // namespace

planned_stop::planned_stop(std::chrono::milliseconds aGrace)
  : mGrace(std::max(aGrace, kExit + kLastAnswers))
  , mAccept(std::min(kAccept, mGrace / 2))
{
}

void
planned_stop::Begin(instant aNow)
{
  if (!mBegun) {
    mBegun = aNow;
  }
}

stop_phase
planned_stop::Phase(instant aNow) const
{
  if (!mBegun) {
    return stop_phase::Running;
  }
  if (aNow < BegunPlus(mAccept)) {
    return stop_phase::Accepting;
  }
  if (aNow < BegunPlus(mAccept + kLastHeaders)) {
    return stop_phase::LastHeaders;
  }
  return aNow < BegunPlus(mGrace - kExit) ? stop_phase::Finishing
                                          : stop_phase::Over;
}

bool
planned_stop::MayBegin(instant aReceived, instant aDeadline, instant aNow) const
{
  if (Phase(aNow) < stop_phase::Finishing) {
    return true;
  }
  // Its body took long to arrive.
  bool wasInFlight = Phase(aReceived) < stop_phase::Finishing;
  return wasInFlight && aDeadline <= LastAnswer();
}

instant
planned_stop::LastAnswer() const
{
  return mBegun ? BegunPlus(mGrace - kExit - kLastAnswers) : instant::max();
}

instant
planned_stop::BegunPlus(std::chrono::milliseconds aTime) const
{
  return *mBegun + aTime;
}

} // namespace laburnumdyke
