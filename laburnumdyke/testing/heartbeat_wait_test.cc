// Waiting for heartbeats, on an executor that the test runs step by step. An
// instance that starts would otherwise put a restored store's older
// configuration in force, or wait longer than it needs.
#include "laburnumdyke/plugin/heartbeat_wait.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(HeartbeatWait)
{
  kernel mKernel{ FreeSettings("one", "east-a", "east"), {} };
  steering_tables mTables{ mKernel };
  asio::io_context mContext;
  asio::strand<asio::io_context::executor_type> mStrand =
    asio::make_strand(mContext);
  int mEnded = 0;

  void ReceiveHeartbeat()
  {
    fleet_heartbeat heartbeat;
    heartbeat.mSender.mInstance = { "two" };
    heartbeat.mSender.mIncarnation = 1;
    heartbeat.mSender.mRegion = { "east" };
    mTables.Fleet().With([&](fleet_state& aFleet) {
      CHECK(aFleet.ReceiveHeartbeat(heartbeat, instant() + 1h));
    });
  }

  // aIsEarly: a heartbeat arrives after the look-up, before the wait.
  asio::awaitable<void> Wait(bool aIsEarly)
  {
    heartbeat_wait wait(mTables.Fleet(), mStrand);
    if (aIsEarly) {
      ReceiveHeartbeat();
    }
    co_await wait.Until(std::chrono::steady_clock::now() + 1h);
    ++mEnded;
  }

  void Begin(bool aIsEarly)
  {
    asio::co_spawn(mStrand, Wait(aIsEarly), asio::detached);
    mContext.poll();
  }
};

TEST(HeartbeatWait, AHeartbeatEndsTheWait)
{
  Begin(false);
  LONGS_EQUAL(0, mEnded);
  ReceiveHeartbeat();
  mContext.poll();
  LONGS_EQUAL(1, mEnded);
}

TEST(HeartbeatWait, AHeartbeatBeforeTheWaitIsNotMissed)
{
  Begin(true);
  LONGS_EQUAL(1, mEnded);
}

// Several readings of the platform may run at once, each with its own wait.
TEST(HeartbeatWait, AHeartbeatEndsAllWaits)
{
  Begin(false);
  Begin(false);
  ReceiveHeartbeat();
  mContext.poll();
  LONGS_EQUAL(2, mEnded);
}
