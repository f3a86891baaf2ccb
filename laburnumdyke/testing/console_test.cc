// The web console: the form model against the document parser, the form
// encoding, and complete changes through the pages of one kernel with the
// platform stand-in, compared with the same changes submitted as laburnumctl
// does.
#include "ctl/run_to_completion.h"
#include "laburnumdyke/plugin/console_html.h"
#include "laburnumdyke/plugin/console_page.h"
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/submission_driver.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/one_kernel.h"
#include "laburnumdyke/testing/standin/platform_standin.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <regex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

document
Base()
{
  return *ParseDocument(SmallDocument({ "127.0.0.1", 9001 })).mDocument;
}

form_draft
EditedDraft(const document& aBase)
{
  form_draft draft;
  for (const form_part& part : FormParts()) {
    draft.mParts[std::string(part.mKind)] = RowsOf(part, aBase);
  }
  return draft;
}

struct fault_row
{
  const char* mKind;
  std::size_t mRow;
  const char* mField; // empty: the row's name
  const char* mValue;
  const char* mFaultKind;
  int mFaultRow; // -1: the whole part
  const char* mFaultField;
};

// Upstream rows are sorted by name: booking-1, job-sheet-1, report-1.
const fault_row kFaultRows[] = {
  { "region", 0, "cap", "0", "region", 0, "cap" },
  { "region", 0, "cap", "", "region", 0, "cap" },
  { "region", 0, "cap", "10", "region", 0, "cap" }, // over the 9 slots
  { "region", 0, "", "Leinster", "region", 0, "" },
  { "region", 0, "", "a]\n[region b", "region", 0, "" },
  { "failure_domain", 0, "region", "munster", "failure_domain", 0, "region" },
  { "service", 0, "rank", "first", "service", 0, "rank" },
  { "service", 0, "idempotent", "perhaps", "service", 0, "idempotent" },
  { "service", 0, "deadline", "2", "service", 0, "deadline" },
  { "service", 1, "", "booking", "service", 1, "" },
  { "upstream", 0, "address", "host:1", "upstream", 0, "address" },
  { "upstream", 0, "slots", "3\nstate = leaving", "upstream", 0, "slots" },
  { "upstream", 0, "slots", "3 ; more", "upstream", 0, "slots" },
  { "upstream", 0, "connections", "2", "upstream", 0, "connections" },
  { "upstream", 0, "state", "leaving", "upstream", 0, "state" }, // none serving
  { "upstream", 2, "address", "127.0.0.1:9001", "upstream", 2, "address" },
  { "rank", 0, "floor", "101", "rank", 0, "floor" },
  { "rank", 0, "floor", "90", "rank", 2, "floor" }, // sum over 100
  { "rank", 0, "", "first", "rank", 0, "" },
  { "blocks", 0, "prefixes", "10.0.0.1/8", "blocks", 0, "prefixes" },
  { "blocks", 0, "", "nowhere", "blocks", 0, "prefixes" },
};

void
SetField(form_rows& aRows, const fault_row& aRow)
{
  form_row& row = aRows.at(aRow.mRow);
  const form_part& part = *FindPart(aRow.mKind);
  if (*aRow.mField == '\0') {
    row.mName = aRow.mValue;
  }
  for (std::size_t i = 0; i < part.mFields.size(); ++i) {
    if (part.mFields[i].mKey == aRow.mField) {
      row.mValues[i] = aRow.mValue;
    }
  }
}

bool
HasFault(const form_check& aCheck, const fault_row& aRow)
{
  return std::any_of(
    aCheck.mFaults.begin(),
    aCheck.mFaults.end(),
    [&](const form_fault& aFault) {
      int row = aFault.mRow ? static_cast<int>(*aFault.mRow) : -1;
      return aFault.mKind == aRow.mFaultKind && row == aRow.mFaultRow &&
             aFault.mField == aRow.mFaultField && !aFault.mExpected.empty();
    });
}

} // namespace

TEST_GROUP(FormModel){};

TEST(FormModel, FaultsAreReportedAtTheirFields)
{
  const document base = Base();
  for (const fault_row& row : kFaultRows) {
    form_draft draft;
    form_rows& rows = draft.mParts[row.mKind];
    rows = RowsOf(*FindPart(row.mKind), base);
    SetField(rows, row);
    form_check check = CheckDraft(draft, base);
    std::string text =
      std::string(row.mKind) + "." + row.mField + " = " + row.mValue;
    CHECK_TEXT(!check.mDocument.has_value(), text.c_str());
    CHECK_TEXT(HasFault(check, row), text.c_str());
  }
}

TEST(FormModel, EveryPartRoundTrips)
{
  const document base = Base();
  form_check check = CheckDraft(EditedDraft(base), base);
  CHECK(check.mFaults.empty());
  CHECK(*check.mDocument == base);
  CHECK(*CheckDraft({}, base).mDocument == base);
}

TEST(FormModel, FaultOfWholePartHasNoRow)
{
  const document base = Base();
  form_draft draft;
  draft.mParts["region"];
  form_check check = CheckDraft(draft, base);
  CHECK(HasFault(check, { "", 0, "", "", "region", -1, "" }));
}

// Guards against injection: typed text such as a line feed or a section header
// must not add rows to the document, and the rendered document must parse to
// the same document.
TEST(FormModel, TypedTextCannotInjectRows)
{
  const document base = Base();
  const std::vector<std::string> kFragments = {
    "\n", "\r", "[region x]", "=", ";",    "#",    "cap = 1", " ",
    "a",  "1",  "\t",         ",", "\x01", "\xff", "[",       "]"
  };
  std::mt19937_64 random(6);
  int accepted = 0;
  for (int round = 0; round < 3000; ++round) {
    form_draft draft = EditedDraft(base);
    const form_part& part = FormParts()[random() % FormParts().size()];
    form_rows& rows = draft.mParts.find(part.mKind)->second;
    if (rows.empty()) {
      continue;
    }
    form_row& row = rows[random() % rows.size()];
    std::size_t cell = random() % (row.mValues.size() + 1);
    std::string& value =
      cell == row.mValues.size() ? row.mName : row.mValues[cell];
    value.insert(random() % (value.size() + 1),
                 kFragments[random() % kFragments.size()]);
    form_check check = CheckDraft(draft, base);
    CHECK(check.mDocument.has_value() == check.mFaults.empty());
    if (!check.mDocument) {
      continue;
    }
    ++accepted;
    for (const form_part& each : FormParts()) {
      CHECK_EQUAL(RowsOf(each, draft, base).size(),
                  RowsOf(each, *check.mDocument).size());
    }
    std::string text = RenderDocument(*check.mDocument);
    CHECK(*ParseDocument(text).mDocument == *check.mDocument);
  }
  CHECK(accepted > 100);
}

TEST_GROUP(ConsoleForm){};

TEST(ConsoleForm, DecodesOrRejects)
{
  std::optional<form_fields> fields = DecodeForm("a=1+2&b=%3Cx%26&c&=d");
  CHECK(fields.has_value());
  CHECK_EQUAL(4u, fields->size());
  CHECK_EQUAL(std::string("1 2"), (*fields)[0].second);
  CHECK_EQUAL(std::string("<x&"), (*fields)[1].second);
  for (const char* body : { "a=%", "a=%4", "a=%zz", "%g0=1", "a=%+1" }) {
    CHECK_TEXT(!DecodeForm(body).has_value(), body);
  }
}

TEST(ConsoleForm, ReadsOnlyRowsOfEditedParts)
{
  console_post post = ReadPost({ { "edited", "region" },
                                 { "edited", "nothing" },
                                 { "region.1", "munster" },
                                 { "region.1.cap", "7" },
                                 { "region.1.other", "7" },
                                 { "region.x", "7" },
                                 { "link.0", "a" },
                                 { "action", "remove:region:0" } });
  CHECK(!post.mTooManyRows);
  CHECK_EQUAL(1u, post.mDraft.mParts.size());
  CHECK_EQUAL(2u, post.mDraft.mParts["region"].size());
  CHECK_EQUAL(std::string("7"), post.mDraft.mParts["region"][1].mValues[0]);
  ApplyRowAction(post);
  CHECK_EQUAL(1u, post.mDraft.mParts["region"].size());
  CHECK_EQUAL(std::string("munster"), post.mDraft.mParts["region"][0].mName);
}

TEST(ConsoleForm, TooManyRowsAreFlaggedNotTruncated)
{
  for (std::size_t row : { kMaxRows, std::size_t(99999999999) }) {
    std::string name = "region." + std::to_string(row);
    CHECK(ReadPost({ { "edited", "region" }, { name, "x" } }).mTooManyRows);
  }
  std::string last = "region." + std::to_string(kMaxRows - 1);
  CHECK(!ReadPost({ { "edited", "region" }, { last, "x" } }).mTooManyRows);
}

TEST(ConsoleForm, SameOrigin)
{
  struct origin_row
  {
    const char* mHost;
    const char* mOrigin;
    const char* mReferer;
    bool mSame;
  };
  const origin_row kRows[] = {
    { "127.0.0.1:7004", "http://127.0.0.1:7004", "", true },
    { "127.0.0.1:7004", "", "http://127.0.0.1:7004/console", true },
    { "[::1]:7004", "http://[::1]:7004", "", true },
    { "localhost:7004", "http://localhost:7004", "", true },
    { "127.0.0.1", "http://127.0.0.1", "", true },
    { "127.0.0.1:7004", "", "", false },
    { "127.0.0.1:7004", "null", "", false },
    { "127.0.0.1:7004", "http://127.0.0.1:7005", "", false },
    { "127.0.0.1:7004", "https://127.0.0.1:7004", "", false },
    { "127.0.0.1:7004", "", "http://127.0.0.1:70041/", false },
    { "127.0.0.1:7004",
      "http://evil.example",
      "http://127.0.0.1:7004/console",
      false },
    { "evil.example:7004", "http://evil.example:7004", "", false },
    { "localhost.evil.example", "http://localhost.evil.example", "", false },
    { "", "", "", false },
  };
  for (const origin_row& row : kRows) {
    CHECK_EQUAL_TEXT(row.mSame,
                     IsSameOrigin({ row.mHost, row.mOrigin, row.mReferer }),
                     row.mOrigin);
  }
}

TEST(ConsoleForm, PagesEscapeUserInput)
{
  CHECK_EQUAL(std::string("&lt;a b=&quot;c&quot; d=&#39;e&#39;&gt;&amp;"),
              EscapeHtml("<a b=\"c\" d='e'>&"));
  const document base = Base();
  const std::string hostile = "\"><script>'&</textarea>";
  console_post post;
  post.mDraft = EditedDraft(base);
  using part_rows = std::pair<const std::string, form_rows>;
  for (part_rows& part : post.mDraft.mParts) {
    for (form_row& row : part.second) {
      row.mName = hostile;
      std::fill(row.mValues.begin(), row.mValues.end(), hostile);
    }
  }
  post.mSubmitter = hostile;
  post.mChangeId = hostile;
  form_check check = CheckDraft(post.mDraft, base);
  draft_view view{ post, base, check.mFaults };
  std::vector<std::string> pages = { RenderReview(view, {}),
                                     RenderOutcome(view, {}),
                                     RenderMessage(hostile, hostile) };
  for (const form_part& part : FormParts()) {
    post.mPage = part.mKind;
    pages.push_back(RenderPartPage(view));
  }
  for (const std::string& page : pages) {
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("&lt;script&gt;") != std::string::npos);
  }
}

namespace {

// A browser without scripts: parses a page's fields, lets a test change them,
// and posts them with the button that was pressed.
class browser
{
public:
  explicit browser(endpoint aConsole)
    : mConsole(std::move(aConsole))
  {
  }

  void Open(const std::string& aTarget)
  {
    call_request request;
    request.mTo = mConsole;
    request.mTarget = aTarget;
    LoadPage(CallNow(request));
  }

  void PressButton(const std::string& aAction)
  {
    std::string body = "action=" + Encode(aAction);
    for (const form_fields::value_type& field : mFields) {
      body += "&" + Encode(field.first) + "=" + Encode(field.second);
    }
    call_request request;
    request.mTo = mConsole;
    request.mMethod = http::verb::post;
    request.mTarget = "/console/draft";
    request.mHeaders = { { "Host", mConsole.Text() }, { "Origin", mOrigin } };
    request.mBody = body;
    request.mTimeout = std::chrono::seconds(60);
    LoadPage(CallNow(request));
  }

  std::string& Field(const std::string& aName)
  {
    auto found = std::find_if(mFields.begin(),
                              mFields.end(),
                              [&](const form_fields::value_type& aField) {
                                return aField.first == aName;
                              });
    CHECK_TEXT(found != mFields.end(), aName.c_str());
    return found->second;
  }

  bool Shows(const std::string& aText) const
  {
    return mPage.mBody.find(aText) != std::string::npos;
  }

  std::string mOrigin;
  call_result mPage;

private:
  static std::string Encode(const std::string& aText)
  {
    static constexpr char kDigits[] = "0123456789ABCDEF";
    std::string out;
    for (char byte : aText) {
      unsigned value = static_cast<unsigned char>(byte);
      out += '%';
      out += kDigits[value >> 4];
      out += kDigits[value & 15];
    }
    return out;
  }

  static std::string Unescape(std::string aText)
  {
    const std::pair<const char*, const char*> kEntities[] = {
      { "&lt;", "<" },  { "&gt;", ">" },  { "&quot;", "\"" },
      { "&#39;", "'" }, { "&amp;", "&" },
    };
    for (const std::pair<const char*, const char*>& entity : kEntities) {
      aText =
        std::regex_replace(aText, std::regex(entity.first), entity.second);
    }
    return aText;
  }

  void LoadPage(call_result aPage)
  {
    mPage = std::move(aPage);
    mFields.clear();
    const std::regex kField("<input[^>]* name=\"([^\"]*)\"[^>]*"
                            " value=\"([^\"]*)\">|"
                            "<textarea[^>]* name=\"([^\"]*)\"[^>]*>\n"
                            "([^<]*)</textarea>");
    std::sregex_iterator end;
    for (std::sregex_iterator at(
           mPage.mBody.begin(), mPage.mBody.end(), kField);
         at != end;
         ++at) {
      const std::smatch& match = *at;
      std::size_t first = match[1].matched ? 1 : 3;
      mFields.emplace_back(Unescape(match[first].str()),
                           Unescape(match[first + 1].str()));
    }
  }

  endpoint mConsole;
  form_fields mFields;
};

} // namespace

TEST_GROUP(Console)
{
  asio::io_context mContext;
  std::unique_ptr<platform_standin> mPlatform;
  std::thread mPlatformThread;
  endpoint mPlatformAddress;
  std::unique_ptr<kernel> mKernel;
  std::unique_ptr<browser> mBrowser;

  void setup() override
  {
    mPlatform =
      std::make_unique<platform_standin>(mContext, platform_standin_options{});
    CHECK(!mPlatform->Start().has_value());
    mPlatformAddress = { "127.0.0.1", mPlatform->Port() };
    mPlatformThread = std::thread([this]() { mContext.run(); });
    CHECK_EQUAL(1u, SubmitDirectly("cap = 9").mVersion);
    settings settings = FreeSettings("one", "leinster-a", "leinster");
    settings.mPlatform = mPlatformAddress;
    mKernel = std::make_unique<kernel>(settings, registry::Records());
    CHECK(!mKernel->Start(std::chrono::steady_clock::now()).has_value());
    WaitForVersion(1);
    mBrowser = std::make_unique<browser>(settings.mOperator);
    mBrowser->mOrigin = "http://" + settings.mOperator.Text();
  }

  void teardown() override
  {
    mKernel->Stop();
    mKernel.reset();
    mPlatform->Stop();
    mContext.stop();
    mPlatformThread.join();
    mPlatform.reset();
  }

  // Submits the small document with another cap in the way laburnumctl does.
  submission_outcome SubmitDirectly(const std::string& aCap)
  {
    static int sChanges = 0;
    std::string text = SmallDocument({ "127.0.0.1", 9001 });
    text.replace(text.find("cap = 9"), 7, aCap);
    submission_request request;
    request.mText = text;
    request.mChangeId = "tool-" + std::to_string(++sChanges);
    request.mSubmitter = "tool";
    asio_http http;
    asio_clock clock;
    platform_client<asio_http> platform(http, mPlatformAddress);
    return RunToCompletion(RunSubmission(std::move(request), platform, clock));
  }

  void WaitForVersion(std::uint64_t aVersion)
  {
    CHECK(
      WaitUntil([&]() { return entry_tables(*mKernel).Version() >= aVersion; },
                std::chrono::seconds(60)));
  }

  void Control(const std::string& aFaults)
  {
    CHECK(!PostText(mPlatformAddress, "/control", aFaults).empty());
  }

  // Edits the cap and stops at the review page.
  void ChangeCap(const std::string& aCap)
  {
    mBrowser->Open("/console/edit/region");
    CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
    mBrowser->Field("region.0.cap") = aCap;
    mBrowser->PressButton("review");
    CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
    mBrowser->Field("submitter") = "niamh";
  }
};

TEST(Console, ConsoleAndCtlProduceSameContentHash)
{
  ChangeCap("8");
  CHECK(mBrowser->Shows("<del>9</del>"));
  CHECK(mBrowser->Shows("<ins>8</ins>"));
  mBrowser->PressButton("submit");
  CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("Accepted"));
  WaitForVersion(2);
  // Unchanged means that the content hashes are equal.
  submission_outcome same = SubmitDirectly("cap = 8");
  CHECK(same.mKind == submission_kind::Unchanged);
  CHECK_EQUAL(2u, same.mVersion);
}

TEST(Console, InvalidInputIsKeptAndNotSubmitted)
{
  mBrowser->Open("/console/edit/region");
  mBrowser->Field("region.0.cap") = "many <b>";
  mBrowser->PressButton("check");
  CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("aria-invalid"));
  CHECK(mBrowser->Shows("Expected: requests in flight"));
  CHECK_EQUAL(std::string("many <b>"), mBrowser->Field("region.0.cap"));
  mBrowser->PressButton("show:upstream");
  CHECK_EQUAL(std::string("many <b>"), mBrowser->Field("region.0.cap"));
  mBrowser->PressButton("submit");
  CHECK_EQUAL(422u, mBrowser->mPage.mStatus);
  CHECK(SubmitDirectly("cap = 9").mKind == submission_kind::Unchanged);
}

TEST(Console, RowsAreAddedAndRemoved)
{
  mBrowser->Open("/console/edit/region");
  mBrowser->PressButton("add:region");
  mBrowser->Field("region.1") = "munster";
  mBrowser->Field("region.1.cap") = "3";
  mBrowser->PressButton("review");
  CHECK_EQUAL(422u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("a failure domain in the region"));
  mBrowser->PressButton("show:region");
  mBrowser->PressButton("remove:region:1");
  CHECK(!mBrowser->Shows("munster"));
  mBrowser->PressButton("review");
  CHECK(mBrowser->Shows("identical to its base version"));
}

TEST(Console, ConflictShowsCurrentVersion)
{
  ChangeCap("8");
  CHECK_EQUAL(2u, SubmitDirectly("cap = 7").mVersion);
  mBrowser->PressButton("submit");
  CHECK_EQUAL(409u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("Conflict"));
  CHECK(mBrowser->Shows("<strong>2</strong>"));
  CHECK(mBrowser->Shows("<del>7</del>"));
  CHECK(mBrowser->Shows("<ins>8</ins>"));
}

TEST(Console, DraftStaysValidAfterItsBaseIsReplaced)
{
  mBrowser->Open("/console/edit/region");
  SubmitDirectly("cap = 7");
  WaitForVersion(2);
  mBrowser->Field("region.0.cap") = "8";
  mBrowser->PressButton("review");
  CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("<del>9</del>")); // base version, not the one in force
}

TEST(Console, ResubmittingAfterAnOutageIsIdempotent)
{
  ChangeCap("8");
  Control("{\"outage\":true}");
  mBrowser->PressButton("submit");
  CHECK_EQUAL(503u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("nothing was written"));
  Control("{\"outage\":false,\"lose_write_answers\":1}");
  mBrowser->PressButton("submit");
  CHECK_EQUAL(200u, mBrowser->mPage.mStatus);
  CHECK(mBrowser->Shows("Accepted"));
  CHECK_EQUAL(2u, SubmitDirectly("cap = 8").mVersion);
}

TEST(Console, CrossOriginPostsAreRefusedAndCounted)
{
  ChangeCap("8");
  mBrowser->mOrigin = "http://evil.example";
  mBrowser->PressButton("submit");
  CHECK_EQUAL(403u, mBrowser->mPage.mStatus);
  CHECK_EQUAL(
    1u, mKernel->Counters().Value("console_refused_total", "cross_origin"));
  CHECK(SubmitDirectly("cap = 9").mKind == submission_kind::Unchanged);
}

TEST(Console, EveryPageLoadsAndForbidsScripts)
{
  std::vector<std::string> targets = { "/console", "/console/style.css" };
  for (const form_part& part : FormParts()) {
    targets.push_back("/console/edit/" + std::string(part.mKind));
  }
  for (const std::string& target : targets) {
    mBrowser->Open(target);
    CHECK_EQUAL_TEXT(200u, mBrowser->mPage.mStatus, target.c_str());
    std::string policy = mBrowser->mPage.Field("Content-Security-Policy");
    CHECK(policy.find("default-src 'none'") == 0);
  }
  mBrowser->Open("/console/edit/nothing");
  CHECK_EQUAL(404u, mBrowser->mPage.mStatus);
}

TEST(Console, StatusReportsVersionHashRegionsAndDrains)
{
  std::string status = GetText(mKernel->Settings().mOperator, "/v1/status");
  boost::json::object json = boost::json::parse(status).as_object();
  CHECK_EQUAL(1, json["version"].to_number<int>());
  CHECK_EQUAL(64u, json["content_hash"].as_string().size());
  CHECK_EQUAL(1u, json["regions"].as_array().size());
  CHECK_EQUAL(
    9, json["regions"].as_array()[0].as_object()["cap"].to_number<int>());
  CHECK(json["drains"].as_array().empty());
  CHECK(json.contains("ranks") && json.contains("refusals"));
}
