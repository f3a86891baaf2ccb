// Tests the platform's store: decoding of rows, including malformed, foreign
// and truncated ones; the client's requests and its handling of answers; and
// views that peers exchange.
#include "ctl/run_to_completion.h"
#include "platform/base64.h"
#include "platform/row_codec.h"
#include "platform/store_source.h"

#include <random>
#include <string>
#include <vector>

// Included last, because CppUTest redefines new.
#include "laburnumdyke/testing/mock_http.h"
#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const std::string kConfig =
  R"({"version":7,"limits":{"max-header-bytes":16384,)"
  R"("max-body-bytes":67108864,"header-timeout-ms":3000,)"
  R"("idle-timeout-ms":15000},"base-version":5,"listeners":[)"
  R"({"host":"a.example","rules":[{"name":"r1","kind":"idempotent",)"
  R"("target-latency-ms":400,"priority":0,"session-affinity":true,)"
  R"("match":{"prefix":"/x/"},"action":{"backends":[)"
  R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
  R"("timeout-ms":3000,"max-attempts":2,"home-regions":["east"]}}]},)"
  R"({"host":"b.example","rules":[{"name":"r2","kind":"non_idempotent",)"
  R"("target-latency-ms":1200.5,"priority":2,"session-affinity":false,)"
  R"("match":{"prefix":"/y/z/"},"action":{"service":"s3",)"
  R"("timeout-ms":4000,"max-attempts":1,"home-regions":[]}}]}],)"
  R"("clusters":[{"name":"s1","health-path":"/healthz",)"
  R"("max-connections":660,"protocol":"h1","tls":false,)"
  R"("cold-start-s":3.5,"cold-per-s":3.6}]})";

const std::string kServer =
  R"({"address":"10.0.0.9:8080","born":1700000000123,)"
  R"("info":{"service":"s1","version":"v1","zone":"east-a","slots":3},)"
  R"("status":{"state":"ready","sequence":4,"cold-left-ms":1500}})";

std::optional<routing_document>
DecodeConfig(const std::string& aText)
{
  return ReadConfig(aText).mDocument;
}

std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  std::size_t at = aText.find(aOld);
  CHECK_TEXT(at != std::string::npos, aOld.c_str());
  return aText.replace(at, aOld.size(), aNew);
}

client_answer
Rows(std::uint64_t aVersion,
     const std::vector<std::pair<std::string, std::string>>& aRows,
     const std::string& aExtraFields = "")
{
  std::string body = "{\"rows\":[";
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"table":"t","part":"","key":")" + aRows[i].first +
            R"(","value":")" + EncodeBase64(aRows[i].second) + R"(","ver":1})";
  }
  body += "]" + aExtraFields + ",\"ver\":" + std::to_string(aVersion) +
          ",\"now-ms\":1}";
  return { 200, body };
}

} // namespace

TEST_GROUP(RowCodec){};

TEST(RowCodec, AConfigurationBecomesRoutesAndServices)
{
  std::optional<routing_document> read = DecodeConfig(kConfig);
  CHECK(read.has_value());
  LONGS_EQUAL(7, read->mVersion);
  LONGS_EQUAL(2, read->mRoutes.size());
  const route_spec& first = read->mRoutes[0];
  STRCMP_EQUAL("a.example", first.mHost.c_str());
  STRCMP_EQUAL("/x/", first.mPrefix.c_str());
  CHECK(first.mIdempotent && first.mAffinity);
  CHECK(first.mObjective == 400ms && first.mTimeout == 3000ms);
  LONGS_EQUAL(2, first.mServices.size());
  LONGS_EQUAL(90, first.mServices[0].mWeight);
  LONGS_EQUAL(1, first.mHomes.size());
  const route_spec& second = read->mRoutes[1];
  CHECK_FALSE(second.mIdempotent);
  LONGS_EQUAL(2, second.mPriority);
  STRCMP_EQUAL("s3", second.mServices[0].mService.mValue.c_str());
  const service_rules& rules = read->mServices.at({ "s1" });
  CHECK(rules.mColdTime == 3500ms);
  DOUBLES_EQUAL(3.6, rules.mColdRate, 1e-9);
  CHECK(read->mLimits.mIdleTimeout == 15000ms);
}

TEST(RowCodec, DownloadsMayBeRepeatedAndUnknownKindsMayNot)
{
  std::string download =
    Replace(kConfig, R"("kind":"idempotent")", R"("kind":"download")");
  CHECK(DecodeConfig(download)->mRoutes[0].mIdempotent);
  std::string unknown =
    Replace(kConfig, R"("kind":"idempotent")", R"("kind":"keyed")");
  CHECK_FALSE(DecodeConfig(unknown)->mRoutes[0].mIdempotent);
}

TEST(RowCodec, AnInvalidConfigurationIsRejected)
{
  const std::pair<const char*, const char*> rows[] = {
    { R"("version":7,)", "" },
    { R"("version":7)", R"("version":"7")" },
    { R"("version":7)", R"("version":7.5)" },
    { R"("prefix":"/x/")", R"("prefix":"/x")" },
    { R"("prefix":"/x/")", R"("prefix":"")" },
    { R"("timeout-ms":3000,)", "" },
    { R"("timeout-ms":3000)", R"("timeout-ms":0)" },
    { R"("max-attempts":2)", R"("max-attempts":0)" },
    { R"("weight":90)", R"("weight":-1)" },
    { R"("backends":[{"service":"s1","weight":90},)"
      R"({"service":"s2","weight":10}])",
      R"("backends":[])" },
    { R"("service":"s3")", R"("service":3)" },
    { R"("clusters":[)", R"("others":[)" },
    { R"("limits":{)", R"("limit":{)" },
    { R"("host":"b.example")", R"("host":null)" },
  };
  for (const std::pair<const char*, const char*>& row : rows) {
    CHECK_TEXT(
      !DecodeConfig(Replace(kConfig, row.first, row.second)).has_value(),
      row.second);
  }
  CHECK_FALSE(DecodeConfig(kConfig.substr(0, kConfig.size() / 2)).has_value());
  CHECK_FALSE(DecodeConfig("").has_value());
}

TEST(RowCodec, TenantsBecomeCustomers)
{
  CHECK_FALSE(DecodeConfig(kConfig)->mCustomers.has_value());
  const std::string tenants =
    R"("tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,)"
    R"("rate-per-s":994,"burst":12.5,"home-regions":["east"]},)"
    R"({"name":"t2","api-keys":[]}],"base-version":5)";
  std::string config = Replace(kConfig, R"("base-version":5)", tenants);
  std::optional<routing_document> read = DecodeConfig(config);
  CHECK(read.has_value() && read->mCustomers.has_value());
  LONGS_EQUAL(2, read->mCustomers->size());
  const customer_spec& first = read->mCustomers->at(0);
  STRCMP_EQUAL("t1", first.mName.mValue.c_str());
  LONGS_EQUAL(2, first.mKeys.size());
  LONGS_EQUAL(1, first.mPriority.value());
  CHECK(first.mQuota == (quota_spec{ 994, 12.5 }));
  STRCMP_EQUAL("east", first.mHomes.at(0).mValue.c_str());
  const customer_spec& second = read->mCustomers->at(1);
  CHECK(!second.mPriority && !second.mQuota.IsLimited());
  const std::pair<const char*, const char*> rows[] = {
    { R"("name":"t2")", R"("name":"t1")" },
    { R"("api-keys":[]})", R"("api-keys":["k1"]})" },
    { R"("api-keys":[]})", R"("api-keys":[7]})" },
    { R"("api-keys":[]})", R"("api-keys":"k3"})" },
    { R"("rate-per-s":994)", R"("rate-per-s":-1)" },
    { R"("tenants":[)", R"("tenants":[5,)" },
    { R"("name":"t2",)", "" },
  };
  for (const std::pair<const char*, const char*>& row : rows) {
    CHECK_TEXT(
      !DecodeConfig(Replace(config, row.first, row.second)).has_value(),
      row.second);
  }
}

// Guards against a refused configuration that leaves no trace: it is one of
// these versions, and the operator needs the reason.
TEST(RowCodec, ARefusedConfigurationKeepsItsVersionAndItsFault)
{
  const std::pair<std::string, std::optional<std::uint64_t>> rows[] = {
    { Replace(kConfig, R"("prefix":"/x/")", R"("prefix":"/x")"), 7 },
    { Replace(kConfig, R"("version":7,)", ""), std::nullopt },
    { kConfig.substr(0, kConfig.size() / 2), std::nullopt },
    { "[]", std::nullopt },
  };
  for (const std::pair<std::string, std::optional<std::uint64_t>>& row : rows) {
    store_answer answer = ReadStoreAnswer(Rows(9, { { "config", row.first } }));
    control_reading reading = ToControl(answer, true);
    CHECK_FALSE(reading.mDocument.has_value());
    CHECK(reading.mUnreadable.has_value());
    CHECK(reading.mUnreadable->mVersion == row.second);
    CHECK(reading.mUnreadable->mFault.find("expected") != std::string::npos);
  }
  store_answer answer = ReadStoreAnswer(Rows(9, { { "config", kConfig } }));
  CHECK_FALSE(ToControl(answer, true).mUnreadable.has_value());
}

// Instances and the operator's check must agree on each configuration.
TEST(RowCodec, EveryRefusedConfigurationHasFaultsAndNoOtherHas)
{
  const std::string tenants =
    R"("tenants":[{"name":"t1","api-keys":["s3cret","k2"],"priority":1},)"
    R"({"name":"t2","api-keys":["k3"]}],"base-version":5)";
  std::string config = Replace(kConfig, R"("base-version":5)", tenants);
  CHECK(ReadConfig(config).mFaults.empty());
  std::mt19937 random(11);
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string text = config;
    for (std::size_t changes = 1 + random() % 2; changes > 0; --changes) {
      std::size_t at = random() % text.size();
      if (random() % 2 == 0) {
        text[at] = "09a,:{}[]\"-"[random() % 11];
      } else {
        text.erase(at, 1 + random() % 12);
      }
    }
    config_result read = ReadConfig(text);
    CHECK_TEXT(read.mDocument.has_value() == read.mFaults.empty(),
               text.c_str());
    refused += read.mDocument ? 0 : 1;
    for (const text_fault& fault : read.mFaults) {
      std::string described = fault.Describe("f");
      CHECK_TEXT(described.find("s3cret") == std::string::npos,
                 described.c_str());
    }
  }
  CHECK(refused > 100 && refused < 3000);
}

TEST(RowCodec, EachFaultNamesItsField)
{
  std::string text = Replace(kConfig, R"("timeout-ms":3000,)", "");
  text = Replace(text, R"("prefix":"/y/z/")", R"("prefix":"/y/z")");
  text = Replace(text, R"("version":7)", R"("version":"7")");
  std::vector<text_fault> faults = ReadConfig(text).mFaults;
  const std::vector<std::string> fields = {
    "version",
    "listeners[0].rules[0].action.timeout-ms",
    "listeners[0].rules[0].action.timeout-ms", // not more than 0 either
    "listeners[1].rules[0].match.prefix",
  };
  LONGS_EQUAL(fields.size(), faults.size());
  for (std::size_t i = 0; i < fields.size(); ++i) {
    STRCMP_EQUAL(fields[i].c_str(), faults[i].mField.c_str());
  }
}

TEST(RowCodec, PublicRoutesAreRead)
{
  CHECK_FALSE(DecodeConfig(kConfig)->mRoutes[0].mPublic);
  std::string open =
    Replace(kConfig, R"("priority":0,)", R"("priority":0,"public":true,)");
  CHECK(DecodeConfig(open)->mRoutes[0].mPublic);
}

TEST(RowCodec, AnEntryBecomesAnUpstream)
{
  std::optional<upstream_entry> read = DecodeUpstream("i-1", kServer);
  CHECK(read.has_value());
  STRCMP_EQUAL("i-1", read->mId.mValue.c_str());
  STRCMP_EQUAL("east-a", read->mDomain.mValue.c_str());
  CHECK(read->mAddress == (endpoint{ "10.0.0.9", 8080 }));
  CHECK(read->mColdLeft == 1500ms && !read->mDraining);
  CHECK(read->mBorn == 1700000000123ms);
}

TEST(RowCodec, AnInvalidEntryIsRejected)
{
  const std::pair<const char*, const char*> rows[] = {
    { R"("state":"ready")", R"("state":"resting")" },
    { R"("state":"ready")", R"("state":1)" },
    { R"("slots":3)", R"("slots":"3")" },
    { R"("slots":3)", R"("slots":0)" },
    { R"("zone":"east-a",)", "" },
    { R"("version":"v1",)", "" },
    { R"("address":"10.0.0.9:8080")", R"("address":"nowhere")" },
    { R"("born":1700000000123)", R"("born":"then")" },
    { R"("born":1700000000123)", R"("born":1.5)" },
    { R"("sequence":4,)", "" },
    { R"("cold-left-ms":1500)", R"("cold-left-ms":null)" },
  };
  for (const std::pair<const char*, const char*>& row : rows) {
    CHECK_TEXT(
      !DecodeUpstream("i", Replace(kServer, row.first, row.second)).has_value(),
      row.second);
  }
  CHECK_FALSE(DecodeUpstream("", kServer).has_value());
  CHECK_FALSE(DecodeUpstream("i", "\xff\xfe").has_value());
}

// Truncated, changed and duplicated bytes must not crash the decoder, and a row
// that it accepts must be valid.
TEST(RowCodec, MutatedRowsAreValidOrRejected)
{
  std::mt19937 random(11);
  for (int i = 0; i < 20000; ++i) {
    std::string text = i % 2 == 0 ? kConfig : kServer;
    for (unsigned n = 1 + random() % 4; n > 0 && !text.empty(); --n) {
      std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.resize(at);
          break;
        case 2:
          text.erase(at, 1 + random() % 9);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), 9));
      }
    }
    std::optional<routing_document> config = DecodeConfig(text);
    if (config) {
      for (const route_spec& route : config->mRoutes) {
        CHECK(!route.mServices.empty() && route.mMaxAttempts > 0);
        CHECK(route.mTimeout > 0ms && route.mPrefix.front() == '/');
      }
    }
    std::optional<upstream_entry> entry = DecodeUpstream("i", text);
    CHECK(!entry || (entry->mSlots > 0 && entry->mAddress.mPort > 0));
  }
}

TEST(RowCodec, InstancesRoundTrip)
{
  fleet_member member;
  member.mInstance = { "east-a-1" };
  member.mIncarnation = 1700000000123456;
  member.mRegion = { "east" };
  member.mDomain = { "east-a" };
  member.mCaller = { "10.0.0.1", 1 };
  member.mPeer = { "10.0.0.1", 2 };
  member.mRelay = { "10.0.0.1", 3 };
  std::optional<fleet_member> read =
    DecodeMember("east-a-1", EncodeMember(member));
  CHECK(read == std::optional<fleet_member>(member));
  CHECK_FALSE(DecodeMember("east-a-1", "{}").has_value());
}

TEST(RowCodec, Base64RoundTripsAndRejectsInvalidText)
{
  for (const char* text : { "", "a", "ab", "abc", "abcd" }) {
    CHECK(DecodeBase64(EncodeBase64(text)) == std::optional<std::string>(text));
  }
  for (const char* broken : { "a", "ab=", "a*==", "abcde" }) {
    CHECK_FALSE(DecodeBase64(broken).has_value());
  }
}

TEST_GROUP(StoreClient)
{
  mock_http mHttp;
  store_client<mock_http> mStore{ mHttp, { "127.0.0.1", 1 } };

  void setup() override
  {
    mock().ignoreOtherCalls();
  }
  void teardown() override
  {
    mock().clear();
  }
};

TEST(StoreClient, AnswersMapToReadingStatus)
{
  struct row
  {
    std::optional<client_answer> mAnswer;
    reading_status mStatus;
  };
  const row rows[] = {
    { std::nullopt, reading_status::NoAnswer },
    { client_answer{ 503, "" }, reading_status::NoAnswer },
    { client_answer{ 429, "" }, reading_status::NoAnswer },
    { client_answer{ 410, "" }, reading_status::HistoryLost },
    { client_answer{ 200, "{" }, reading_status::NoAnswer },
    { client_answer{ 200, "[]" }, reading_status::NoAnswer },
    { client_answer{ 200, R"({"rows":{},"ver":1})" },
      reading_status::NoAnswer },
    { client_answer{ 200, R"({"rows":[]})" }, reading_status::NoAnswer },
    { Rows(5, {}), reading_status::Read },
  };
  for (const row& one : rows) {
    CHECK(ReadStoreAnswer(one.mAnswer).mStatus == one.mStatus);
  }
}

TEST(StoreClient, AllPagesAreRead)
{
  mHttp.mAnswers = {
    Rows(8, { { "a", "1" }, { "b", "2" } }, ",\"truncated\":true"),
    Rows(9, { { "b", "2" }, { "c", "3" } })
  };
  store_answer answer = RunToCompletion(mStore.ReadAll("t"));
  CHECK(answer.mStatus == reading_status::Read);
  LONGS_EQUAL(4, answer.mRows.size());
  // The first page's version, so that rows that changed between the pages are
  // read again as changes.
  LONGS_EQUAL(8, answer.mVersion.mVersion);
  STRCMP_EQUAL("/laburnumdyke/rows-get?table=t&part=&from=b",
               mHttp.mRequests[1].mTarget.c_str());
}

TEST(StoreClient, AFailedPageFailsTheReading)
{
  mHttp.mAnswers = { Rows(8, { { "a", "1" } }, ",\"truncated\":true"),
                     std::nullopt };
  CHECK(RunToCompletion(mStore.ReadAll("t")).mStatus ==
        reading_status::NoAnswer);
}

TEST(StoreClient, AWriteIsConfirmedOnlyByItsAnswer)
{
  mHttp.mAnswers = { client_answer{ 200, "{}" }, client_answer{ 503, "" } };
  std::string key = "k";
  std::string value = "v";
  CHECK(RunToCompletion(mStore.Put("t", key, value)));
  CHECK_FALSE(RunToCompletion(mStore.Put("t", key, value)));
  CHECK_FALSE(RunToCompletion(mStore.Put("t", key, value)));
  STRCMP_EQUAL(
    R"({"expected-rev":[],"put-rows":[{"table":"t","part":"","key":"k",)"
    R"("value":"dg=="}],"delete-rows":[]})",
    mHttp.mRequests[0].mBody.c_str());
}

// An instance that reads the era only from successful answers would notice a
// restore late, while the store still refuses calls.
TEST(StoreClient, TheEraIsReadFromEveryAnswer)
{
  mHttp.mAnswers = {
    client_answer{ 429, "", "2" },  client_answer{ 503, "", "3" },
    client_answer{ 410, "", "4" },  client_answer{ 200, "{}", "5" },
    client_answer{ 200, "{", "x" }, std::nullopt,
    client_answer{ 503, "", "4" }
  };
  LONGS_EQUAL(0, mStore.Era());
  RunToCompletion(mStore.ReadAll("t"));
  LONGS_EQUAL(2, mStore.Era());
  RunToCompletion(mStore.ReadChanges("t", 1, 0ms));
  LONGS_EQUAL(3, mStore.Era());
  store_answer lost = RunToCompletion(mStore.ReadChanges("t", 1, 0ms));
  CHECK(lost.mStatus == reading_status::HistoryLost);
  LONGS_EQUAL(4, lost.mVersion.mEra);
  RunToCompletion(mStore.Put("t", "k", "v"));
  LONGS_EQUAL(5, mStore.Era());
  // Without an era, without an answer, and with an older era.
  for (int i = 0; i < 3; ++i) {
    RunToCompletion(mStore.ReadAll("t"));
    LONGS_EQUAL(5, mStore.Era());
  }
  STRCMP_EQUAL("Store-Era", mHttp.mRequests[0].mWantedHeader.c_str());
}

TEST(StoreClient, PagesOfDifferentErasAreNoReading)
{
  client_answer first =
    Rows(8, { { "a", "1" }, { "b", "2" } }, ",\"truncated\":true");
  first.mHeader = "1";
  client_answer second = Rows(9, { { "b", "2" }, { "c", "3" } });
  second.mHeader = "2";
  mHttp.mAnswers = { first, second };
  CHECK(RunToCompletion(mStore.ReadAll("t")).mStatus ==
        reading_status::NoAnswer);
}

TEST_GROUP(StoreSource){};

TEST(StoreSource, AnUnreadableRowDoesNotAffectOthers)
{
  store_answer answer = ReadStoreAnswer(
    Rows(5, { { "i-1", kServer }, { "i-2", "torn" }, { "i-3", kServer } }));
  upstream_reading reading = ToUpstreams(answer, true);
  LONGS_EQUAL(3, reading.mRows.size());
  LONGS_EQUAL(1, reading.mUnreadable);
  CHECK(reading.mRows[0].mEntry && reading.mRows[2].mEntry);
  CHECK_FALSE(reading.mRows[1].mEntry.has_value());
  STRCMP_EQUAL("i-2", reading.mRows[1].mId.mValue.c_str());
}

// Guards against upstreams that are lost because the feed reports an entry that
// lapsed and came back as two rows of one answer.
TEST(StoreSource, TheOrderOfTheFeedIsKept)
{
  store_answer answer = ReadStoreAnswer(client_answer{
    200,
    R"({"rows":[{"key":"i-1","removed":true,"ver":2},{"key":"i-1","value":")" +
      EncodeBase64(kServer) + R"(","ver":3}],"ver":3})" });
  upstream_reading reading = ToUpstreams(answer, false);
  LONGS_EQUAL(2, reading.mRows.size());
  CHECK_FALSE(reading.mRows[0].mEntry.has_value());
  CHECK(reading.mRows[1].mEntry.has_value());
}

TEST(StoreSource, AnUnreadableConfigurationIsNoConfiguration)
{
  store_answer answer =
    ReadStoreAnswer(Rows(5, { { "config", kConfig.substr(1) } }));
  control_reading reading = ToControl(answer, true);
  CHECK_FALSE(reading.mDocument.has_value());
  CHECK(reading.mUnreadable.has_value());
}

TEST(StoreSource, EvacuationsFollowTheirRows)
{
  store_answer answer = ReadStoreAnswer(client_answer{
    200,
    R"({"rows":[{"key":"evacuate/east-a","value":"e30=","ver":2},)"
    R"({"key":"evacuate/east-b","removed":true,"ver":3}],"ver":3})" });
  control_reading reading = ToControl(answer, false);
  STRCMP_EQUAL("east-a", reading.mEvacuated.at(0).mValue.c_str());
  STRCMP_EQUAL("east-b", reading.mReturned.at(0).mValue.c_str());
}

// Guards against an evacuation that stays in force because it began and ended
// between two readings.
TEST(StoreSource, OfSeveralRowsOfOneEvacuationTheLastHolds)
{
  store_answer answer = ReadStoreAnswer(client_answer{
    200,
    R"({"rows":[{"key":"evacuate/east-a","value":"e30=","ver":2},)"
    R"({"key":"evacuate/east-b","removed":true,"ver":3},)"
    R"({"key":"evacuate/east-a","removed":true,"ver":4},)"
    R"({"key":"evacuate/east-b","value":"e30=","ver":5}],"ver":5})" });
  control_reading reading = ToControl(answer, false);
  LONGS_EQUAL(1, reading.mEvacuated.size());
  STRCMP_EQUAL("east-b", reading.mEvacuated[0].mValue.c_str());
  LONGS_EQUAL(1, reading.mReturned.size());
  STRCMP_EQUAL("east-a", reading.mReturned[0].mValue.c_str());
}

// Guards against an instance that drops out of the fleet because it stopped and
// started between two readings.
TEST(StoreSource, AnInstanceThatReturnsWithinOneReadingIsAMember)
{
  fleet_member member;
  member.mInstance = { "one" };
  member.mIncarnation = 7;
  member.mCaller = { "127.0.0.1", 1 };
  member.mPeer = { "127.0.0.1", 2 };
  member.mRelay = { "127.0.0.1", 3 };
  store_answer answer = ReadStoreAnswer(client_answer{
    200,
    R"({"rows":[{"key":"one","removed":true,"ver":2},{"key":"one","value":")" +
      EncodeBase64(EncodeMember(member)) + R"(","ver":3}],"ver":3})" });
  fleet_reading reading = ToFleet(answer, false);
  LONGS_EQUAL(1, reading.mMembers.size());
  LONGS_EQUAL(0, reading.mRemovedIds.size());
}

// A chain of three instances: the last learns of a change through the second,
// which the store refuses as well.
TEST(StoreSource, AReceivedViewIsPassedOn)
{
  table_snapshot first;
  first.Apply(ReadStoreAnswer(Rows(9, { { "config", kConfig } })), true);
  table_snapshot second;
  second.Apply(ReadStoreAnswer(Rows(3, {})), true);
  second.Apply(DecodeSnapshot(first.Encode()), true);
  store_answer third = DecodeSnapshot(second.Encode());
  LONGS_EQUAL(9, third.mVersion.mVersion);
  CHECK(ToControl(third, true).mDocument.has_value());
  // An older view has no effect.
  table_snapshot old;
  old.Apply(ReadStoreAnswer(Rows(2, {})), true);
  second.Apply(DecodeSnapshot(old.Encode()), true);
  LONGS_EQUAL(9, DecodeSnapshot(second.Encode()).mVersion.mVersion);
  CHECK(DecodeSnapshot("nonsense").mStatus == reading_status::NoAnswer);
}

// Guards against a configuration that rolls back between two instances: one
// that started after the restore reads a peer's view to get the newer one.
TEST(StoreSource, AfterARestoreAViewHasTheLatestConfiguration)
{
  auto answerOf = [](std::uint64_t aEra, const client_answer& aRows) {
    client_answer answer = aRows;
    answer.mHeader = std::to_string(aEra);
    return ReadStoreAnswer(answer);
  };
  table_snapshot rows;
  store_answer before = answerOf(1, Rows(90, { { "config", kConfig } }));
  rows.Apply(before, true);
  rows.KeepConfiguration(before, ToControl(before, true));
  std::string older = Replace(kConfig, R"("version":7)", R"("version":6)");
  store_answer restored =
    answerOf(2, Rows(40, { { "config", older }, { "evacuate/east-a", "{}" } }));
  rows.Apply(restored, true);
  rows.KeepConfiguration(restored, ToControl(restored, true));
  // A late answer of the era before changes nothing.
  rows.Apply(answerOf(1, Rows(95, {})), true);
  rows.Apply(answerOf(1, Rows(95, {})), false);
  store_answer view = DecodeSnapshot(rows.Encode());
  CHECK(view.mVersion == store_version(2, 40));
  control_reading reading = ToControl(view, true);
  LONGS_EQUAL(7, reading.mDocument->mVersion);
  LONGS_EQUAL(1, reading.mEvacuated.size());
}
