// Requests whose callers disconnect before an upstream has received them.
// Callers and upstreams exchange raw bytes.
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_front.h"

#include <boost/asio/write.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(CallerGone)
{
  one_front mFront;

  void setup() override
  {
    mFront.Configure(true);
    for (scripted_upstream* upstream : Upstreams()) {
      upstream->Hold();
    }
  }

  std::vector<scripted_upstream*> Upstreams()
  {
    return { &mFront.mFirst, &mFront.mSecond };
  }

  std::uint64_t CallersCountedGone()
  {
    counters& counted = mFront.mKernel->Counters();
    return counted.Value("callers_gone_total", "sent") +
           counted.Value("callers_gone_total", "unsent");
  }

  // Sends aBytes, disconnects once a request has reached an upstream, and only
  // then lets the upstreams answer. Returns how many requests reach them.
  std::size_t DisconnectEarly(const std::string& aBytes,
                              const std::string& aAnswer)
  {
    for (scripted_upstream* upstream : Upstreams()) {
      upstream->Script({ aAnswer, aAnswer });
    }
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(ToAsio(mFront.mSettings.mCaller));
    asio::write(caller, asio::buffer(aBytes));
    CHECK(WaitUntil([&]() { return mFront.Arrivals() == 1; }, 10s));
    caller.close();
    for (scripted_upstream* upstream : Upstreams()) {
      upstream->Release();
    }
    CHECK(WaitUntil(
      [&]() { return mFront.Arrivals() > 1 || CallersCountedGone() > 0; },
      10s));
    return mFront.Arrivals();
  }
};

// Guards against forwarding a request that may run at most once to a second
// upstream after the first has refused it and the caller has disconnected.
TEST(CallerGone, ARefusedRequestIsNotForwardedAgain)
{
  LONGS_EQUAL(1,
              DisconnectEarly(FrontRequest("POST", "/write/1"), kShedAnswer));
}

TEST(CallerGone, ARequestReadAfterItsCallerDisconnectedIsNotSent)
{
  std::string one = "POST /write/1 HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Request-Id: 1\r\nX-Deadline-Ms: 2000\r\n"
                    "Content-Length: 4\r\n\r\nbody";
  LONGS_EQUAL(1, DisconnectEarly(one + one, kWholeAnswer));
}
