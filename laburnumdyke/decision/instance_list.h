// The platform's list of live and leaving instances: a hint that lags.
//
// Usage:
//   instance_list list;
//   bool changed = list.TakeLeaving(entries, now);  // each answer
//   if (list.IsLeaving(upstream.mAddress, now)) ...  // no new work
//   membership.Hint(EntryAddresses(entries), now);
//
// Upstreams are recognised by their address, entry instances by the prefix of
// their name. Being listed as live, or not at all, says nothing: who lives is
// learnt from heartbeats and from outcomes.
//
// Errors: without an answer nothing changes. What a list said of upstreams
// that leave lapses kLife after it was read, so that an outage of the platform
// does not keep an upstream out for good.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace laburnumdyke {

// Begins the name of an entry instance in the list. No upstream's name has a
// dot.
inline constexpr std::string_view kEntryPrefix = "entry.";

struct list_entry
{
  std::string mName;
  endpoint mAddress;
  bool mLeaving = false;
};

// Where live entry instances take heartbeats.
std::vector<endpoint>
EntryAddresses(const std::vector<list_entry>& aEntries);

class instance_list
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Listed;
  static constexpr std::chrono::seconds kLife{ 60 };

  // Takes the leaving instances of a list in. Returns whether they differ from
  // those known before.
  bool TakeLeaving(const std::vector<list_entry>& aEntries, instant aNow);

  bool IsLeaving(const endpoint& aAddress, instant aNow) const;

private:
  std::set<endpoint> mLeaving;
  instant mRead{};
};

} // namespace laburnumdyke
