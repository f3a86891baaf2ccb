// Tests of the limits that a configuration sets callers, as they change while
// connections are open.
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/kept_connection.h"
#include "laburnumdyke/testing/harness/one_front.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kLowHeaderLimit = 8 * 1024;   // bytes
constexpr std::uint32_t kHighHeaderLimit = 16 * 1024; // bytes
constexpr std::size_t kNoteBytes = 10000;             // between both

} // namespace

TEST_GROUP(CallerLimits)
{
  one_front mFront;
  std::vector<std::unique_ptr<kept_connection>> mKept;
  std::uint64_t mVersion = 1;

  void setup() override
  {
    mFront.Configure(false);
    mFront.mFirst.Script(std::vector<std::string>(20, kLastAnswer));
  }

  void SetHeaderLimit(std::uint32_t aBytes)
  {
    caller_limits limits;
    limits.mHeaderBytes = aBytes;
    mFront.ChangeLimits(++mVersion, limits);
  }

  // Opens connections that have been answered a request and are idle.
  void KeepConnections(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mKept.push_back(
        std::make_unique<kept_connection>(mFront.mSettings.mCaller));
      LONGS_EQUAL(200, StatusOn(*mKept.back(), ""));
    }
  }

  // Changes the limit while connections are idle, and checks the status of a
  // request on each whose header is between both limits.
  void CheckNoteAfterChange(
    std::uint32_t aBefore, std::uint32_t aAfter, unsigned aStatus)
  {
    SetHeaderLimit(aBefore);
    KeepConnections(3);
    SetHeaderLimit(aAfter);
    for (const std::unique_ptr<kept_connection>& kept : mKept) {
      LONGS_EQUAL(aStatus, StatusOn(*kept, std::string(kNoteBytes, 'n')));
    }
  }

  static unsigned StatusOn(kept_connection & aConnection,
                           const std::string& aNote)
  {
    kept_request request{ "GET", "/read/1", "77", 2000ms };
    request.mNote = aNote;
    return aConnection.Send(request).mStatus;
  }
};

// Guards against a limit of the former configuration that acts on connections
// which were idle while it changed.
TEST(CallerLimits, AHigherHeaderLimitHoldsOnIdleConnections)
{
  CheckNoteAfterChange(kLowHeaderLimit, kHighHeaderLimit, 200);
}

// The same the other way round.
TEST(CallerLimits, ALowerHeaderLimitHoldsOnIdleConnections)
{
  CheckNoteAfterChange(kHighHeaderLimit, kLowHeaderLimit, 431);
}

// Guards against connections that are closed by the idle timeout of the former
// configuration while callers may use them for longer.
TEST(CallerLimits, ALongerIdleTimeoutHoldsOnIdleConnections)
{
  caller_limits limits;
  limits.mIdleTimeout = 500ms;
  mFront.ChangeLimits(++mVersion, limits);
  KeepConnections(2);
  limits.mIdleTimeout = 60s;
  mFront.ChangeLimits(++mVersion, limits);
  std::this_thread::sleep_for(2s); // past the former timeout and its margin
  for (const std::unique_ptr<kept_connection>& kept : mKept) {
    CHECK_FALSE(kept->IsClosed());
    LONGS_EQUAL(200, StatusOn(*kept, ""));
  }
}

// Guards against connections that stay open for good once their timeout was
// found to be a longer one.
TEST(CallerLimits, AnIdleConnectionIsClosedAtItsTimeout)
{
  caller_limits limits;
  limits.mIdleTimeout = 100ms;
  mFront.ChangeLimits(++mVersion, limits);
  KeepConnections(2);
  limits.mIdleTimeout = 400ms;
  mFront.ChangeLimits(++mVersion, limits);
  for (const std::unique_ptr<kept_connection>& kept : mKept) {
    CHECK(WaitUntil([&]() { return kept->IsClosed(); }, 30s));
  }
}
