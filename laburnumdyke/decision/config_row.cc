// Lines of key=value.
#include "laburnumdyke/decision/config_row.h"

#include <charconv>

namespace laburnumdyke {

std::string
EncodeConfigRow(const config_row& aRow)
{
  return "version=" + std::to_string(aRow.mVersion) +
         "\nhash=" + aRow.mContentHash + "\nchange_id=" + aRow.mChangeId +
         "\nsubmitter=" + aRow.mSubmitter + "\n";
}

std::optional<config_row>
DecodeConfigRow(std::string_view aText)
{
  config_row row;
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    std::string_view line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    std::string_view key = line.substr(0, equals);
    std::string value(line.substr(equals + 1));
    if (key == "version") {
      std::from_chars(value.data(), value.data() + value.size(), row.mVersion);
    } else if (key == "hash") {
      row.mContentHash = value;
    } else if (key == "change_id") {
      row.mChangeId = value;
    } else if (key == "submitter") {
      row.mSubmitter = value;
    }
  }
  if (row.mVersion == 0 || row.mContentHash.empty()) {
    return std::nullopt;
  }
  return row;
}

} // namespace laburnumdyke
