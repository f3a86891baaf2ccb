// Events in virtual time. Events of one time run in the order in which they
// were added, so that a run depends on its seed alone.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace laburnumdyke::bench {

class event_queue
{
public:
  using action = std::function<void()>;

  instant Now() const { return mNow; }

  void At(instant aTime, action aAction)
  {
    mEvents.push_back({ std::max(aTime, mNow), ++mAdded, std::move(aAction) });
    std::push_heap(mEvents.begin(), mEvents.end(), std::greater<>());
  }

  void After(duration aDelay, action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  void RunUntil(instant aEnd)
  {
    while (!mEvents.empty() && mEvents.front().mTime <= aEnd) {
      std::pop_heap(mEvents.begin(), mEvents.end(), std::greater<>());
      event next = std::move(mEvents.back());
      mEvents.pop_back();
      mNow = next.mTime;
      next.mAction();
    }
    mNow = aEnd;
  }

private:
  struct event
  {
    instant mTime;
    std::uint64_t mAdded = 0;
    action mAction;
    bool operator>(const event& aOther) const
    {
      return std::pair(mTime, mAdded) > std::pair(aOther.mTime, aOther.mAdded);
    }
  };

  std::vector<event> mEvents; // a heap, the earliest first
  instant mNow = instant() + std::chrono::hours(1);
  std::uint64_t mAdded = 0;
};

} // namespace laburnumdyke::bench
