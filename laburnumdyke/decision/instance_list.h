// The platform's list of live and leaving instances, which lags behind and is
// used as a hint only.
//
// Usage:
//   instance_list list;
//   bool changed = list.UpdateLeaving(entries, now); // each list read
//   if (list.IsLeaving(upstream.mAddress, now)) ...  // no new work
//   membership.AddHints(EntryAddresses(entries), now);
//
// Upstreams are identified by their address, entry instances by the prefix of
// their name. Whether an instance is listed as live, or at all, is ignored:
// liveness is learnt from heartbeats and from the outcomes of requests.
//
// Errors: if a list can't be read, nothing changes. Leaving entries expire
// kMaxAge after the list was read, so that an outage of the platform does not
// exclude an upstream for good.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace laburnumdyke {

// Prefix of the name of an entry instance in the list. Names of upstreams have
// no dot.
inline constexpr std::string_view kEntryPrefix = "entry.";

struct list_entry
{
  std::string mName;
  endpoint mAddress;
  bool mLeaving = false;
};

// The addresses for heartbeats of the entry instances that are not leaving.
std::vector<endpoint>
EntryAddresses(const std::vector<list_entry>& aEntries);

class instance_list
{
public:
  static constexpr lock_rank kLockRank = lock_rank::PlatformCopy;
  static constexpr std::chrono::seconds kMaxAge{ 60 };

  // Replaces the set of leaving instances by that of a list. Returns whether it
  // has changed.
  bool UpdateLeaving(const std::vector<list_entry>& aEntries, instant aNow);

  bool IsLeaving(const endpoint& aAddress, instant aNow) const;

private:
  std::set<endpoint> mLeaving;
  instant mReadAt{};
};

} // namespace laburnumdyke
