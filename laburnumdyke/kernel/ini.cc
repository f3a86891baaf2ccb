// inih pulls lines through a reader; counting lines there gives each entry
// its line, which the library's own callback doesn't carry.
#include "laburnumdyke/kernel/ini.h"

#include <ini.h>

namespace laburnumdyke {

namespace {

constexpr std::size_t kLongestLine = 198;   // bytes, of inih's line buffer
constexpr std::size_t kLongestSection = 49; // bytes, of inih's section buffer
constexpr std::string_view kBlanks = " \t\r\v\f";

struct ini_reading
{
  std::string_view mRest;
  std::size_t mLine = 0;
  std::vector<text_fault> mFaults;
  const std::function<void(const ini_entry_view&)>* mTake = nullptr;
};

void
AddFault(ini_reading& aReading, std::string aExpected)
{
  aReading.mFaults.push_back(
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
  std::size_t length = line.copy(aBuffer, static_cast<std::size_t>(aSize) - 2);
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
  (*reading.mTake)(
    { reading.mLine, aSection, aName, aValue == nullptr ? "" : aValue });
  return 1;
}

enum class line_kind
{
  Blank, // or a comment
  Section,
  Entry,
  Malformed,
};

line_kind
KindOf(std::string_view aLine)
{
  std::size_t first = aLine.find_first_not_of(kBlanks);
  if (first == std::string_view::npos || aLine[first] == ';' ||
      aLine[first] == '#') {
    return line_kind::Blank;
  }
  bool isSection = aLine[first] == '[';
  std::size_t end = aLine.find_first_of(isSection ? "]" : "=:");
  if (end == std::string_view::npos || aLine.find(';') < end) {
    return line_kind::Malformed;
  }
  return isSection ? line_kind::Section : line_kind::Entry;
}

// Faults that inih doesn't report, or reports only once: malformed lines and
// sections without a key.
void
FindMalformedLines(std::string_view aText, std::vector<text_fault>& aFaults)
{
  std::size_t number = 0;
  std::vector<std::size_t> empty; // lines of sections without a key
  bool hasKey = true;
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    line_kind kind = KindOf(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    ++number;
    if (kind == line_kind::Malformed) {
      aFaults.push_back(
        { number, std::string(), "\"[section]\" or \"key = value\"" });
    } else if (kind == line_kind::Section) {
      empty.push_back(number);
      hasKey = false;
    } else if (kind == line_kind::Entry && !hasKey) {
      empty.pop_back();
      hasKey = true;
    }
  }
  for (std::size_t line : empty) {
    aFaults.push_back({ line, std::string(), "a key in the section" });
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

std::vector<text_fault>
ReadIni(std::string_view aText,
        const std::function<void(const ini_entry_view&)>& aTake)
{
  ini_reading reading;
  reading.mRest = aText;
  reading.mTake = &aTake;
  ini_parse_stream(NextLine, &reading, TakeEntry, &reading);
  FindMalformedLines(aText, reading.mFaults);
  std::stable_sort(reading.mFaults.begin(),
                   reading.mFaults.end(),
                   [](const text_fault& aLeft, const text_fault& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return std::move(reading.mFaults);
}

ini_text
ParseIni(std::string_view aText)
{
  ini_text text;
  text.mFaults = ReadIni(aText, [&text](const ini_entry_view& aEntry) {
    text.mEntries.push_back({ aEntry.mLine,
                              std::string(aEntry.mSection),
                              std::string(aEntry.mKey),
                              std::string(aEntry.mValue) });
  });
  return text;
}

} // namespace laburnumdyke
