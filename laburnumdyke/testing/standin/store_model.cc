// A few dozen rows: every question walks the whole history.
#include "laburnumdyke/testing/standin/store_model.h"

#include <algorithm>
#include <map>

namespace laburnumdyke {

void
store_model::Put(const std::string& aTable,
                 const std::string& aKey,
                 std::string aValue)
{
  ++mVersion;
  mHistory.push_back({ aTable, aKey, std::move(aValue), mVersion, false });
}

void
store_model::Remove(const std::string& aTable, const std::string& aKey)
{
  std::vector<model_row> rows = Rows(aTable);
  bool isThere =
    std::any_of(rows.begin(), rows.end(), [&](const model_row& aRow) {
      return aRow.mKey == aKey;
    });
  if (!isThere) {
    return;
  }
  ++mVersion;
  mHistory.push_back({ aTable, aKey, {}, mVersion, true });
}

std::vector<model_row>
store_model::Rows(const std::string& aTable) const
{
  std::map<std::string, model_row> last;
  for (const model_row& change : Changes(aTable, 0)) {
    last[change.mKey] = change;
  }
  std::vector<model_row> rows;
  for (std::pair<const std::string, model_row>& row : last) {
    if (!row.second.mRemoved) {
      rows.push_back(std::move(row.second));
    }
  }
  return rows;
}

std::vector<model_row>
store_model::Changes(const std::string& aTable, std::uint64_t aAfter) const
{
  std::vector<model_row> changes;
  for (const model_row& change : mHistory) {
    if (change.mTable == aTable && change.mVersion > aAfter) {
      changes.push_back(change);
    }
  }
  return changes;
}

} // namespace laburnumdyke
