// Filled by static constructors before main and read-only afterwards, so it
// needs no lock.
#include "laburnumdyke/kernel/registry.h"

#include <algorithm>
#include <tuple>

namespace laburnumdyke {

namespace {

std::vector<plugin_record>&
AllRecords()
{
  static std::vector<plugin_record> sRecords;
  return sRecords;
}

} // namespace

void
registry::Add(plugin_record aRecord)
{
  AllRecords().push_back(std::move(aRecord));
}

std::vector<plugin_record>
registry::Records(front_kind aFront)
{
  std::vector<plugin_record> records = AllRecords();
  std::erase_if(records, [&](const plugin_record& aRecord) {
    return aRecord.mFront != aFront;
  });
  std::sort(records.begin(),
            records.end(),
            [](const plugin_record& aLeft, const plugin_record& aRight) {
              return std::tie(aLeft.mStage, aLeft.mName) <
                     std::tie(aRight.mStage, aRight.mName);
            });
  return records;
}

} // namespace laburnumdyke
