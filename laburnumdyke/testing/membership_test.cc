// Which heartbeats count, by a table, and where heartbeats go.
#include "laburnumdyke/decision/membership.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using std::chrono::milliseconds;

namespace {

const instant kStart{ std::chrono::hours(1) };

heartbeat
From(const char* aName, std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  heartbeat message;
  message.mSender.mInstance.mValue = aName;
  message.mSender.mIncarnation = aIncarnation;
  message.mSender.mDomain.mValue = "d";
  message.mSender.mPeer = { "127.0.0.1", 2 };
  message.mSequence = aSequence;
  return message;
}

membership
Opened()
{
  member self;
  self.mInstance.mValue = "self";
  self.mDomain.mValue = "d";
  self.mPeer = { "127.0.0.1", 1 };
  membership opened;
  opened.Open(self, { { "127.0.0.1", 1 }, { "127.0.0.1", 9 } });
  return opened;
}

struct hear_row
{
  const char* mCase;
  int mAfter; // milliseconds since (incarnation 5, sequence 10) was heard
  std::uint64_t mIncarnation;
  std::uint64_t mSequence;
  bool mTaken;
};

const std::vector<hear_row> kRows = {
  { "next sequence", 500, 5, 11, true },
  { "same again", 500, 5, 10, false },
  { "older sequence", 500, 5, 9, false },
  { "older sequence of a silent one", 9000, 5, 9, false },
  { "next incarnation", 500, 6, 1, true },
  { "older incarnation", 500, 4, 99, false },
  { "older just before the other counts as dead", 2499, 4, 1, false },
  { "older once the other counts as dead", 2500, 4, 1, true },
};

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, TakesHeartbeatsByTheTable)
{
  for (const hear_row& row : kRows) {
    membership view = Opened();
    CHECK(view.Hear(From("a", 5, 10), kStart));
    bool taken = view.Hear(From("a", row.mIncarnation, row.mSequence),
                           kStart + milliseconds(row.mAfter));
    CHECK_EQUAL_TEXT(row.mTaken, taken, row.mCase);
  }
}

TEST(Membership, IgnoresItsOwnName)
{
  membership view = Opened();
  CHECK(!view.Hear(From("self", 5, 10), kStart));
}

TEST(Membership, CountsTheSilentAsDead)
{
  membership view = Opened();
  view.Hear(From("a", 5, 10), kStart);
  CHECK_EQUAL(1u, view.Live(kStart + milliseconds(2499)).size());
  CHECK(view.Live(kStart + membership::kSilence).empty());
  CHECK(!view.Find({ "a" }, kStart + membership::kSilence).has_value());
}

TEST(Membership, SendsToSeedsPeersAndHintsButNotToItself)
{
  membership view = Opened();
  view.Hear(From("a", 5, 10), kStart);
  view.Hint({ { "127.0.0.1", 7 } }, kStart);
  std::vector<endpoint> expected = { { "127.0.0.1", 2 },
                                     { "127.0.0.1", 7 },
                                     { "127.0.0.1", 9 } };
  CHECK(expected == view.Targets(kStart));
  expected = { { "127.0.0.1", 9 } };
  CHECK(expected == view.Targets(kStart + std::chrono::seconds(60)));
}

TEST(Membership, AsksForAnAnswerWhenAPeerIsNew)
{
  membership view = Opened();
  CHECK(!view.TakeAnswerNow());
  view.Hear(From("a", 5, 10), kStart);
  CHECK(view.TakeAnswerNow());
  view.Hear(From("a", 5, 11), kStart);
  CHECK(!view.TakeAnswerNow());
}
