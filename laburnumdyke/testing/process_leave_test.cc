// Real daemons that are stopped on plan while callers go on using connections
// that they keep open: no request that an upstream runs may end without an
// answer.
#include "laburnumdyke/testing/harness/hosts_deployment.h"
#include "laburnumdyke/testing/harness/kept_connection.h"
#include "laburnumdyke/testing/harness/scenario.h"

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCallers = 22;
constexpr std::chrono::milliseconds kBetweenSends{ 250 };

struct kept_caller
{
  std::string mDaemon;
  std::unique_ptr<kept_connection> mConnection;
  kept_request mRequest;
  kept_answer mAnswer;
};

kept_request
Booking(std::size_t aNumber, std::chrono::milliseconds aWork)
{
  kept_request request{ "POST", "/book/1", {}, 4000ms, aWork };
  request.mId = "booking-" + std::to_string(aNumber);
  request.mBody = std::string(100 * (aNumber % kCallers + 1), 'b');
  request.mChunked = aNumber % 2 == 0;
  return request;
}

} // namespace

TEST_GROUP(ProcessLeave)
{
  hosts_deployment mDeployed;
  std::vector<kept_caller> mCallers;

  // One booking on each connection, after which it is kept.
  void Connect(const std::string& aName)
  {
    for (std::size_t i = 0; i < kCallers; ++i) {
      kept_caller caller;
      caller.mDaemon = aName;
      caller.mConnection =
        std::make_unique<kept_connection>(mDeployed.Daemon(aName).mCaller);
      kept_request first = Booking(1000 + mCallers.size(), 0ms);
      kept_answer answer = caller.mConnection->Send(first);
      LONGS_EQUAL(200, answer.mStatus);
      CHECK(answer.mKeepAlive);
      caller.mRequest = Booking(mCallers.size(), 840ms);
      mCallers.push_back(std::move(caller));
    }
  }

  // Each caller of a daemon sends its booking a while after the one before it.
  void SendInTurn(const std::string& aName)
  {
    std::vector<std::thread> threads;
    for (kept_caller& caller : mCallers) {
      if (caller.mDaemon != aName) {
        continue;
      }
      std::this_thread::sleep_for(kBetweenSends);
      threads.emplace_back([&caller]() {
        caller.mAnswer = caller.mConnection->Send(caller.mRequest);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  // Bookings that an upstream has run and that got no answer, or a refusal.
  int CountCut()
  {
    int cut = 0;
    for (const kept_caller& caller : mCallers) {
      bool hasRun = mDeployed.HasRun(caller.mRequest.mId);
      cut += hasRun && caller.mAnswer.mStatus != 200 ? 1 : 0;
    }
    return cut;
  }

  bool EndsWell(const std::string& aName)
  {
    return mDeployed.Daemon(aName).mProcess->Wait(kEventLimit) ==
           std::optional<int>(0);
  }
};

// Guards against bookings that are passed on late after SIGTERM and cut by the
// exit of the process.
TEST(ProcessLeave, BookingsOnKeptConnectionsAreAnsweredOrNotRun)
{
  mDeployed.AddUpstream("i-1");
  mDeployed.AddUpstream("i-2");
  CHECK(mDeployed.StartDaemon("one"));
  Connect("one");
  mDeployed.Daemon("one").mProcess->Signal(SIGTERM);
  SendInTurn("one");
  LONGS_EQUAL(0, CountCut());
  CHECK(EndsWell("one"));
}

// Guards against the same where stops come in series and overlap, with a second
// signal to each process.
TEST(ProcessLeave, StopsInSeriesCutNoBooking)
{
  const std::vector<std::string> names = { "one", "two", "three" };
  mDeployed.AddUpstream("i-1");
  mDeployed.AddUpstream("i-2");
  for (const std::string& name : names) {
    CHECK(mDeployed.StartDaemon(name));
    Connect(name);
  }
  std::vector<std::thread> senders;
  for (const std::string& name : names) {
    mDeployed.Daemon(name).mProcess->Signal(SIGTERM);
    senders.emplace_back([this, name]() { SendInTurn(name); });
    std::this_thread::sleep_for(700ms);
    mDeployed.Daemon(name).mProcess->Signal(SIGTERM);
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  LONGS_EQUAL(0, CountCut());
  for (const std::string& name : names) {
    CHECK(EndsWell(name));
  }
}

// Idle connections are closed before the process ends, so that callers learn
// of it without losing a request.
TEST(ProcessLeave, IdleConnectionsAreClosedWhileRequestsFinish)
{
  mDeployed.AddUpstream("i-1");
  CHECK(mDeployed.StartDaemon("one"));
  Connect("one");
  mDeployed.Daemon("one").mProcess->Signal(SIGTERM);
  std::this_thread::sleep_for(2000ms);
  kept_caller& busy = mCallers.front();
  busy.mRequest.mWork = 2500ms;
  std::thread sender(
    [&]() { busy.mAnswer = busy.mConnection->Send(busy.mRequest); });
  std::this_thread::sleep_for(1500ms);
  std::size_t closed = 0;
  for (kept_caller& caller : mCallers) {
    closed += caller.mConnection->IsClosed() ? 1 : 0;
  }
  sender.join();
  LONGS_EQUAL(kCallers - 1, closed);
  LONGS_EQUAL(200, busy.mAnswer.mStatus);
}
