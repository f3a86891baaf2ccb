// Placement: the order of entry instances, and which clients move when the
// fleet changes.
#include "laburnumdyke/decision/placement.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const service_id kService{ "booking" };
constexpr instant kNow{ 1000s };
constexpr wall_time kWallNow{ std::chrono::seconds(1800000000) };

member
Member(const std::string& aName, const std::string& aDomain)
{
  member made;
  made.mInstance.mValue = aName;
  made.mDomain.mValue = aDomain;
  made.mRegion.mValue = aDomain.substr(0, 1);
  made.mCaller.mPort = 80;
  return made;
}

peer
Peer(const member& aMember, std::uint32_t aFree, duration aAge = 0s)
{
  peer made;
  made.mLast.mSender = aMember;
  made.mLast.mVersion = 1;
  made.mLast.mCredits = { { kService, 6, aFree } };
  made.mHeard = kNow - aAge;
  return made;
}

// Regions a, b; domains a1, a2, b1; two instances in each.
struct fixture
{
  document mDocument;
  block_table mBlocks;
  member mSelf = Member("a1-x", "a1");
  std::vector<service_credit> mOwn{ { kService, 6, 3 } };
  std::vector<peer> mPeers;
  traffic_shifts mShifts;

  fixture()
  {
    for (const char* domain : { "a1", "a2", "b1" }) {
      mDocument.mDomains[{ domain }].mRegion.mValue = std::string(domain, 1);
      mDocument.mRegions[{ std::string(domain, 1) }].mCap = 12;
    }
    mDocument.mServices[kService].mRank = work_rank::Urgent;
    mDocument.mBlocks[{ "a1" }] = { *ParsePrefix("10.1.0.0/16") };
    mDocument.mBlocks[{ "a2" }] = { *ParsePrefix("10.2.0.0/16") };
    mDocument.mBlocks[{ "b1" }] = { *ParsePrefix("10.3.0.0/16") };
    mBlocks = block_table::Build(mDocument.mBlocks);
    for (const char* name : { "a1-y", "a2-x", "a2-y", "b1-x", "b1-y" }) {
      mPeers.push_back(Peer(Member(name, std::string(name, 2)), 3));
    }
  }

  peer& Find(const std::string& aName)
  {
    return *std::find_if(mPeers.begin(), mPeers.end(), [&](const peer& aPeer) {
      return aPeer.mLast.mSender.mInstance.mValue == aName;
    });
  }

  void Drop(const std::string& aName)
  {
    std::erase_if(mPeers, [&](const peer& aPeer) {
      return aPeer.mLast.mSender.mInstance.mValue == aName;
    });
  }

  placement_answer Place(const std::string& aClient)
  {
    placement_view view{ mDocument, mBlocks, mSelf, mPeers };
    mShifts.Observe(mDocument, LiveRegions(mSelf, mPeers), kNow);
    report_rooms rooms(view, mOwn, kNow);
    return PlaceClient(
      view, kService, *ParseAddress(aClient), rooms, mShifts, kNow, kWallNow);
  }

  // Domains in order of the choices.
  std::string Domains(const std::string& aClient)
  {
    std::string text;
    for (const entry_choice& choice : Place(aClient).mChoices) {
      text += choice.mDomain.mValue + " ";
    }
    return text;
  }
};

std::string
First(const placement_answer& aAnswer)
{
  return aAnswer.mChoices.empty() ? "none"
                                  : aAnswer.mChoices.front().mInstance.mValue;
}

} // namespace

TEST_GROUP(Placement){};

TEST(Placement, OwnDomainThenRegion)
{
  fixture one;
  CHECK_EQUAL(std::string("a1 a1 a2 a2 "), one.Domains("10.1.0.1"));
  CHECK_EQUAL(std::string("a2 a2 a1 a1 "), one.Domains("10.2.0.1"));
  CHECK_EQUAL(std::string("b1 b1 "), one.Domains("10.3.0.1"));
  // No matching block: the domain of the instance that answers.
  CHECK_EQUAL(std::string("a1 a1 a2 a2 "), one.Domains("192.0.2.1"));
  CHECK_EQUAL(20000, one.Place("10.1.0.1").mTtl.count());
}

TEST(Placement, AFullDomainIsRankedAfterOneWithRoom)
{
  fixture one;
  one.mOwn.front().mFree = 0;
  one.Find("a1-y") = Peer(Member("a1-y", "a1"), 0);
  CHECK_EQUAL(std::string("a2 a2 a1 a1 "), one.Domains("10.1.0.1"));
  for (const char* name : { "a2-x", "a2-y" }) {
    one.Find(name) = Peer(Member(name, "a2"), 0);
  }
  CHECK_EQUAL(std::string("a1 a1 a2 a2 "), one.Domains("10.1.0.1"));
}

TEST(Placement, StaleReportsKeepClientsInTheirDomain)
{
  fixture one;
  for (const char* name : { "a2-x", "a2-y" }) {
    one.Find(name) = Peer(Member(name, "a2"), 0, 2100ms);
  }
  CHECK_EQUAL(std::string("a2 a2 a1 a1 "), one.Domains("10.2.0.1"));
}

TEST(Placement, InstancesWithoutADocumentAreNotNamed)
{
  fixture one;
  one.Find("a1-y").mLast.mVersion = 0;
  CHECK_EQUAL(std::string("a1 a2 a2 "), one.Domains("10.1.0.1"));
  for (const char* name : { "b1-x", "b1-y" }) {
    one.Find(name).mLast.mVersion = 0;
  }
  CHECK_EQUAL(0U, LiveRegions(one.mSelf, one.mPeers).count({ "b" }));
  one.Find("b1-x").mLast.mVersion = 1;
  CHECK_EQUAL(1U, LiveRegions(one.mSelf, one.mPeers).count({ "b" }));
  CHECK_EQUAL(std::string("b1 "), one.Domains("10.3.0.1"));
}

TEST(Placement, LeavingAndDeadInstancesAreNotNamed)
{
  fixture one;
  one.Find("a2-x").mLast.mSender.mLeaving = true;
  one.Drop("a1-y");
  for (const char* client : { "10.1.0.1", "10.2.0.1" }) {
    for (const entry_choice& choice : one.Place(client).mChoices) {
      CHECK(choice.mInstance.mValue != "a2-x");
      CHECK(choice.mInstance.mValue != "a1-y");
    }
  }
  one.mSelf.mLeaving = true;
  CHECK_EQUAL(std::string("a2-y"), First(one.Place("10.1.0.1")));
}

TEST(Placement, ClientsOfADeadRegionAreRefusedUntilItsFailoverRamps)
{
  fixture one;
  one.Drop("b1-x");
  one.Drop("b1-y");
  placement_answer answer = one.Place("10.3.0.1");
  CHECK(answer.mChoices.empty());
  CHECK(answer.mReason == refusal_reason::RegionOverCap);
}

TEST(Placement, ARampShortensTheLookupTtl)
{
  fixture one;
  one.mDocument.mShifts["move"] = { kService, { "a" }, { "b" },
                                    50,       5,       kWallNow - 1min };
  CHECK_EQUAL(5000, one.Place("10.1.0.1").mTtl.count());
  one.mDocument.mShifts["move"].mStart = kWallNow - 1h;
  CHECK_EQUAL(20000, one.Place("10.1.0.1").mTtl.count());
}

// Only clients whose first choice was removed get another one.
TEST(Placement, RemovingAnInstanceMovesOnlyItsOwnClients)
{
  std::mt19937_64 random(7);
  fixture one;
  for (int i = 0; i < 6; ++i) {
    one.mPeers.push_back(Peer(Member("a1-" + std::to_string(i), "a1"), 3));
  }
  std::map<std::string, std::string> before;
  for (int i = 0; i < 2000; ++i) {
    std::string client = "10.1." + std::to_string(random() % 256) + "." +
                         std::to_string(random() % 256);
    before[client] = First(one.Place(client));
  }
  CHECK(before.size() > 1900);
  std::map<std::string, int> counts;
  for (const std::pair<const std::string, std::string>& entry : before) {
    ++counts[entry.second];
  }
  CHECK_EQUAL(8u, counts.size());
  for (const std::pair<const std::string, int>& entry : counts) {
    CHECK(entry.second > 180 && entry.second < 320);
  }
  one.Drop("a1-3");
  for (const std::pair<const std::string, std::string>& entry : before) {
    std::string after = First(one.Place(entry.first));
    CHECK(after != "a1-3");
    CHECK(entry.second == "a1-3" || after == entry.second);
  }
}

TEST(Placement, BlockTableFollowsTheDocument)
{
  fixture one;
  document next = one.mDocument;
  block_list::container& blocks = next.mBlocks[{ "b1" }].Edit();
  blocks.insert(blocks.begin(), *ParsePrefix("10.1.2.0/24"));
  block_table table = UpdateBlocks(one.mBlocks, &one.mDocument, next);
  CHECK_EQUAL(std::string("b1"),
              table.Find(*ParseAddress("10.1.2.3"))->mDomain.mValue);
  table = UpdateBlocks(block_table(), nullptr, next);
  CHECK_EQUAL(4u, table.Size());
}
