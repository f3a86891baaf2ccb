// The row of the platform's table that identifies the document in force, and
// its text form:
//
//   version=7
//   hash=<64 hexadecimal digits>
//   change_id=6f1c...
//   submitter=niamh
//   previous=6 <hash> <change id> <submitter>
//
// The row lists up to kHistoryLength previous versions, newest first. This lets
// a submitter that lost the response to its write find its change even if other
// versions have followed.
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
  std::uint64_t mVersion = 0; // 0: no version yet
  std::string mContentHash;   // of the document
  std::string mChangeId;
  std::string mSubmitter;

  bool operator==(const config_version&) const = default;
};

// The version in force and its predecessors.
struct config_row : config_version
{
  std::vector<config_version> mPrevious; // newest first

  bool operator==(const config_row&) const = default;

  // The version that the change created; nullptr if it is not in the row.
  const config_version* Find(std::string_view aChangeId) const;

  // Whether the row lists every version above aVersion.
  bool ReachesBackTo(std::uint64_t aVersion) const;

  // The row for the next version, with this one as its first predecessor.
  config_row Next(std::string_view aHash,
                  std::string_view aChangeId,
                  std::string_view aSubmitter) const;
};

// Whether aText is a valid change id or submitter: 1 to 64 letters, digits,
// '-',
// '_', '.' or '@'.
bool
IsRowToken(std::string_view aText);

std::string
EncodeConfigRow(const config_row& aRow);

// Returns nullopt if the text is malformed.
std::optional<config_row>
DecodeConfigRow(std::string_view aText);

} // namespace laburnumdyke
