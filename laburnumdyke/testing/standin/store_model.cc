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
  mHistory.push_back({ aTable,
                       aKey,
                       std::move(aValue),
                       mVersion,
                       false,
                       std::chrono::steady_clock::now() });
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
  mHistory.push_back(
    { aTable, aKey, {}, mVersion, true, std::chrono::steady_clock::now() });
}

std::vector<model_row>
store_model::Restore(std::chrono::milliseconds aAge,
                     std::chrono::steady_clock::time_point aNow)
{
  auto firstLost =
    std::find_if(mHistory.begin(), mHistory.end(), [&](const model_row& aRow) {
      return aRow.mWritten > aNow - aAge;
    });
  std::vector<model_row> lost(firstLost, mHistory.end());
  mHistory.erase(firstLost, mHistory.end());
  mVersion = mHistory.empty() ? 0 : mHistory.back().mVersion;
  ++mEra;
  return lost;
}

void
store_model::Rewrite(const std::vector<model_row>& aLost,
                     const std::string& aTable)
{
  std::map<std::string, model_row> last;
  for (const model_row& change : aLost) {
    if (change.mTable == aTable) {
      last[change.mKey] = change;
    }
  }
  for (const std::pair<const std::string, model_row>& row : last) {
    if (row.second.mRemoved) {
      Remove(aTable, row.first);
    } else {
      Put(aTable, row.first, row.second.mValue);
    }
  }
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
