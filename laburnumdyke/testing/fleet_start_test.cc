// Fleet-wide bounds that must hold while instances that start together don't
// know each other yet.
#include "laburnumdyke/decision/cold_start_limiter.h"
#include "laburnumdyke/decision/fleet_budget.h"
#include "laburnumdyke/decision/fleet_view.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kStartingInstances = 117;
const instant kFleetStart = instant() + 1h;

std::vector<fleet_view>
StartingFleet()
{
  std::vector<fleet_view> fleet;
  for (std::size_t i = 0; i < kStartingInstances; ++i) {
    fleet_options options;
    options.mSelf.mInstance = { "i" + std::to_string(i) };
    options.mSelf.mIncarnation = 1;
    options.mSelf.mRegion = { i % 3 == 0 ? "near" : "far" };
    fleet.emplace_back(options);
  }
  return fleet;
}

} // namespace

TEST_GROUP(FleetStart){};

// Guards against a flood of requests to a cold upstream: an instance that knows
// no other takes itself for one of the few that may send to it. Seen as
// violations of the rule FAILBACK.
TEST(FleetStart, InstancesThatStartTogetherDontFloodAColdUpstream)
{
  constexpr double kRate = 3.6; // requests a second
  cold_start_limiter_options options;
  options.mSlack = 8;
  double sent = 0;
  for (const fleet_view& view : StartingFleet()) {
    options.mSelf = view.Self().mInstance;
    cold_start_limiter gate(options);
    gate.SetFleet(view.InstanceLocations());
    for (instant now = kFleetStart; now < kFleetStart + 1s; now += 50ms) {
      if (gate.MaySend({ "u" }, { "near" }, kRate, now)) {
        gate.RecordSend({ "u" }, now);
        ++sent;
      }
    }
  }
  CHECK(sent <= kRate * options.mOvershoot + options.mSlack);
}

TEST(FleetStart, ARestartedInstanceKnowsTheFleetAtOnce)
{
  fleet_options options;
  options.mSelf.mInstance = { "one" };
  options.mSelf.mIncarnation = 2;
  fleet_view view(options);
  fleet_member earlier = options.mSelf;
  earlier.mIncarnation = 1;
  fleet_member other = earlier;
  other.mInstance = { "two" };
  view.Replace({ other });
  view.CountReading(false);
  LONGS_EQUAL(0, view.InstanceLocations().size());
  view.Replace({ earlier, other });
  view.CountReading(false);
  LONGS_EQUAL(2, view.InstanceLocations().size());
}

// Guards against the same cause: an instance that knows no other spends mExtra,
// the extra retries of the whole fleet, alone.
TEST(FleetStart, InstancesThatStartTogetherDontEachSpendTheFleetsExtraRetries)
{
  fleet_budget_options options;
  options.mExtra = 298;
  double requests = 0;
  double retries = 0;
  for (const fleet_view& view : StartingFleet()) {
    fleet_budget budget(options);
    budget.SetFleetSize(view.InstanceLocations().size());
    for (int i = 0; i < 20; ++i) {
      budget.CountRequest({ "s" }, kFleetStart);
      ++requests;
      retries += budget.Take({ "s" }, kFleetStart) ? 1 : 0;
    }
  }
  CHECK(retries <= requests * options.mRatio + options.mExtra);
}
