// Copy-on-write list of the client address blocks of one failure domain, and
// the map of these lists by domain.
//
// Usage:
//   block_list blocks = { *ParsePrefix("10.0.0.0/8") };
//   for (const client_prefix& block : blocks.Items()) { ... }
//   blocks.Edit().push_back(prefix);   // copies the blocks if they are shared
//
// Copies of a list share its blocks until one of them is edited. Versions of a
// document therefore share all unchanged lists, and a comparison of two
// versions skips these. A block takes 17 bytes.
#pragma once

#include "laburnumdyke/decision/prefix.h"
#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <atomic>
#include <initializer_list>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace laburnumdyke {

class block_list
{
public:
  using container = std::vector<client_prefix>;

  block_list() = default;
  // Implicit, as for standard containers.
  block_list(container aBlocks)
    : mBlocks(std::make_shared<container>(std::move(aBlocks)))
  {
  }
  block_list(std::initializer_list<client_prefix> aBlocks)
    : block_list(container(aBlocks))
  {
  }

  const container& Items() const;

  bool SharesStorageWith(const block_list& aOther) const
  {
    return mBlocks == aOther.mBlocks;
  }

  // Returns the blocks for modification; takes linear time if they are shared.
  // Only the thread that builds a document may call it.
  container& Edit();

  bool operator==(const block_list& aOther) const
  {
    return SharesStorageWith(aOther) || Items() == aOther.Items();
  }

private:
  std::shared_ptr<container> mBlocks; // null if empty
};

using block_map = std::map<domain_id, block_list>;

// Blocks that occur more than once in aBlocks. The lists must be sorted.
std::set<client_prefix>
DuplicateBlocks(const block_map& aBlocks);

// Calls aVisitor(domain, prefix) for each block of aFrom that aOther does not
// assign to the same domain. The lists must be sorted. Takes linear time in the
// lists that are not shared.
template<class Visitor>
void
VisitRemovedBlocks(const block_map& aFrom,
                   const block_map& aOther,
                   Visitor&& aVisitor)
{
  static const block_list kEmpty;
  for (const block_map::value_type& entry : aFrom) {
    auto found = aOther.find(entry.first);
    const block_list& other = found == aOther.end() ? kEmpty : found->second;
    if (entry.second.SharesStorageWith(other)) {
      continue;
    }
    std::vector<client_prefix> removed;
    std::set_difference(entry.second.Items().begin(),
                        entry.second.Items().end(),
                        other.Items().begin(),
                        other.Items().end(),
                        std::back_inserter(removed));
    for (const client_prefix& block : removed) {
      aVisitor(entry.first, block);
    }
  }
}

} // namespace laburnumdyke
