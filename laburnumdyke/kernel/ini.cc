// inih pulls lines through a reader; counting lines there gives each entry
// its line, which the library's own callback doesn't carry.
#include "laburnumdyke/kernel/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace laburnumdyke {

namespace {

constexpr std::size_t kLongestLine = 198;   // bytes, of inih's line buffer
constexpr std::size_t kLongestSection = 49; // bytes, of inih's section buffer
constexpr std::string_view kBlanks = " \t\r\v\f";

struct ini_reading
{
  std::string_view mRest;
  std::size_t mLine = 0;
  ini_text mText;
};

void
AddFault(ini_reading& aReading, std::string aExpected)
{
  aReading.mText.mFaults.push_back(
    { aReading.mLine, std::string(), std::move(aExpected) });
}

// True where a line is continued: inih takes an indented line for more of the
// value before it, which a document kept in version control should not hold.
bool
IsIndented(std::string_view aLine)
{
  std::size_t first = aLine.find_first_not_of(kBlanks);
  return first != 0 && first != std::string_view::npos && aLine[first] != ';' &&
         aLine[first] != '#';
}

// True where inih would cut the section's name short.
bool
IsLongSection(std::string_view aLine)
{
  std::size_t end = aLine.find(']');
  return !aLine.empty() && aLine.front() == '[' &&
         end != std::string_view::npos && end - 1 > kLongestSection;
}

char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  ini_reading& reading = *static_cast<ini_reading*>(aStream);
  if (reading.mRest.empty() || aSize < 2) {
    return nullptr;
  }
  std::size_t end = reading.mRest.find('\n');
  std::string_view line = reading.mRest.substr(0, end);
  reading.mRest.remove_prefix(
    end == std::string_view::npos ? reading.mRest.size() : end + 1);
  ++reading.mLine;
  if (line.size() > kLongestLine) {
    AddFault(reading, "a line of at most 198 bytes");
    line = {};
  } else if (line.find('\0') != std::string_view::npos) {
    AddFault(reading, "text without NUL bytes");
    line = {};
  } else if (IsIndented(line)) {
    AddFault(reading, "a line that does not begin with a blank");
    line = {};
  } else if (IsLongSection(line)) {
    AddFault(reading, "a section of at most 49 bytes");
    line = {};
  }
  std::size_t length =
    std::min(line.size(), static_cast<std::size_t>(aSize) - 2);
  std::memcpy(aBuffer, line.data(), length);
  aBuffer[length] = '\n';
  aBuffer[length + 1] = '\0';
  return aBuffer;
}

int
TakeEntry(void* aUser,
          const char* aSection,
          const char* aName,
          const char* aValue)
{
  ini_reading& reading = *static_cast<ini_reading*>(aUser);
  if (aSection[0] == '\0') {
    AddFault(reading, "a section before the first key");
    return 1;
  }
  reading.mText.mEntries.push_back(
    { reading.mLine, aSection, aName, aValue == nullptr ? "" : aValue });
  return 1;
}

// A line that is no entry, section, comment or blank. inih reports only the
// first of these, so they are looked for here.
bool
IsMalformed(std::string_view aLine)
{
  std::size_t first = aLine.find_first_not_of(kBlanks);
  if (first == std::string_view::npos || aLine[first] == ';' ||
      aLine[first] == '#') {
    return false;
  }
  std::size_t end = aLine.find_first_of(aLine[first] == '[' ? "]" : "=:");
  std::size_t comment = aLine.find(';');
  return end == std::string_view::npos || comment < end;
}

void
FindMalformedLines(std::string_view aText, ini_text& aResult)
{
  std::size_t number = 0;
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    ++number;
    if (IsMalformed(aText.substr(0, end))) {
      aResult.mFaults.push_back(
        { number, std::string(), "\"[section]\" or \"key = value\"" });
    }
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
}

} // namespace

std::string
text_fault::Describe(std::string_view aFile) const
{
  std::string text(aFile);
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  if (!mField.empty()) {
    text += ": " + mField;
  }
  return text + ": expected " + mExpected;
}

ini_text
ParseIni(std::string_view aText)
{
  ini_reading reading;
  reading.mRest = aText;
  ini_parse_stream(NextLine, &reading, TakeEntry, &reading);
  FindMalformedLines(aText, reading.mText);
  std::stable_sort(reading.mText.mFaults.begin(),
                   reading.mText.mFaults.end(),
                   [](const text_fault& aLeft, const text_fault& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return std::move(reading.mText);
}

} // namespace laburnumdyke
