// Decides what an instance that is being stopped still does: whether it takes
// connections, whether a request may begin, and when the process exits.
//
// Usage:
//   planned_stop stop(gracePeriod);
//   stop.Begin(now);
//   if (!stop.MayBegin(received, deadline, now)) ... refuse the request
//   deadline = std::min(deadline, stop.LastAnswer());
//   if (stop.Phase(now) == stop_phase::Over) ... exit
//
// A request that begins during the stop, with its deadline limited as above, is
// answered before the process exits. One that began earlier keeps its deadline,
// and the exit cuts it if that is later. Whether a request may begin depends on
// times alone, so a thread that sees none in flight in stop_phase::Finishing
// can end the process: none begins any more.
//
// Options: the grace period, after which the process is killed.
// Errors: none; before Begin every request may begin.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <optional>

namespace laburnumdyke {

enum class stop_phase
{
  Running,     // no stop has begun
  Accepting,   // callers still hold look-up answers that name the instance
  LastHeaders, // no new connections; headers on the last ones are read
  Finishing,   // requests in flight are completed, others are refused
  Over,        // the process exits, whatever is in flight
};

class planned_stop
{
public:
  // aGrace: time from the begin of a stop until the process is killed.
  explicit planned_stop(std::chrono::milliseconds aGrace);

  // Begins the stop. Has no effect if it has begun.
  void Begin(instant aNow);

  stop_phase Phase(instant aNow) const;

  // Whether a request may be sent to an upstream for the first time.
  // aReceived: when its header had been read.
  bool MayBegin(instant aReceived, instant aDeadline, instant aNow) const;

  // Latest time of an answer; instant::max() before Begin.
  instant LastAnswer() const;

private:
  instant BegunPlus(std::chrono::milliseconds aTime) const;

  std::chrono::milliseconds mGrace;
  std::chrono::milliseconds mAccept;
  std::optional<instant> mBegun;
};

} // namespace laburnumdyke
