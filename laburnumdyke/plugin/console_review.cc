// The review page before a submission and the outcome page after it.
#include "laburnumdyke/plugin/console_fields.h"

namespace laburnumdyke {

namespace {

void
WriteFault(page_writer& aPage,
           const form_part& aPart,
           const form_rows& aRows,
           const form_fault& aFault)
{
  std::string row = aFault.mRow ? aRows.at(*aFault.mRow).mName : std::string();
  bool isName = aFault.mRow && aFault.mField.empty();
  aPage.Raw("<tr>")
    .Cell(aPart.mTitle)
    .Cell(aFault.mRow && row.empty() ? "new row" : row)
    .Cell(isName ? "name" : LabelOf(aFault.mField))
    .Cell(aFault.mExpected)
    .Raw("</tr>\n");
}

void
WriteFaultTable(page_writer& aPage, const draft_view& aView)
{
  aPage.Notice("The document would be refused for these faults:", true);
  aPage.BeginTable({ "part", "row", "field", "expected" });
  for (const form_part& part : FormParts()) {
    form_rows rows = RowsOf(part, aView.mPost.mDraft, aView.mBase);
    for (const form_fault& fault : aView.mFaults) {
      if (fault.mKind == part.mKind) {
        WriteFault(aPage, part, rows, fault);
      }
    }
  }
  for (const form_fault& fault : aView.mFaults) {
    if (fault.mKind.empty()) {
      aPage.Raw("<tr>")
        .Cell("document")
        .Cell("")
        .Cell("")
        .Cell(fault.mExpected);
      aPage.Raw("</tr>\n");
    }
  }
  aPage.EndTable();
}

void
WriteChanges(page_writer& aPage, const std::vector<document_change>& aChanges)
{
  aPage.BeginTable({ "section", "field", "before", "after" });
  for (const document_change& change : aChanges) {
    aPage.Raw("<tr>").Cell(change.mSection).Cell(LabelOf(change.mField));
    aPage.Raw("<td><del>").Text(change.mBefore.value_or("")).Raw("</del></td>");
    aPage.Raw("<td><ins>").Text(change.mAfter.value_or("")).Raw("</ins></td>");
    aPage.Raw("</tr>\n");
  }
  aPage.EndTable();
}

void
WriteSubmit(page_writer& aPage,
            const draft_view& aView,
            std::string_view aLabel)
{
  aPage.Hidden("change_id", aView.mPost.mChangeId);
  aPage.Raw("<fieldset><legend>Submit</legend>\n");
  bool faulty = aView.mPost.mAction == console_action::Submit &&
                !IsRowToken(aView.mPost.mSubmitter);
  constexpr std::string_view kHint =
    "1 to 64 letters, digits, '-', '_', '.' or '@'";
  std::vector<std::string> faults;
  if (faulty) {
    faults.emplace_back(kHint);
  }
  WriteInput(aPage,
             { "submitter",
               "submitter",
               std::string(kHint),
               aView.mPost.mSubmitter,
               "",
               faults });
  aPage.Raw("<div class=\"end\">");
  aPage.Button("submit", aLabel, "main");
  aPage.Raw("</div></fieldset>\n");
}

struct outcome_text
{
  std::string_view mTitle;
  std::string_view mText;
  bool mIsError;
};

outcome_text
DescribeOutcome(submission_kind aKind)
{
  switch (aKind) {
    case submission_kind::Accepted:
      return { "Accepted", "The change was accepted.", false };
    case submission_kind::Unchanged:
      return { "Unchanged",
               "The version in force has the same content; nothing was "
               "written.",
               false };
    case submission_kind::Conflict:
      return { "Conflict",
               "Another change was accepted first; nothing was written. Start "
               "again from the overview, with the version now in force.",
               true };
    case submission_kind::Refused:
      return { "Refused",
               "The document was refused; nothing was written.",
               true };
    case submission_kind::Unavailable:
      return { "Platform unavailable",
               "The platform could not be reached; nothing was written. The "
               "draft is kept on this page: submit again.",
               true };
    case submission_kind::Unknown:
      break;
  }
  return { "Outcome unknown",
           "The change was sent, but the platform could not be read "
           "afterwards: the change may be in force. Submitting again from this "
           "page is safe; the change is applied at most once.",
           true };
}

} // namespace

std::string
RenderReview(const draft_view& aView,
             const std::vector<document_change>& aChanges)
{
  page_writer page("Review");
  page.Raw("<p>Draft based on version ")
    .Text(std::to_string(aView.mPost.mDraft.mBaseVersion))
    .Raw(".</p>\n");
  WriteFormStart(page, aView, "");
  WriteHiddenParts(page, aView, "");
  if (!aView.mFaults.empty()) {
    WriteFaultTable(page, aView);
  } else if (aChanges.empty()) {
    page.Notice("The draft is identical to its base version.", false);
  } else {
    WriteChanges(page, aChanges);
    WriteSubmit(page, aView, "Submit");
  }
  return page.Raw("</form>\n").Finish();
}

std::string
RenderOutcome(const draft_view& aView, const submission_outcome& aOutcome)
{
  outcome_text text = DescribeOutcome(aOutcome.mKind);
  page_writer page(text.mTitle);
  page.Notice(text.mText, text.mIsError);
  if (aOutcome.mVersion > 0) {
    page.Raw("<p>Version: <strong>")
      .Text(std::to_string(aOutcome.mVersion))
      .Raw("</strong></p>\n");
  }
  if (!aOutcome.mReason.empty()) {
    page.Raw("<p>").Text(aOutcome.mReason).Raw("</p>\n");
  }
  page.Raw("<p>Change id: <code>")
    .Text(aView.mPost.mChangeId)
    .Raw("</code></p>\n");
  if (!aOutcome.mFaults.empty()) {
    page.Raw("<ul>\n");
    for (const text_fault& fault : aOutcome.mFaults) {
      page.Raw("<li>").Text(fault.Describe("document")).Raw("</li>\n");
    }
    page.Raw("</ul>\n");
  }
  if (aOutcome.mChanges) {
    page.Raw("<h2>From the version in force to this draft</h2>\n");
    WriteChanges(page, *aOutcome.mChanges);
  }
  bool mayRepeat = aOutcome.mKind == submission_kind::Unavailable ||
                   aOutcome.mKind == submission_kind::Unknown;
  if (mayRepeat) {
    WriteFormStart(page, aView, "");
    WriteHiddenParts(page, aView, "");
    WriteSubmit(page, aView, "Submit again");
    page.Raw("</form>\n");
  }
  page.Raw("<p><a href=\"/console\">Overview</a></p>\n");
  return page.Finish();
}

std::string
RenderMessage(std::string_view aTitle, std::string_view aText)
{
  page_writer page(aTitle);
  page.Notice(aText, true);
  return page.Raw("<p><a href=\"/console\">Overview</a></p>\n").Finish();
}

} // namespace laburnumdyke
