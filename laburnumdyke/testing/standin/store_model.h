// The rows of the users' store: tables, versions and their history.
//
// Usage:
//   store_model rows;
//   rows.Put("op", "config", bytes);
//   std::vector<model_row> changed = rows.Changes("op", version);
//
// One counter orders all changes. Nothing here is safe to use from several
// threads at once.
//
// A restore from a backup:
//   rows.SetEra(1);                         // otherwise no era is reported
//   std::vector<model_row> lost = rows.Restore(3000ms);
//   rows.Rewrite(lost, "op");               // the operator writes again
// Restore drops the changes of the last time and returns them, so that versions
// are issued again. The era rises by one.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

struct model_row
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
  bool mRemoved = false;
  std::chrono::steady_clock::time_point mWritten{};
};

class store_model
{
public:
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

  std::uint64_t Version() const { return mVersion; }

  // 0: not reported.
  std::uint64_t Era() const { return mEra; }
  void SetEra(std::uint64_t aEra) { mEra = aEra; }

  // Restores a backup that is aAge old. Returns the changes that are lost.
  std::vector<model_row> Restore(std::chrono::milliseconds aAge,
                                 std::chrono::steady_clock::time_point aNow =
                                   std::chrono::steady_clock::now());

  // Writes the last one of the lost changes of each row of a table again.
  void Rewrite(const std::vector<model_row>& aLost, const std::string& aTable);

  // The rows of a table in order of their keys.
  std::vector<model_row> Rows(const std::string& aTable) const;

  // Every change after a version, in order; a row may be in it several times.
  std::vector<model_row> Changes(const std::string& aTable,
                                 std::uint64_t aAfter) const;

private:
  std::vector<model_row> mHistory; // every change in order
  std::uint64_t mVersion = 0;
  std::uint64_t mEra = 0;
};

} // namespace laburnumdyke
