// Which heartbeats are accepted, full and delta heartbeats, and where they go.
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
OpenMembership()
{
  member self;
  self.mInstance.mValue = "self";
  self.mDomain.mValue = "d";
  self.mPeer = { "127.0.0.1", 1 };
  membership instance;
  instance.Open(self, { { "127.0.0.1", 1 }, { "127.0.0.1", 9 } });
  return instance;
}

struct hear_row
{
  const char* mCase;
  int mAfter; // milliseconds since (incarnation 5, sequence 10) was heard
  std::uint64_t mIncarnation;
  std::uint64_t mSequence;
  bool mAccepted;
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

member
MemberAt(const char* aName,
         std::uint64_t aIncarnation,
         std::uint16_t aPort,
         const char* aDomain)
{
  member one;
  one.mInstance.mValue = aName;
  one.mIncarnation = aIncarnation;
  one.mDomain.mValue = aDomain;
  one.mPeer = { "127.0.0.1", aPort };
  return one;
}

constexpr std::uint16_t kNearPort = 1;
constexpr std::uint16_t kFarPort = 2;
const char* const kContentHash = "hash-of-7";

// Two instances. A test composes each message and then delivers or loses it.
struct pair_of_instances
{
  explicit pair_of_instances(const char* aFarDomain)
  {
    mNear.Open(MemberAt("near", 5, kNearPort, "d"), { Far() });
    mFar.Open(MemberAt("far", 5, kFarPort, aFarDomain), { Near() });
  }

  static endpoint Near() { return { "127.0.0.1", kNearPort }; }
  static endpoint Far() { return { "127.0.0.1", kFarPort }; }

  static heartbeat Make(membership& aFrom,
                        const std::vector<service_credit>& aCredits,
                        instant aNow)
  {
    heartbeat full = aFrom.Compose(aNow);
    full.mVersion = 7;
    full.mContentHash = kContentHash;
    full.mCredits = aCredits;
    std::vector<addressed_heartbeat> sent = aFrom.Address(full, aNow);
    CHECK_EQUAL(1u, sent.size());
    return sent.front().mMessage;
  }

  heartbeat FromNear() { return Make(mNear, mCredits, mNow); }
  heartbeat FromFar() { return Make(mFar, {}, mNow); }

  void Exchange()
  {
    mNow += membership::kPeriod;
    heartbeat fromNear = FromNear();
    mFar.ReceiveHeartbeat(fromNear, mNow);
    mNear.ReceiveHeartbeat(FromFar(), mNow);
  }

  heartbeat NearAsSeen() const { return mFar.Find({ "near" }, mNow)->mLast; }

  membership mNear;
  membership mFar;
  std::vector<service_credit> mCredits = { { { "reports" }, 9, 4 } };
  instant mNow = kStart;
};

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, AcceptsHeartbeatsByTheTable)
{
  for (const hear_row& row : kRows) {
    membership view = OpenMembership();
    CHECK(view.ReceiveHeartbeat(From("a", 5, 10), kStart));
    bool accepted =
      view.ReceiveHeartbeat(From("a", row.mIncarnation, row.mSequence),
                            kStart + milliseconds(row.mAfter));
    CHECK_EQUAL_TEXT(row.mAccepted, accepted, row.mCase);
  }
}

TEST(Membership, IgnoresItsOwnName)
{
  membership view = OpenMembership();
  CHECK(!view.ReceiveHeartbeat(From("self", 5, 10), kStart));
}

TEST(Membership, CountsSilentPeersAsDead)
{
  membership view = OpenMembership();
  view.ReceiveHeartbeat(From("a", 5, 10), kStart);
  CHECK_EQUAL(1u, view.Live(kStart + milliseconds(2499)).size());
  CHECK(view.Live(kStart + membership::kPeerTimeout).empty());
  CHECK(!view.Find({ "a" }, kStart + membership::kPeerTimeout).has_value());
}

TEST(Membership, SendsToSeedsPeersAndHintsButNotToItself)
{
  membership view = OpenMembership();
  view.ReceiveHeartbeat(From("a", 5, 10), kStart);
  view.AddHints({ { "127.0.0.1", 7 } }, kStart);
  std::vector<endpoint> expected = { { "127.0.0.1", 2 },
                                     { "127.0.0.1", 7 },
                                     { "127.0.0.1", 9 } };
  CHECK(expected == view.Targets(kStart));
  expected = { { "127.0.0.1", 9 } };
  CHECK(expected == view.Targets(kStart + std::chrono::seconds(60)));
}

TEST(Membership, SendsAtOnceWhenAPeerIsNew)
{
  membership view = OpenMembership();
  CHECK(!view.TakeSendNow());
  view.ReceiveHeartbeat(From("a", 5, 10), kStart);
  CHECK(view.TakeSendNow());
  view.ReceiveHeartbeat(From("a", 5, 11), kStart);
  CHECK(!view.TakeSendNow());
}

TEST(Membership, SendsFullHeartbeatsUntilAcknowledgedThenDeltas)
{
  for (const char* domain : { "d", "other" }) {
    pair_of_instances pair(domain);
    CHECK(!pair.FromNear().mDeltaSender);
    pair.Exchange();
    heartbeat delta = pair.FromNear();
    CHECK(delta.mDeltaSender.has_value());
    CHECK(delta.mSameDocument && delta.mSameCredits);
    CHECK(delta.mContentHash.empty() && delta.mCredits.empty());
    CHECK(delta.mSender.mInstance.mValue.empty());
    CHECK_EQUAL(1u, delta.mLease.mAcks.size());
    CHECK(pair.mFar.ReceiveHeartbeat(delta, pair.mNow));
    CHECK_EQUAL(std::string(kContentHash), pair.NearAsSeen().mContentHash);
    CHECK_EQUAL(7u, pair.NearAsSeen().mVersion);
    CHECK_EQUAL(4u, pair.NearAsSeen().mCredits.at(0).mFree);
    CHECK(pair.NearAsSeen().mSender.mPeer == pair_of_instances::Near());
  }
}

TEST(Membership, RepeatsAPartUntilItIsAcknowledged)
{
  pair_of_instances pair("other");
  pair.Exchange();
  pair.mCredits = { { { "reports" }, 9, 1, 5 } };
  CHECK_EQUAL(1u, pair.FromNear().mLoad.at(0)); // lost
  heartbeat late = pair.FromNear();
  CHECK_EQUAL(1u, late.mLoad.at(0));
  heartbeat next = pair.FromNear();
  CHECK(pair.mFar.ReceiveHeartbeat(next, pair.mNow));
  CHECK(!pair.mFar.ReceiveHeartbeat(late, pair.mNow)); // overtaken
  CHECK_EQUAL(1u, pair.NearAsSeen().mCredits.at(0).mFree);
  CHECK_EQUAL(5u, pair.NearAsSeen().mCredits.at(0).mWaiting);
  pair.mNear.ReceiveHeartbeat(pair.FromFar(), pair.mNow);
  CHECK(pair.FromNear().mLoad.empty());
  pair.mCredits = { { { "reports" }, 12, 1 }, { { "search" }, 3, 2 } };
  heartbeat changed = pair.FromNear();
  CHECK(!changed.mSameCredits);
  CHECK(pair.mFar.ReceiveHeartbeat(changed, pair.mNow));
  CHECK_EQUAL(2u, pair.NearAsSeen().mCredits.size());
}

TEST(Membership, IgnoresADeltaForAnEarlierProcessAtItsAddress)
{
  pair_of_instances pair("d");
  pair.Exchange();
  for (const char* name : { "far", "replacement" }) {
    membership replacement;
    replacement.Open(MemberAt(name, 6, kFarPort, "d"), {});
    heartbeat delta = pair.FromNear();
    CHECK(delta.mDeltaSender.has_value());
    CHECK(!replacement.ReceiveHeartbeat(delta, pair.mNow));
    CHECK(!replacement.Find({ "near" }, pair.mNow).has_value());
  }
}

TEST(Membership, IgnoresADeltaOfAKnownSenderForAnEarlierProcess)
{
  pair_of_instances pair("d");
  heartbeat full = pair.FromNear(); // delivered late, to the replacement
  pair.Exchange();
  membership replacement;
  replacement.Open(MemberAt("far", 6, kFarPort, "d"), {});
  CHECK(replacement.ReceiveHeartbeat(full, pair.mNow));
  heartbeat delta = pair.FromNear();
  CHECK(delta.mDeltaSender.has_value());
  CHECK(!replacement.ReceiveHeartbeat(delta, pair.mNow));
}

TEST(Membership,
     ReportsHoldingsUntilAcknowledgedAndRequestsInFlightOnceItLeaves)
{
  pair_of_instances pair("d");
  std::map<upstream_id, upstream_limits> limits;
  for (const char* name : { "u1", "u2", "u3", "u4" }) {
    limits[{ name }] = { 3, milliseconds(1000) };
  }
  std::vector<home_claim> homes;
  for (int i = 0; i < 20 && homes.empty(); ++i) {
    pair.Exchange();
    homes = pair.mNear.Lease().UpdateClaims(limits, pair.mNow);
  }
  CHECK(!homes.empty());
  for (int lost = 0; lost < 2; ++lost) {
    heartbeat delta = pair.FromNear();
    CHECK(delta.mDeltaSender.has_value());
    CHECK(!delta.mLease.mSameHoldings);
    CHECK_EQUAL(homes.size(), delta.mLease.mReports.size());
    CHECK(delta.mLease.mReports.front().mHolding);
  }
  pair.Exchange();
  CHECK(pair.mNear.Lease().MayDispatch(homes.front().mUpstream, pair.mNow));
  CHECK(pair.FromNear().mLease.mSameHoldings);
  CHECK(pair.FromNear().mLease.mReports.empty());
  CHECK(pair.mNear.Lease().BeginDispatch(
    homes.front().mUpstream, 1, pair.mNow + milliseconds(900), pair.mNow));
  CHECK(pair.FromNear().mLease.mReports.empty());
  pair.mNear.BeginLeaving(pair.mNow);
  heartbeat leaving = pair.FromNear();
  CHECK(leaving.mSender.mLeaving);
  CHECK_EQUAL(1u, leaving.mLease.mReports.size());
  CHECK_EQUAL(1u, leaving.mLease.mReports.front().mOccupied);
  CHECK(!leaving.mLease.mReports.front().mHolding);
}

TEST(Membership, SendsFullHeartbeatsToTheLatestProcessAtAnAddress)
{
  pair_of_instances pair("d");
  pair.Exchange();
  pair.mFar = membership();
  pair.mFar.Open(MemberAt("replacement", 1, kFarPort, "d"),
                 { pair_of_instances::Near() });
  pair.mNow += milliseconds(1);
  pair.mNear.ReceiveHeartbeat(pair.FromFar(), pair.mNow);
  heartbeat answer = pair.FromNear();
  CHECK(!answer.mDeltaSender);
  CHECK(pair.mFar.ReceiveHeartbeat(answer, pair.mNow));
  pair.mNear.ReceiveHeartbeat(pair.FromFar(), pair.mNow);
  CHECK(pair.FromNear().mDeltaSender.has_value());
}

TEST(Membership, DoesNotJoinWhileDeltasComeFromAnUnknownSender)
{
  pair_of_instances pair("d");
  pair.Exchange();
  heartbeat stray = pair.FromNear();
  membership replacement;
  replacement.Open(MemberAt("far", 6, kFarPort, "d"), {});
  std::map<upstream_id, upstream_limits> limits{ { { "u" }, { 1, {} } } };
  instant last = pair.mNow + milliseconds(3000);
  while (pair.mNow < last + home_lease::kTakeoverDelay) {
    CHECK(replacement.Lease().UpdateClaims(limits, pair.mNow).empty());
    replacement.Compose(pair.mNow);
    if (pair.mNow <= last) {
      replacement.ReceiveHeartbeat(stray, pair.mNow);
    }
    pair.mNow += milliseconds(500);
  }
  CHECK_EQUAL(1u, replacement.Lease().UpdateClaims(limits, pair.mNow).size());
}

TEST(Membership, RecoversWithinOneExchangeAfterAPeerTimedOut)
{
  pair_of_instances pair("d");
  pair.Exchange();
  // Heartbeats of near are lost until far counts it as dead; those of far
  // arrive.
  for (int i = 0; i < 6; ++i) {
    pair.mNow += membership::kPeriod;
    pair.mNear.ReceiveHeartbeat(pair.FromFar(), pair.mNow);
  }
  heartbeat afterwards = pair.FromNear();
  CHECK(!afterwards.mDeltaSender);
  CHECK(pair.mFar.ReceiveHeartbeat(afterwards, pair.mNow));
  CHECK(pair.mFar.Find({ "near" }, pair.mNow).has_value());
}

TEST(Membership, CountsADeltaAsLostIfItsSenderHasTimedOut)
{
  pair_of_instances pair("d");
  pair.Exchange();
  heartbeat delayed = pair.FromNear();
  for (int i = 0; i < 6; ++i) {
    pair.mNow += membership::kPeriod;
    pair.FromFar(); // lost
  }
  CHECK(delayed.mDeltaSender.has_value());
  CHECK(!pair.mFar.ReceiveHeartbeat(delayed, pair.mNow));
  pair.mNear.ReceiveHeartbeat(pair.FromFar(), pair.mNow);
  heartbeat next = pair.FromNear();
  CHECK(!next.mDeltaSender);
  CHECK(pair.mFar.ReceiveHeartbeat(next, pair.mNow));
}

TEST(Membership, NamesAKnownAddressInSomeDeltas)
{
  pair_of_instances pair("d");
  pair.Exchange();
  std::uint64_t named = 0;
  for (std::uint64_t i = 0; i < 2 * membership::kKnownAddressEvery; ++i) {
    heartbeat delta = pair.FromNear();
    CHECK(delta.mDeltaSender.has_value());
    named += delta.mKnownPeers.size();
  }
  CHECK_EQUAL(2u, named);
}
