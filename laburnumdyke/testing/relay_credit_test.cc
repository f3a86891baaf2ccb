// Credit of peers less what was handed to them since their adverts.
#include "laburnumdyke/decision/relay_credit.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

const service_id kService{ "report" };

peer
MakePeer(const std::string& aName,
         std::uint64_t aIncarnation,
         std::uint64_t aSequence,
         std::uint32_t aFree)
{
  peer made;
  made.mLast.mSender.mInstance = { aName };
  made.mLast.mSender.mIncarnation = aIncarnation;
  made.mLast.mSequence = aSequence;
  made.mLast.mCredits = { { kService, 3, aFree } };
  return made;
}

} // namespace

TEST_GROUP(RelayCredit){};

TEST(RelayCredit, HandedRequestsCountUntilTheNextAdvert)
{
  struct row
  {
    std::uint64_t mIncarnation;
    std::uint64_t mSequence;
    std::uint32_t mFree;
  };
  relay_credit credit;
  credit.Adjust({ MakePeer("a", 1, 1, 3) });
  credit.CountRelay({ "a" }, kService);
  credit.CountRelay({ "a" }, kService);
  credit.CountRelay({ "a" }, { "other" });
  for (const row& each :
       { row{ 1, 1, 1 }, { 1, 1, 1 }, { 1, 2, 3 }, { 2, 2, 3 } }) {
    std::vector<peer> adjusted =
      credit.Adjust({ MakePeer("a", each.mIncarnation, each.mSequence, 3) });
    LONGS_EQUAL(each.mFree, adjusted.at(0).mLast.mCredits.at(0).mFree);
  }
}

TEST(RelayCredit, CountBeyondTheCreditLeavesNone)
{
  relay_credit credit;
  std::vector<peer> peers = { MakePeer("a", 1, 1, 1) };
  credit.Adjust(peers);
  credit.CountRelay({ "a" }, kService);
  credit.CountRelay({ "a" }, kService);
  LONGS_EQUAL(0, credit.Adjust(peers).at(0).mLast.mCredits.at(0).mFree);
}

TEST(RelayCredit, EqualPeersTakeTurns)
{
  relay_credit credit;
  std::map<std::string, int> first;
  for (int i = 0; i < 30; ++i) {
    std::vector<peer> adjusted = credit.Adjust({ MakePeer("a", 1, 1, 0),
                                                 MakePeer("b", 1, 1, 0),
                                                 MakePeer("c", 1, 1, 0) });
    ++first[adjusted.at(0).mLast.mSender.mInstance.mValue];
  }
  LONGS_EQUAL(10, first["a"]);
  LONGS_EQUAL(10, first["b"]);
  LONGS_EQUAL(10, first["c"]);
}
