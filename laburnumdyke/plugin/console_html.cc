// Pages are appended to one string. Text from documents, peers and posts only
// passes through Text() and attribute values through Attribute().
#include "laburnumdyke/plugin/console_html.h"

#include <algorithm>
#include <cstdio>

namespace laburnumdyke {

namespace {

using std::chrono::microseconds;

constexpr std::string_view kStyle = R"(
body { font: 16px/1.45 sans-serif; color: #1c1c1c; background: #fff;
  margin: 0 auto; max-width: 84rem; padding: 0 1.5rem 3rem; }
header { border-bottom: 2px solid #2b4a5e; margin-bottom: 1.2rem;
  padding: .8rem 0; }
header a { color: #2b4a5e; font-weight: bold; text-decoration: none; }
h1 { font-size: 1.5rem; margin: 1rem 0 .5rem; }
h2 { font-size: 1.15rem; margin: 1.6rem 0 .4rem; }
table { border-collapse: collapse; }
th, td { border: 1px solid #c8d0d6; padding: .3rem .7rem; text-align: left;
  vertical-align: top; }
th { background: #eef2f5; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
td.hash { font-family: monospace; }
nav { display: flex; flex-wrap: wrap; gap: .4rem; margin: .8rem 0; }
button { font: inherit; padding: .3rem .8rem; border: 1px solid #2b4a5e;
  border-radius: 4px; background: #fff; color: #2b4a5e; cursor: pointer; }
button.main { background: #2b4a5e; color: #fff; }
button[aria-current] { background: #d5e2ea; font-weight: bold; }
button.first { position: absolute; left: -99rem; }
button:focus, input:focus, textarea:focus, a:focus {
  outline: 3px solid #e0a030; outline-offset: 1px; }
fieldset { border: 1px solid #c8d0d6; border-radius: 4px; margin: 0 0 .8rem;
  padding: .5rem .9rem .7rem; display: grid; gap: .5rem 1.2rem;
  grid-template-columns: repeat(auto-fill, minmax(17rem, 1fr)); }
legend { font-weight: bold; padding: 0 .3rem; }
.field label { display: block; font-weight: bold; font-size: .9rem; }
.field .hint { display: block; color: #555; font-size: .8rem; }
.field input, .field textarea { font: inherit; box-sizing: border-box;
  width: 100%; padding: .25rem .4rem; border: 1px solid #7b8a94;
  border-radius: 3px; }
.field textarea { font-family: monospace; min-height: 7rem; }
.wide { grid-column: 1 / -1; }
.fault { display: block; color: #a40000; font-weight: bold; font-size: .85rem; }
.faulty input, .faulty textarea { border: 2px solid #a40000; }
.notice { border-left: 5px solid #2b4a5e; background: #eef2f5;
  padding: .6rem 1rem; margin: 1rem 0; }
.notice.bad { border-color: #a40000; background: #fbeeee; }
del { color: #a40000; } ins { color: #0b6b2e; text-decoration: none; }
.end { align-self: end; }
)";

// "failure_domain" as a label: "failure domain".
std::string
LabelOf(std::string_view aKey)
{
  std::string label(aKey);
  std::replace(label.begin(), label.end(), '_', ' ');
  return label;
}

class page_writer
{
public:
  explicit page_writer(std::string_view aTitle)
  {
    Raw("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
        "<meta charset=\"utf-8\">\n"
        "<meta name=\"viewport\" content=\"width=device-width\">\n<title>");
    Text(aTitle);
    Raw(" - laburnumdyke</title>\n"
        "<link rel=\"stylesheet\" href=\"/console/style.css\">\n</head>\n"
        "<body>\n<header><a href=\"/console\">laburnumdyke console</a>"
        "</header>\n<main>\n<h1>");
    Text(aTitle);
    Raw("</h1>\n");
  }

  std::string Take()
  {
    Raw("</main>\n</body>\n</html>\n");
    return std::move(mOut);
  }

  page_writer& Raw(std::string_view aHtml)
  {
    mOut.append(aHtml);
    return *this;
  }

  page_writer& Text(std::string_view aText)
  {
    mOut.append(EscapeHtml(aText));
    return *this;
  }

  page_writer& Attribute(std::string_view aName, std::string_view aValue)
  {
    return Raw(" ").Raw(aName).Raw("=\"").Text(aValue).Raw("\"");
  }

  void Hidden(std::string_view aName, std::string_view aValue)
  {
    Raw("<input type=\"hidden\"");
    Attribute("name", aName).Attribute("value", aValue).Raw(">\n");
  }

  void Button(std::string_view aAction,
              std::string_view aLabel,
              std::string_view aClass = {},
              bool aCurrent = false)
  {
    Raw("<button name=\"action\"").Attribute("value", aAction);
    if (!aClass.empty()) {
      Attribute("class", aClass);
    }
    if (aCurrent) {
      Attribute("aria-current", "page");
    }
    Raw(">").Text(aLabel).Raw("</button>\n");
  }

  void Heads(std::initializer_list<std::string_view> aHeads)
  {
    Raw("<table>\n<tr>");
    for (std::string_view head : aHeads) {
      Raw("<th scope=\"col\">").Text(head).Raw("</th>");
    }
    Raw("</tr>\n");
  }

  page_writer& Cell(std::string_view aText)
  {
    return Raw("<td>").Text(aText).Raw("</td>");
  }

  page_writer& Cell(std::uint64_t aNumber)
  {
    return Raw("<td class=\"number\">")
      .Text(std::to_string(aNumber))
      .Raw("</td>");
  }

  void Notice(std::string_view aText, bool aBad)
  {
    Raw(aBad ? "<p class=\"notice bad\" role=\"alert\">"
             : "<p class=\"notice\" role=\"status\">");
    Text(aText).Raw("</p>\n");
  }

private:
  std::string mOut;
};

std::string
ShowLatency(microseconds aTime)
{
  char buffer[32];
  std::snprintf(buffer,
                sizeof buffer,
                "%.2f ms",
                static_cast<double>(aTime.count()) / 1000.0);
  return buffer;
}

void
WriteInstances(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Instances</h2>\n");
  aPage.Heads(
    { "instance", "region", "failure domain", "version in force", "state" });
  std::vector<instance_view> instances = aStatus.mPeers;
  instances.insert(instances.begin(), aStatus.mSelf);
  for (const instance_view& one : instances) {
    aPage.Raw("<tr>")
      .Cell(one.mMember.mInstance.mValue)
      .Cell(one.mMember.mRegion.mValue)
      .Cell(one.mMember.mDomain.mValue)
      .Cell(one.mVersion)
      .Cell(one.mMember.mLeaving ? "leaving" : "live")
      .Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
}

void
WriteRegions(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Headroom by region</h2>\n");
  aPage.Heads({ "region", "cap", "slots of live instances", "free" });
  for (const region_view& region : aStatus.mRegions) {
    aPage.Raw("<tr>")
      .Cell(region.mRegion.mValue)
      .Cell(region.mCap)
      .Cell(region.mSlots)
      .Cell(region.mFree)
      .Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
}

void
WriteRanks(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Ranks at this instance</h2>\n");
  if (aStatus.mRanks.empty()) {
    aPage.Raw("<p>No request was answered yet.</p>\n");
    return;
  }
  aPage.Heads({ "rank", "requests", "median", "99th percentile" });
  for (const latency_summary& rank : aStatus.mRanks) {
    aPage.Raw("<tr>")
      .Cell(rank.mLabel)
      .Cell(rank.mCount)
      .Cell(ShowLatency(rank.mMedian))
      .Cell(ShowLatency(rank.mP99))
      .Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
}

void
WriteRefusals(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Refusals at this instance</h2>\n");
  if (aStatus.mRefusals.empty()) {
    aPage.Raw("<p>None.</p>\n");
    return;
  }
  aPage.Heads({ "counter", "reason", "count" });
  for (const refusal_view& refusal : aStatus.mRefusals) {
    aPage.Raw("<tr>")
      .Cell(refusal.mKey.mName)
      .Cell(refusal.mKey.mReason)
      .Cell(refusal.mCount)
      .Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
}

void
WriteDrains(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Drains in progress</h2>\n");
  if (aStatus.mDrains.empty()) {
    aPage.Raw("<p>No upstream is leaving.</p>\n");
    return;
  }
  aPage.Heads({ "upstream", "service", "failure domain" });
  for (const drain_view& drain : aStatus.mDrains) {
    aPage.Raw("<tr>")
      .Cell(drain.mUpstream.mValue)
      .Cell(drain.mSpec.mService.mValue)
      .Cell(drain.mSpec.mDomain.mValue)
      .Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
}

void
OpenForm(page_writer& aPage,
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
    aPage.Button(
      "show:" + std::string(part.mKind), label, "", part.mKind == aShownKind);
  }
  aPage.Button("review", "Review and submit", "main");
  aPage.Raw("</nav>\n");
}

std::string
RowField(std::string_view aKind, std::size_t aRow, std::string_view aKey)
{
  std::string name = std::string(aKind) + "." + std::to_string(aRow);
  return aKey.empty() ? name : name + "." + std::string(aKey);
}

void
HidePart(page_writer& aPage, const form_part& aPart, const form_rows& aRows)
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

// Every edited part but the one that is shown.
void
HideDraft(page_writer& aPage,
          const draft_view& aView,
          std::string_view aShownKind)
{
  for (const form_part& part : FormParts()) {
    auto edited = aView.mPost.mDraft.mParts.find(part.mKind);
    if (part.mKind != aShownKind && edited != aView.mPost.mDraft.mParts.end()) {
      HidePart(aPage, part, edited->second);
    }
  }
}

// The list of values that a field is chosen from; empty where it is free.
std::string
ChoicesOf(std::string_view aKind, std::string_view aKey)
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
WriteChoices(page_writer& aPage,
             const std::string& aId,
             const std::vector<std::string>& aValues)
{
  aPage.Raw("<datalist").Attribute("id", aId).Raw(">");
  for (const std::string& value : aValues) {
    aPage.Raw("<option").Attribute("value", value).Raw(">");
  }
  aPage.Raw("</datalist>\n");
}

void
WriteAllChoices(page_writer& aPage, const draft_view& aView)
{
  for (std::string_view kind : { "region", "failure_domain", "service" }) {
    std::vector<std::string> names;
    for (const form_row& row :
         RowsOf(*FindPart(kind), aView.mPost.mDraft, aView.mBase)) {
      names.push_back(row.mName);
    }
    WriteChoices(aPage, "names-" + std::string(kind), names);
  }
  WriteChoices(aPage, "values-rank", { "urgent", "standard", "bulk" });
  WriteChoices(aPage, "values-idempotent", { "yes", "no" });
  WriteChoices(aPage, "values-state", { "serving", "leaving" });
}

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
WriteInput(page_writer& aPage, const input_view& aInput)
{
  std::string described = aInput.mName + ".hint";
  std::string style = aInput.mFaults.empty() ? "field" : "field faulty";
  style += aInput.mLong ? " wide" : "";
  aPage.Raw("<div").Attribute("class", style).Raw("><label");
  aPage.Attribute("for", aInput.mName).Raw(">").Text(aInput.mLabel);
  aPage.Raw("</label>");
  aPage.Raw(aInput.mLong ? "<textarea spellcheck=\"false\""
                         : "<input autocomplete=\"off\"");
  aPage.Attribute("id", aInput.mName).Attribute("name", aInput.mName);
  aPage.Attribute("aria-describedby", described);
  if (!aInput.mFaults.empty()) {
    aPage.Attribute("aria-invalid", "true");
  }
  if (!aInput.mChoices.empty()) {
    aPage.Attribute("list", aInput.mChoices);
  }
  if (aInput.mLong) {
    aPage.Raw(">\n").Text(aInput.mValue).Raw("</textarea>");
  } else {
    aPage.Attribute("value", aInput.mValue).Raw(">");
  }
  aPage.Raw("<span").Attribute("id", described).Raw(">");
  for (const std::string& fault : aInput.mFaults) {
    aPage.Raw("<span class=\"fault\">Expected: ").Text(fault).Raw("</span>");
  }
  if (aInput.mFaults.empty()) {
    aPage.Raw("<span class=\"hint\">").Text(aInput.mHint).Raw("</span>");
  }
  aPage.Raw("</span></div>\n");
}

// The faults of a field, or of the name where aField is empty.
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
                 ChoicesOf(aPart.mKind, ""),
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
                 ChoicesOf(aPart.mKind, field.mKey),
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

std::size_t
CountBlocks(const document& aDocument)
{
  std::size_t count = 0;
  for (const block_map::value_type& entry : aDocument.mBlocks) {
    count += entry.second.size();
  }
  return count;
}

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
WriteFaultList(page_writer& aPage, const draft_view& aView)
{
  aPage.Notice("The document would be refused. Every fault:", true);
  aPage.Heads({ "part", "row", "field", "expected" });
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
  aPage.Raw("</table>\n");
}

void
WriteChanges(page_writer& aPage, const std::vector<document_change>& aChanges)
{
  aPage.Heads({ "section", "field", "before", "after" });
  for (const document_change& change : aChanges) {
    aPage.Raw("<tr>").Cell(change.mSection).Cell(LabelOf(change.mField));
    aPage.Raw("<td><del>").Text(change.mBefore.value_or("")).Raw("</del></td>");
    aPage.Raw("<td><ins>").Text(change.mAfter.value_or("")).Raw("</ins></td>");
    aPage.Raw("</tr>\n");
  }
  aPage.Raw("</table>\n");
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
  bool mBad;
};

outcome_text
DescribeOutcome(submission_kind aKind)
{
  switch (aKind) {
    case submission_kind::Accepted:
      return { "Accepted", "The change is accepted.", false };
    case submission_kind::Unchanged:
      return { "Unchanged",
               "The version in force has the same content; nothing was "
               "written.",
               false };
    case submission_kind::Conflict:
      return { "Conflict",
               "Another change came first; nothing was written. Start again "
               "from the overview with the version that won.",
               true };
    case submission_kind::Refused:
      return { "Refused",
               "The document is refused; nothing was written.",
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
           "The change was sent and the platform could not be read since: it "
           "may be in force. Submitting again from this page is safe, the "
           "change is made at most once.",
           true };
}

} // namespace

std::string
EscapeHtml(std::string_view aText)
{
  std::string out;
  for (char byte : aText) {
    switch (byte) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += byte;
    }
  }
  return out;
}

std::string
RenderOverview(const status_view& aStatus)
{
  page_writer page("Overview");
  if (aStatus.mSelf.mVersion == 0) {
    page.Notice("No document is in force yet at this instance.", true);
  } else {
    page.Raw("<p>Version in force: <strong>")
      .Text(std::to_string(aStatus.mSelf.mVersion))
      .Raw("</strong>, content hash <code>")
      .Text(aStatus.mSelf.mContentHash)
      .Raw("</code></p>\n");
  }
  page.Raw("<h2>Change the document</h2>\n<ul>\n");
  for (const form_part& part : FormParts()) {
    page.Raw("<li><a")
      .Attribute("href", "/console/edit/" + std::string(part.mKind))
      .Raw(">")
      .Text(part.mTitle)
      .Raw("</a></li>\n");
  }
  page.Raw("</ul>\n");
  WriteInstances(page, aStatus);
  WriteRegions(page, aStatus);
  WriteDrains(page, aStatus);
  WriteRanks(page, aStatus);
  WriteRefusals(page, aStatus);
  return page.Take();
}

std::string
RenderPartPage(const draft_view& aView)
{
  const form_part& part = *FindPart(aView.mPost.mPage);
  page_writer page(part.mTitle);
  page.Raw("<p>Draft based on version ")
    .Text(std::to_string(aView.mPost.mDraft.mBaseVersion))
    .Raw(". Nothing changes until it is submitted.</p>\n");
  OpenForm(page, aView, part.mKind);
  HideDraft(page, aView, part.mKind);
  for (const std::string& fault : FaultsAt(aView, std::nullopt, "")) {
    page.Notice("Expected: " + fault, true);
  }
  form_rows rows = RowsOf(part, aView.mPost.mDraft, aView.mBase);
  bool tooLarge =
    rows.size() > kMostRows ||
    (part.mKind == "blocks" && CountBlocks(aView.mBase) > kMostShownBlocks);
  if (tooLarge) {
    page.Notice("This part is too large for a form; change it with laburnumctl "
                "submit.",
                false);
    return page.Raw("</form>\n").Take();
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
  WriteAllChoices(page, aView);
  return page.Raw("</form>\n").Take();
}

std::string
RenderReview(const draft_view& aView,
             const std::vector<document_change>& aChanges)
{
  page_writer page("Review");
  page.Raw("<p>Draft based on version ")
    .Text(std::to_string(aView.mPost.mDraft.mBaseVersion))
    .Raw(".</p>\n");
  OpenForm(page, aView, "");
  HideDraft(page, aView, "");
  if (!aView.mFaults.empty()) {
    WriteFaultList(page, aView);
  } else if (aChanges.empty()) {
    page.Notice("The draft declares the same as its base.", false);
  } else {
    WriteChanges(page, aChanges);
    WriteSubmit(page, aView, "Submit");
  }
  return page.Raw("</form>\n").Take();
}

std::string
RenderOutcome(const draft_view& aView, const submission_outcome& aOutcome)
{
  outcome_text text = DescribeOutcome(aOutcome.mKind);
  page_writer page(text.mTitle);
  page.Notice(text.mText, text.mBad);
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
    page.Raw("<h2>From the winner's document to this draft</h2>\n");
    WriteChanges(page, *aOutcome.mChanges);
  }
  bool mayRepeat = aOutcome.mKind == submission_kind::Unavailable ||
                   aOutcome.mKind == submission_kind::Unknown;
  if (mayRepeat) {
    OpenForm(page, aView, "");
    HideDraft(page, aView, "");
    WriteSubmit(page, aView, "Submit again");
    page.Raw("</form>\n");
  }
  page.Raw("<p><a href=\"/console\">Overview</a></p>\n");
  return page.Take();
}

std::string
RenderMessage(std::string_view aTitle, std::string_view aText)
{
  page_writer page(aTitle);
  page.Notice(aText, true);
  return page.Raw("<p><a href=\"/console\">Overview</a></p>\n").Take();
}

std::string_view
ConsoleStyle()
{
  return kStyle;
}

} // namespace laburnumdyke
