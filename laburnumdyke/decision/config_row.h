// The one row of the platform's table that says which document is in force,
// and its text.
//
//   version=7
//   hash=<64 hexadecimal digits>
//   change_id=6f1c...
//   submitter=niamh
//   previous=6 <hash> <change id> <submitter>
//
// The row carries the last kHistoryLength versions before its own, newest
// first: a submitter whose answer was lost finds its change there although
// others have followed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kHistoryLength = 20;

struct config_version
{
  std::uint64_t mVersion = 0; // 0: none yet
  std::string mContentHash;   // content hash of the document
  std::string mChangeId;
  std::string mSubmitter;

  bool operator==(const config_version&) const = default;
};

// The version in force, with those before it.
struct config_row : config_version
{
  std::vector<config_version> mPrevious; // newest first

  bool operator==(const config_row&) const = default;

  // The version that a change made, as far back as the row reaches.
  const config_version* Find(std::string_view aChangeId) const;

  // Whether every version above aVersion stands in the row.
  bool ReachesBackTo(std::uint64_t aVersion) const;

  // The row that replaces this one.
  config_row Next(std::string_view aHash,
                  std::string_view aChangeId,
                  std::string_view aSubmitter) const;
};

// 1 to 64 letters, digits, '-', '_', '.' or '@': the form of change ids and of
// submitters.
bool
IsRowToken(std::string_view aText);

std::string
EncodeConfigRow(const config_row& aRow);

// Nothing where the text is no row.
std::optional<config_row>
DecodeConfigRow(std::string_view aText);

} // namespace laburnumdyke
