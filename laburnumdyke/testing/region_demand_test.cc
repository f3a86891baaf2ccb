// The division of requests among regions by measured demand: the decision, and
// replays of fleets whose demand moves between regions.
#include "laburnumdyke/decision/demand_steering.h"

#include "laburnumdyke/testing/harness/load_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSeeds = 5;
constexpr std::chrono::seconds kReplayTime{ 60 };
const char* const kRegions[] = { "east", "west", "north" };

// Three regions of equal mean demand; one has an eighth of the upstreams.
std::vector<replay_region>
UnequalRegions()
{
  return { { "east", 8, 16, 100 },
           { "west", 8, 4, 100 },
           { "north", 8, 12, 100 } };
}

double
Wave(const std::string& aRegion, instant aNow)
{
  double phase = aRegion == "west" ? 1.0 / 3 : aRegion == "north" ? 2.0 / 3 : 0;
  double periods = std::chrono::duration<double>(aNow - kReplayStart) / 36s;
  return 1 + 0.55 * std::sin(2 * std::numbers::pi * (periods + phase));
}

// Callers move to the region with few upstreams and stay.
double
MoveToWest(const std::string& aRegion, instant aNow)
{
  if (aNow < kReplayStart + 10s) {
    return 1;
  }
  return aRegion == "west" ? 2.2 : 0.4;
}

// Callers move away from it for a while.
double
MoveFromWest(const std::string& aRegion, instant aNow)
{
  bool isMoved = aNow >= kReplayStart + 15s && aNow < kReplayStart + 30s;
  return !isMoved ? 1 : aRegion == "west" ? 0.5 : aRegion == "east" ? 1.5 : 1;
}

double
BurstInWest(const std::string& aRegion, instant aNow)
{
  bool isBurst = aNow >= kReplayStart + 15s && aNow < kReplayStart + 21s;
  return isBurst && aRegion == "west" ? 2 : 1;
}

using demand_loss = std::function<bool(const region_id&, instant)>;

// Exchanges the demand of instances. Sums arrive two reports late; those of a
// region are missing while aIsLost says so. Both sides of a cut lack a region.
load_replay::instance_step
Exchange(demand_loss aIsLost)
{
  std::shared_ptr<std::deque<demand_totals>> past =
    std::make_shared<std::deque<demand_totals>>();
  return [past, aIsLost](std::deque<upstream_steering>& aInstances,
                         const std::vector<instance_location>& aFleet,
                         instant aNow) {
    demand_totals totals;
    for (std::size_t i = 0; i < aInstances.size(); ++i) {
      demand_report& region = totals[aFleet[i].mRegion];
      ++region.mReporters;
      for (const demand_list::value_type& each :
           aInstances[i].Demand().Report(aNow)) {
        region.mDemand[each.first] += each.second;
      }
    }
    std::erase_if(totals, [&](const demand_totals::value_type& aRegion) {
      return aIsLost && aIsLost(aRegion.first, aNow);
    });
    past->push_back(std::move(totals));
    if (past->size() > 2) {
      for (upstream_steering& instance : aInstances) {
        instance.Demand().SetTotals(past->front(), aNow);
      }
      past->pop_front();
    }
  };
}

struct fleet_figures
{
  double mOnTime = 0;    // part of all requests
  double mMeanTime = 0;  // of served requests, in seconds
  double mMostShift = 0; // in any region and seed
};

fleet_figures
Replay(const load_replay::rate_factor& aRates,
       uneven_load aUnevenLoad,
       const demand_loss& aIsLost = nullptr)
{
  fleet_figures figures;
  double all = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    load_replay replay(
      UnequalRegions(), seed, learned_speed::Reported, aUnevenLoad);
    replay.SetRateFactor(aRates);
    replay.SetStep(kDemandPeriod, Exchange(aIsLost));
    replay.Run(kReplayTime);
    for (const char* region : kRegions) {
      double shift = replay.GreatestShift(region, 2s);
      figures.mMostShift = std::max(figures.mMostShift, shift);
      figures.mOnTime += replay.Result(region).mOnTime;
      all += replay.Result(region).All();
      figures.mMeanTime +=
        std::chrono::duration<double>(replay.MeanTime(region)).count() /
        (kSeeds * std::size(kRegions));
    }
  }
  figures.mOnTime /= all;
  return figures;
}

void
CheckShift(const char* aWhat, const fleet_figures& aFigures)
{
  CHECK_TEXT(
    aFigures.mMostShift <= region_spillover_options().mMostShift,
    StringFromFormat("%s: %f", aWhat, aFigures.mMostShift).asCharString());
}

// The figures by count and by measured demand, for the design note.
void
Print(const char* aWhat, const fleet_figures& aFigures)
{
  UT_PRINT(StringFromFormat("%s: on time %.4f, mean %.3f s, most shift %.3f",
                            aWhat,
                            aFigures.mOnTime,
                            aFigures.mMeanTime,
                            aFigures.mMostShift));
}

} // namespace

TEST_GROUP(DemandReplay){};

// Failed before: callers of the region with few upstreams were refused, since
// the count of instances sends too little away.
TEST(DemandReplay, CallersThatMoveToARegionWithFewUpstreamsAreServed)
{
  fleet_figures counted = Replay(MoveToWest, uneven_load::Never);
  fleet_figures measured = Replay(MoveToWest, uneven_load::Always);
  Print("moved to west, counted", counted);
  Print("moved to west, measured", measured);
  CheckShift("measured", measured);
  CHECK(measured.mOnTime >= counted.mOnTime + 0.015);
}

// SHIFT, failed before: in waves, the change of the share that leaves and that
// of what requests prefer exceeded the bound together.
TEST(DemandReplay, InWavesRequestsMoveWithinTheBound)
{
  fleet_figures counted = Replay(Wave, uneven_load::Never);
  fleet_figures measured = Replay(Wave, uneven_load::Always);
  Print("waves, counted", counted);
  Print("waves, measured", measured);
  CheckShift("measured", measured);
  CHECK(measured.mOnTime >= counted.mOnTime - 0.015);
}

TEST(DemandReplay, CallersThatMoveAwayAndReturnMoveWithinTheBound)
{
  fleet_figures counted = Replay(MoveFromWest, uneven_load::Never);
  fleet_figures measured = Replay(MoveFromWest, uneven_load::Always);
  Print("moved from west, counted", counted);
  Print("moved from west, measured", measured);
  CheckShift("measured", measured);
  CHECK(measured.mOnTime >= counted.mOnTime - 0.01);
}

TEST(DemandReplay, ABurstInARegionMovesWithinTheBound)
{
  fleet_figures counted = Replay(BurstInWest, uneven_load::Never);
  fleet_figures measured = Replay(BurstInWest, uneven_load::Always);
  Print("burst, counted", counted);
  Print("burst, measured", measured);
  CheckShift("measured", measured);
  CHECK(measured.mOnTime >= counted.mOnTime - 0.01);
}

// A cut, and a return, change the target of all regions at once.
TEST(DemandReplay, ARegionThatIsCutOffAndReturnsMovesWithinTheBound)
{
  fleet_figures cut = Replay(MoveToWest,
                             uneven_load::Always,
                             [](const region_id& aRegion, instant aNow) {
                               return aRegion.mValue == "west" &&
                                      aNow >= kReplayStart + 25s &&
                                      aNow < kReplayStart + 40s;
                             });
  Print("cut off", cut);
  CheckShift("cut off", cut);
}

TEST(DemandReplay, LostSumsMoveWithinTheBound)
{
  fleet_figures lost =
    Replay(MoveToWest, uneven_load::Always, [](const region_id&, instant aNow) {
      return aNow >= kReplayStart + 25s && aNow < kReplayStart + 40s;
    });
  Print("lost sums", lost);
  CheckShift("lost sums", lost);
}

// Services whose upstreams do not report how long work takes are steered as
// before.
TEST(DemandReplay, WithoutReportedWorkNothingChanges)
{
  for (const load_replay::rate_factor& rates :
       { load_replay::rate_factor(Wave),
         load_replay::rate_factor(MoveToWest) }) {
    fleet_figures never = Replay(rates, uneven_load::Never);
    fleet_figures automatic = Replay(rates, uneven_load::Auto);
    DOUBLES_EQUAL(never.mOnTime, automatic.mOnTime, 0);
    DOUBLES_EQUAL(never.mMeanTime, automatic.mMeanTime, 0);
    DOUBLES_EQUAL(never.mMostShift, automatic.mMostShift, 0);
  }
}

TEST_GROUP(DemandDivision)
{
  const service_id mService{ "sheets" };
  const region_id mEast{ "east" };
  const region_id mWest{ "west" };
  const instant mNow = kReplayStart;
  const region_slots mSlots = { { mEast, 30 }, { mWest, 10 } };
  demand_division mDivision;

  void setup() override
  {
    mDivision.SetFleet({ { mEast, 4 }, { mWest, 4 } });
  }

  // Sums of aReporters instances of west, and of all of east.
  void Report(double aEast, double aWest, std::uint32_t aReporters, instant aAt)
  {
    mDivision.SetTotals(
      { { mEast, { 4, { { KeyOf(mService), aEast } } } },
        { mWest, { aReporters, { { KeyOf(mService), aWest } } } } },
      aAt);
  }

  double Away(instant aAt)
  {
    return Divide(mDivision.Capacities(mService, mSlots, aAt), mWest).mAway;
  }
};

// 50 of 100 requests per second for a quarter of the slots, then 75.
TEST(DemandDivision, FollowsDemandAndReturnsToTheCountOfInstances)
{
  DOUBLES_EQUAL(0.5, Away(mNow), 1e-9); // by count
  Report(25, 75, 4, mNow);
  DOUBLES_EQUAL(1 - 0.25 * 125 / 75, Away(mNow), 1e-9); // east: by count yet
  instant later = mNow + held_peak::kHold + 10s;
  Report(25, 75, 4, later);
  DOUBLES_EQUAL(1 - 0.25 * 100 / 75, Away(later), 1e-9);
  CHECK(mDivision.Age(later + 1s) == duration(1s));
  CHECK_FALSE(mDivision.Age(later + 9s).has_value());
  DOUBLES_EQUAL(0.5, Away(later + 9s), 1e-9);
}

// An instance that starts, or doesn't report, must not make its region look
// idle; nor may a region of which too little is known.
TEST(DemandDivision, MissingReportersAreAccountedFor)
{
  Report(50, 37.5, 3, mNow);
  DOUBLES_EQUAL(0.5, Away(mNow), 1e-9);
  CHECK(mDivision.Age(mNow).has_value());
  Report(50, 25, 2, mNow + 1s);
  CHECK_FALSE(mDivision.Age(mNow + 1s).has_value());
  mDivision.SetTotals({ { mWest, { 4, { { KeyOf(mService), 90 } } } } },
                      mNow + 2s);
  CHECK_FALSE(mDivision.Age(mNow + 2s).has_value());
}

// A wave that the division followed would move objects to and fro.
TEST(DemandDivision, APeakIsHeldForAWave)
{
  held_peak peak;
  peak.Add(9, mNow);
  for (int second = 1; second <= 60; ++second) {
    peak.Add(4, mNow + std::chrono::seconds(second));
  }
  DOUBLES_EQUAL(4, peak.At(mNow + 60s), 0);
  peak.Add(9, mNow + 61s);
  peak.Add(4, mNow + 100s);
  DOUBLES_EQUAL(9, peak.At(mNow + 100s), 0);
}

TEST(DemandDivision, SilentReportersAreDropped)
{
  demand_collector collector;
  demand_list demand = { { KeyOf(mService), 5 } };
  collector.ReportInstance({ "one" }, demand, mNow);
  collector.ReportInstance({ "two" }, demand, mNow + 2s);
  collector.ReportDomain({ "west-a" }, mWest, { 3, demand }, mNow + 2s);
  demand_totals totals = collector.FleetDemand(mEast, mNow + 2s);
  CHECK_EQUAL(2u, totals.at(mEast).mReporters);
  DOUBLES_EQUAL(10, totals.at(mEast).mDemand.at(KeyOf(mService)), 1e-9);
  CHECK_EQUAL(3u, totals.at(mWest).mReporters);
  totals = collector.FleetDemand(mEast, mNow + 4s);
  CHECK_EQUAL(1u, totals.at(mEast).mReporters);
  CHECK(collector.FleetDemand(mEast, mNow + 10s).count(mWest) == 0);
}
