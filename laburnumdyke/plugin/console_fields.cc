// An edited part that is not shown is written as hidden fields with the same
// names as its inputs would have, so that one decoder handles both.
#include "laburnumdyke/plugin/console_fields.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

std::string
RowField(std::string_view aKind, std::size_t aRow, std::string_view aKey)
{
  std::string name = std::string(aKind) + "." + std::to_string(aRow);
  return aKey.empty() ? name : name + "." + std::string(aKey);
}

void
WriteHiddenPart(page_writer& aPage,
                const form_part& aPart,
                const form_rows& aRows)
{
  aPage.Hidden("edited", aPart.mKind);
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    aPage.Hidden(RowField(aPart.mKind, i, ""), aRows[i].mName);
    for (std::size_t j = 0; j < aPart.mFields.size(); ++j) {
      aPage.Hidden(RowField(aPart.mKind, i, aPart.mFields[j].mKey),
                   aRows[i].mValues[j]);
    }
  }
}

// Returns the id of the datalist that suggests values for a field; empty if the
// field takes free text.
std::string
DatalistId(std::string_view aKind, std::string_view aKey)
{
  if (aKey == "region" || aKey == "from" || aKey == "to") {
    return "names-region";
  }
  if (aKey == "failure_domain" || aKey == "service") {
    return "names-" + std::string(aKey);
  }
  if (aKind == "blocks" && aKey.empty()) {
    return "names-failure_domain";
  }
  if (aKey == "rank" || aKey == "idempotent" || aKey == "state") {
    return "values-" + std::string(aKey);
  }
  return {};
}

void
WriteDatalist(page_writer& aPage,
              const std::string& aId,
              const std::vector<std::string>& aValues)
{
  aPage.Raw("<datalist").Attribute("id", aId).Raw(">");
  for (const std::string& value : aValues) {
    aPage.Raw("<option").Attribute("value", value).Raw(">");
  }
  aPage.Raw("</datalist>\n");
}

} // namespace

void
WriteFormStart(page_writer& aPage,
               const draft_view& aView,
               std::string_view aShownKind)
{
  const form_draft& draft = aView.mPost.mDraft;
  aPage.Raw("<form method=\"post\" action=\"/console/draft\">\n"
            "<button class=\"first\" name=\"action\" value=\"check\" "
            "tabindex=\"-1\" aria-hidden=\"true\">Check</button>\n");
  aPage.Hidden("base_version", std::to_string(draft.mBaseVersion));
  aPage.Hidden("base_hash", draft.mBaseHash);
  aPage.Hidden("page", aView.mPost.mPage);
  aPage.Raw("<nav aria-label=\"Parts of the document\">\n");
  for (const form_part& part : FormParts()) {
    std::string label(part.mTitle);
    std::size_t faults = std::count_if(
      aView.mFaults.begin(),
      aView.mFaults.end(),
      [&](const form_fault& aFault) { return aFault.mKind == part.mKind; });
    label += draft.mParts.count(part.mKind) > 0 ? " (edited)" : "";
    label += faults > 0 ? " (faults: " + std::to_string(faults) + ")" : "";
    aPage.Button("show:" + std::string(part.mKind),
                 label,
                 faults > 0 ? "bad" : "",
                 part.mKind == aShownKind);
  }
  aPage.Button("review", "Review and submit", "main");
  aPage.Raw("</nav>\n");
}

void
WriteHiddenParts(page_writer& aPage,
                 const draft_view& aView,
                 std::string_view aShownKind)
{
  for (const form_part& part : FormParts()) {
    auto edited = aView.mPost.mDraft.mParts.find(part.mKind);
    if (part.mKind != aShownKind && edited != aView.mPost.mDraft.mParts.end()) {
      WriteHiddenPart(aPage, part, edited->second);
    }
  }
}

void
WriteDatalists(page_writer& aPage, const draft_view& aView)
{
  for (std::string_view kind : { "region", "failure_domain", "service" }) {
    std::vector<std::string> names;
    for (const form_row& row :
         RowsOf(*FindPart(kind), aView.mPost.mDraft, aView.mBase)) {
      names.push_back(row.mName);
    }
    WriteDatalist(aPage, "names-" + std::string(kind), names);
  }
  WriteDatalist(aPage, "values-rank", { "urgent", "standard", "bulk" });
  WriteDatalist(aPage, "values-idempotent", { "yes", "no" });
  WriteDatalist(aPage, "values-state", { "serving", "leaving" });
}

void
WriteInput(page_writer& aPage, const input_view& aInput)
{
  std::string hintId = aInput.mName + ".hint";
  std::string style = aInput.mFaults.empty() ? "field" : "field faulty";
  style += aInput.mMultiline ? " wide" : "";
  aPage.Raw("<div").Attribute("class", style).Raw("><label");
  aPage.Attribute("for", aInput.mName).Raw(">").Text(aInput.mLabel);
  aPage.Raw("</label>");
  aPage.Raw(aInput.mMultiline ? "<textarea spellcheck=\"false\""
                              : "<input autocomplete=\"off\"");
  aPage.Attribute("id", aInput.mName).Attribute("name", aInput.mName);
  aPage.Attribute("aria-describedby", hintId);
  if (!aInput.mFaults.empty()) {
    aPage.Attribute("aria-invalid", "true");
  }
  if (!aInput.mDatalist.empty()) {
    aPage.Attribute("list", aInput.mDatalist);
  }
  if (aInput.mMultiline) {
    aPage.Raw(">\n").Text(aInput.mValue).Raw("</textarea>");
  } else {
    aPage.Attribute("value", aInput.mValue).Raw(">");
  }
  aPage.Raw("<span").Attribute("id", hintId).Raw(">");
  for (const std::string& fault : aInput.mFaults) {
    aPage.Raw("<span class=\"fault\">Expected: ").Text(fault).Raw("</span>");
  }
  if (aInput.mFaults.empty()) {
    aPage.Raw("<span class=\"hint\">").Text(aInput.mHint).Raw("</span>");
  }
  aPage.Raw("</span></div>\n");
}

std::vector<std::string>
FaultsAt(const draft_view& aView,
         std::optional<std::size_t> aRow,
         std::string_view aField)
{
  std::vector<std::string> found;
  for (const form_fault& fault : aView.mFaults) {
    if (fault.mKind == aView.mPost.mPage && fault.mRow == aRow &&
        fault.mField == aField) {
      found.push_back(fault.mExpected);
    }
  }
  return found;
}

void
WriteRow(page_writer& aPage,
         const draft_view& aView,
         const form_part& aPart,
         std::size_t aIndex,
         const form_row& aRow)
{
  std::string name = RowField(aPart.mKind, aIndex, "");
  aPage.Raw("<fieldset><legend>");
  aPage.Text(aRow.mName.empty() ? "new row" : aRow.mName).Raw("</legend>\n");
  if (aPart.mFixedRows) {
    aPage.Hidden(name, aRow.mName);
  } else {
    WriteInput(aPage,
               { name,
                 "name",
                 std::string(aPart.mNameExpected),
                 aRow.mName,
                 DatalistId(aPart.mKind, ""),
                 FaultsAt(aView, aIndex, "") });
  }
  for (std::size_t i = 0; i < aPart.mFields.size(); ++i) {
    const form_field& field = aPart.mFields[i];
    std::string hint(field.mExpected);
    hint += field.mRequired ? "" : " (may be left empty)";
    WriteInput(aPage,
               { RowField(aPart.mKind, aIndex, field.mKey),
                 LabelOf(field.mKey),
                 hint,
                 aRow.mValues[i],
                 DatalistId(aPart.mKind, field.mKey),
                 FaultsAt(aView, aIndex, field.mKey),
                 aPart.mKind == "blocks" });
  }
  if (!aPart.mFixedRows) {
    aPage.Raw("<div class=\"end\">");
    aPage.Button("remove:" + std::string(aPart.mKind) + ":" +
                   std::to_string(aIndex),
                 "Remove " + (aRow.mName.empty() ? "this row" : aRow.mName));
    aPage.Raw("</div>\n");
  }
  aPage.Raw("</fieldset>\n");
}

} // namespace laburnumdyke
