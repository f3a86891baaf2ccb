// The rows of the users' store: tables, versions and their history.
//
// Usage:
//   store_model rows;
//   rows.Put("op", "config", bytes);
//   std::vector<model_row> changed = rows.Changes("op", version);
//
// One counter orders all changes. Nothing here is safe to use from several
// threads at once.
#pragma once

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
};

class store_model
{
public:
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

  std::uint64_t Version() const { return mVersion; }

  // The rows of a table in order of their keys.
  std::vector<model_row> Rows(const std::string& aTable) const;

  // Every change after a version, in order; a row may be in it several times.
  std::vector<model_row> Changes(const std::string& aTable,
                                 std::uint64_t aAfter) const;

private:
  std::vector<model_row> mHistory; // every change in order
  std::uint64_t mVersion = 0;
};

} // namespace laburnumdyke
