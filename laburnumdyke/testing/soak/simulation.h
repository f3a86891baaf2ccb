// Virtual time, the event queue and the processes of the randomised run.
//
// Usage:
//   simulation sim(seed);
//   sim.AtWorld(5ms, event_kind::Upstream, action);
//   sim.AtProcess(target, 5ms, event_kind::Message, action);
//   while (sim.Executed() < limit) sim.Step();
//
// An event for a process that is down, or of an earlier incarnation, is
// dropped. A frozen process keeps its events until it is thawed; all of them
// then run in their order. Events at one instant run in order of scheduling,
// so that a seed gives one run.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <xxhash.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace laburnumdyke {

enum class event_kind : std::uint8_t
{
  Timer,
  Message,
  Upstream,
  Caller,
  Platform,
  Operator,
  Fault,
  Check,
};

struct process_address
{
  std::size_t mIndex = 0;
  std::uint64_t mIncarnation = 0; // 0: whichever runs at the address
};

struct process_state
{
  bool mRunning = false;
  bool mFrozen = false;
  std::uint64_t mIncarnation = 0;
  instant mStarted{};
  instant mThawed{};
};

class simulation
{
public:
  using action = std::function<void()>;

  simulation(std::uint64_t aSeed, std::size_t aProcesses);

  instant Now() const { return mNow; }
  std::mt19937_64& Random() { return mRandom; }
  bool Chance(double aProbability);
  std::size_t Index(std::size_t aCount);
  duration Between(std::chrono::microseconds aLeast,
                   std::chrono::microseconds aMost);
  duration Exponential(duration aMean);

  void AtWorld(duration aAfter, event_kind aKind, action aAction);
  void AtProcess(process_address aTarget,
                 duration aAfter,
                 event_kind aKind,
                 action aAction);

  // Runs the earliest event.
  void Step();

  // Adds a fact to the digest of the trace.
  void Trace(std::uint64_t aFact);

  void Start(std::size_t aProcess, std::uint64_t aIncarnation);
  void Kill(std::size_t aProcess);
  void Freeze(std::size_t aProcess);
  void Thaw(std::size_t aProcess);
  const process_state& Process(std::size_t aIndex) const
  {
    return mProcesses.at(aIndex).mState;
  }
  std::size_t Processes() const { return mProcesses.size(); }

  std::uint64_t Executed() const { return mExecuted; }
  std::uint64_t Dropped() const { return mDropped; }
  std::uint64_t Digest() const { return mDigest; }

private:
  struct event
  {
    process_address mTarget;
    event_kind mKind = event_kind::Timer;
    bool mWorld = true;
    action mAction;
  };

  struct queue_key
  {
    instant mAt;
    std::uint64_t mSequence = 0;
    std::size_t mSlot = 0; // in mEvents

    bool operator<(const queue_key& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt
                               : mSequence > aOther.mSequence;
    }
  };

  struct process
  {
    process_state mState;
    std::deque<event> mBacklog;
  };

  void Push(duration aAfter, event aEvent);
  bool IsFor(const event& aEvent) const;
  void Execute(event aEvent);

  instant mNow{};
  std::mt19937_64 mRandom;
  std::priority_queue<queue_key> mQueue;
  std::vector<event> mEvents;
  std::vector<std::size_t> mFreeSlots;
  std::vector<process> mProcesses;
  std::uint64_t mSequence = 0;
  std::uint64_t mExecuted = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mDigest = 0;
};

} // namespace laburnumdyke
