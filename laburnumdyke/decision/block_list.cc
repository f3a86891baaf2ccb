// Duplicates are found by a k-way merge of the sorted lists with a heap of
// their heads, in O(n log lists) and without an allocation for each block.
#include "laburnumdyke/decision/block_list.h"

#include <queue>
#include <utility>

namespace laburnumdyke {

const block_list::container&
block_list::Items() const
{
  static const container kEmpty;
  return mBlocks ? *mBlocks : kEmpty;
}

block_list::container&
block_list::Edit()
{
  if (!mBlocks) {
    mBlocks = std::make_shared<container>();
  } else if (mBlocks.use_count() > 1) {
    mBlocks = std::make_shared<container>(*mBlocks);
  }
  // use_count() is a relaxed read. The fence orders reads that another thread
  // made through a copy before it released the copy ahead of the caller's
  // writes.
  std::atomic_thread_fence(std::memory_order_acquire);
  return *mBlocks;
}

std::set<client_prefix>
DuplicateBlocks(const block_map& aBlocks)
{
  using position = std::pair<const client_prefix*, const client_prefix*>;
  struct later_position
  {
    bool operator()(const position& aLeft, const position& aRight) const
    {
      return *aRight.first < *aLeft.first;
    }
  };
  std::priority_queue<position, std::vector<position>, later_position> heads;
  for (const block_map::value_type& entry : aBlocks) {
    const block_list::container& list = entry.second.Items();
    if (!list.empty()) {
      heads.emplace(list.data(), list.data() + list.size());
    }
  }
  std::set<client_prefix> repeated;
  const client_prefix* previous = nullptr;
  while (!heads.empty()) {
    position head = heads.top();
    heads.pop();
    if (previous != nullptr && *previous == *head.first) {
      repeated.insert(*head.first);
    }
    previous = head.first;
    if (++head.first != head.second) {
      heads.push(head);
    }
  }
  return repeated;
}

} // namespace laburnumdyke
