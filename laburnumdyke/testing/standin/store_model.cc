// A few dozen rows: every question walks all of them.
#include "laburnumdyke/testing/standin/store_model.h"

#include <algorithm>

namespace laburnumdyke {

void
store_model::Put(const std::string& aTable,
                 const std::string& aKey,
                 std::string aValue)
{
  ++mVersion;
  mRows[{ aTable, aKey }] = {
    aTable, aKey, std::move(aValue), mVersion, false
  };
}

void
store_model::Remove(const std::string& aTable, const std::string& aKey)
{
  auto found = mRows.find({ aTable, aKey });
  if (found == mRows.end() || found->second.mRemoved) {
    return;
  }
  ++mVersion;
  found->second = { aTable, aKey, {}, mVersion, true };
}

std::vector<model_row>
store_model::Rows(const std::string& aTable) const
{
  std::vector<model_row> rows = Changes(aTable, 0);
  std::erase_if(rows, [](const model_row& aRow) { return aRow.mRemoved; });
  std::sort(rows.begin(),
            rows.end(),
            [](const model_row& aOne, const model_row& aOther) {
              return aOne.mKey < aOther.mKey;
            });
  return rows;
}

std::vector<model_row>
store_model::Changes(const std::string& aTable, std::uint64_t aAfter) const
{
  std::vector<model_row> rows;
  for (const std::pair<const std::pair<std::string, std::string>, model_row>&
         one : mRows) {
    if (one.first.first == aTable && one.second.mVersion > aAfter) {
      rows.push_back(one.second);
    }
  }
  std::sort(rows.begin(),
            rows.end(),
            [](const model_row& aOne, const model_row& aOther) {
              return aOne.mVersion < aOther.mVersion;
            });
  return rows;
}

} // namespace laburnumdyke
