// Tokens contain no spaces, so lines can be split at spaces without quoting.
// Decoding accepts only the exact output of encoding, so that each row has
// exactly one text form.
#include "laburnumdyke/decision/config_row.h"

#include <algorithm>
#include <charconv>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxTokenBytes = 64; // bytes
constexpr std::size_t kHashDigits = 64;

bool
IsHash(std::string_view aText)
{
  return aText.size() == kHashDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool
ParseVersion(std::uint64_t& aTarget, std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget > 0;
}

// Returns the rest of the first line after aKey, and removes the line from
// aText. Returns nullopt if aText does not start with a line for aKey.
std::optional<std::string_view>
TakeLine(std::string_view& aText, std::string_view aKey)
{
  std::size_t end = aText.find('\n');
  if (!aText.starts_with(aKey) || end == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view value = aText.substr(aKey.size(), end - aKey.size());
  aText.remove_prefix(end + 1);
  return value;
}

std::string_view
TakeToken(std::string_view& aText)
{
  std::size_t end = aText.find(' ');
  std::string_view word = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return word;
}

bool
IsValid(const config_version& aVersion)
{
  return IsHash(aVersion.mContentHash) && IsRowToken(aVersion.mChangeId) &&
         IsRowToken(aVersion.mSubmitter);
}

} // namespace

const config_version*
config_row::Find(std::string_view aChangeId) const
{
  if (mVersion > 0 && mChangeId == aChangeId) {
    return this;
  }
  auto found = std::find_if(mPrevious.begin(),
                            mPrevious.end(),
                            [aChangeId](const config_version& aVersion) {
                              return aVersion.mChangeId == aChangeId;
                            });
  return found == mPrevious.end() ? nullptr : &*found;
}

bool
config_row::ReachesBackTo(std::uint64_t aVersion) const
{
  std::uint64_t oldest =
    mPrevious.empty() ? mVersion : mPrevious.back().mVersion;
  return oldest <= aVersion + 1;
}

config_row
config_row::Next(std::string_view aHash,
                 std::string_view aChangeId,
                 std::string_view aSubmitter) const
{
  config_row next;
  next.mVersion = mVersion + 1;
  next.mContentHash = aHash;
  next.mChangeId = aChangeId;
  next.mSubmitter = aSubmitter;
  if (mVersion > 0) {
    next.mPrevious.push_back(*this);
  }
  next.mPrevious.insert(
    next.mPrevious.end(), mPrevious.begin(), mPrevious.end());
  if (next.mPrevious.size() > kHistoryLength) {
    next.mPrevious.resize(kHistoryLength);
  }
  return next;
}

bool
IsRowToken(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxTokenBytes &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789-_.@") == std::string_view::npos;
}

std::string
EncodeConfigRow(const config_row& aRow)
{
  const config_version& current = aRow;
  std::string out = "version=" + std::to_string(current.mVersion);
  out.append("\nhash=").append(current.mContentHash);
  out.append("\nchange_id=").append(current.mChangeId);
  out.append("\nsubmitter=").append(current.mSubmitter).append("\n");
  for (const config_version& version : aRow.mPrevious) {
    out.append("previous=").append(std::to_string(version.mVersion));
    out.append(" ").append(version.mContentHash);
    out.append(" ").append(version.mChangeId);
    out.append(" ").append(version.mSubmitter).append("\n");
  }
  return out;
}

std::optional<config_row>
DecodeConfigRow(std::string_view aText)
{
  config_row row;
  std::optional<std::string_view> version = TakeLine(aText, "version=");
  std::optional<std::string_view> hash = TakeLine(aText, "hash=");
  std::optional<std::string_view> changeId = TakeLine(aText, "change_id=");
  std::optional<std::string_view> submitter = TakeLine(aText, "submitter=");
  if (!version || !hash || !changeId || !submitter ||
      !ParseVersion(row.mVersion, *version)) {
    return std::nullopt;
  }
  row.mContentHash = *hash;
  row.mChangeId = *changeId;
  row.mSubmitter = *submitter;
  if (!IsValid(row)) {
    return std::nullopt;
  }
  std::uint64_t newer = row.mVersion;
  while (!aText.empty()) {
    std::optional<std::string_view> line = TakeLine(aText, "previous=");
    config_version previous;
    if (!line || !ParseVersion(previous.mVersion, TakeToken(*line))) {
      return std::nullopt;
    }
    previous.mContentHash = TakeToken(*line);
    previous.mChangeId = TakeToken(*line);
    previous.mSubmitter = TakeToken(*line);
    if (!line->empty() || !IsValid(previous) ||
        previous.mVersion + 1 != newer ||
        row.mPrevious.size() == kHistoryLength) {
      return std::nullopt;
    }
    newer = previous.mVersion;
    row.mPrevious.push_back(std::move(previous));
  }
  return row;
}

} // namespace laburnumdyke
