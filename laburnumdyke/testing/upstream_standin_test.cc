// The upstream's stand-in over HTTP: tables of requests and expected answers,
// then slots, deadlines, lost answers and faults.
#include "laburnumdyke/testing/standin/http_exchange.h"
#include "laburnumdyke/testing/standin/upstream_standin.h"
#include "laburnumdyke/testing/standin/work_request.h"
#include "laburnumdyke/testing/standin_client.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamStandin)
{
  background mBackground;
  std::unique_ptr<upstream_standin> mUpstream;
  std::uint16_t mPort = 0;

  void Open(upstream_standin_options aOptions)
  {
    aOptions.mModel.mName = "booking-1";
    mUpstream =
      std::make_unique<upstream_standin>(mBackground.mContext, aOptions);
    CHECK(!mUpstream->Start());
    mPort = mUpstream->Port();
  }

  void teardown() override
  {
    mUpstream.reset();
    mBackground.Join();
  }

  bool Busy(std::int64_t aCount)
  {
    return Eventually(
      [&]() { return Number(mPort, "/load", "/busy") == aCount; });
  }
};

TEST(UpstreamStandin, AnswersEachRequest)
{
  Open({});
  std::string longValue(kStandinHeaderLimit, 'x');
  CheckRows(
    mPort,
    {
      { "plain", Request("GET /a"), 200, "Upstream-Name", "booking-1", "" },
      { "body received",
        Request("POST /a", "", "hello"),
        200,
        "Upstream-Body-Bytes",
        "5",
        "" },
      { "answer's size",
        Request("GET /a?bytes=7&seed=3"),
        200,
        "Content-Length",
        "7",
        AnswerBlock(3).substr(0, 7).c_str() },
      { "head", Request("HEAD /a?bytes=7"), 200, "Content-Length", "7", "" },
      { "identity",
        Request("GET /a", Field(kId, "q1")),
        200,
        kId.c_str(),
        "q1",
        "" },
      { "other parameters", Request("GET /a?x=y&z"), 200, nullptr, "", "" },
      { "cold start over", Request("GET /load"), 200, nullptr, "", "serving" },
      { "no time left",
        Request("GET /a", Field(kDeadline, "0")),
        503,
        "Upstream-Not-Run",
        "deadline",
        "" },
      { "deadline is text",
        Request("GET /a", Field(kDeadline, "soon")),
        400,
        "Connection",
        "close",
        "Deadline" },
      { "negative deadline",
        Request("GET /a", Field(kDeadline, "-1")),
        400,
        nullptr,
        "",
        "Deadline" },
      { "ms is text", Request("GET /a?ms=x"), 400, nullptr, "", "ms" },
      { "ms too long", Request("GET /a?ms=600001"), 400, nullptr, "", "ms" },
      { "bytes empty", Request("GET /a?bytes="), 400, nullptr, "", "bytes" },
      { "identity too long",
        Request("GET /a", Field(kId, std::string(kMaxIdBytes + 1, 'i'))),
        400,
        nullptr,
        "",
        "at most" },
      { "header too long",
        Request("GET /a", Field("X", longValue)),
        431,
        "Connection",
        "close",
        "" },
      { "target too long", Request("GET /" + longValue), 431, nullptr, "", "" },
      { "no HTTP", "hello\r\n\r\n", 400, "Connection", "close", "" },
      { "bad version", "GET / HTTP/9.9\r\n\r\n", 400, nullptr, "", "" },
      { "bad length",
        "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        400,
        nullptr,
        "",
        "" },
      { "control by PUT", Request("PUT /control"), 405, nullptr, "", "" },
      { "still alive", Request("GET /a"), 200, nullptr, "", "" },
    });
  LONGS_EQUAL(1, Counter(mPort, "/refused/deadline"));
  LONGS_EQUAL(11, Counter(mPort, "/malformed"));
  LONGS_EQUAL(7, Counter(mPort, "/runs"));
  LONGS_EQUAL(1, Counter(mPort, "/runs_by_id/q1"));
}

TEST(UpstreamStandin, ControlIsTakenWholeOrRefused)
{
  Open({});
  const char* refused[] = {
    "",
    "{",
    "[]",
    "true",
    "{\"draining\":true",
    "{\"draining\":1}",
    "{\"draining\":true,\"colour\":1}",
    "{\"draining\":true,\"lose_answers\":-1}",
    "{\"draining\":true,\"lose_answers\":1.5}",
    "{\"draining\":true,\"load_lag_ms\":60001}",
    "{\"draining\":true,\"load_lag_ms\":\"5\"}",
  };
  for (const char* json : refused) {
    UNSIGNED_LONGS_EQUAL_TEXT(400, Control(mPort, json).mStatus, json);
  }
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  UNSIGNED_LONGS_EQUAL(200, Control(mPort, "{}").mStatus);
  UNSIGNED_LONGS_EQUAL(200, Control(mPort, "{\"draining\":true}").mStatus);
  reply got = Exchange(mPort, Request("GET /a"));
  UNSIGNED_LONGS_EQUAL(503, got.mStatus);
  STRCMP_EQUAL("draining", got.Header("Upstream-Not-Run").c_str());
  STRCMP_EQUAL("close", got.Header("Connection").c_str());
}

TEST(UpstreamStandin, ShedsBeyondItsSlotsAndFreesThemOnCancellation)
{
  Open({ .mModel = { .mSlots = 2 } });
  client first(mPort);
  first.Send(HeldRequest());
  client second(mPort);
  second.Send(Request("GET /a?ms=600000", Field(kId, "q2")));
  CHECK(Busy(2));
  reply got = Exchange(mPort, Request("GET /a", Field(kId, "q3")));
  UNSIGNED_LONGS_EQUAL(503, got.mStatus);
  STRCMP_EQUAL("shedding", got.Header("Upstream-Not-Run").c_str());
  CHECK(Eventually([&]() { return Counter(mPort, "/runs") == 1; }));
  first.Close();
  CHECK(Busy(1));
  second.Close();
  CHECK(Busy(0));
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  LONGS_EQUAL(2, Counter(mPort, "/cancelled"));
  LONGS_EQUAL(1, Counter(mPort, "/overshot"));
  LONGS_EQUAL(2, Counter(mPort, "/max_busy"));
  LONGS_EQUAL(1, Counter(mPort, "/runs_by_id/q2"));
  LONGS_EQUAL(-1, Counter(mPort, "/runs_by_id/q3"));
}

// Each caller keeps its own record of what it was told; the upstream's counts
// must agree with the sum of them.
TEST(UpstreamStandin, ConcurrentCallersAreToldWhatRan)
{
  constexpr std::int64_t kCallers = 8;
  constexpr std::int64_t kRequests = 60;
  Open({ .mModel = { .mSlots = 3 } });
  std::atomic<std::int64_t> answered = 0;
  std::atomic<std::int64_t> shed = 0;
  std::atomic<std::int64_t> other = 0;
  std::vector<std::thread> callers;
  for (std::int64_t caller = 0; caller < kCallers; caller++) {
    callers.emplace_back([&, caller]() {
      std::mt19937 generator(static_cast<std::uint32_t>(caller) + 1);
      client connection(mPort);
      for (std::int64_t i = 0; i < kRequests; i++) {
        std::string seed = std::to_string(generator() % 1000);
        std::string size = std::to_string(generator() % 100000);
        std::string line = "GET /a?ms=" + std::to_string(generator() % 4);
        line += "&bytes=" + size;
        line += "&seed=" + seed;
        std::string id = std::to_string(caller) + "-" + std::to_string(i);
        connection.Send(Request(line, Field(kId, id)));
        reply got = connection.Receive();
        bool whole = got.mStatus == 200 && got.Header(kId.c_str()) == id &&
                     got.mMessage.body().size() == std::stoul(size);
        answered += whole ? 1 : 0;
        shed += got.Header("Upstream-Not-Run") == "shedding" ? 1 : 0;
        other += whole || got.mStatus == 503 ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(0, other.load());
  LONGS_EQUAL(kCallers * kRequests, answered + shed);
  LONGS_EQUAL(answered.load(), Counter(mPort, "/runs"));
  LONGS_EQUAL(shed.load(), Counter(mPort, "/refused/shedding"));
  CHECK(Counter(mPort, "/max_busy") <= 3);
}

TEST(UpstreamStandin, StopsWorkWhenTheDeadlinePasses)
{
  Open({});
  reply working =
    Exchange(mPort, Request("GET /a?ms=600000", Field(kDeadline, "20")));
  UNSIGNED_LONGS_EQUAL(504, working.mStatus);
  STRCMP_EQUAL("", working.Header("Upstream-Not-Run").c_str());
  LONGS_EQUAL(1, Counter(mPort, "/runs"));
  reply reading = Exchange(mPort, HeldRequest(Field(kDeadline, "20")));
  UNSIGNED_LONGS_EQUAL(503, reading.mStatus);
  STRCMP_EQUAL("deadline", reading.Header("Upstream-Not-Run").c_str());
  LONGS_EQUAL(1, Counter(mPort, "/runs"));
  client unread(mPort); // its answer does not fit the sockets' buffers
  unread.Send(Request("GET /a?bytes=100000000", Field(kDeadline, "50")));
  CHECK(Eventually([&]() { return Counter(mPort, "/deadline_stopped") == 2; }));
  UNSIGNED_LONGS_EQUAL(kClosed, unread.Receive().mStatus);
  CHECK(Busy(0));
}

TEST(UpstreamStandin, LosesTheAnswersItIsToldTo)
{
  Open({});
  Control(mPort, "{\"lose_answers\":2}");
  for (const char* id : { "q1", "q2" }) {
    reply got = Exchange(mPort, Request("POST /a", Field(kId, id)));
    UNSIGNED_LONGS_EQUAL(kClosed, got.mStatus);
  }
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  LONGS_EQUAL(1, Counter(mPort, "/runs_by_id/q1"));
  LONGS_EQUAL(1, Counter(mPort, "/runs_by_id/q2"));
  LONGS_EQUAL(2, Counter(mPort, "/lost_answers"));
}

TEST(UpstreamStandin, FrozenAnswersNothingUntilItThaws)
{
  Open({});
  Control(mPort, "{\"frozen\":true}");
  client waiting(mPort);
  waiting.Send(Request("GET /a", Field(kId, "q1")));
  LONGS_EQUAL(0, Counter(mPort, "/runs"));
  Control(mPort, "{\"frozen\":false}");
  UNSIGNED_LONGS_EQUAL(200, waiting.Receive().mStatus);
  LONGS_EQUAL(1, Counter(mPort, "/runs_by_id/q1"));
}

TEST(UpstreamStandin, FailsFastAndLiesAboutItsLoad)
{
  Open({});
  client held(mPort);
  held.Send(HeldRequest());
  CHECK(Busy(1));
  Control(mPort, "{\"fail_fast\":true,\"load_lies\":true}");
  UNSIGNED_LONGS_EQUAL(500, Exchange(mPort, Request("GET /a")).mStatus);
  LONGS_EQUAL(0, Number(mPort, "/load", "/busy"));
  LONGS_EQUAL(0, Counter(mPort, "/runs"));
  LONGS_EQUAL(1, Counter(mPort, "/failed_fast"));
}

TEST(UpstreamStandin, ClosesIdleConnectionsUnannounced)
{
  Open({});
  client idle(mPort);
  idle.Send(Request("GET /a"));
  UNSIGNED_LONGS_EQUAL(200, idle.Receive().mStatus);
  Control(mPort, "{\"close_idle\":true}");
  CHECK(idle.ReadsEnd());
  client later(mPort);
  later.Send(Request("GET /a"));
  reply got = later.Receive();
  UNSIGNED_LONGS_EQUAL(200, got.mStatus);
  STRCMP_EQUAL("", got.Header("Connection").c_str());
  CHECK(later.ReadsEnd());
}

TEST(UpstreamStandin, ClosesConnectionsOverTheLimitAtOnce)
{
  Open({ .mControlListen = endpoint{ "127.0.0.1", 0 }, .mConnections = 2 });
  client first(mPort);
  first.Send(Request("GET /a"));
  UNSIGNED_LONGS_EQUAL(200, first.Receive().mStatus);
  client second(mPort);
  second.Send(Request("GET /a"));
  UNSIGNED_LONGS_EQUAL(200, second.Receive().mStatus);
  client third(mPort);
  CHECK(third.ReadsEnd());
  std::uint16_t control = mUpstream->ControlPort();
  LONGS_EQUAL(1, Counter(control, "/over_connections"));
  UNSIGNED_LONGS_EQUAL(404, Exchange(control, Request("GET /a")).mStatus);
  first.Close();
  CHECK(Eventually(
    [&]() { return Exchange(mPort, Request("GET /a")).mStatus == 200; }));
}

TEST(UpstreamStandin, StreamsBodiesBothWays)
{
  constexpr std::size_t kBytes = 5000000;
  Open({});
  client connection(mPort);
  connection.Send(Request("POST /a?seed=9&bytes=" + std::to_string(kBytes),
                          "",
                          std::string(kBytes, 'b')));
  reply got = connection.Receive();
  STRCMP_EQUAL("5000000", got.Header("Upstream-Body-Bytes").c_str());
  UNSIGNED_LONGS_EQUAL(kBytes, got.mMessage.body().size());
  std::string block = AnswerBlock(9);
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < got.mMessage.body().size(); i++) {
    wrong += got.mMessage.body()[i] == block[i % kAnswerBlock] ? 0 : 1;
  }
  UNSIGNED_LONGS_EQUAL(0, wrong);
  connection.Send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  STRCMP_EQUAL("5", connection.Receive().Header("Upstream-Body-Bytes").c_str());
}

TEST(UpstreamStandin, StopClosesConnections)
{
  Open({});
  client working(mPort);
  working.Send(Request("GET /a?ms=600000"));
  CHECK(Busy(1));
  mUpstream->Stop();
  CHECK(working.ReadsEnd());
  CHECK(Eventually([&]() { return !client(mPort).mConnected; }));
}
