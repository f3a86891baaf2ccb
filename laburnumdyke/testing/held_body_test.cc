// Request bodies under a small budget, through a real front: which are refused,
// and that a refused request reaches no upstream.
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_front.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBudget = 256UL * 1024;
constexpr std::size_t kLarge = 200UL * 1024; // only one fits

client_bounds
SmallBounds()
{
  client_bounds bounds;
  bounds.mBodyMemory = kBudget;
  bounds.mBodyGrace = 300ms;
  return bounds;
}

std::string
Post(const std::string& aFraming, const std::string& aBody)
{
  return "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 77\r\n"
         "X-Deadline-Ms: 2000\r\nConnection: close\r\n" +
         aFraming + "\r\n\r\n" + aBody;
}

std::string
Sized(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes);
}

std::string
Chunk(std::size_t aBytes)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes);
  return size + std::string(aBytes, 'x') + "\r\n";
}

const std::string kChunkedFraming = "Transfer-Encoding: chunked";

} // namespace

TEST_GROUP(HeldBody)
{
  one_front mFront{ SmallBounds() };

  void setup() override
  {
    mFront.Configure(false);
  }

  std::uint64_t Refused(const char* aReason)
  {
    return mFront.mKernel->Counters().Value("refused_total", aReason);
  }
};

// Guards against reading, or inviting with 100 Continue, what will be refused.
TEST(HeldBody, ADeclaredBodyThatCanNeverFitIsRefusedBeforeItIsRead)
{
  std::string answer =
    mFront.Send(Post(Sized(kBudget) + "\r\nExpect: 100-continue", ""));
  STRCMP_EQUAL("HTTP/1.1 413", answer.substr(0, 12).c_str());
  CHECK(answer.find("Connection: close") != std::string::npos);
  LONGS_EQUAL(1, Refused("body_too_large"));
  LONGS_EQUAL(0, mFront.Arrivals());
}

TEST(HeldBody, AnUndeclaredBodyIsRefusedOnceThereIsNoRoom)
{
  std::string answer =
    mFront.Send(Post(kChunkedFraming, Chunk(kBudget) + "0\r\n\r\n"));
  STRCMP_EQUAL("HTTP/1.1 503", answer.substr(0, 12).c_str());
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  LONGS_EQUAL(1, Refused("no_body_room"));
  LONGS_EQUAL(0, mFront.Arrivals());
}

// Guards against dropping a body that an upstream works on.
TEST(HeldBody, ABodyInWorkIsKeptAndAnotherIsRefused)
{
  mFront.mFirst.Hold();
  std::thread first(
    [&]() { mFront.Send(Post(Sized(kLarge), std::string(kLarge, 'x'))); });
  CHECK(WaitUntil([&]() { return mFront.Arrivals() == 1; }, 10s));
  std::string answer =
    mFront.Send(Post(Sized(kLarge), std::string(kLarge, 'x')));
  STRCMP_EQUAL("HTTP/1.1 503", answer.substr(0, 12).c_str());
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  LONGS_EQUAL(1, Refused("no_body_room"));
  LONGS_EQUAL(1, mFront.Arrivals());
  mFront.mFirst.Release();
  first.join();
  // All of it has been given back.
  CHECK(WaitUntil(
    [&]() {
      return mFront.Send(Post(Sized(kLarge), std::string(kLarge, 'x')))
               .substr(0, 12) != "HTTP/1.1 503";
    },
    10s));
  LONGS_EQUAL(2, mFront.Arrivals());
}

TEST(HeldBody, ABodyThatStallsIsEnded)
{
  std::string answer = mFront.Send(Post(Sized(100), "x"));
  CHECK(answer.find("200") == std::string::npos);
  CHECK(WaitUntil([&]() { return Refused("body_too_slow") == 1; }, 10s));
  LONGS_EQUAL(0, mFront.Arrivals());
}

TEST(HeldBody, ChunksOfOneByteArriveWhole)
{
  mFront.mFirst.Script({ kWholeAnswer });
  std::string chunks;
  for (int i = 0; i < 5000; ++i) {
    chunks += Chunk(1);
  }
  std::string answer = mFront.Send(Post(kChunkedFraming, chunks + "0\r\n\r\n"));
  STRCMP_EQUAL("HTTP/1.1 200", answer.substr(0, 12).c_str());
  CHECK(mFront.mFirst.Requests().at(0).find("Content-Length: 5000\r\n") !=
        std::string::npos);
}
