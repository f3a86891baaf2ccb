// laburnumctl: parsing of options, and each command against a mock HTTP client.
#include "ctl/commands.h"
#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/testing/mock_http.h"

#include <cstdio>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <CppUTestExt/MockSupport.h>

using namespace laburnumdyke;

namespace {

constexpr std::string_view kText =
  "[region leinster]\ncap = 1\n"
  "[failure_domain leinster-a]\nregion = leinster\n"
  "[service booking]\nrank = urgent\n"
  "[upstream booking-1]\nservice = booking\n"
  "failure_domain = leinster-a\naddress = 10.0.0.1:80\n"
  "slots = 3\nconnections = 650\n";

options_result
Parse(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), "laburnumctl");
  std::vector<char*> arguments;
  for (std::string& word : aArguments) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  return ParseOptions(static_cast<int>(aArguments.size()), arguments.data());
}

struct virtual_clock
{
  instant mNow;

  instant Now() { return mNow; }
  asio::awaitable<void> SleepUntil(instant aUntil)
  {
    mNow = std::max(mNow, aUntil);
    co_return;
  }
};

std::string
RowJson(std::uint64_t aRevision, const config_row& aRow)
{
  boost::json::object json;
  json["revision"] = aRevision;
  json["value"] = EncodeConfigRow(aRow);
  return boost::json::serialize(json);
}

// Returns the manifest object of a document text.
std::string
Manifest(const std::string& aText)
{
  document_objects objects = SplitDocument(aText);
  return *objects.mObjects.at(objects.mHash);
}

std::string
Canonical()
{
  return RenderDocument(*ParseDocument(kText).mDocument);
}

} // namespace

TEST_GROUP(CtlOptions){};

TEST(CtlOptions, InvalidCommandLinesAreRejected)
{
  const std::vector<std::vector<std::string>> kRows = {
    {},
    { "tune" },
    { "check" },
    { "check", "a", "b" },
    { "submit", "a" },
    { "show" },
    { "show", "more", "--platform", "127.0.0.1:1" },
    { "show", "--platform", "localhost:1" },
    { "show", "--platform" },
    { "show", "--platform", "127.0.0.1:1", "--fast" },
    { "status", "--platform", "127.0.0.1:1" },
    { "lookup", "--caller", "127.0.0.1:1", "--service", "a" },
    { "lookup",
      "--caller",
      "127.0.0.1:1",
      "--service",
      "a&client=b",
      "--client",
      "10.0.0.1" },
    { "lookup",
      "--caller",
      "127.0.0.1:1",
      "--service",
      "a",
      "--client",
      "host" },
    { "submit", "a", "--platform", "127.0.0.1:1", "--base", "1x" },
    { "submit", "a", "--platform", "127.0.0.1:1", "--submitter", "a b" },
    { "explain" },
    { "route", "--path", "/a", "--operator", "127.0.0.1:1" },
    { "route", "--host", "a", "--operator", "127.0.0.1:1" },
    { "route", "--host", "a", "--path", "/a" },
    { "route", "--host", "a", "--path", "a", "--operator", "127.0.0.1:1" },
    { "route", "--host", "a\n", "--path", "/a", "--operator", "127.0.0.1:1" },
    { "route", "--host", "a", "--path", "/a", "--operator", "here" },
    { "route",
      "--host",
      "a",
      "--path",
      "/a",
      "--operator",
      "127.0.0.1:1",
      "--deadline",
      "2" },
    { "route",
      "--host",
      "a",
      "--path",
      "/a",
      "--operator",
      "127.0.0.1:1",
      "--customer",
      "acme",
      "--key-file",
      "-" },
  };
  for (const std::vector<std::string>& row : kRows) {
    options_result result = Parse(row);
    CHECK(!result.mOptions.has_value());
    CHECK(!result.mReason.empty());
  }
}

TEST(CtlOptions, ExplainAcceptsRequestAndAnyNumberOfLogs)
{
  options_result result = Parse({ "explain", "9c41", "a.log", "b.log" });
  CHECK(result.mOptions.has_value());
  CHECK(command_kind::Explain == result.mOptions->mCommand);
  STRCMP_EQUAL("9c41", result.mOptions->mRequest.c_str());
  LONGS_EQUAL(2, result.mOptions->mFiles.size());
  CHECK(Parse({ "explain", "9c41" }).mOptions->mFiles.empty());
}

TEST(CtlOptions, ReadsEveryOption)
{
  options_result result = Parse({ "submit",
                                  "--json",
                                  "file.ini",
                                  "--platform=127.0.0.1:7000",
                                  "--submitter",
                                  "niamh",
                                  "--change-id",
                                  "c1",
                                  "--base",
                                  "7" });
  CHECK(result.mOptions.has_value());
  CHECK(command_kind::Submit == result.mOptions->mCommand);
  CHECK_EQUAL(std::string("file.ini"), result.mOptions->mFile);
  CHECK_EQUAL(std::string("127.0.0.1:7000"),
              result.mOptions->mPlatform->Text());
  CHECK_EQUAL(std::string("niamh"), result.mOptions->mSubmitter);
  CHECK_EQUAL(std::string("c1"), result.mOptions->mChangeId);
  CHECK_EQUAL(7u, *result.mOptions->mBase);
  CHECK(result.mOptions->mJson);
}

TEST_GROUP(CtlCommands)
{
  mock_http mHttp;
  virtual_clock mClock;
  std::ostringstream mOut;
  std::ostringstream mErrors;
  std::string mFile = "ctl_test.tmp.ini";

  void setup() override
  {
    mock().ignoreOtherCalls();
  }

  void teardown() override
  {
    std::remove(mFile.c_str());
    mock().clear();
  }

  void Write(std::string_view aText)
  {
    std::ofstream(mFile) << aText;
  }

  exit_status Run(std::vector<std::string> aArguments)
  {
    mOut.str("");
    mErrors.str("");
    ctl_options options = *Parse(std::move(aArguments)).mOptions;
    options.mChangeId = "c1";
    options.mSubmitter = "niamh";
    commands<mock_http, virtual_clock> run(
      options, mHttp, mClock, mOut, mErrors);
    return run.Run();
  }

  exit_status Submit()
  {
    return Run({ "submit", mFile, "--platform", "127.0.0.1:1" });
  }

  bool Printed(std::string_view aText)
  {
    return mOut.str().find(aText) != std::string::npos;
  }
};

TEST(CtlCommands, CheckReportsEachFault)
{
  Write(kText);
  CHECK(exit_status::Ok == Run({ "check", mFile }));
  CHECK(Printed("outcome:  valid"));
  Write(std::string(kText) + "colour = red\nsize = 1\n");
  CHECK(exit_status::Refused == Run({ "check", mFile }));
  CHECK(Printed(mFile + ":13: upstream booking-1.colour: expected a known"));
  CHECK(Printed(mFile + ":14: upstream booking-1.size"));
  CHECK(exit_status::Refused == Run({ "check", mFile, "--json" }));
  CHECK(Printed("\"line\":13"));
  CHECK(exit_status::Usage == Run({ "check", "no-such-file" }));
  CHECK(exit_status::Usage == Run({ "check", "." }));
  CHECK_EQUAL(std::string("laburnumctl: .: can't be read\n"), mErrors.str());
}

// Guards against a check that accepts what instances refuse, and against faults
// that show keys.
TEST(CtlCommands, CheckReadsConfigurationsOfTheFrontHosts)
{
  const std::string kHead =
    R"({"version":3,"limits":{"max-header-bytes":1,"max-body-bytes":1,)"
    R"("header-timeout-ms":1,"idle-timeout-ms":1},"listeners":[],)"
    R"("clusters":[],"tenants":[{"name":"acme","api-keys":["s3cret"]},)";
  Write("\n " + kHead + R"({"name":"birch","api-keys":["s3cret-2"]}]})");
  CHECK(exit_status::Ok == Run({ "check", mFile }));
  CHECK(Printed("customers:  2"));
  Write(kHead + R"({"name":"birch","api-keys":["s3cret"],"burst":-1}]})");
  CHECK(exit_status::Refused == Run({ "check", mFile }));
  CHECK(Printed("a key of customer birch is also given to customer acme"));
  CHECK(Printed("customer birch.burst: expected a number from 0"));
  CHECK_FALSE(Printed("s3cret"));
  CHECK(exit_status::Refused == Run({ "check", mFile, "--json" }));
  CHECK(Printed("\"field\":\"customer birch.burst\""));
  Write("{\"version\":3");
  CHECK(exit_status::Refused == Run({ "check", mFile }));
}

TEST(CtlCommands, SubmitWritesTheObjectsThenTheRow)
{
  Write(kText);
  std::string hash = DocumentHash(Canonical());
  mock()
    .expectOneCall("Exchange")
    .withParameter("target", "/v1/tables/config/rows/current");
  std::string chunk = "/v1/objects/" + ContentHash(Canonical());
  mock().expectOneCall("Exchange").withParameter("target", chunk.c_str());
  std::string manifest = "/v1/objects/" + hash;
  mock().expectOneCall("Exchange").withParameter("target", manifest.c_str());
  mock()
    .expectOneCall("Exchange")
    .withParameter("target", "/v1/tables/config/rows/current");
  mHttp.mAnswers = { client_answer{ 404, "{}" },
                     client_answer{ 200, "{}" },
                     client_answer{ 200, "{}" },
                     client_answer{ 200, "{\"revision\":1}" } };
  CHECK(exit_status::Ok == Submit());
  mock().checkExpectations();
  CHECK(Printed("accepted: version 1"));
  CHECK_EQUAL(Canonical(), mHttp.mRequests.at(1).mBody);
  CHECK_EQUAL(std::string("0"), mHttp.mRequests.at(3).mIfMatch);
  config_row row = *DecodeConfigRow(mHttp.mRequests.at(3).mBody);
  CHECK_EQUAL(hash, row.mContentHash);
  CHECK_EQUAL(std::string("niamh"), row.mSubmitter);
}

TEST(CtlCommands, SubmitResolvesLostWriteResponseByReading)
{
  Write(kText);
  config_row row = config_row().Next(DocumentHash(Canonical()), "c1", "niamh");
  mHttp.mAnswers = {
    client_answer{ 404, "{}" }, client_answer{ 200, "{}" },
    client_answer{ 200, "{}" }, std::nullopt,
    client_answer{ 503, "" },   client_answer{ 200, RowJson(1, row) }
  };
  CHECK(exit_status::Ok == Submit());
  CHECK(Printed("accepted: version 1"));
}

TEST(CtlCommands, SubmitReportsAConflictWithTheDifference)
{
  Write(kText);
  document winner = *ParseDocument(kText).mDocument;
  winner.mRanks[0].mQueue = 9;
  std::string text = RenderDocument(winner);
  config_row row = config_row().Next(DocumentHash(text), "theirs", "otto");
  mHttp.mAnswers = { client_answer{ 404, "{}" },
                     client_answer{ 200, "{}" },
                     client_answer{ 200, "{}" },
                     client_answer{ 412, RowJson(1, row) },
                     client_answer{ 200, RowJson(1, row) },
                     client_answer{ 200, Manifest(text) },
                     client_answer{ 200, text } };
  CHECK(exit_status::Refused == Submit());
  CHECK(Printed("conflict: version 1"));
  CHECK(Printed("rank urgent: queue: 9 -> 64"));
}

TEST(CtlCommands, SubmitDistinguishesNothingWrittenFromUnknown)
{
  Write(kText);
  CHECK(exit_status::Unavailable == Submit());
  CHECK(Printed("unavailable"));
  mHttp.mAnswers = { client_answer{ 404, "{}" },
                     client_answer{ 200, "{}" },
                     client_answer{ 200, "{}" } };
  CHECK(exit_status::Unavailable == Submit());
  CHECK(Printed("unknown"));
}

TEST(CtlCommands, ShowVerifiesDocumentHash)
{
  std::string hash = DocumentHash(Canonical());
  std::string row = RowJson(1, config_row().Next(hash, "c1", "niamh"));
  const std::vector<std::string> kShow = { "show",
                                           "--platform",
                                           "127.0.0.1:1" };
  mHttp.mAnswers = { client_answer{ 200, row },
                     client_answer{ 200, Manifest(Canonical()) },
                     client_answer{ 200, Canonical() } };
  CHECK(exit_status::Ok == Run(kShow));
  CHECK_EQUAL("; version 1 by niamh, hash " + hash + "\n" + Canonical(),
              mOut.str());
  mHttp.mAnswers = { client_answer{ 200, row },
                     client_answer{ 200, Manifest(Canonical()) },
                     client_answer{ 200, Canonical() + " " } };
  CHECK(exit_status::Unavailable == Run(kShow));
  CHECK(mOut.str().empty());
}

TEST(CtlCommands, HistoryListsTheVersions)
{
  std::string hash = DocumentHash(Canonical());
  config_row row =
    config_row().Next(hash, "c1", "niamh").Next(hash, "c2", "otto");
  mHttp.mAnswers = { client_answer{ 200, RowJson(2, row) } };
  CHECK(exit_status::Ok == Run({ "history", "--platform", "127.0.0.1:1" }));
  CHECK(Printed("c2         otto\n"));
  CHECK(Printed("c1         niamh\n"));
}

TEST(CtlCommands, MalformedResponsesReportUnavailable)
{
  const std::vector<std::string> kBodies = {
    "",
    "null",
    "[]",
    "{}",
    "{\"revision\":1}",
    "{\"revision\":-1,\"value\":\"\"}",
    "{\"revision\":1,\"value\":7}",
    "{\"revision\":1,\"value\":\"version=1\"}"
  };
  for (const std::string& body : kBodies) {
    mHttp.mAnswers = { client_answer{ 200, body } };
    CHECK(exit_status::Unavailable ==
          Run({ "history", "--platform", "127.0.0.1:1" }));
    CHECK(!mErrors.str().empty());
  }
}

TEST(CtlCommands, StatusAndLookupPrintTheResponse)
{
  mHttp.mAnswers = { client_answer{
    200,
    "{\"instance\":\"a-1\",\"version\":7,\"peers\":[{\"instance\":\"b-1\","
    "\"version\":7},{\"instance\":\"b-22\",\"leaving\":true}]}" } };
  CHECK(exit_status::Ok == Run({ "status", "--operator", "127.0.0.1:1" }));
  CHECK_EQUAL(std::string("instance:  a-1\n"
                          "version:   7\n"
                          "\n"
                          "peers:\n"
                          "instance  version  leaving\n"
                          "b-1       7        -\n"
                          "b-22      -        true\n"),
              mOut.str());
  const std::vector<std::string> kLookup = { "lookup",      "--caller",
                                             "127.0.0.1:1", "--service",
                                             "job-sheet",   "--client",
                                             "10.0.0.1" };
  mHttp.mAnswers = { client_answer{ 404, "{\"error\":\"no\\u001b[2J\"}" },
                     client_answer{ 503, "{}" },
                     client_answer{ 200, "<html>" } };
  CHECK(exit_status::Refused == Run(kLookup));
  CHECK(Printed("error:  no[2J\n"));
  CHECK(exit_status::Unavailable == Run(kLookup));
  CHECK(exit_status::Unavailable == Run(kLookup));
  CHECK_EQUAL(std::string("/v1/lookup?service=job-sheet&client=10.0.0.1"),
              mHttp.mRequests.back().mTarget);
}

// Guards against text of the command line that becomes another parameter, and
// against a key that shows up anywhere but in its header.
TEST(CtlCommands, RouteEncodesItsQuestionAndHidesTheKey)
{
  Write("s3cret-key\n");
  mHttp.mAnswers = { client_answer{ 200,
                                    "{\"instance\":\"one\",\"outcome\":"
                                    "\"sent\",\"upstream\":\"u1\"}" } };
  CHECK(exit_status::Ok == Run({ "route",
                                 "--host",
                                 "a.example",
                                 "--path",
                                 "/x?y=1&customer=z",
                                 "--deadline",
                                 "2s",
                                 "--key-file",
                                 mFile,
                                 "--operator",
                                 "127.0.0.1:1" }));
  const client_request& sent = mHttp.mRequests.at(0);
  CHECK_EQUAL(std::string("/v1/explain?host=a%2Eexample&path=%2Fx%3Fy%3D1%26"
                          "customer%3Dz&deadline_ms=2000"),
              sent.mTarget);
  LONGS_EQUAL(1, sent.mHeaders.size());
  STRCMP_EQUAL("s3cret-key", sent.mHeaders.at(0).second.c_str());
  CHECK(Printed("u1"));
  CHECK_FALSE(Printed("s3cret"));
  CHECK(mErrors.str().empty());
}

TEST(CtlCommands, RouteRefusesUnusableKeysWithoutShowingThem)
{
  for (const std::string& text : { std::string(),
                                   std::string("\nkey"),
                                   std::string("ke\ty"),
                                   std::string(20000, 'k') }) {
    Write(text);
    CHECK(exit_status::Usage == Run({ "route",
                                      "--host",
                                      "a",
                                      "--path",
                                      "/",
                                      "--key-file",
                                      mFile,
                                      "--operator",
                                      "127.0.0.1:1" }));
    CHECK(mErrors.str().find("kkk") == std::string::npos);
    CHECK(mErrors.str().find("ke\ty") == std::string::npos);
  }
  LONGS_EQUAL(0, mHttp.mRequests.size());
}

// Guards against a failure of one instance that hides the answers of others,
// and the other way round.
TEST(CtlCommands, RouteAsksEachInstanceAndReturnsTheWorstStatus)
{
  const std::vector<std::string> kRoute = {
    "route",      "--host",      "a",          "--path",     "/",
    "--operator", "127.0.0.1:1", "--operator", "127.0.0.1:2"
  };
  client_answer good{ 200, "{\"instance\":\"one\",\"outcome\":\"sent\"}" };
  struct row
  {
    std::optional<client_answer> mSecond;
    exit_status mStatus;
  };
  const std::vector<row> kRows = {
    { good, exit_status::Ok },
    { std::nullopt, exit_status::Unavailable },
    { client_answer{ 200, "{" }, exit_status::Unavailable },
    { client_answer{ 200, "[]" }, exit_status::Unavailable },
    { client_answer{ 404, "{\"error\":\"no customer\"}" },
      exit_status::Refused },
    { client_answer{ 429, "{\"error\":\"slow down\"}" },
      exit_status::Unavailable },
    { client_answer{ 503, "{\"error\":\"none yet\"}" },
      exit_status::Unavailable },
  };
  for (const row& one : kRows) {
    mHttp.mAnswers = { good, one.mSecond };
    CHECK(one.mStatus == Run(kRoute));
    CHECK(Printed("127.0.0.1:1"));
    CHECK(Printed("127.0.0.1:2"));
  }
  mHttp.mAnswers = { good, std::nullopt };
  std::vector<std::string> json = kRoute;
  json.emplace_back("--json");
  CHECK(exit_status::Unavailable == Run(json));
  boost::json::value printed = boost::json::parse(mOut.str());
  LONGS_EQUAL(2, printed.as_array().size());
  CHECK(printed.as_array().at(1).as_object().at("answer").is_null());
}
