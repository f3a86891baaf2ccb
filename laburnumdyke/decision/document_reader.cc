// Makes one pass over the INI entries, driven by the table of fields. The
// reader records the missing keys of each section and the line of each field:
// the validation works on the parsed document, so its faults get their lines
// here. Blocks are sorted once per failure domain and merged to find repeats,
// which takes O(n log n) without a tree node per block.
#include "laburnumdyke/decision/document_schema.h"

#include "laburnumdyke/kernel/settings.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace laburnumdyke {

namespace {

constexpr std::string_view kBlocksSection = "blocks";

struct missing_field
{
  std::string_view mKey;
  std::string_view mExpected;
};

struct section_state
{
  std::size_t mLine = 0; // of its first entry
  std::vector<missing_field> mMissing;
};

std::string_view
Trim(std::string_view aText)
{
  std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

// Names of shifts may also start with a digit, such as a date.
bool
IsSectionName(std::string_view aKind, std::string_view aName)
{
  if (aKind == "shift" && !aName.empty() && aName[0] >= '0' &&
      aName[0] <= '9') {
    return IsName("s" + std::string(aName));
  }
  return IsName(aName);
}

std::string
FieldName(std::string_view aSection, std::string_view aKey)
{
  return std::string(aSection) + "." + std::string(aKey);
}

template<class Function>
void
ForEachItem(std::string_view aList, Function&& aFunction)
{
  std::size_t comma = aList.find(',');
  while (comma != std::string_view::npos) {
    aFunction(Trim(aList.substr(0, comma)));
    aList.remove_prefix(comma + 1);
    comma = aList.find(',');
  }
  aFunction(Trim(aList));
}

class document_reader
{
public:
  document_result Read(std::string_view aText);
  document_result ReadSections(std::string_view aText);

private:
  void ReadEntries(std::string_view aText);
  document_result MakeResult();
  void ReadEntry(const ini_entry_view& aEntry);
  void ReadRankEntry(const ini_entry_view& aEntry, std::string_view aName);
  void ReadBlocks(const ini_entry_view& aEntry);
  void SortBlocks();
  void ReportRepeatedBlocks(std::string_view aText);
  void ReportMissingFields();
  // Gives each fault the line of its field, else of its section.
  void AddWithLines(std::vector<text_fault> aFaults);
  void AddFault(const ini_entry_view& aEntry, std::string_view aExpected);

  template<class Spec>
  void ReadField(const ini_entry_view& aEntry, Spec& aSpec);

  document mDocument;
  std::vector<text_fault> mFaults;
  std::map<std::string, section_state> mSections;
  std::unordered_map<std::string, std::size_t> mFieldLines; // by field
};

document_result
document_reader::Read(std::string_view aText)
{
  ReadEntries(aText);
  SortBlocks();
  ReportRepeatedBlocks(aText);
  AddWithLines(ValidateReferences(mDocument));
  if (mFaults.empty()) {
    AddWithLines(ValidateLimits(mDocument));
  }
  std::stable_sort(mFaults.begin(),
                   mFaults.end(),
                   [](const text_fault& aLeft, const text_fault& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return MakeResult();
}

document_result
document_reader::ReadSections(std::string_view aText)
{
  ReadEntries(aText);
  return MakeResult();
}

void
document_reader::ReadEntries(std::string_view aText)
{
  std::vector<text_fault> malformed =
    ReadIni(aText, [this](const ini_entry_view& aEntry) { ReadEntry(aEntry); });
  mFaults.insert(mFaults.end(), malformed.begin(), malformed.end());
  ReportMissingFields();
}

document_result
document_reader::MakeResult()
{
  document_result result;
  result.mFaults = std::move(mFaults);
  if (result.mFaults.empty()) {
    result.mDocument = std::move(mDocument);
  }
  return result;
}

void
document_reader::AddFault(const ini_entry_view& aEntry,
                          std::string_view aExpected)
{
  mFaults.push_back({ aEntry.mLine,
                      FieldName(aEntry.mSection, aEntry.mKey),
                      std::string(aExpected) });
}

void
document_reader::ReadEntry(const ini_entry_view& aEntry)
{
  if (aEntry.mSection == kBlocksSection) {
    ReadBlocks(aEntry);
    return;
  }
  std::string_view section = aEntry.mSection;
  std::size_t space = section.find(' ');
  std::string_view kind = section.substr(0, space);
  std::string_view name =
    space == std::string_view::npos ? "" : section.substr(space + 1);
  if (kind == "rank") {
    ReadRankEntry(aEntry, name);
    return;
  }
  bool known = false;
  VisitSectionMaps(
    mDocument, [&]<class Map>(std::string_view aKind, Map& aSpecs) {
      if (aKind != kind) {
        return;
      }
      known = true;
      if (!IsSectionName(kind, name)) {
        AddFault(aEntry,
                 "a section with a name of lower-case letters, digits and "
                 "hyphens, such as [region leinster]");
        return;
      }
      ReadField(aEntry, aSpecs[typename Map::key_type{ std::string(name) }]);
    });
  if (!known) {
    AddFault(aEntry,
             "a known section: region, failure_domain, service, upstream, "
             "rank, link, shift or blocks");
  }
}

void
document_reader::ReadRankEntry(const ini_entry_view& aEntry,
                               std::string_view aName)
{
  std::optional<work_rank> rank = ParseRank(aName);
  if (!rank) {
    AddFault(aEntry, "[rank urgent], [rank standard] or [rank bulk]");
    return;
  }
  ReadField(aEntry, mDocument.mRanks.at(static_cast<std::size_t>(*rank)));
}

template<class Spec>
void
document_reader::ReadField(const ini_entry_view& aEntry, Spec& aSpec)
{
  section_state& state = mSections[std::string(aEntry.mSection)];
  if (state.mLine == 0) {
    state.mLine = aEntry.mLine;
    for (const field_rule<Spec>& rule : Fields<Spec>()) {
      if (rule.mRequired) {
        state.mMissing.push_back({ rule.mKey, rule.mExpected });
      }
    }
  }
  for (const field_rule<Spec>& rule : Fields<Spec>()) {
    if (rule.mKey != aEntry.mKey) {
      continue;
    }
    std::erase_if(state.mMissing, [&](const missing_field& aField) {
      return aField.mKey == rule.mKey;
    });
    if (!mFieldLines
           .emplace(FieldName(aEntry.mSection, aEntry.mKey), aEntry.mLine)
           .second) {
      AddFault(aEntry, "the key only once in its section");
    } else if (!rule.mParse(aSpec, aEntry.mValue)) {
      AddFault(aEntry, rule.mExpected);
    }
    return;
  }
  AddFault(aEntry, "a known key of the section");
}

void
document_reader::ReadBlocks(const ini_entry_view& aEntry)
{
  if (!IsName(aEntry.mKey)) {
    AddFault(aEntry, "the name of a failure domain");
    return;
  }
  block_list::container& blocks =
    mDocument.mBlocks[domain_id{ std::string(aEntry.mKey) }].Edit();
  mFieldLines.emplace(FieldName(kBlocksSection, aEntry.mKey), aEntry.mLine);
  ForEachItem(aEntry.mValue, [&](std::string_view aItem) {
    std::optional<client_prefix> prefix = ParsePrefix(aItem);
    if (!prefix) {
      AddFault(
        aEntry,
        "CIDR prefixes with no host bits set, separated by commas, such as "
        "10.0.0.0/24 or 2001:db8::/32, instead of \"" +
          std::string(aItem) + "\"");
    } else {
      blocks.push_back(*prefix);
    }
  });
}

void
document_reader::SortBlocks()
{
  for (block_map::value_type& entry : mDocument.mBlocks) {
    block_list::container& blocks = entry.second.Edit();
    std::sort(blocks.begin(), blocks.end());
    blocks.shrink_to_fit();
  }
}

// Finds the lines by parsing the text again, and only if there are repeats, so
// that no line number is stored for each of millions of blocks.
void
document_reader::ReportRepeatedBlocks(std::string_view aText)
{
  std::set<client_prefix> repeated = DuplicateBlocks(mDocument.mBlocks);
  if (repeated.empty()) {
    return;
  }
  std::map<client_prefix, std::size_t> firstLines;
  ReadIni(aText, [&](const ini_entry_view& aEntry) {
    if (aEntry.mSection != kBlocksSection) {
      return;
    }
    ForEachItem(aEntry.mValue, [&](std::string_view aItem) {
      std::optional<client_prefix> prefix = ParsePrefix(aItem);
      if (!prefix || repeated.count(*prefix) == 0) {
        return;
      }
      auto first = firstLines.emplace(*prefix, 0).first;
      if (first->second > 0) {
        AddFault(aEntry,
                 "the block " + prefix->Text() + " only once (also on line " +
                   std::to_string(first->second) + ")");
      } else {
        first->second = aEntry.mLine;
      }
    });
  });
}

void
document_reader::ReportMissingFields()
{
  using section_entry = std::map<std::string, section_state>::value_type;
  for (const section_entry& entry : mSections) {
    for (const missing_field& field : entry.second.mMissing) {
      mFaults.push_back({ entry.second.mLine,
                          entry.first + "." + std::string(field.mKey),
                          std::string(field.mExpected) + " (missing)" });
    }
  }
}

void
document_reader::AddWithLines(std::vector<text_fault> aFaults)
{
  for (text_fault& fault : aFaults) {
    auto line = mFieldLines.find(fault.mField);
    auto section =
      mSections.find(fault.mField.substr(0, fault.mField.find('.')));
    if (line != mFieldLines.end()) {
      fault.mLine = line->second;
    } else if (section != mSections.end()) {
      fault.mLine = section->second.mLine;
    }
    mFaults.push_back(std::move(fault));
  }
}

} // namespace

document_result
ParseDocument(std::string_view aText)
{
  return document_reader().Read(aText);
}

document_result
ParseSections(std::string_view aText)
{
  return document_reader().ReadSections(aText);
}

} // namespace laburnumdyke
