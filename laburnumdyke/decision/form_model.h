// The document as forms: parts, rows and fields as operators type them.
//
// Usage:
//   form_draft draft{ version, hash, {} };
//   draft.mParts["region"] = rows;
//   form_check check = CheckDraft(draft, base);
//   if (check.mDocument) ... submit RenderDocument(*check.mDocument)
//   else ... each form_fault names its part, row and field
//
// A draft holds the parts that were edited alone; the others are those of the
// version it is based on. Values are kept as typed, faulty or not. Faults of
// names and values are reported together; references and sums are checked once
// these hold. A draft is accepted by the reader of documents, not by rules of
// its own.
#pragma once

#include "laburnumdyke/decision/document.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct form_field
{
  std::string_view mKey;
  std::string_view mExpected; // range and unit
  bool mRequired;
  // Whether the reader takes the value.
  bool (*mAccepts)(std::string_view aValue);
};

struct form_part
{
  std::string_view mKind;  // as in the document: "region"
  std::string_view mTitle; // for people: "Regions"
  std::string_view mNameExpected;
  std::vector<form_field> mFields;
  bool mFixedRows = false; // rows can't be added, removed or renamed
};

struct form_row
{
  std::string mName;
  std::vector<std::string> mValues; // one for each field of the part

  bool operator==(const form_row&) const = default;
};

using form_rows = std::vector<form_row>;

struct form_draft
{
  std::uint64_t mBaseVersion = 0;
  std::string mBaseHash;
  std::map<std::string, form_rows, std::less<>> mParts; // edited ones, by kind
};

// A fault beside a field; mField is empty for the row's name. A fault of a
// whole part has no row.
struct form_fault
{
  std::string mKind; // empty: the document as a whole
  std::optional<std::size_t> mRow;
  std::string mField;
  std::string mExpected;

  bool operator==(const form_fault&) const = default;
};

struct form_check
{
  std::optional<document> mDocument; // nothing where there are faults
  std::vector<form_fault> mFaults;
};

// Every part of the document, in the order of the pages.
std::span<const form_part>
FormParts();

// Null where there is no such part.
const form_part*
FindPart(std::string_view aKind);

// The rows of a part as a document has them.
form_rows
RowsOf(const form_part& aPart, const document& aDocument);

// The rows of a part as the draft has them, edited or not.
form_rows
RowsOf(const form_part& aPart, const form_draft& aDraft, const document& aBase);

// Linear in the document.
form_check
CheckDraft(const form_draft& aDraft, const document& aBase);

} // namespace laburnumdyke
