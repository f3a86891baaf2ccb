// The draft is rendered as document text and parsed, so that the forms accept
// exactly what the document parser accepts. Only names and values that pass the
// parser's own field rules are written to that text, so that typed input can't
// inject another line or section.
#include "laburnumdyke/decision/form_model.h"

#include "laburnumdyke/decision/document_schema.h"
#include "laburnumdyke/kernel/invariant.h"
#include "laburnumdyke/kernel/settings.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::string_view kNameRule =
  "a name of lower-case letters, digits and hyphens, starting with a letter, "
  "at most 48 bytes";
constexpr std::string_view kShiftNameRule =
  "a name of lower-case letters, digits and hyphens, starting with a letter "
  "or a digit, at most 47 bytes";
constexpr std::string_view kBlocksKind = "blocks";
constexpr std::string_view kRankKind = "rank";

template<class Spec, std::size_t Index>
bool
Accepts(std::string_view aValue)
{
  Spec scratch;
  return Fields<Spec>()[Index].mParse(scratch, aValue);
}

template<class Spec, std::size_t... Index>
std::vector<form_field>
MakeFields(std::index_sequence<Index...>)
{
  return { form_field{ Fields<Spec>()[Index].mKey,
                       Fields<Spec>()[Index].mExpected,
                       Fields<Spec>()[Index].mRequired,
                       &Accepts<Spec, Index> }... };
}

template<class Spec, std::size_t Count>
form_part
MakePart(std::string_view aKind, std::string_view aTitle)
{
  std::string_view nameRule = aKind == "shift" ? kShiftNameRule : kNameRule;
  std::vector<form_field> fields =
    MakeFields<Spec>(std::make_index_sequence<Count>());
  CheckInvariant(fields.size() == Fields<Spec>().size(), "form_fields", aKind);
  return { aKind, aTitle, nameRule, std::move(fields), aKind == kRankKind };
}

// Calls aFunction for each prefix of a list separated by commas or spaces.
template<class Function>
void
ForEachPrefix(std::string_view aList, Function&& aFunction)
{
  constexpr std::string_view kSeparators = ", \t\r\n";
  std::size_t begin = aList.find_first_not_of(kSeparators);
  while (begin != std::string_view::npos) {
    std::size_t end =
      std::min(aList.find_first_of(kSeparators, begin), aList.size());
    aFunction(aList.substr(begin, end - begin));
    begin = aList.find_first_not_of(kSeparators, end);
  }
}

bool
AcceptsBlocks(std::string_view aValue)
{
  bool allValid = true;
  ForEachPrefix(aValue, [&](std::string_view aBlock) {
    allValid = allValid && ParsePrefix(aBlock).has_value();
  });
  return allValid;
}

std::vector<form_part>
MakeParts()
{
  form_part blocks{ kBlocksKind,
                    "Client blocks",
                    "the name of a failure domain",
                    { { "prefixes",
                        "CIDR prefixes with no host bits set, such as "
                        "10.0.0.0/24 or 2001:db8::/32, separated by commas or "
                        "line ends",
                        false,
                        &AcceptsBlocks } },
                    false };
  return { MakePart<region_spec, 1>("region", "Regions"),
           MakePart<domain_spec, 1>("failure_domain", "Failure domains"),
           MakePart<service_spec, 5>("service", "Services"),
           MakePart<upstream_spec, 6>("upstream", "Upstreams"),
           MakePart<rank_spec, 2>(kRankKind, "Ranks"),
           MakePart<link_spec, 2>("link", "Links"),
           MakePart<shift_spec, 6>("shift", "Shifts"),
           std::move(blocks) };
}

template<class Spec>
form_row
MakeRow(const std::string& aName, const Spec& aSpec)
{
  form_row row{ aName, {} };
  for (const field_rule<Spec>& rule : Fields<Spec>()) {
    row.mValues.push_back(rule.mFormat(aSpec));
  }
  return row;
}

form_row
MakeBlocksRow(const block_map::value_type& aEntry)
{
  form_row row{ aEntry.first.mValue, { std::string() } };
  for (const client_prefix& prefix : aEntry.second.Items()) {
    row.mValues[0].append(prefix.Text()).append("\n");
  }
  return row;
}

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t\r\n";
  std::size_t first = aText.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpaces) - first + 1);
}

bool
AcceptsName(const form_part& aPart, std::string_view aName)
{
  if (aPart.mKind == kRankKind) {
    return ParseRank(aName).has_value();
  }
  bool startsWithDigit = aPart.mKind == "shift" && !aName.empty() &&
                         aName[0] >= '0' && aName[0] <= '9';
  return IsName(startsWithDigit ? "s" + std::string(aName)
                                : std::string(aName));
}

// Renders one draft, parses it and maps each fault to its part, row and field.
class draft_checker
{
public:
  form_check Check(const form_draft& aDraft, const document& aBase);

private:
  void Render(const form_part& aPart, const form_rows& aRows);
  void RenderValues(const form_part& aPart, const form_row& aRow);
  void RenderBlocks(std::string_view aName, std::string_view aBlocks);
  void AddFault(const form_part& aPart,
                std::optional<std::size_t> aRow,
                std::string_view aField,
                std::string_view aExpected);
  void AddReaderFault(const text_fault& aFault);

  std::string mText;
  // Row indices by section of the rendered text, such as "region leinster".
  std::map<std::string, std::size_t, std::less<>> mRowsBySection;
  std::size_t mRow = 0; // index of the row being rendered
  std::vector<form_fault> mFaults;
};

form_check
draft_checker::Check(const form_draft& aDraft, const document& aBase)
{
  for (const form_part& part : FormParts()) {
    Render(part, RowsOf(part, aDraft, aBase));
  }
  // An invalid value was left out of the text, which would only cause follow-up
  // faults such as a missing key.
  document_result read;
  if (mFaults.empty()) {
    read = ParseDocument(mText);
  }
  for (const text_fault& fault : read.mFaults) {
    AddReaderFault(fault);
  }
  form_check check;
  check.mFaults = std::move(mFaults);
  if (check.mFaults.empty()) {
    check.mDocument = std::move(read.mDocument);
  }
  return check;
}

void
draft_checker::Render(const form_part& aPart, const form_rows& aRows)
{
  if (aPart.mKind == kBlocksKind) {
    mText.append("[blocks]\n");
  }
  for (mRow = 0; mRow < aRows.size(); ++mRow) {
    const form_row& row = aRows[mRow];
    std::string name(Trim(row.mName));
    std::string section = std::string(aPart.mKind) + " " + name;
    if (!AcceptsName(aPart, name)) {
      AddFault(aPart, mRow, "", aPart.mNameExpected);
    } else if (!mRowsBySection.emplace(section, mRow).second) {
      AddFault(aPart, mRow, "", "a name that no other row has");
    } else if (aPart.mKind == kBlocksKind) {
      RenderBlocks(name, row.mValues.at(0));
    } else {
      mText.append("[").append(section).append("]\n");
      RenderValues(aPart, row);
    }
  }
}

void
draft_checker::RenderValues(const form_part& aPart, const form_row& aRow)
{
  for (std::size_t i = 0; i < aPart.mFields.size(); ++i) {
    const form_field& field = aPart.mFields[i];
    std::string_view value = Trim(aRow.mValues.at(i));
    if (value.empty() && !field.mRequired) {
      continue; // left out: the parser uses the default
    }
    if (field.mAccepts(value)) {
      mText.append(field.mKey).append(" = ").append(value).append("\n");
    } else {
      AddFault(aPart, mRow, field.mKey, field.mExpected);
    }
  }
}

void
draft_checker::RenderBlocks(std::string_view aName, std::string_view aBlocks)
{
  const form_part& part = *FindPart(kBlocksKind);
  if (!AcceptsBlocks(aBlocks)) {
    AddFault(part, mRow, part.mFields[0].mKey, part.mFields[0].mExpected);
    return;
  }
  ForEachPrefix(aBlocks, [&](std::string_view aBlock) {
    mText.append(aName).append(" = ").append(aBlock).append("\n");
  });
}

void
draft_checker::AddFault(const form_part& aPart,
                        std::optional<std::size_t> aRow,
                        std::string_view aField,
                        std::string_view aExpected)
{
  mFaults.push_back({ std::string(aPart.mKind),
                      aRow,
                      std::string(aField),
                      std::string(aExpected) });
}

// Fields named by the parser have one of the forms "region leinster.cap",
// "region leinster", "region" and "blocks.leinster-a".
void
draft_checker::AddReaderFault(const text_fault& aFault)
{
  std::string_view location = aFault.mField;
  std::size_t dot = location.find('.');
  std::string_view section = location.substr(0, dot);
  std::string_view field =
    dot == std::string_view::npos ? "" : location.substr(dot + 1);
  const form_part* part = FindPart(section.substr(0, section.find(' ')));
  if (part == nullptr) {
    mFaults.push_back({ "", std::nullopt, "", aFault.Describe("document") });
    return;
  }
  std::string expected = aFault.mExpected;
  std::string key(section);
  if (part->mKind == kBlocksKind) {
    key = std::string(section) + " " + std::string(field);
    field = part->mFields[0].mKey;
    expected = expected.substr(0, expected.find(" (also on line"));
  }
  auto row = mRowsBySection.find(key);
  if (row == mRowsBySection.end()) {
    AddFault(*part, std::nullopt, "", expected);
  } else {
    AddFault(*part, row->second, field, expected);
  }
}

} // namespace

std::span<const form_part>
FormParts()
{
  static const std::vector<form_part> kParts = MakeParts();
  return kParts;
}

const form_part*
FindPart(std::string_view aKind)
{
  for (const form_part& part : FormParts()) {
    if (part.mKind == aKind) {
      return &part;
    }
  }
  return nullptr;
}

form_rows
RowsOf(const form_part& aPart, const document& aDocument)
{
  form_rows rows;
  VisitSectionMaps(
    aDocument, [&]<class Map>(std::string_view aKind, const Map& aSpecs) {
      if (aKind != aPart.mKind) {
        return;
      }
      for (const typename Map::value_type& entry : aSpecs) {
        rows.push_back(MakeRow(NameText(entry.first), entry.second));
      }
    });
  if (aPart.mKind == kRankKind) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      std::string_view name = ToString(static_cast<work_rank>(i));
      rows.push_back(MakeRow(std::string(name), aDocument.mRanks.at(i)));
    }
  }
  if (aPart.mKind == kBlocksKind) {
    for (const block_map::value_type& entry : aDocument.mBlocks) {
      rows.push_back(MakeBlocksRow(entry));
    }
  }
  return rows;
}

form_rows
RowsOf(const form_part& aPart, const form_draft& aDraft, const document& aBase)
{
  auto edited = aDraft.mParts.find(aPart.mKind);
  return edited == aDraft.mParts.end() ? RowsOf(aPart, aBase) : edited->second;
}

form_check
CheckDraft(const form_draft& aDraft, const document& aBase)
{
  return draft_checker().Check(aDraft, aBase);
}

} // namespace laburnumdyke
