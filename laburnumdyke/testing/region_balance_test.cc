// The division of demand among regions, and replays of fleets whose regions
// have unequal numbers of upstreams.
#include "laburnumdyke/decision/region_balance.h"

#include "laburnumdyke/testing/harness/load_replay.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(RegionBalance){};

TEST(RegionBalance, WhatARegionHasTooLittleOfLeavesIt)
{
  std::map<region_id, region_capacity> capacities = {
    { { "east" }, { 24, 10 } },
    { { "west" }, { 6, 10 } },
    { { "north" }, { 18, 10 } },
  };
  region_balance east(capacities, { "east" });
  region_balance west(capacities, { "west" });
  region_balance north(capacities, { "north" });
  DOUBLES_EQUAL(0, east.RemoteShare(), 1e-9);
  DOUBLES_EQUAL(0.625, west.RemoteShare(), 1e-9);
  DOUBLES_EQUAL(0, north.RemoteShare(), 1e-9);
  // Spare slots: 8 of 24 and 2 of 18.
  DOUBLES_EQUAL(1.0 / 3, west.Weight({ "east" }), 1e-9);
  DOUBLES_EQUAL(1.0 / 9, west.Weight({ "north" }), 1e-9);
  DOUBLES_EQUAL(region_balance::kMinWeight, east.Weight({ "west" }), 1e-9);
}

TEST(RegionBalance, WithoutKnownDemandElsewhereNothingLeaves)
{
  region_id own{ "east" };
  for (const region_balance& balance :
       { region_balance(),
         region_balance({}, own),
         region_balance({ { own, { 1, 5 } }, { { "west" }, { 9, 0 } } }, own),
         region_balance({ { own, { 0, 5 } }, { { "west" }, { 0, 5 } } },
                        own) }) {
    DOUBLES_EQUAL(0, balance.RemoteShare(), 0);
    DOUBLES_EQUAL(1, balance.Weight({ "west" }), 0);
    CHECK_FALSE(balance.IsAssignedRemotely("1"));
  }
}

TEST(RegionBalance, AGrowingShareOnlyAddsObjects)
{
  auto balanceWith = [](double aSlots) {
    return region_balance(
      { { { "east" }, { aSlots, 1 } }, { { "west" }, { 10, 1 } } }, { "east" });
  };
  region_balance less = balanceWith(5);
  region_balance more = balanceWith(2);
  int assigned = 0;
  for (int i = 0; i < 1000; ++i) {
    std::string object = std::to_string(i);
    CHECK(!less.IsAssignedRemotely(object) || more.IsAssignedRemotely(object));
    assigned += more.IsAssignedRemotely(object) ? 1 : 0;
  }
  DOUBLES_EQUAL(1000 * more.RemoteShare(), assigned, 50);
  region_balance most = balanceWith(0);
  DOUBLES_EQUAL(1, most.RemoteShare(), 0);
  CHECK(most.IsAssignedRemotely("1"));
  CHECK_FALSE_TEXT(most.IsAssignedRemotely(""), "no object");
}

namespace {

// Three regions of equal demand; one has an eighth of the upstreams.
std::vector<replay_region>
UnequalRegions(double aPerSecond)
{
  return { { "east", 8, 16, aPerSecond },
           { "west", 8, 4, aPerSecond },
           { "north", 8, 12, aPerSecond } };
}

double
OnTimePart(load_replay& aReplay, const std::string& aRegion)
{
  const replay_result& result = aReplay.Result(aRegion);
  return static_cast<double>(result.mOnTime) / result.All();
}

} // namespace

TEST_GROUP(RegionReplay){};

// The first seconds, when nothing is cached: the region with few upstreams has
// several times the demand that they can serve.
TEST(RegionReplay, CallersOfARegionWithFewUpstreamsAreServedLikeOthers)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay(UnequalRegions(100), seed);
    replay.Run(6s);
    double best =
      std::max(OnTimePart(replay, "east"), OnTimePart(replay, "north"));
    CHECK_TEXT(OnTimePart(replay, "west") >= 0.8 * best,
               StringFromFormat("%f of %f", OnTimePart(replay, "west"), best)
                 .asCharString());
  }
}

// SHIFT: a burst in the first seconds, when nothing is cached and no load is
// known, and one when everything is.
TEST(RegionReplay, InABurstThePlaceOfServedRequestsMovesWithinTheBound)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    for (std::chrono::milliseconds begin : { 500ms, 15000ms }) {
      load_replay replay(UnequalRegions(80), seed);
      replay.SetBurst(kReplayStart + begin, 6s, 2.5);
      replay.Run(25s);
      for (const char* region : { "east", "west", "north" }) {
        double moved = replay.GreatestShift(region, 2s);
        CHECK_TEXT(moved <= region_spillover_options().mMostShift,
                   StringFromFormat("%s %f", region, moved).asCharString());
      }
    }
  }
}
