// The row in the platform's table that names the document in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

struct config_row
{
  std::uint64_t mVersion = 0;
  std::string mContentHash;
  std::string mChangeId; // the submitter's, to recognise its own write
  std::string mSubmitter;
  bool operator==(const config_row&) const = default;
};

std::string
EncodeConfigRow(const config_row& aRow);

// Nothing where the text is no row.
std::optional<config_row>
DecodeConfigRow(std::string_view aText);

} // namespace laburnumdyke
