// The upstream stand-in's behaviour without its HTTP: slots, refusals, cold
// start, lagging load reports and counters.
//
// Usage:
//   upstream_model model(options, now);
//   std::optional<upstream_refusal> refused = model.Arrive(now, deadline);
//   if (!refused) {
//     model.Begin(now, id);         // the whole request has arrived
//     ...wait for model.ServiceTime(now, asked)...
//     model.Release(now, work_end::Finished);
//   }
//
// Arrive takes a slot unless it refuses; each slot is released once.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// The oldest state that a load report can show.
inline constexpr std::chrono::milliseconds kMaxLoadLag{ 60000 };

struct upstream_model_options
{
  std::string mName = "upstream";
  std::uint32_t mSlots = 3;
  std::chrono::milliseconds mWarmUp{ 0 };
  std::uint32_t mColdFactor = 4; // of the service time, at the very start
};

// Why the upstream did not run a request. Each is said before any work.
enum class upstream_refusal
{
  Shedding,
  Draining,
  Deadline,
  Count,
};

std::string_view
ToString(upstream_refusal aRefusal);

// How the use of a slot ended.
enum class work_end
{
  Finished,
  Cancelled,       // the connection closed
  DeadlineStopped, // the deadline passed while working
  AnswerLost,      // ran, then the connection was closed on purpose
};

// Behaviour that a test switches while the upstream runs.
struct upstream_faults
{
  bool mDraining = false;
  std::chrono::milliseconds mLoadLag{ 0 };
  bool mLoadLies = false;         // reports idle, whatever is true
  bool mFailFast = false;         // answers 500 at once
  std::uint64_t mLoseAnswers = 0; // requests left that run and go unanswered
  bool mCloseIdle = false;        // closes idle connections unannounced
  bool mFrozen = false;           // answers nothing
};

struct load_report
{
  std::uint32_t mBusy = 0;
  std::size_t mConnections = 0;
  std::string_view mState; // "cold", "serving" or "draining"
};

struct upstream_counters
{
  std::uint64_t mRuns = 0;
  std::uint32_t mMaxBusy = 0;
  std::uint64_t mOvershot = 0; // work that arrived while every slot was busy
  std::array<std::uint64_t, static_cast<std::size_t>(upstream_refusal::Count)>
    mRefused{};
  std::uint64_t mOverConnections = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mDeadlineStopped = 0;
  std::uint64_t mLostAnswers = 0;
  std::uint64_t mFailedFast = 0;
  std::uint64_t mMalformed = 0;
  std::map<std::string, std::uint64_t> mRunsById;
};

class upstream_model
{
public:
  upstream_model(upstream_model_options aOptions, instant aNow);

  // aRemaining: what is left of the deadline, where the request states one.
  std::optional<upstream_refusal> Arrive(
    instant aNow,
    std::optional<std::chrono::milliseconds> aRemaining);
  void Begin(instant aNow, const std::string& aId);
  void Release(instant aNow, work_end aEnd);

  // The work begun never ran to its start: the deadline passed first.
  void ReleaseUnrun(instant aNow, upstream_refusal aReason);

  // The asked time, multiplied while cold.
  duration ServiceTime(instant aNow, std::chrono::milliseconds aAsked) const;

  void SetConnections(instant aNow, std::size_t aConnections);
  void SetFaults(instant aNow, const upstream_faults& aFaults);
  const upstream_faults& Faults() const { return mFaults; }

  // Whether the answer of the request that has just run is to be lost.
  bool TakeLostAnswer();

  // The state as it was the load lag ago.
  load_report Load(instant aNow) const;

  // Time since work last began; nothing before the first.
  std::optional<std::chrono::milliseconds> LastRunAge(instant aNow) const;

  upstream_counters& Counters() { return mCounters; }
  const upstream_counters& Counters() const { return mCounters; }
  const upstream_model_options& Options() const { return mOptions; }

private:
  struct sample
  {
    instant mSince;
    std::uint32_t mBusy;
    std::size_t mConnections;
    bool mDraining;
  };

  bool Cold(instant aNow) const;
  void Record(instant aNow);

  upstream_model_options mOptions;
  instant mStart;
  upstream_faults mFaults;
  upstream_counters mCounters;
  std::uint32_t mBusy = 0;
  std::size_t mConnections = 0;
  std::optional<instant> mLastRun;
  std::deque<sample> mHistory; // by time; never empty
};

} // namespace laburnumdyke
