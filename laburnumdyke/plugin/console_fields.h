// The parts of a page's form: the draft that it carries, its inputs and its
// rows.
//
// Usage:
//   OpenForm(page, view, kind);
//   HideDraft(page, view, kind);
//   WriteInput(page, { name, label, hint, value, choices, faults });
//   page.Raw("</form>\n");
#pragma once

#include "laburnumdyke/plugin/console_html.h"
#include "laburnumdyke/plugin/console_page.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// The form's head: the base of the draft, and the way to each part.
void
OpenForm(page_writer& aPage,
         const draft_view& aView,
         std::string_view aShownKind);

// Every edited part but the one that is shown.
void
HideDraft(page_writer& aPage,
          const draft_view& aView,
          std::string_view aShownKind);

// The lists that inputs are chosen from.
void
WriteAllChoices(page_writer& aPage, const draft_view& aView);

// One input with its label, its limits and the faults found in it.
struct input_view
{
  std::string mName;
  std::string mLabel;
  std::string mHint;
  std::string mValue;
  std::string mChoices;
  std::vector<std::string> mFaults;
  bool mLong = false;
};

void
WriteInput(page_writer& aPage, const input_view& aInput);

// The faults of a field, or of the name where aField is empty.
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
