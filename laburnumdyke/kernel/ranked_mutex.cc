// Each thread keeps the ranks it holds as a thread-local bit set, so that the
// check needs no allocation and no shared state.
#include "laburnumdyke/kernel/ranked_mutex.h"

#include "laburnumdyke/kernel/invariant.h"

#include <bitset>
#include <string>

namespace laburnumdyke {

namespace {

constexpr std::size_t kLockRankCount = 100;

std::bitset<kLockRankCount>&
HeldByThisThread()
{
  thread_local std::bitset<kLockRankCount> sHeld;
  return sHeld;
}

} // namespace

void
held_ranks::Acquire(lock_rank aRank)
{
  std::bitset<kLockRankCount>& held = HeldByThisThread();
  std::size_t rank = static_cast<std::size_t>(aRank);
  bool isInOrder = (held >> rank).none();
  if (!isInOrder) {
    FailInvariant("lock_order", "rank=" + std::to_string(rank));
  }
  held.set(rank);
}

void
held_ranks::Release(lock_rank aRank)
{
  HeldByThisThread().reset(static_cast<std::size_t>(aRank));
}

} // namespace laburnumdyke
