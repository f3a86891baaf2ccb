// A binary heap of small keys over a slab of events: a heap of the events
// themselves moved a std::function at each level.
#include "laburnumdyke/testing/soak/simulation.h"

#include <array>
#include <utility>

namespace laburnumdyke {

simulation::simulation(std::uint64_t aSeed, std::size_t aProcesses)
  : mRandom(aSeed)
  , mProcesses(aProcesses)
{
  mNow = instant(std::chrono::hours(1));
}

bool
simulation::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

std::size_t
simulation::Index(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
}

duration
simulation::Between(std::chrono::microseconds aLeast,
                    std::chrono::microseconds aMost)
{
  return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(
    aLeast.count(), aMost.count())(mRandom));
}

duration
simulation::Exponential(duration aMean)
{
  std::exponential_distribution<double> spread(
    1.0 / static_cast<double>(aMean.count()));
  return duration(static_cast<std::int64_t>(spread(mRandom)));
}

void
simulation::Push(duration aAfter, event aEvent)
{
  std::size_t slot = mEvents.size();
  if (mFreeSlots.empty()) {
    mEvents.push_back(std::move(aEvent));
  } else {
    slot = mFreeSlots.back();
    mFreeSlots.pop_back();
    mEvents[slot] = std::move(aEvent);
  }
  mQueue.push({ mNow + aAfter, ++mSequence, slot });
}

void
simulation::AtWorld(duration aAfter, event_kind aKind, action aAction)
{
  Push(aAfter, { {}, aKind, true, std::move(aAction) });
}

void
simulation::AtProcess(process_address aTarget,
                      duration aAfter,
                      event_kind aKind,
                      action aAction)
{
  Push(aAfter, { aTarget, aKind, false, std::move(aAction) });
}

void
simulation::Trace(std::uint64_t aFact)
{
  mDigest = XXH3_64bits_withSeed(&aFact, sizeof aFact, mDigest);
}

bool
simulation::IsFor(const event& aEvent) const
{
  const process_state& state = mProcesses[aEvent.mTarget.mIndex].mState;
  return state.mRunning && (aEvent.mTarget.mIncarnation == 0 ||
                            aEvent.mTarget.mIncarnation == state.mIncarnation);
}

void
simulation::Execute(event aEvent)
{
  ++mExecuted;
  Trace(static_cast<std::uint64_t>(mNow.time_since_epoch().count()));
  Trace(static_cast<std::uint64_t>(aEvent.mKind) * mProcesses.size() +
        aEvent.mTarget.mIndex);
  aEvent.mAction();
}

void
simulation::Step()
{
  queue_key next = mQueue.top();
  mQueue.pop();
  mNow = next.mAt;
  event current = std::exchange(mEvents[next.mSlot], event{});
  mFreeSlots.push_back(next.mSlot);
  if (!current.mWorld) {
    if (!IsFor(current)) {
      ++mDropped;
      return;
    }
    process& target = mProcesses[current.mTarget.mIndex];
    if (target.mState.mFrozen) {
      target.mBacklog.push_back(std::move(current));
      return;
    }
  }
  Execute(std::move(current));
}

void
simulation::Start(std::size_t aProcess, std::uint64_t aIncarnation)
{
  process_state& state = mProcesses[aProcess].mState;
  state = { true, false, aIncarnation, mNow, mNow };
}

void
simulation::Kill(std::size_t aProcess)
{
  process& one = mProcesses[aProcess];
  one.mState.mRunning = false;
  one.mState.mFrozen = false;
  mDropped += one.mBacklog.size();
  one.mBacklog.clear();
}

void
simulation::Freeze(std::size_t aProcess)
{
  mProcesses[aProcess].mState.mFrozen = true;
}

void
simulation::Thaw(std::size_t aProcess)
{
  process& one = mProcesses[aProcess];
  one.mState.mFrozen = false;
  one.mState.mThawed = mNow;
  std::deque<event> backlog = std::exchange(one.mBacklog, {});
  for (event& kept : backlog) {
    if (IsFor(kept)) {
      Execute(std::move(kept));
    }
  }
}

} // namespace laburnumdyke
