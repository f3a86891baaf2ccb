// A mutex with a rank that is checked on every acquisition.
//
// Satisfies Lockable, for use with std::scoped_lock and std::unique_lock. Costs
// one thread-local load and compare more than std::mutex.
#pragma once

#include "laburnumdyke/kernel/lock_rank.h"

#include <mutex>

namespace laburnumdyke {

// The ranks held by the calling thread.
class held_ranks
{
public:
  // Aborts the process unless aRank is greater than every rank held.
  static void Acquire(lock_rank aRank);
  static void Release(lock_rank aRank);
};

template<lock_rank Rank>
class ranked_mutex
{
public:
  void lock()
  {
    held_ranks::Acquire(Rank);
    mMutex.lock();
  }

  bool try_lock()
  {
    if (!mMutex.try_lock()) {
      return false;
    }
    held_ranks::Acquire(Rank);
    return true;
  }

  void unlock()
  {
    mMutex.unlock();
    held_ranks::Release(Rank);
  }

private:
  std::mutex mMutex;
};

} // namespace laburnumdyke
