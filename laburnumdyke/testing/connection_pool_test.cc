// Idle connections to upstreams that come and go. Guards against a process that
// runs out of descriptors for its callers.
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/plugin/connection_pool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(ConnectionPool)
{
  instant mNow{ 1h };
  std::deque<int> mPeers; // the other ends

  idle_socket Connected()
  {
    int ends[2];
    LONGS_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
    mPeers.push_back(ends[1]);
    return idle_socket(ends[0]);
  }

  void ClosePeers(std::size_t aMost)
  {
    for (; mPeers.size() > aMost; mPeers.pop_front()) {
      ::close(mPeers.front());
    }
  }

  static endpoint Upstream(int aNumber)
  {
    return { "10.0." + std::to_string(aNumber / 250) + "." +
               std::to_string(aNumber % 250),
             80 };
  }

  void teardown() override
  {
    ClosePeers(0);
  }
};

TEST(ConnectionPool, ConnectionsToReplacedUpstreamsAreClosed)
{
  connection_pool pool(100);
  for (int i = 0; i < 1000; ++i) {
    pool.Put(Upstream(i), Connected(), mNow, 3000ms);
    mNow += 100ms;
    CHECK(pool.Size() <= 41);
    ClosePeers(50);
  }
}

TEST(ConnectionPool, TheNumberOfIdleConnectionsIsBounded)
{
  connection_pool pool(20);
  for (int i = 0; i < 50; ++i) {
    pool.Put(Upstream(i), Connected(), mNow, 3000ms);
  }
  LONGS_EQUAL(20, pool.Size());
  CHECK(pool.Take(Upstream(0), mNow).has_value());
  CHECK_FALSE(pool.Take(Upstream(49), mNow).has_value());
  LONGS_EQUAL(19, pool.Size());
}

TEST(ConnectionPool, AReusableConnectionIsTakenOnceAndAnExpiredOneNever)
{
  connection_pool pool(20);
  pool.Put(Upstream(0), Connected(), mNow, 300ms);
  CHECK(pool.Take(Upstream(0), mNow + 200ms).has_value());
  CHECK_FALSE(pool.Take(Upstream(0), mNow + 200ms).has_value());
  pool.Put(Upstream(0), Connected(), mNow, 300ms);
  CHECK_FALSE(pool.Take(Upstream(0), mNow + 300ms).has_value());
  LONGS_EQUAL(0, pool.Size());
}

// Guards against requests on connections to an upstream that has ended without
// closing them.
TEST(ConnectionPool, DiscardedConnectionsAreClosed)
{
  connection_pool pool(20);
  for (int i = 0; i < 3; ++i) {
    pool.Put(Upstream(0), Connected(), mNow, 3000ms);
  }
  pool.Put(Upstream(1), Connected(), mNow, 3000ms);
  pool.Discard(Upstream(0));
  pool.Discard(Upstream(2));
  LONGS_EQUAL(1, pool.Size());
  CHECK_FALSE(pool.Take(Upstream(0), mNow).has_value());
  char byte = 0;
  LONGS_EQUAL(0, ::recv(mPeers.front(), &byte, 1, MSG_DONTWAIT));
  CHECK(pool.Take(Upstream(1), mNow).has_value());
}
