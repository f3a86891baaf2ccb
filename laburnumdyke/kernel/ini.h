// Parses INI text into entries with their line numbers, on inih.
//
// Sections are "[kind]" or "[kind name]". All syntax errors are reported, not
// only the first: malformed or indented lines, entries before the first
// section, empty sections, NUL bytes, sections over 49 bytes, and lines over
// 198 bytes, which inih would split.
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

// An error in a text, and where it is.
struct text_fault
{
  std::size_t mLine;  // 0 if it concerns the text as a whole
  std::string mField; // "section.key", or empty for a syntax error
  std::string mExpected;

  // "FILE:LINE: FIELD: expected EXPECTED", without the parts that are unset.
  std::string Describe(std::string_view aFile) const;
};

struct ini_text
{
  std::vector<ini_entry> mEntries;
  std::vector<text_fault> mFaults;
};

// An entry as passed to a handler; valid only during that call.
struct ini_entry_view
{
  std::size_t mLine;
  std::string_view mSection;
  std::string_view mKey;
  std::string_view mValue;
};

// Calls aHandler for each entry, for texts too large to be held in memory
// twice. Returns the syntax errors.
std::vector<text_fault>
ReadIni(std::string_view aText,
        const std::function<void(const ini_entry_view&)>& aHandler);

ini_text
ParseIni(std::string_view aText);

} // namespace laburnumdyke
