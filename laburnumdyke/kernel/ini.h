// INI text to a list of entries with their lines, on inih.
//
// Sections are "[kind]" or "[kind name]". Faults of form (a line that is no
// entry, an entry before the first section, a line over 198 bytes, which inih
// would split) are reported all at once.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct ini_entry
{
  std::size_t mLine;
  std::string mSection;
  std::string mKey;
  std::string mValue;
};

// A fault in a text, with its place.
struct text_fault
{
  std::size_t mLine;  // 0: the text as a whole
  std::string mField; // "section.key", or empty
  std::string mExpected;

  std::string Describe(std::string_view aFile) const;
};

struct ini_text
{
  std::vector<ini_entry> mEntries;
  std::vector<text_fault> mFaults;
};

// An entry while it is read; valid during the call alone.
struct ini_entry_view
{
  std::size_t mLine;
  std::string_view mSection;
  std::string_view mKey;
  std::string_view mValue;
};

// Hands over one entry after the other, for texts too large to be kept twice.
// Returns the faults of form.
std::vector<text_fault>
ReadIni(std::string_view aText,
        const std::function<void(const ini_entry_view&)>& aTake);

ini_text
ParseIni(std::string_view aText);

} // namespace laburnumdyke
