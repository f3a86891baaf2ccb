// Each list replaces the previous one entirely: an upstream that is no longer
// listed as leaving may take work again.
#include "laburnumdyke/decision/instance_list.h"

#include <utility>

namespace laburnumdyke {

std::vector<endpoint>
EntryAddresses(const std::vector<list_entry>& aEntries)
{
  std::vector<endpoint> addresses;
  for (const list_entry& entry : aEntries) {
    if (entry.mName.starts_with(kEntryPrefix) && !entry.mLeaving) {
      addresses.push_back(entry.mAddress);
    }
  }
  return addresses;
}

bool
instance_list::UpdateLeaving(const std::vector<list_entry>& aEntries,
                             instant aNow)
{
  std::set<endpoint> leaving;
  for (const list_entry& entry : aEntries) {
    if (entry.mLeaving) {
      leaving.insert(entry.mAddress);
    }
  }
  mReadAt = aNow;
  std::swap(mLeaving, leaving);
  return mLeaving != leaving;
}

bool
instance_list::IsLeaving(const endpoint& aAddress, instant aNow) const
{
  return aNow - mReadAt < kMaxAge && mLeaving.count(aAddress) != 0;
}

} // namespace laburnumdyke
