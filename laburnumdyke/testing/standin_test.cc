// The stand-ins: tables of requests and expected answers, then slots,
// deadlines, lost answers and cuts. Models are tested in virtual time. Waits
// are for events with a generous limit; no verdict is on their length.
#include "laburnumdyke/testing/standin/command_line.h"
#include "laburnumdyke/testing/standin/http_exchange.h"
#include "laburnumdyke/testing/standin/link_standin.h"
#include "laburnumdyke/testing/standin/platform_standin.h"
#include "laburnumdyke/testing/standin/upstream_standin.h"
#include "laburnumdyke/testing/standin/work_request.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr unsigned kClosed = 0; // closed without an answer

struct reply
{
  unsigned mStatus = kClosed;
  http::response<http::string_body> mMessage;

  std::string Header(const char* aName) const
  {
    return std::string(mMessage[aName]);
  }
};

// A blocking connection.
class client
{
public:
  explicit client(std::uint16_t aPort)
    : mSocket(mContext)
  {
    boost::system::error_code failure;
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort },
                    failure);
    mConnected = !failure;
  }

  void Send(std::string_view aBytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(
      mSocket, boost::asio::buffer(aBytes.data(), aBytes.size()), ignored);
  }

  reply Receive(bool aHead = false)
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(aHead);
    boost::system::error_code failure;
    http::read(mSocket, mBuffer, parser, failure);
    if (failure) {
      return {};
    }
    reply result{ parser.get().result_int(), parser.release() };
    return result;
  }

  bool ReadsEnd()
  {
    char byte = 0;
    boost::system::error_code failure;
    mSocket.read_some(boost::asio::buffer(&byte, 1), failure);
    return static_cast<bool>(failure);
  }

  void Close() { mSocket.close(); }

  bool mConnected = false;

private:
  boost::asio::io_context mContext;
  tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
};

std::string
Request(std::string_view aLine,
        std::string_view aFields = "",
        std::string_view aBody = "")
{
  return std::string(aLine) + " HTTP/1.1\r\nHost: x\r\n" +
         std::string(aFields) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         std::string(aBody);
}

reply
Exchange(std::uint16_t aPort, std::string_view aRequest)
{
  client connection(aPort);
  connection.Send(aRequest);
  return connection.Receive(aRequest.substr(0, 5) == "HEAD ");
}

reply
Control(std::uint16_t aPort, std::string_view aJson)
{
  return Exchange(aPort, Request("POST /control", "", aJson));
}

// A number of a JSON page, by JSON pointer; -1 where it is missing.
std::int64_t
Number(std::uint16_t aPort, const char* aPage, const char* aPointer)
{
  reply page = Exchange(aPort, Request(std::string("GET ") + aPage));
  boost::system::error_code failure;
  boost::json::value parsed = boost::json::parse(page.mMessage.body(), failure);
  const boost::json::value* found =
    failure ? nullptr : parsed.find_pointer(aPointer, failure);
  return found && found->is_int64() ? found->get_int64() : -1;
}

std::int64_t
Counter(std::uint16_t aPort, const char* aPointer)
{
  return Number(aPort, "/control", aPointer);
}

bool
Eventually(const std::function<bool()>& aHolds)
{
  constexpr int kAttempts = 10000;
  for (int i = 0; i < kAttempts; i++) {
    if (aHolds()) {
      return true;
    }
    std::this_thread::sleep_for(2ms);
  }
  return false;
}

// Runs a context on a thread of its own.
class background
{
public:
  background()
    : mGuard(mContext.get_executor())
    , mThread([this]() { mContext.run(); })
  {
  }
  ~background() { Join(); }
  background(const background&) = delete;
  background& operator=(const background&) = delete;

  void Join()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  boost::asio::io_context mContext;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::thread mThread;
};

struct exchange_row
{
  const char* mName;
  std::string mRequest;
  unsigned mStatus;
  const char* mHeader; // nullptr: none is checked
  const char* mValue;
  const char* mBody; // contained in the body
};

void
CheckRows(std::uint16_t aPort, const std::vector<exchange_row>& aRows)
{
  for (const exchange_row& row : aRows) {
    reply got = Exchange(aPort, row.mRequest);
    UNSIGNED_LONGS_EQUAL_TEXT(row.mStatus, got.mStatus, row.mName);
    if (row.mHeader) {
      STRCMP_EQUAL_TEXT(row.mValue, got.Header(row.mHeader).c_str(), row.mName);
    }
    STRCMP_CONTAINS_TEXT(row.mBody, got.mMessage.body().c_str(), row.mName);
  }
}

std::string
Field(std::string_view aName, std::string_view aValue)
{
  return std::string(aName) + ": " + std::string(aValue) + "\r\n";
}

const std::string kId = "Laburnumdyke-Request-Id";
const std::string kDeadline = "Laburnumdyke-Deadline-Ms";

// A request whose body never comes: it holds a slot without running.
std::string
HeldRequest(std::string_view aFields = "")
{
  return "POST /held HTTP/1.1\r\nHost: x\r\n" + std::string(aFields) +
         "Content-Length: 5\r\n\r\n";
}

} // namespace

TEST_GROUP(UpstreamModel)
{
  instant mStart{ 1000s };
};

TEST(UpstreamModel, RefusesInOrderOfReason)
{
  struct row
  {
    const char* mName;
    std::uint32_t mSlots;
    bool mDraining;
    std::optional<std::chrono::milliseconds> mRemaining;
    const char* mExpected;
  };
  const row rows[] = {
    { "free", 1, false, std::nullopt, "taken" },
    { "time left", 1, false, 1ms, "taken" },
    { "no time left", 1, false, 0ms, "deadline" },
    { "draining", 1, true, 1ms, "draining" },
    { "draining and late", 1, true, 0ms, "deadline" },
    { "full", 0, false, 1ms, "shedding" },
    { "full and draining", 0, true, 1ms, "draining" },
  };
  for (const row& each : rows) {
    upstream_model model({ .mSlots = each.mSlots }, mStart);
    model.SetFaults(mStart, { .mDraining = each.mDraining });
    std::optional<upstream_refusal> refused =
      model.Arrive(mStart, each.mRemaining);
    std::string got(refused ? ToString(*refused) : "taken");
    STRCMP_EQUAL_TEXT(each.mExpected, got.c_str(), each.mName);
    UNSIGNED_LONGS_EQUAL(each.mSlots == 0 ? 1 : 0, model.Counters().mOvershot);
  }
}

TEST(UpstreamModel, ServiceTimeShrinksOverTheWarmUp)
{
  upstream_model model({ .mWarmUp = 10s, .mColdFactor = 5 }, mStart);
  CHECK(model.ServiceTime(mStart, 100ms) == 500ms);
  CHECK(model.ServiceTime(mStart + 5s, 100ms) == 300ms);
  CHECK(model.ServiceTime(mStart + 10s, 100ms) == 100ms);
  CHECK(model.Load(mStart + 9s).mState == "cold");
  CHECK(model.Load(mStart + 10s).mState == "serving");
}

TEST(UpstreamModel, LoadIsReportedAsItWasTheLagAgo)
{
  upstream_model model({ .mSlots = 2 }, mStart);
  model.SetFaults(mStart, { .mLoadLag = 10s });
  CHECK(!model.Arrive(mStart + 1s, std::nullopt));
  model.SetConnections(mStart + 2s, 7);
  model.Release(mStart + 3s, work_end::Finished);
  model.SetFaults(mStart + 4s, { .mDraining = true, .mLoadLag = 10s });
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 10s).mBusy);
  UNSIGNED_LONGS_EQUAL(1, model.Load(mStart + 11s).mBusy);
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 11s).mConnections);
  UNSIGNED_LONGS_EQUAL(7, model.Load(mStart + 12s).mConnections);
  UNSIGNED_LONGS_EQUAL(0, model.Load(mStart + 13s).mBusy);
  CHECK(model.Load(mStart + 13s).mState == "serving");
  CHECK(model.Load(mStart + 14s).mState == "draining");
  model.SetFaults(mStart + 14s, { .mDraining = true, .mLoadLies = true });
  CHECK(model.Load(mStart + 20s).mState == "serving");
}

// The oracle keeps every change and searches all of them.
TEST(UpstreamModel, LaggingLoadAgreesWithAFullRecord)
{
  for (std::uint32_t seed = 1; seed <= 20; seed++) {
    std::mt19937 generator(seed);
    upstream_model model({ .mSlots = 4 }, mStart);
    std::vector<std::pair<instant, std::uint32_t>> record{ { mStart, 0 } };
    instant now = mStart;
    std::uint32_t busy = 0;
    for (int step = 0; step < 500; step++) {
      now += std::chrono::milliseconds(generator() % 1000);
      if (generator() % 2 == 0 && busy > 0) {
        model.Release(now, work_end::Finished);
        busy--;
      } else if (!model.Arrive(now, std::nullopt)) {
        busy++;
      }
      record.push_back({ now, busy });
      std::chrono::milliseconds lag(generator() % 60001);
      model.SetFaults(now, { .mLoadLag = lag });
      std::uint32_t expected = 0;
      for (const std::pair<instant, std::uint32_t>& each : record) {
        expected = each.first <= now - lag ? each.second : expected;
      }
      UNSIGNED_LONGS_EQUAL(expected, model.Load(now).mBusy);
    }
    CHECK(model.Counters().mMaxBusy <= 4);
  }
}

TEST_GROUP(PlatformModel)
{
  instant mStart{ 1000s };
  platform_model mModel;
};

TEST(PlatformModel, ListIsShownAsItWasTheLagAgo)
{
  mModel.SetFaults({ .mListLag = 10s });
  mModel.PutInstance(mStart, { "a", "127.0.0.1:1", listed_state::Live });
  mModel.PutInstance(mStart + 1s,
                     { "a", "127.0.0.1:1", listed_state::Leaving });
  mModel.RemoveInstance(mStart + 2s, "a");
  UNSIGNED_LONGS_EQUAL(0, mModel.Instances(mStart + 9s).size());
  CHECK(mModel.Instances(mStart + 10s).at(0).mState == listed_state::Live);
  CHECK(mModel.Instances(mStart + 11s).at(0).mState == listed_state::Leaving);
  UNSIGNED_LONGS_EQUAL(0, mModel.Instances(mStart + 12s).size());
}

TEST(PlatformModel, StaleReadsDoNotWeakenWrites)
{
  row_key key{ "t", "k" };
  CHECK(mModel.Write(key, 0, "one").mWritten);
  mModel.SetFaults({ .mStaleReads = true });
  CHECK(mModel.Write(key, 1, "two").mWritten);
  CHECK(!mModel.Write(key, 1, "three").mWritten);
  UNSIGNED_LONGS_EQUAL(1, mModel.Read(key)->mRevision);
  mModel.SetFaults({});
  UNSIGNED_LONGS_EQUAL(2, mModel.Read(key)->mRevision);
}

// The oracle is a plain counter for each key.
TEST(PlatformModel, RandomWritesCountRevisions)
{
  for (std::uint32_t seed = 1; seed <= 20; seed++) {
    std::mt19937 generator(seed);
    platform_model model;
    std::uint64_t revisions[3] = {};
    for (int step = 0; step < 1000; step++) {
      std::size_t index = generator() % 3;
      std::uint64_t revision = generator() % 5 + revisions[index] / 2;
      row_key key{ "t", std::to_string(index) };
      write_result result = model.Write(key, revision, std::to_string(step));
      CHECK_EQUAL(revision == revisions[index], result.mWritten);
      revisions[index] += result.mWritten ? 1 : 0;
      UNSIGNED_LONGS_EQUAL(revisions[index], result.mRow.mRevision);
    }
  }
}

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
  std::string longValue(kHeaderLimit, 'x');
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
  std::string longValue(kHeaderLimit, 'x');
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

TEST_GROUP(LinkStandin)
{
  background mBackground;
  std::unique_ptr<upstream_standin> mUpstream;
  std::unique_ptr<link_standin> mLink;
  std::uint16_t mPort = 0;

  void setup() override
  {
    mUpstream = std::make_unique<upstream_standin>(mBackground.mContext,
                                                   upstream_standin_options{});
    CHECK(!mUpstream->Start());
    mLink = std::make_unique<link_standin>(
      mBackground.mContext,
      link_standin_options{
        .mTo = endpoint{ "127.0.0.1", mUpstream->Port() },
        .mControlListen = endpoint{ "127.0.0.1", 0 },
      });
    CHECK(!mLink->Start());
    mPort = mLink->Port();
  }

  void teardown() override
  {
    mLink.reset();
    mUpstream.reset();
    mBackground.Join();
  }

  reply SetLink(std::string_view aJson)
  {
    return Control(mLink->ControlPort(), aJson);
  }
};

TEST(LinkStandin, CutsAndHeals)
{
  client kept(mPort);
  for (int round = 0; round < 3; round++) {
    client open(mPort);
    open.Send(Request("GET /a?bytes=300000"));
    UNSIGNED_LONGS_EQUAL(300000, open.Receive().mMessage.body().size());
    UNSIGNED_LONGS_EQUAL(200, SetLink("{\"cut\":true}").mStatus);
    CHECK(open.ReadsEnd());
    CHECK(!client(mPort).mConnected);
    UNSIGNED_LONGS_EQUAL(200, SetLink("{\"cut\":false}").mStatus);
  }
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  mLink->Set({ .mCut = true });
  CHECK(Eventually([&]() { return !client(mPort).mConnected; }));
}

TEST(LinkStandin, StallsAndDelays)
{
  UNSIGNED_LONGS_EQUAL(200, SetLink("{\"stalled\":true}").mStatus);
  client waiting(mPort);
  waiting.Send(Request("GET /a", Field(kId, "q1")));
  CHECK(Eventually(
    [&]() { return Counter(mLink->ControlPort(), "/connections") == 1; }));
  LONGS_EQUAL(0, Counter(mUpstream->Port(), "/runs"));
  SetLink("{\"stalled\":false,\"delay_ms\":30}");
  UNSIGNED_LONGS_EQUAL(200, waiting.Receive().mStatus);
  instant before = std::chrono::steady_clock::now();
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  CHECK(std::chrono::steady_clock::now() - before >= 60ms);
}

TEST(LinkStandin, ClosesOnBothSidesAndRefusesBadControl)
{
  client caller(mPort);
  caller.Send(HeldRequest());
  CHECK(Eventually(
    [&]() { return Number(mUpstream->Port(), "/load", "/busy") == 1; }));
  caller.Close();
  CHECK(Eventually(
    [&]() { return Counter(mUpstream->Port(), "/cancelled") == 1; }));
  client relayed(mPort);
  relayed.Send(HeldRequest());
  CHECK(Eventually(
    [&]() { return Number(mUpstream->Port(), "/load", "/busy") == 1; }));
  mUpstream->Stop();
  CHECK(relayed.ReadsEnd());
  CHECK(client(mPort).ReadsEnd()); // the far end refuses
  CHECK(Eventually(
    [&]() { return Counter(mLink->ControlPort(), "/unreachable") >= 1; }));
  for (const char* json : { "{", "{\"cut\":2}", "{\"delay_ms\":600001}" }) {
    UNSIGNED_LONGS_EQUAL_TEXT(400, SetLink(json).mStatus, json);
  }
}

TEST_GROUP(CommandLine){};

TEST(CommandLine, ReportsBadOptions)
{
  struct row
  {
    std::vector<std::string> mArguments;
    int mStatus; // -1: goes on
  };
  const row rows[] = {
    { {}, -1 },
    { { "--listen", "127.0.0.1:0", "--slots", "7" }, -1 },
    { { "--slots=7" }, -1 },
    { { "--help" }, 0 },
    { { "--slots" }, kExitBadOption },
    { { "--slots", "-1" }, kExitBadOption },
    { { "--slots", "11" }, kExitBadOption },
    { { "--lag", "soon" }, kExitBadOption },
    { { "--listen", "localhost:1" }, kExitBadOption },
    { { "--listen", "127.0.0.1:65536" }, kExitBadOption },
    { { "--colour", "red" }, kExitBadOption },
    { { "extra" }, kExitBadOption },
  };
  for (const row& each : rows) {
    std::optional<endpoint> listen;
    std::uint32_t slots = 0;
    std::chrono::milliseconds lag{ 0 };
    command_line line("standin");
    line.Address("listen", "", listen);
    line.Number("slots", "", 10, slots);
    line.Time("lag", "", 1s, lag);
    std::vector<std::string> texts = each.mArguments;
    std::string program = "standin";
    std::vector<char*> arguments{ program.data() };
    for (std::string& text : texts) {
      arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    std::optional<int> status =
      line.Parse(static_cast<int>(arguments.size()) - 1, arguments.data());
    LONGS_EQUAL(each.mStatus, status.value_or(-1));
  }
}
