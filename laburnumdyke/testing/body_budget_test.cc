// Which bodies get memory, and which are dropped, in virtual time. Guards
// against a budget that is exceeded, that is held by clients which send
// nothing, or that drops work an upstream has begun.
#include "laburnumdyke/decision/body_budget.h"
#include "laburnumdyke/plugin/block_buffer.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUnit = 64UL * 1024;
constexpr std::size_t kTotal = 16 * kUnit; // one unit of it is the reserve

body_budget_options
Options()
{
  body_budget_options options;
  options.mTotal = kTotal;
  options.mMinRate = 1000;
  options.mGrace = 10s;
  return options;
}

} // namespace

TEST_GROUP(BodyBudget)
{
  body_budget mBudget{ Options() };
  instant mNow{ 1000s };

  bool Grants(holding_id aBody, std::size_t aBytes)
  {
    return mBudget.Take(aBody, aBytes, mNow) == room_answer::Granted;
  }

  // A body that has taken and received aBytes by now.
  holding_id Receive(std::size_t aBytes)
  {
    holding_id body = mBudget.Open(mNow);
    CHECK(Grants(body, aBytes));
    mBudget.CountProgress(body, aBytes, mNow);
    return body;
  }
};

TEST(BodyBudget, TheSumIsBounded)
{
  holding_id last = 0;
  for (int i = 0; i < 15; ++i) {
    last = Receive(kUnit);
  }
  CHECK(mBudget.Take(last, 1, mNow) == room_answer::None);
  holding_id small = Receive(kUnit); // from the reserve
  CHECK(mBudget.Take(mBudget.Open(mNow), 1, mNow) == room_answer::None);
  LONGS_EQUAL(kTotal, mBudget.Used());
  mBudget.Close(small);
  LONGS_EQUAL(15 * kUnit, mBudget.Used());
}

TEST(BodyBudget, LargeBodiesLeaveTheReserve)
{
  CHECK(mBudget.Fits(15 * kUnit));
  CHECK(!mBudget.Fits(15 * kUnit + 1));
  holding_id large = Receive(15 * kUnit);
  CHECK(!Grants(large, 1));
  CHECK(!mBudget.HasRoomFor(2 * kUnit, mNow));
  CHECK(mBudget.HasRoomFor(kUnit, mNow));
  Receive(kUnit);
}

TEST(BodyBudget, TheBodyThatLagsMostIsDropped)
{
  std::vector<holding_id> bodies;
  for (int i = 0; i < 14; ++i) {
    bodies.push_back(Receive(kUnit));
    mNow += 1s;
  }
  mBudget.CountProgress(bodies[0], 1000, mNow);  // one of 14 s
  mBudget.CountProgress(bodies[1], 60000, mNow); // all it was due
  holding_id taker = Receive(kUnit);
  CHECK(mBudget.Take(taker, kUnit, mNow) == room_answer::Later);
  std::vector<holding_id> dropped = mBudget.TakeDropped();
  LONGS_EQUAL(1, dropped.size());
  LONGS_EQUAL(bodies[0], dropped[0]);
  CHECK(mBudget.IsDropped(bodies[0]) && !mBudget.IsDropped(bodies[1]));
  CHECK(mBudget.TakeDropped().empty());
  // Its bytes stay counted until it is closed, and it gets no more.
  CHECK(mBudget.Take(taker, kUnit, mNow) == room_answer::Later);
  CHECK(mBudget.TakeDropped().empty());
  CHECK(mBudget.Take(bodies[0], 1, mNow) == room_answer::None);
  mBudget.Close(bodies[0]);
  CHECK(Grants(taker, kUnit));
  CHECK(!Grants(taker, kUnit) && mBudget.Used() == 15 * kUnit);
  mBudget.Close(taker);
  LONGS_EQUAL(13 * kUnit, mBudget.Used());
}

TEST(BodyBudget, ABodyWhoseWorkHasBegunIsNeverDropped)
{
  std::vector<holding_id> bodies;
  for (int i = 0; i < 16; ++i) {
    bodies.push_back(Receive(kUnit));
    mBudget.BeginWork(bodies.back());
  }
  mNow += 1h;
  holding_id taker = mBudget.Open(mNow);
  CHECK(mBudget.Take(taker, 1, mNow) == room_answer::None);
  CHECK(!mBudget.HasRoomFor(1, mNow));
  CHECK(mBudget.TakeDropped().empty());
}

// Bodies that all progress must not drop each other in turn, so that none
// completes.
TEST(BodyBudget, ABodyThatProgressesIsNotDropped)
{
  std::vector<holding_id> bodies;
  for (int i = 0; i < 16; ++i) {
    bodies.push_back(Receive(kUnit));
  }
  mNow += 400ms; // a round trip
  holding_id taker = mBudget.Open(mNow);
  CHECK(mBudget.Take(taker, 1, mNow) == room_answer::None);
  CHECK(mBudget.TakeDropped().empty());
}

// Guards against clients that hold the budget at little more than the minimum
// rate, which never end as too slow.
TEST(BodyBudget, ABodyThatBarelyProgressesYieldsToAQuickOne)
{
  std::vector<holding_id> slow;
  for (int i = 0; i < 15; ++i) {
    slow.push_back(Receive(kUnit));
  }
  for (int second = 0; second < 60; ++second) {
    mNow += 1s;
    for (holding_id body : slow) {
      mBudget.CountProgress(body, 2000, mNow); // twice the minimum
      CHECK(!mBudget.IsTooSlow(body, mNow));
    }
  }
  holding_id quick = Receive(kUnit);
  mNow += 100ms;
  mBudget.CountProgress(quick, kUnit, mNow);
  CHECK(mBudget.Take(quick, kUnit, mNow) == room_answer::Later);
  LONGS_EQUAL(2, mBudget.TakeDropped().size());
}

// The defaults on the smallest machine of the deployments, with their
// max-body-bytes.
TEST(BodyBudget, TheLargestBodyFitsTheSmallestMachine)
{
  body_budget_options options;
  options.mTotal = 112000000UL * 2 / 3;
  body_budget budget(options);
  CHECK(budget.Fits(67108864));
  CHECK(budget.HasRoomFor(67108864, mNow));
}

// A body that would find no room even so is no reason to drop others.
TEST(BodyBudget, NothingIsDroppedInVain)
{
  Receive(kUnit); // lags
  mNow += 5s;
  for (int i = 0; i < 14; ++i) {
    Receive(kUnit);
  }
  holding_id taker = mBudget.Open(mNow);
  CHECK(mBudget.Take(taker, 3 * kUnit, mNow) == room_answer::None);
  CHECK(mBudget.TakeDropped().empty());
  CHECK(!mBudget.HasRoomFor(3 * kUnit, mNow));
  CHECK(mBudget.HasRoomFor(kUnit + 1, mNow) == false);
}

TEST(BodyBudget, ABodyBelowTheMinimumRateIsTooSlow)
{
  holding_id trickle = mBudget.Open(mNow);
  int seconds = 0;
  for (; !mBudget.IsTooSlow(trickle, mNow) && seconds < 100; ++seconds) {
    mNow += 1s;
    mBudget.CountProgress(trickle, 1, mNow);
  }
  LONGS_EQUAL(11, seconds);
}

// 64 MB at 10 Mbit/s in bursts, with a pause of 5 s in each minute.
TEST(BodyBudget, ASlowLinkWithPausesIsNotTooSlow)
{
  holding_id body = mBudget.Open(mNow);
  std::size_t received = 0;
  for (int second = 0; received < 64UL * 1024 * 1024; ++second) {
    mNow += 1s;
    CHECK(!mBudget.IsTooSlow(body, mNow));
    if (second % 60 >= 5) {
      mBudget.CountProgress(body, 1250000, mNow);
      received += 1250000;
    }
  }
}

// Speed in the past is no credit: a body may not stall for as long as it likes
// because it came fast before.
TEST(BodyBudget, FastBytesGiveNoCredit)
{
  holding_id body = Receive(10 * kUnit);
  mNow += 10s;
  CHECK(mBudget.IsTooSlow(body, mNow));
  CHECK(mBudget.TooSlowAt(body) == mNow);
}

TEST(BodyBudget, ResponsesTakeAShareAtMost)
{
  LONGS_EQUAL(3 * kUnit, mBudget.TakeForResponse(3 * kUnit));
  LONGS_EQUAL(kUnit, mBudget.TakeForResponse(3 * kUnit));
  LONGS_EQUAL(0, mBudget.TakeForResponse(1));
  Receive(11 * kUnit);
  mBudget.ReturnOfResponse(4 * kUnit);
  LONGS_EQUAL(11 * kUnit, mBudget.Used());
  LONGS_EQUAL(4 * kUnit, mBudget.TakeForResponse(5 * kUnit));
  mBudget.ReturnOfResponse(4 * kUnit);
  Receive(3 * kUnit);
  Receive(kUnit);
  LONGS_EQUAL(kUnit, mBudget.TakeForResponse(3 * kUnit));
}

// Guards against heads that take what is reserved for small requests, and
// against heads that are not part of the sum.
TEST(BodyBudget, HeadsShareTheBudgetAndLeaveTheReserve)
{
  Receive(10 * kUnit);
  CHECK(mBudget.TakeForHead(5 * kUnit));
  CHECK(!mBudget.TakeForHead(1));
  holding_id small = Receive(kUnit); // from the reserve
  LONGS_EQUAL(kTotal, mBudget.Used());
  CHECK(!Grants(mBudget.Open(mNow), 1));
  mBudget.Close(small);
  mBudget.ReturnOfHead(5 * kUnit);
  LONGS_EQUAL(10 * kUnit, mBudget.Used());
  CHECK(mBudget.TakeForHead(5 * kUnit));
}

// Guards against a heap that keeps what heads have returned, and against one
// that is trimmed after each of them.
TEST(BodyBudget, ReturnedHeadsAreSummedUpBeforeTheHeapIsTrimmed)
{
  constexpr std::size_t kHead = kTotal / body_budget::kTrimParts / 4;
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 3; ++i) {
      CHECK(mBudget.TakeForHead(kHead));
      CHECK(!mBudget.ReturnOfHead(kHead));
    }
    CHECK(mBudget.TakeForHead(kHead));
    CHECK(mBudget.ReturnOfHead(kHead));
  }
}

TEST(BodyBudget, TheLimitOfAReaderIsARate)
{
  body_budget_options options = Options();
  options.mReaderRate = 1000;
  options.mReaderGrace = 2s;
  body_budget budget(options);
  CHECK(budget.ReaderLimit(0) == 2s);
  CHECK(budget.ReaderLimit(3000) == 5s);
}

TEST_GROUP(BlockBuffer){};

// Guards against blocks that cost more than the budget counts.
TEST(BlockBuffer, BlocksAreWholePages)
{
  block_buffer buffer;
  buffer.Grow(1);
  LONGS_EQUAL(block_buffer::kFirstBlock, buffer.Capacity());
  buffer.Grow(block_buffer::kFirstBlock + 1);
  LONGS_EQUAL(3 * block_buffer::kFirstBlock, buffer.Capacity());
  LONGS_EQUAL(0, block_buffer::Occupied(0));
}

// Guards against small chunks that cost much more than their bytes.
TEST(BlockBuffer, KeepsBytesInOrderAndWastesLessThanABlock)
{
  block_buffer buffer;
  std::string expected;
  while (expected.size() < 300000) {
    if (buffer.Space().empty()) {
      buffer.Grow(buffer.NextBlock());
    }
    buffer.Space()[0] = static_cast<char>(expected.size() % 251);
    buffer.Commit(1);
    expected += static_cast<char>(expected.size() % 251);
    CHECK(buffer.Capacity() - buffer.Size() < block_buffer::kBlock);
    CHECK(buffer.Capacity() <=
          std::max(4 * buffer.Size(), block_buffer::kFirstBlock));
  }
  std::string held;
  for (std::size_t i = 0; i < buffer.Filled(); ++i) {
    std::span<const char> block = buffer.Block(i);
    held.append(block.data(), block.size());
  }
  CHECK(held == expected);
  std::size_t capacity = buffer.Capacity();
  buffer.Clear();
  LONGS_EQUAL(0, buffer.Filled());
  LONGS_EQUAL(0, buffer.Size());
  LONGS_EQUAL(capacity, buffer.Capacity());
  CHECK(buffer.Space().size() == block_buffer::kFirstBlock);
}
