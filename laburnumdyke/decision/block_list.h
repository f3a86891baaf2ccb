// The client blocks of one failure domain, and of all of them.
//
// Usage:
//   block_list blocks = { *ParsePrefix("10.0.0.0/8") };
//   for (const client_prefix& block : blocks.Items()) { ... }
//   blocks.Edit().push_back(prefix);   // copies what another list shares
//
// Copies of a list share its blocks until one of them is edited, so that the
// versions of a document share every list that a change leaves alone, and a
// comparison of two versions passes over those. 17 bytes a block.
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
  // Implicit, as for other containers.
  block_list(container aBlocks)
    : mBlocks(std::make_shared<container>(std::move(aBlocks)))
  {
  }
  block_list(std::initializer_list<client_prefix> aBlocks)
    : block_list(container(aBlocks))
  {
  }

  const container& Items() const;

  bool Shares(const block_list& aOther) const
  {
    return mBlocks == aOther.mBlocks;
  }

  // For the one thread that builds a document; linear where the blocks are
  // shared.
  container& Edit();

  bool operator==(const block_list& aOther) const
  {
    return Shares(aOther) || Items() == aOther.Items();
  }

private:
  std::shared_ptr<container> mBlocks; // null: none
};

using block_map = std::map<domain_id, block_list>;

// Blocks that stand more than once in sorted lists. One merge of all lists.
std::set<client_prefix>
RepeatedBlocks(const block_map& aBlocks);

// Calls aVisitor(domain, prefix) for each block of sorted lists that aOther
// doesn't give to the same domain. Linear in the lists that are not shared.
template<class Visitor>
void
VisitBlocksLost(const block_map& aFrom,
                const block_map& aOther,
                Visitor&& aVisitor)
{
  static const block_list kEmpty;
  for (const block_map::value_type& entry : aFrom) {
    auto found = aOther.find(entry.first);
    const block_list& other = found == aOther.end() ? kEmpty : found->second;
    if (entry.second.Shares(other)) {
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
