// The document as operators' forms: parts, rows and fields with the values as
// typed. A part holds all sections of one kind and a row one section.
//
// Usage:
//   form_draft draft{ version, hash, {} };
//   draft.mParts["region"] = rows;
//   form_check check = CheckDraft(draft, base);
//   if (check.mDocument) ... submit RenderDocument(*check.mDocument)
//   else ... each form_fault names its part, row and field
//
// A draft holds only the edited parts; all others are those of the version it
// is based on. Values are kept as typed, valid or not. Invalid names and values
// are reported together; references and limits are checked only if there are
// none. Drafts are validated by ParseDocument(), without rules of their own.
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
  std::string_view mExpected; // for messages: range and unit
  bool mRequired;
  // Returns whether the value is valid for the parser.
  bool (*mAccepts)(std::string_view aValue);
};

struct form_part
{
  std::string_view mKind;  // the section kind: "region"
  std::string_view mTitle; // for display: "Regions"
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

// A fault and the form field it belongs to. mField is empty if it is the row's
// name that is faulty; mRow is std::nullopt if the fault concerns a whole part.
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
  std::optional<document> mDocument; // std::nullopt if there are faults
  std::vector<form_fault> mFaults;
};

// Returns all parts of the document, in display order.
std::span<const form_part>
FormParts();

// Returns null if there is no such part.
const form_part*
FindPart(std::string_view aKind);

// Returns the rows of a part in a document.
form_rows
RowsOf(const form_part& aPart, const document& aDocument);

// Returns the rows of a part in a draft: the edited rows, else those of the
// base.
form_rows
RowsOf(const form_part& aPart, const form_draft& aDraft, const document& aBase);

// Validates the complete document that the draft makes of aBase. Takes time
// linear in the size of the document.
form_check
CheckDraft(const form_draft& aDraft, const document& aBase);

} // namespace laburnumdyke
