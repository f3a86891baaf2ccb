// The platform's stand-in over HTTP: tables of requests and expected answers,
// then lost answers, outages, delays and races.
#include "laburnumdyke/testing/standin/http_exchange.h"
#include "laburnumdyke/testing/standin/platform_standin.h"
#include "laburnumdyke/testing/standin_client.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(PlatformStandin)
{
  background mBackground;
  std::unique_ptr<platform_standin> mPlatform;
  std::uint16_t mPort = 0;
  std::string mRow = "/v1/tables/config/rows/current";

  void setup() override
  {
    mPlatform = std::make_unique<platform_standin>(mBackground.mContext,
                                                   platform_standin_options{});
    CHECK(!mPlatform->Start());
    mPort = mPlatform->Port();
  }

  void teardown() override
  {
    mPlatform.reset();
    mBackground.Join();
  }

  reply Put(const std::string& aRevision, std::string_view aValue)
  {
    return Exchange(
      mPort, Request("PUT " + mRow, Field("If-Match", aRevision), aValue));
  }

  reply Get()
  {
    return Exchange(mPort, Request("GET " + mRow));
  }
};

TEST(PlatformStandin, AnswersEachRequest)
{
  std::string put = "PUT " + mRow;
  std::string object = "/v1/objects/" + Sha256Hex("abc");
  std::string longValue(kStandinHeaderLimit, 'x');
  std::string instance = "PUT /v1/instances/booking-1";
  CheckRows(
    mPort,
    {
      { "no row", Request("GET " + mRow), 404, nullptr, "", "no such row" },
      { "no If-Match", Request(put, "", "one"), 400, nullptr, "", "If-Match" },
      { "If-Match is text",
        Request(put, "If-Match: x\r\n", "one"),
        400,
        nullptr,
        "",
        "If-Match" },
      { "negative If-Match",
        Request(put, "If-Match: -1\r\n", "one"),
        400,
        nullptr,
        "",
        "If-Match" },
      { "update of no row",
        Request(put, "If-Match: 4\r\n", "one"),
        412,
        nullptr,
        "",
        "{\"revision\":0,\"value\":\"\"}" },
      { "first write",
        Request(put, "If-Match: 0\r\n", "one"),
        200,
        nullptr,
        "",
        "{\"revision\":1}" },
      { "second first write",
        Request(put, "If-Match: 0\r\n", "two"),
        412,
        nullptr,
        "",
        "{\"revision\":1,\"value\":\"one\"}" },
      { "next write",
        Request(put, "If-Match: 1\r\n", "t\"wo\n"),
        200,
        nullptr,
        "",
        "{\"revision\":2}" },
      { "read",
        Request("GET " + mRow),
        200,
        nullptr,
        "",
        "{\"revision\":2,\"value\":\"t\\\"wo\\n\"}" },
      { "no UTF-8",
        Request(put, "If-Match: 2\r\n", "\xff"),
        400,
        nullptr,
        "",
        "UTF-8" },
      { "value too large",
        Request(put, "If-Match: 2\r\n", std::string(1048577, 'v')),
        413,
        nullptr,
        "",
        "" },
      { "row deleted", Request("DELETE " + mRow), 405, nullptr, "", "" },
      { "bad row name",
        Request("GET /v1/tables/a/rows/b%20c"),
        400,
        nullptr,
        "",
        "" },
      { "no object", Request("GET " + object), 404, nullptr, "", "" },
      { "wrong hash",
        Request("PUT " + object, "", "abd"),
        400,
        nullptr,
        "",
        "" },
      { "object", Request("PUT " + object, "", "abc"), 200, nullptr, "", "" },
      { "object again",
        Request("PUT " + object, "", "abc"),
        200,
        nullptr,
        "",
        "" },
      { "object read", Request("GET " + object), 200, nullptr, "", "abc" },
      { "no hash", Request("GET /v1/objects/abc"), 400, nullptr, "", "" },
      { "object too large",
        "PUT " + object + " HTTP/1.1\r\nContent-Length: 67108865\r\n\r\n",
        413,
        "Connection",
        "close",
        "" },
      { "no instances",
        Request("GET /v1/instances"),
        200,
        nullptr,
        "",
        "{\"instances\":[]}" },
      { "instance, bad JSON",
        Request(instance, "", "{"),
        400,
        nullptr,
        "",
        "" },
      { "instance, bad address",
        Request(instance, "", "{\"address\":\"x\",\"state\":\"live\"}"),
        400,
        nullptr,
        "",
        "" },
      { "instance, bad state",
        Request(instance, "", "{\"address\":\"127.0.0.1:1\",\"state\":\"up\"}"),
        400,
        nullptr,
        "",
        "" },
      { "instance",
        Request(
          instance, "", "{\"address\":\"127.0.0.1:1\",\"state\":\"leaving\"}"),
        200,
        nullptr,
        "",
        "" },
      { "instances",
        Request("GET /v1/instances"),
        200,
        nullptr,
        "",
        "{\"name\":\"booking-1\",\"address\":\"127.0.0.1:1\","
        "\"state\":\"leaving\"}" },
      { "leaving instances",
        Request("GET /v1/instances?state=leaving"),
        200,
        nullptr,
        "",
        "{\"name\":\"booking-1\"" },
      { "other query",
        Request("GET /v1/instances?state=live"),
        400,
        nullptr,
        "",
        "expected state=leaving" },
      { "instance gone",
        Request("DELETE /v1/instances/booking-1"),
        200,
        nullptr,
        "",
        "" },
      { "empty again",
        Request("GET /v1/instances"),
        200,
        nullptr,
        "",
        "{\"instances\":[]}" },
      { "no path", Request("GET /v2/x"), 404, nullptr, "", "no such path" },
      { "header too long",
        Request("GET /v1/instances", Field("X", longValue)),
        431,
        "Connection",
        "close",
        "" },
      { "no HTTP", "hello\r\n\r\n", 400, "Connection", "close", "" },
      { "control, bad JSON",
        Request("POST /control", "", "{\"outage\":"),
        400,
        nullptr,
        "",
        "JSON" },
      { "control, unknown key",
        Request("POST /control", "", "{\"outage\":true,\"x\":1}"),
        400,
        nullptr,
        "",
        "unknown key" },
      { "still alive", Request("GET " + mRow), 200, nullptr, "", "" },
    });
  LONGS_EQUAL(5, Counter(mPort, "/reads"));
  LONGS_EQUAL(4, Counter(mPort, "/writes"));
  LONGS_EQUAL(2, Counter(mPort, "/conflicts"));
}

TEST(PlatformStandin, AWriteWhoseAnswerIsLostHasTakenEffect)
{
  Control(mPort, "{\"lose_write_answers\":1}");
  UNSIGNED_LONGS_EQUAL(412, Put("5", "none").mStatus); // takes no effect
  UNSIGNED_LONGS_EQUAL(kClosed, Put("0", "one").mStatus);
  STRCMP_CONTAINS("\"one\"", Get().mMessage.body().c_str());
  UNSIGNED_LONGS_EQUAL(412, Put("0", "one").mStatus);
  UNSIGNED_LONGS_EQUAL(200, Put("1", "two").mStatus);
  LONGS_EQUAL(1, Counter(mPort, "/lost_answers"));
}

TEST(PlatformStandin, AnOutageClosesConnectionsAndKeepsRows)
{
  UNSIGNED_LONGS_EQUAL(200, Put("0", "one").mStatus);
  client idle(mPort);
  idle.Send(Request("GET " + mRow));
  UNSIGNED_LONGS_EQUAL(200, idle.Receive().mStatus);
  Control(mPort, "{\"outage\":true}");
  CHECK(idle.ReadsEnd());
  UNSIGNED_LONGS_EQUAL(kClosed, Get().mStatus);
  UNSIGNED_LONGS_EQUAL(kClosed, Put("1", "two").mStatus);
  Control(mPort, "{\"outage\":false}");
  STRCMP_CONTAINS("{\"revision\":1", Get().mMessage.body().c_str());
}

TEST(PlatformStandin, ADelayedWriteTakesEffectAfterItsSenderHasGone)
{
  Control(mPort, "{\"delay_ms\":50}");
  client gone(mPort);
  gone.Send(Request("PUT " + mRow, Field("If-Match", "0"), "late"));
  gone.Close();
  CHECK(Eventually([&]() { return Counter(mPort, "/writes") == 1; }));
  STRCMP_CONTAINS("\"late\"", Get().mMessage.body().c_str());
}

// Of writers that race for each revision one wins.
TEST(PlatformStandin, ConcurrentWritersWinEachRevisionOnce)
{
  constexpr std::int64_t kWriters = 6;
  constexpr std::int64_t kRevisions = 40;
  std::atomic<int> won = 0;
  std::vector<std::thread> writers;
  for (std::int64_t writer = 0; writer < kWriters; writer++) {
    writers.emplace_back([&]() {
      for (std::int64_t revision = 0; revision < kRevisions; revision++) {
        won += Put(std::to_string(revision), "v").mStatus == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  std::int64_t writes = Counter(mPort, "/writes");
  LONGS_EQUAL(won.load(), writes);
  std::string expected = "{\"revision\":" + std::to_string(writes) + ",";
  STRCMP_CONTAINS(expected.c_str(), Get().mMessage.body().c_str());
  LONGS_EQUAL(kWriters * kRevisions - writes, Counter(mPort, "/conflicts"));
}
