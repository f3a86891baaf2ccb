// inih reads its lines through a callback, which counts them: inih's entry
// handler is not given the line number.
#include "laburnumdyke/kernel/ini.h"

#include <ini.h>

namespace laburnumdyke {

namespace {

// Capacities of inih's buffers for lines and section names.
constexpr std::size_t kMaxLineBytes = 198;
constexpr std::size_t kMaxSectionBytes = 49;
constexpr std::string_view kWhitespace = " \t\r\v\f";

struct ini_parse_state
{
  std::string_view mRest;
  std::size_t mLine = 0;
  std::vector<text_fault> mFaults;
  const std::function<void(const ini_entry_view&)>* mHandler = nullptr;
};

void
AddFault(ini_parse_state& aState, std::string aExpected)
{
  aState.mFaults.push_back(
    { aState.mLine, std::string(), std::move(aExpected) });
}

// Indented lines are rejected: inih would append them to the value before
// them, and documents in version control should not rely on that.
bool
IsIndented(std::string_view aLine)
{
  std::size_t first = aLine.find_first_not_of(kWhitespace);
  return first != 0 && first != std::string_view::npos && aLine[first] != ';' &&
         aLine[first] != '#';
}

// Returns true if inih would truncate the section's name.
bool
IsLongSection(std::string_view aLine)
{
  std::size_t end = aLine.find(']');
  return !aLine.empty() && aLine.front() == '[' &&
         end != std::string_view::npos && end - 1 > kMaxSectionBytes;
}

char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  ini_parse_state& state = *static_cast<ini_parse_state*>(aStream);
  if (state.mRest.empty() || aSize < 2) {
    return nullptr;
  }
  std::size_t end = state.mRest.find('\n');
  std::string_view line = state.mRest.substr(0, end);
  state.mRest.remove_prefix(end == std::string_view::npos ? state.mRest.size()
                                                          : end + 1);
  ++state.mLine;
  if (line.size() > kMaxLineBytes) {
    AddFault(state, "a line of at most 198 bytes");
    line = {};
  } else if (line.find('\0') != std::string_view::npos) {
    AddFault(state, "text without NUL bytes");
    line = {};
  } else if (IsIndented(line)) {
    AddFault(state, "a line that does not begin with a blank");
    line = {};
  } else if (IsLongSection(line)) {
    AddFault(state, "a section of at most 49 bytes");
    line = {};
  }
  std::size_t length = line.copy(aBuffer, static_cast<std::size_t>(aSize) - 2);
  aBuffer[length] = '\n';
  aBuffer[length + 1] = '\0';
  return aBuffer;
}

int
HandleEntry(void* aUser,
            const char* aSection,
            const char* aName,
            const char* aValue)
{
  ini_parse_state& state = *static_cast<ini_parse_state*>(aUser);
  if (aSection[0] == '\0') {
    AddFault(state, "a section before the first key");
    return 1;
  }
  (*state.mHandler)(
    { state.mLine, aSection, aName, aValue == nullptr ? "" : aValue });
  return 1;
}

enum class ini_line_kind
{
  Blank, // empty, or a comment
  Section,
  Entry,
  Malformed,
};

ini_line_kind
ClassifyLine(std::string_view aLine)
{
  std::size_t first = aLine.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos || aLine[first] == ';' ||
      aLine[first] == '#') {
    return ini_line_kind::Blank;
  }
  bool isSection = aLine[first] == '[';
  std::size_t end = aLine.find_first_of(isSection ? "]" : "=:");
  if (end == std::string_view::npos || aLine.find(';') < end) {
    return ini_line_kind::Malformed;
  }
  return isSection ? ini_line_kind::Section : ini_line_kind::Entry;
}

// Reports malformed lines, of which inih reports only the first, and sections
// without a key, which it does not report.
void
FindMalformedLines(std::string_view aText, std::vector<text_fault>& aFaults)
{
  std::size_t number = 0;
  std::vector<std::size_t> emptySections; // line numbers
  bool hasKey = true;
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    ini_line_kind kind = ClassifyLine(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    ++number;
    if (kind == ini_line_kind::Malformed) {
      aFaults.push_back(
        { number, std::string(), "\"[section]\" or \"key = value\"" });
    } else if (kind == ini_line_kind::Section) {
      emptySections.push_back(number);
      hasKey = false;
    } else if (kind == ini_line_kind::Entry && !hasKey) {
      emptySections.pop_back();
      hasKey = true;
    }
  }
  for (std::size_t line : emptySections) {
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
        const std::function<void(const ini_entry_view&)>& aHandler)
{
  ini_parse_state state;
  state.mRest = aText;
  state.mHandler = &aHandler;
  ini_parse_stream(NextLine, &state, HandleEntry, &state);
  FindMalformedLines(aText, state.mFaults);
  std::stable_sort(state.mFaults.begin(),
                   state.mFaults.end(),
                   [](const text_fault& aLeft, const text_fault& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return std::move(state.mFaults);
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
