// HTML building blocks of the draft form: hidden fields that carry the draft,
// inputs and rows.
//
// Usage:
//   WriteFormStart(page, view, kind);
//   WriteHiddenParts(page, view, kind);
//   WriteInput(page, { name, label, hint, value, datalist, faults });
//   page.Raw("</form>\n");
#pragma once

#include "laburnumdyke/plugin/console_html.h"
#include "laburnumdyke/plugin/console_page.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Opens the form: base version and hash of the draft, and one button for each
// part of the document.
void
WriteFormStart(page_writer& aPage,
               const draft_view& aView,
               std::string_view aShownKind);

// Writes every edited part except aShownKind as hidden fields.
void
WriteHiddenParts(page_writer& aPage,
                 const draft_view& aView,
                 std::string_view aShownKind);

// Writes the datalists that inputs refer to.
void
WriteDatalists(page_writer& aPage, const draft_view& aView);

// One input with its label, a hint on valid values and the faults found in it.
struct input_view
{
  std::string mName;
  std::string mLabel;
  std::string mHint;
  std::string mValue;
  std::string mDatalist; // element id; empty: free text
  std::vector<std::string> mFaults;
  bool mMultiline = false; // a textarea
};

void
WriteInput(page_writer& aPage, const input_view& aInput);

// Returns what was expected of a field of the part shown, one text per fault.
// An empty aField means the row's name; without aRow, the whole part.
std::vector<std::string>
FaultsAt(const draft_view& aView,
         std::optional<std::size_t> aRow,
         std::string_view aField);

void
WriteRow(page_writer& aPage,
         const draft_view& aView,
         const form_part& aPart,
         std::size_t aIndex,
         const form_row& aRow);

} // namespace laburnumdyke
