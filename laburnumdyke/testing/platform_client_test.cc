// Tests of platform_client with a mock HTTP client: the result of each answer,
// the objects that are requested, and the timeout of each exchange.
#include "ctl/run_to_completion.h"
#include "laburnumdyke/plugin/platform_client.h"
#include "laburnumdyke/testing/mock_http.h"

#include <deque>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

// Returns the smallest document of three objects: two chunks and the manifest.
document_objects
TwoChunkDocument()
{
  std::string text;
  while (SplitDocument(text).mObjects.size() < 3) {
    text += std::to_string(text.size()) + " some line of a document\n";
  }
  return SplitDocument(text);
}

asio::awaitable<bool>
PutLiveInstance(platform_client<mock_http>& aPlatform, std::string aInstance)
{
  endpoint address{ "127.0.0.1", 7 };
  std::string state = "live";
  co_await aPlatform.PutInstance(aInstance, address, state);
  co_return true;
}

} // namespace

TEST_GROUP(PlatformClient)
{
  mock_http mHttp;
  platform_client<mock_http> mPlatform{ mHttp, { "127.0.0.1", 1 } };

  void setup() override
  {
    mock().ignoreOtherCalls();
  }
  void teardown() override
  {
    mock().clear();
  }
};

TEST(PlatformClient, AnAbsentRowDiffersFromNoAnswer)
{
  struct row
  {
    std::optional<client_answer> mAnswer;
    row_status mStatus;
    std::optional<std::uint64_t> mRevision; // nullopt: no snapshot
  };
  const std::vector<row> kRows = {
    { std::nullopt, row_status::NoAnswer, std::nullopt },
    { client_answer{ 503, "" }, row_status::NoAnswer, std::nullopt },
    { client_answer{ 404, "{}" }, row_status::Absent, 0 },
    { client_answer{ 200, "" }, row_status::Malformed, std::nullopt },
    { client_answer{ 200, "[]" }, row_status::Malformed, std::nullopt },
    { client_answer{ 200, "{\"revision\":1}" },
      row_status::Malformed,
      std::nullopt },
    { client_answer{ 200, "{\"revision\":0,\"value\":\"a\"}" },
      row_status::Malformed,
      std::nullopt },
    { client_answer{ 200, "{\"revision\":7,\"value\":\"a\"}" },
      row_status::Read,
      7 },
  };
  for (const row& one : kRows) {
    mHttp.mAnswers = { one.mAnswer };
    row_answer answer = RunToCompletion(mPlatform.ReadRow());
    CHECK(one.mStatus == answer.mStatus);
    CHECK(one.mRevision.has_value() == answer.Snapshot().has_value());
    CHECK(!one.mRevision || *one.mRevision == answer.Snapshot()->mRevision);
  }
}

TEST(PlatformClient, AWriteWithoutAClearAnswerMayHaveTakenEffect)
{
  const std::vector<std::pair<std::optional<client_answer>, write_answer>>
    kRows = {
      { std::nullopt, write_answer::NoAnswer },
      { client_answer{ 503, "" }, write_answer::NoAnswer },
      { client_answer{ 412, "" }, write_answer::Mismatch },
      { client_answer{ 200, "" }, write_answer::Written },
    };
  for (const std::pair<std::optional<client_answer>, write_answer>& row :
       kRows) {
    mHttp.mAnswers = { row.first };
    write_row_action write{ 3, "value" };
    CHECK(row.second == RunToCompletion(mPlatform.WriteRow(write)));
    CHECK_EQUAL(std::string("3"), mHttp.mRequests.back().mIfMatch);
  }
}

TEST(PlatformClient, OnlyObjectsThatAreNotCachedAreRead)
{
  document_objects objects = TwoChunkDocument();
  const std::string& manifest = *objects.mObjects.at(objects.mHash);
  document_assembly manifestOnly(objects.mHash);
  CHECK(manifestOnly.SetManifest(manifest));
  std::vector<std::string> chunks = manifestOnly.Missing();
  object_map cached{ *objects.mObjects.find(chunks.front()) };
  const std::string& second = *objects.mObjects.at(chunks.back());
  mHttp.mAnswers = { client_answer{ 200, manifest },
                     client_answer{ 200, second } };
  document_assembly assembly(objects.mHash);
  CHECK(RunToCompletion(mPlatform.GetObjects(objects.mHash, assembly, cached)));
  CHECK(assembly.Missing().empty());
  CHECK_EQUAL(2u, mHttp.mRequests.size());
  CHECK_EQUAL("/v1/objects/" + chunks.back(), mHttp.mRequests.back().mTarget);
  CHECK_EQUAL(manifest.size() + second.size(), mPlatform.ObjectBytes());
}

TEST(PlatformClient, AMissingOrWrongObjectEndsTheRead)
{
  document_objects objects = TwoChunkDocument();
  const std::string& manifest = *objects.mObjects.at(objects.mHash);
  const std::vector<std::deque<std::optional<client_answer>>> kRows = {
    { std::nullopt },
    { client_answer{ 404, "" } },
    { client_answer{ 200, "other" } },
    { client_answer{ 200, manifest }, std::nullopt },
    { client_answer{ 200, manifest }, client_answer{ 200, "other" } },
  };
  for (const std::deque<std::optional<client_answer>>& row : kRows) {
    mHttp.mAnswers = row;
    CHECK(!RunToCompletion(mPlatform.GetDocument(objects.mHash)).has_value());
    CHECK(mHttp.mAnswers.empty());
  }
}

TEST(PlatformClient, MalformedEntriesOfAListAreSkipped)
{
  struct row
  {
    std::optional<client_answer> mAnswer;
    std::optional<std::size_t> mEntries; // nullopt: no list
  };
  const std::vector<row> kRows = {
    { std::nullopt, std::nullopt },
    { client_answer{ 503, "" }, std::nullopt },
    { client_answer{ 200, "{" }, std::nullopt },
    { client_answer{ 200, "{}" }, std::nullopt },
    { client_answer{ 200, R"({"instances":{}})" }, std::nullopt },
    { client_answer{ 200, R"({"instances":[]})" }, 0 },
    { client_answer{ 200,
                     R"({"instances":[7,{"name":"a"},)"
                     R"({"name":"a","address":"x","state":"live"},)"
                     R"({"name":"a","address":"127.0.0.1:1","state":3},)"
                     R"({"name":"b","address":"127.0.0.1:2",)"
                     R"("state":"leaving"}]})" },
      1 },
  };
  for (const row& one : kRows) {
    mHttp.mAnswers = { one.mAnswer };
    std::optional<std::vector<list_entry>> entries =
      RunToCompletion(mPlatform.ReadInstances(listed_instances::Leaving));
    CHECK(one.mEntries.has_value() == entries.has_value());
    CHECK(!entries || entries->size() == *one.mEntries);
    CHECK(!entries || entries->empty() || entries->front().mLeaving);
    CHECK_EQUAL(std::string("/v1/instances?state=leaving"),
                mHttp.mRequests.back().mTarget);
  }
}

TEST(PlatformClient, AnEntryInstanceIsListedUnderItsPrefix)
{
  CHECK(RunToCompletion(PutLiveInstance(mPlatform, "leinster-a-1")));
  CHECK_EQUAL(std::string("/v1/instances/entry.leinster-a-1"),
              mHttp.mRequests.back().mTarget);
}

TEST(PlatformClient, ExchangesTakeTheirTimeoutsFromTheOptions)
{
  platform_options options{ std::chrono::milliseconds(3),
                            std::chrono::milliseconds(4) };
  platform_client<mock_http> platform(mHttp, { "127.0.0.1", 1 }, options);
  RunToCompletion(platform.ReadRow());
  CHECK(std::chrono::milliseconds(3) == mHttp.mRequests.back().mTimeout);
  RunToCompletion(platform.GetDocument("x"));
  CHECK(std::chrono::milliseconds(4) == mHttp.mRequests.back().mTimeout);
}
