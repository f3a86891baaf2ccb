// The page that edits one part of the document as rows of fields.
#include "laburnumdyke/plugin/console_fields.h"

namespace laburnumdyke {

namespace {

std::size_t
CountBlocks(const document& aDocument)
{
  std::size_t count = 0;
  for (const block_map::value_type& entry : aDocument.mBlocks) {
    count += entry.second.Items().size();
  }
  return count;
}

} // namespace

std::string
RenderPartPage(const draft_view& aView)
{
  const form_part& part = *FindPart(aView.mPost.mPage);
  page_writer page(part.mTitle);
  page.Raw("<p>Draft based on version ")
    .Text(std::to_string(aView.mPost.mDraft.mBaseVersion))
    .Raw(". Nothing changes until it is submitted.</p>\n");
  WriteFormStart(page, aView, part.mKind);
  WriteHiddenParts(page, aView, part.mKind);
  for (const std::string& fault : FaultsAt(aView, std::nullopt, "")) {
    page.Notice("Expected: " + fault, true);
  }
  form_rows rows = RowsOf(part, aView.mPost.mDraft, aView.mBase);
  bool tooLarge =
    rows.size() > kMaxRows ||
    (part.mKind == "blocks" && CountBlocks(aView.mBase) > kMaxShownBlocks);
  if (tooLarge) {
    page.Notice("This part is too large for a form; change it with laburnumctl "
                "submit.",
                false);
    return page.Raw("</form>\n").Finish();
  }
  page.Hidden("edited", part.mKind);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    WriteRow(page, aView, part, i, rows[i]);
  }
  page.Raw("<nav aria-label=\"Rows\">\n");
  if (!part.mFixedRows) {
    page.Button("add:" + std::string(part.mKind), "Add a row");
  }
  page.Button("check", "Check");
  page.Button("review", "Review and submit", "main");
  page.Raw("</nav>\n");
  WriteDatalists(page, aView);
  return page.Raw("</form>\n").Finish();
}

} // namespace laburnumdyke
