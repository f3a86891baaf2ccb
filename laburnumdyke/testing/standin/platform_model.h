// The platform stand-in's state without its HTTP: a transactional table, an
// object store and a lagging list of instances.
//
// Usage:
//   platform_model model;
//   write_result result = model.Write({ "config", "current" }, 0, "text");
//   if (!result.mWritten) ...result.mRow is the row that is there...
//
// A write names the revision that it replaces, 0 for a row that must not
// exist; it takes effect only if that is the row's revision. Revisions of a
// row count up from 1.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// The oldest state that the list of instances can show.
inline constexpr std::chrono::milliseconds kMaxListLag{ 600000 };

struct row_key
{
  std::string mTable;
  std::string mKey;
  auto operator<=>(const row_key&) const = default;
};

struct table_row
{
  std::uint64_t mRevision = 0; // 0: no such row
  std::string mValue;
};

struct write_result
{
  bool mWritten;
  table_row mRow; // as it is after the call
};

enum class listed_state
{
  Live,
  Leaving,
};

std::string_view
ToString(listed_state aState);
std::optional<listed_state>
ParseListedState(std::string_view aText);

struct listed_instance
{
  std::string mName;
  std::string mAddress;
  listed_state mState = listed_state::Live;
};

// Behaviour that a test switches while the platform runs.
struct platform_faults
{
  bool mOutage = false; // connections are accepted and closed
  std::chrono::milliseconds mDelay{ 0 };
  std::uint64_t mLoseWriteAnswers = 0;  // row writes left that go unanswered
  std::uint64_t mLoseObjectAnswers = 0; // likewise of objects
  std::chrono::milliseconds mListLag{ 0 };
  bool mStaleReads = false; // rows read as they were when switched on
};

struct platform_counters
{
  std::uint64_t mReads = 0;     // rows and objects
  std::uint64_t mWrites = 0;    // rows and objects that took effect
  std::uint64_t mConflicts = 0; // row writes refused for their revision
  std::uint64_t mLostAnswers = 0;
  std::uint64_t mListReads = 0;
  std::uint64_t mMalformed = 0;
};

class platform_model
{
public:
  // Nothing where there is no such row.
  std::optional<table_row> Read(const row_key& aKey);
  write_result Write(const row_key& aKey,
                     std::uint64_t aRevision,
                     std::string aValue);

  // False where the bytes are not those of the hash.
  bool PutObject(const std::string& aHash, std::string aBytes);
  // Nothing where there is no such object.
  const std::string* GetObject(const std::string& aHash);

  void PutInstance(instant aNow, listed_instance aInstance);
  void RemoveInstance(instant aNow, const std::string& aName);
  // In order of name, as it was the list lag ago.
  std::vector<listed_instance> Instances(instant aNow);

  void SetFaults(const platform_faults& aFaults);
  const platform_faults& Faults() const { return mFaults; }

  // Whether the answer of the write that has just taken effect is lost.
  bool TakeLostWriteAnswer();
  bool TakeLostObjectAnswer();

  platform_counters& Counters() { return mCounters; }

private:
  struct change
  {
    instant mSince;
    std::optional<listed_instance> mInstance; // nothing: removed
  };

  using rows = std::map<row_key, table_row>;

  void Record(instant aNow, const std::string& aName, change aChange);
  bool TakeLost(std::uint64_t& aLeft);

  rows mRows;
  rows mStaleRows; // what reads see while stale
  std::map<std::string, std::string> mObjects;
  std::map<std::string, std::vector<change>> mInstances; // by time
  platform_faults mFaults;
  platform_counters mCounters;
};

// SHA-256 in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace laburnumdyke
