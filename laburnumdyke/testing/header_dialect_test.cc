// Tests the headers and calls of the platform's clients and servers.
#include "platform/header_dialect.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

upstream_head
Answer(unsigned aStatus,
       std::initializer_list<std::pair<const char*, const char*>> aFields)
{
  upstream_head head;
  head.result(aStatus);
  for (const std::pair<const char*, const char*>& field : aFields) {
    head.set(field.first, field.second);
  }
  return head;
}

} // namespace

TEST_GROUP(HeaderDialect){};

TEST(HeaderDialect, CallerHeadersAreRead)
{
  request_parser::value_type head;
  head.set("Host", "a.example");
  head.set("X-Request-Id", "77");
  head.set("X-Affinity-Key", "17");
  head.set("X-Deadline-Ms", "3000");
  caller_request request = header_dialect::ReadCaller(head);
  STRCMP_EQUAL("77", request.mId.c_str());
  STRCMP_EQUAL("17", request.mObject.c_str());
  STRCMP_EQUAL("a.example", request.mHost.c_str());
  CHECK(request.mCallerTimeout ==
        std::optional<std::chrono::milliseconds>(3000ms));
  for (const char* bad : { "", "-1", "soon", "3000x", "1e3" }) {
    head.set("X-Deadline-Ms", bad);
    CHECK_TEXT(!header_dialect::ReadCaller(head).mCallerTimeout.has_value(),
               bad);
  }
  head.set("X-Deadline-Ms", "18446744073709551615");
  CHECK(header_dialect::ReadCaller(head).mCallerTimeout <=
        std::optional<std::chrono::milliseconds>(1h));
}

TEST(HeaderDialect, AnAnswerIsMatchedByItsRequestId)
{
  using belongs = answer_attributes::belongs;
  answer_attributes answer = header_dialect::ReadAnswer(
    Answer(200, { { "X-Request-Id", "7" }, { "X-Server-Stamp", "s" } }), "7");
  CHECK(answer.mBelongs == belongs::ToThisRequest && answer.mValid);
  answer = header_dialect::ReadAnswer(
    Answer(200, { { "X-Request-Id", "8" }, { "X-Server-Stamp", "s" } }), "7");
  CHECK(answer.mBelongs == belongs::ToAnother);
  answer = header_dialect::ReadAnswer(Answer(503, {}), "7");
  CHECK(answer.mBelongs == belongs::Unstated && answer.mValid);
}

TEST(HeaderDialect, SuccessWithoutAStampOrWithAnEncodingIsNotFromTheServer)
{
  CHECK_FALSE(
    header_dialect::ReadAnswer(Answer(200, { { "X-Request-Id", "7" } }), "7")
      .mValid);
  CHECK_FALSE(
    header_dialect::ReadAnswer(Answer(200,
                                      { { "X-Request-Id", "7" },
                                        { "X-Server-Stamp", "s" },
                                        { "Content-Encoding", "gzip" } }),
                               "7")
      .mValid);
}

TEST(HeaderDialect, RefusalsLoadsAndKeepAliveTimeoutsAreRead)
{
  answer_attributes answer = header_dialect::ReadAnswer(
    Answer(503,
           { { "X-Not-Executed", "1" },
             { "X-Server-Load", "3,9,3" },
             { "Keep-Alive", "timeout=10, max=5" } }),
    "7");
  CHECK(answer.mNotRun && !answer.mWrongInstance);
  LONGS_EQUAL(9, answer.mLoad->mWaiting);
  CHECK(answer.mUpstreamIdleTimeout ==
        std::optional<std::chrono::milliseconds>(10s));
  CHECK(header_dialect::ReadAnswer(Answer(421, {}), "7").mWrongInstance);
  for (const char* bad : { "", "3", "3,9", "3,9,x", "-1,0,3", "3,9,3,1" }) {
    answer = header_dialect::ReadAnswer(
      Answer(200, { { "X-Server-Load", bad }, { "Keep-Alive", bad } }), "7");
    CHECK_TEXT(!answer.mLoad && !answer.mUpstreamIdleTimeout, bad);
  }
}

// Guards against losing the whole load report of an upstream that adds how long
// its work takes.
TEST(HeaderDialect, ALoadHasThreeOrFourValues)
{
  answer_attributes answer = header_dialect::ReadAnswer(
    Answer(200, { { "X-Server-Load", "2,7,3,140" } }), "7");
  CHECK(answer.mLoad.has_value() && !answer.mMalformedLoad);
  LONGS_EQUAL(2, answer.mLoad->mRunning);
  LONGS_EQUAL(7, answer.mLoad->mWaiting);
  LONGS_EQUAL(3, answer.mLoad->mSlots);
  CHECK(answer.mLoad->mWorkPercent == std::optional<std::uint32_t>(140));
  answer = header_dialect::ReadAnswer(
    Answer(200, { { "X-Server-Load", "2,7,3" } }), "7");
  CHECK(answer.mLoad.has_value() && !answer.mLoad->mWorkPercent);
  for (const char* limit : { "0,0,1,10", "1000000,1000000,1000000,100000" }) {
    answer = header_dialect::ReadAnswer(
      Answer(200, { { "X-Server-Load", limit } }), "7");
    CHECK_TEXT(answer.mLoad && answer.mLoad->mWorkPercent, limit);
  }
}

// Guards against a made-up load where a header is damaged, such as a value that
// wraps around.
TEST(HeaderDialect, AMalformedLoadCountsAsMissingAndIsMarked)
{
  for (const char* bad : { "",
                           "3",
                           "3,9",
                           ",,,",
                           "3,9,3,",
                           "3,,3,100",
                           "3,9,3,x",
                           "3,9,3,100x",
                           "3,9,3,1e2",
                           "3,9,3,0x64",
                           "3,9,3,+100",
                           "3,9,3,-100",
                           "3,9,-3,100",
                           "3,9,3, 100",
                           "3,9,3,nan",
                           "3,9,3,9",
                           "3,9,3,0",
                           "3,9,3,100001",
                           "1000001,9,3",
                           "4294967297,0,3,100",
                           "3,9,3,18446744073709551716",
                           "3,9,3,100,",
                           "3,9,3,100,5",
                           "3,9,3,100,100,100" }) {
    answer_attributes answer = header_dialect::ReadAnswer(
      Answer(200, { { "X-Server-Load", bad } }), "7");
    CHECK_TEXT(!answer.mLoad && answer.mMalformedLoad, bad);
  }
  CHECK_FALSE_TEXT(
    header_dialect::ReadAnswer(Answer(200, {}), "7").mMalformedLoad,
    "a missing header is not malformed");
}

TEST(HeaderDialect, LookupsAreReadAndAnswered)
{
  std::optional<lookup_query> question = header_dialect::ReadLookup(
    "/laburnumdyke/resolve?name=a.example&region=east&zone=east-a");
  CHECK(question.has_value());
  STRCMP_EQUAL("east", question->mRegion.mValue.c_str());
  STRCMP_EQUAL("east-a", question->mDomain.mValue.c_str());
  CHECK(header_dialect::ReadLookup("/laburnumdyke/resolve").has_value());
  CHECK_FALSE(header_dialect::ReadLookup("/other?zone=a").has_value());
  STRCMP_EQUAL(
    R"({"addresses":["10.1.0.34:8548"],"ttl-s":2})",
    header_dialect::LookupBody({ { "10.1.0.34", 8548 } }, 2000ms).c_str());
  CHECK(header_dialect::IsReadyCheck("/laburnumdyke/readyz"));
  CHECK_FALSE(header_dialect::IsReadyCheck("/laburnumdyke/ready"));
}
