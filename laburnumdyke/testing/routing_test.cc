// Routing decisions for a table of peers, use of credits between adverts, and
// the relay ledger.
#include "laburnumdyke/decision/routing.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using std::chrono::milliseconds;

namespace {

const service_id kService{ "reports" };
const instant kStart{ std::chrono::hours(1) };

struct peer_row
{
  const char* mName;
  const char* mDomain;
  const char* mRegion;
  std::uint32_t mFree;
  int mAge = 0; // milliseconds
  bool mLeaving = false;
};

member
MemberOf(const char* aName, const char* aDomain, const char* aRegion)
{
  member one;
  one.mInstance.mValue = aName;
  one.mDomain.mValue = aDomain;
  one.mRegion.mValue = aRegion;
  return one;
}

peer
PeerOf(const peer_row& aRow)
{
  peer one;
  one.mLast.mSender = MemberOf(aRow.mName, aRow.mDomain, aRow.mRegion);
  one.mLast.mSender.mLeaving = aRow.mLeaving;
  one.mLast.mCredits = { { kService, 9, aRow.mFree } };
  one.mHeard = kStart - milliseconds(aRow.mAge);
  return one;
}

struct route_row
{
  const char* mCase;
  int mOwnFree; // below 0: not a home of the service
  std::vector<peer_row> mPeers;
  std::set<instance_id> mTried;
  std::string mExpected; // "here", "refuse" or the instance relayed to
};

std::string
Describe(const route& aRoute)
{
  if (aRoute.mStep == route_step::Relay) {
    return aRoute.mTarget.mInstance.mValue;
  }
  return aRoute.mStep == route_step::Here ? "here" : "refuse";
}

const std::vector<route_row> kRows = {
  { "own slot first", 1, { { "p", "d1", "r1", 5 } }, {}, "here" },
  { "own domain first",
    0,
    { { "far", "d3", "r2", 9 },
      { "near", "d1", "r1", 1 },
      { "mid", "d2", "r1", 9 } },
    {},
    "near" },
  { "then the region",
    -1,
    { { "far", "d3", "r2", 9 },
      { "near", "d1", "r1", 0 },
      { "mid", "d2", "r1", 1 } },
    {},
    "mid" },
  { "then others",
    0,
    { { "far", "d3", "r2", 9 }, { "near", "d1", "r1", 0 } },
    {},
    "far" },
  { "own queue before a peer's", 0, { { "p", "d1", "r1", 0 } }, {}, "here" },
  { "a peer's queue", -1, { { "p", "d1", "r1", 0 } }, {}, "p" },
  { "not the tried", -1, { { "p", "d1", "r1", 1 } }, { { "p" } }, "refuse" },
  { "not the leaving", -1, { { "p", "d1", "r1", 1, 0, true } }, {}, "refuse" },
  { "not the silent", -1, { { "p", "d1", "r1", 9, 2000 } }, {}, "refuse" },
  { "an old advert is small", 0, { { "p", "d1", "r1", 9, 1950 } }, {}, "here" },
  { "an advert of 1.5 s is half",
    0,
    { { "p", "d1", "r1", 2, 1500 } },
    {},
    "p" },
};

template<relay_choice Choice>
std::string
RunRow(const route_row& aRow)
{
  member self = MemberOf("self", "d1", "r1");
  std::vector<service_credit> own;
  if (aRow.mOwnFree >= 0) {
    own.push_back({ kService, 9, static_cast<std::uint32_t>(aRow.mOwnFree) });
  }
  std::vector<peer> peers;
  for (const peer_row& row : aRow.mPeers) {
    peers.push_back(PeerOf(row));
  }
  basic_router<Choice> router;
  return Describe(
    router.Choose({ kService, self, own, peers, aRow.mTried }, kStart));
}

} // namespace

TEST_GROUP(Routing){};

TEST_GROUP(RelayLedger){};

TEST(Routing, FollowsTheTable)
{
  for (const route_row& row : kRows) {
    STRCMP_EQUAL_TEXT(
      row.mExpected.c_str(), RunRow<most_credit>(row).c_str(), row.mCase);
    STRCMP_EQUAL_TEXT(
      row.mExpected.c_str(), RunRow<two_choices>(row).c_str(), row.mCase);
  }
}

// A slot of a peer is assumed free again after kSlotRecoveryTime without a
// report, so the relays between two adverts are closer together than that.
TEST(Routing, RelaysNoMoreThanTheAdvertisedCreditBetweenAdverts)
{
  member self = MemberOf("self", "d1", "r1");
  std::vector<service_credit> own{ { kService, 9, 0 } };
  std::vector<peer> peers{ PeerOf({ "a", "d1", "r1", 4 }),
                           PeerOf({ "b", "d1", "r1", 3 }) };
  router router;
  instant now = kStart;
  for (int advert = 0; advert < 50; ++advert) {
    std::map<std::string, int> sent;
    // Adverts are farther apart than the transit time of a request, so that
    // each gives its full credit.
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(1);
      route next = router.Choose({ kService, self, own, peers, {} }, now);
      ++sent[Describe(next)];
    }
    CHECK_EQUAL(4, sent["a"]);
    CHECK_EQUAL(3, sent["b"]);
    CHECK_EQUAL(13, sent["here"]);
    now += milliseconds(300);
    for (peer& one : peers) {
      one.mHeard = now;
    }
  }
}

TEST(Routing, APeerThatRefusedAConnectionIsNotChosenUntilItIsHeardFrom)
{
  router router;
  member self = MemberOf("self", "d1", "r1");
  std::vector<service_credit> own;
  std::vector<peer> peers{ PeerOf({ "near", "d1", "r1", 6 }),
                           PeerOf({ "far", "d2", "r1", 6 }) };
  auto next = [&](instant aNow) {
    return Describe(router.Choose({ kService, self, own, peers, {} }, aNow));
  };
  STRCMP_EQUAL("near", next(kStart).c_str());
  router.OnConnectionRefused({ "near" }, kStart);
  for (int i = 0; i < 20; ++i) {
    STRCMP_EQUAL("far", next(kStart + milliseconds(i)).c_str());
  }
  peers.front().mHeard = kStart + milliseconds(500);
  STRCMP_EQUAL("near", next(kStart + milliseconds(500)).c_str());
}

namespace {

// A home without a free slot, with one peer in its failure domain.
struct lone_peer
{
  member mSelf = MemberOf("self", "d1", "r1");
  std::vector<service_credit> mOwn{ { kService, 9, 0 } };
  std::vector<peer> mPeers{ PeerOf({ "a", "d1", "r1", 0 }) };
  router mRouter;

  std::string Choose(instant aNow)
  {
    return Describe(
      mRouter.Choose({ kService, mSelf, mOwn, mPeers, {} }, aNow));
  }

  void RecordCredits(std::uint32_t aFree, std::uint32_t aWaiting, instant aNow)
  {
    mRouter.UpdateCredits({ "a" }, { { kService, 9, aFree, aWaiting } }, aNow);
  }
};

} // namespace

TEST(Routing, AResponsesCreditReplacesAnOlderAdvert)
{
  lone_peer lone;
  STRCMP_EQUAL("here", lone.Choose(kStart).c_str());
  lone.RecordCredits(2, 0, kStart + milliseconds(1));
  STRCMP_EQUAL("a", lone.Choose(kStart + milliseconds(2)).c_str());
  STRCMP_EQUAL("a", lone.Choose(kStart + milliseconds(3)).c_str());
  STRCMP_EQUAL("here", lone.Choose(kStart + milliseconds(4)).c_str());
  lone.RecordCredits(0, 0, kStart + milliseconds(5));
  STRCMP_EQUAL("here", lone.Choose(kStart + milliseconds(6)).c_str());
}

TEST(Routing, ANewerAdvertReplacesAResponse)
{
  lone_peer lone;
  lone.RecordCredits(5, 0, kStart - milliseconds(1));
  STRCMP_EQUAL("here", lone.Choose(kStart).c_str());
}

// One relay per kSlotRecoveryTime, none once the last report is old.
TEST(Routing, OneSlotIsAssumedFreeAgainWithoutAReport)
{
  lone_peer lone;
  instant now = kStart;
  int relayed = 0;
  while (now - kStart < kAdvertMaxAge) {
    relayed += lone.Choose(now) == "a" ? 1 : 0;
    now += milliseconds(1);
  }
  LONGS_EQUAL(kAdvertFullCreditAge / kSlotRecoveryTime - 1, relayed);
}

TEST(Routing, NoSlotIsAssumedFreeWhileRequestsAreQueued)
{
  lone_peer lone;
  lone.RecordCredits(0, 1, kStart + milliseconds(1));
  STRCMP_EQUAL("here", lone.Choose(kStart + 2 * kSlotRecoveryTime).c_str());
}

TEST(Routing, NoSlotIsAssumedFreeInOtherRegions)
{
  lone_peer lone;
  lone.mPeers = { PeerOf({ "a", "d9", "r9", 0 }) };
  STRCMP_EQUAL("here", lone.Choose(kStart + 2 * kSlotRecoveryTime).c_str());
}

struct queue_row
{
  const char* mCase;
  const char* mRegion; // of the peer
  std::uint32_t mOwnWaiting;
  std::uint32_t mPeerWaiting;
  const char* mExpected;
};

const std::vector<queue_row> kQueueRows = {
  { "equal queues", "r1", 9, 9, "here" },
  { "shorter by less than a turn", "r1", 17, 9, "here" },
  { "shorter by a turn", "r1", 18, 9, "a" },
  { "longer", "r1", 9, 30, "here" },
  { "in another region", "r9", 60, 9, "here" },
};

TEST(Routing, RelaysToAShorterQueue)
{
  for (const queue_row& row : kQueueRows) {
    lone_peer lone;
    lone.mPeers = { PeerOf({ "a", "d2", row.mRegion, 0 }) };
    lone.mOwn[0].mWaiting = row.mOwnWaiting;
    lone.RecordCredits(0, row.mPeerWaiting, kStart + milliseconds(1));
    STRCMP_EQUAL_TEXT(
      row.mExpected, lone.Choose(kStart + milliseconds(2)).c_str(), row.mCase);
  }
}

TEST(RelayLedger, DropsOldEntries)
{
  relay_ledger ledger;
  ledger.RecordCredits({ "a" }, { { kService, 9, 1 } }, kStart);
  ledger.RecordRelay({ "a" }, kService, kStart);
  CHECK(ledger.ReceivedCredit({ "a" }, kService).has_value());
  CHECK(ledger.LastRelay({ "a" }, kService) == kStart);
  ledger.RecordRelay({ "b" }, kService, kStart + relay_ledger::kRetention);
  CHECK_FALSE(ledger.ReceivedCredit({ "a" }, kService).has_value());
  CHECK(ledger.LastRelay({ "a" }, kService) == instant());
  LONGS_EQUAL(0, ledger.RelaysSince({ "a" }, kService, instant()));
}
