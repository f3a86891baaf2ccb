// The small decisions of steering by host and path: routes, rotation, the
// directory of upstreams, spilling, cold upstreams, the budget, the fleet.
#include "laburnumdyke/decision/cold_gate.h"
#include "laburnumdyke/decision/fleet_budget.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/region_spill.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/service_rotation.h"
#include "laburnumdyke/decision/upstream_directory.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/decision/work_estimate.h"

#include <deque>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;

route_spec
Route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix)
{
  route_spec route;
  route.mName = aName;
  route.mHost = aHost;
  route.mPrefix = aPrefix;
  route.mServices = { { { "sheets" }, 1 } };
  return route;
}

upstream_entry
Entry(const std::string& aId, std::uint64_t aSequence = 1)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mService = { "sheets" };
  entry.mDomain = { "leinster-a" };
  entry.mAddress = { "10.0.0.1", 80 };
  entry.mSlots = 3;
  entry.mSequence = aSequence;
  entry.mBorn = 1000ms;
  return entry;
}

fleet_member
Member(const std::string& aName, const std::string& aDomain)
{
  static std::uint16_t sPort = 1000;
  ++sPort;
  fleet_member member;
  member.mInstance = { aName };
  member.mIncarnation = 1;
  member.mRegion = { aDomain.substr(0, aDomain.find('-')) };
  member.mDomain = { aDomain };
  member.mCaller = { "10.0.0.1", sPort };
  member.mPeer = { "10.0.0.2", sPort };
  member.mRelay = { "10.0.0.3", sPort };
  return member;
}

fleet_beat
Serving(const fleet_member& aMember)
{
  return { aMember, true, false };
}

reading_head
Whole(std::uint64_t aVersion)
{
  return { reading_status::Read, true, aVersion };
}

} // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, TheLongestPrefixOfTheHostIsTaken)
{
  routing_document document;
  document.mRoutes = { Route("short", "a.example", "/x/"),
                       Route("long", "a.example", "/x/y/"),
                       Route("other", "b.example", "/x/") };
  route_table table(document);
  struct row
  {
    const char* mHost;
    const char* mPath;
    const char* mRoute; // empty: none
  };
  const row rows[] = {
    { "a.example", "/x/1", "short" },
    { "a.example", "/x/y/1", "long" },
    { "a.example", "/x/y", "short" },
    { "A.Example:8080", "/x/y/?q=/z/", "long" },
    { "b.example", "/x/y/1", "other" },
    { "a.example", "/x", "" },
    { "a.example", "/", "" },
    { "c.example", "/x/", "" },
    { "", "/x/", "" },
    { "a.example", "/q?/x/", "" },
  };
  for (const row& one : rows) {
    const route_spec* found = table.Find(one.mHost, one.mPath);
    STRCMP_EQUAL_TEXT(
      one.mRoute, found == nullptr ? "" : found->mName.c_str(), one.mPath);
  }
}

TEST_GROUP(ServiceRotation){};

TEST(ServiceRotation, EveryStretchOfRequestsKeepsTheWeights)
{
  route_spec route = Route("r", "a", "/");
  route.mServices = { { { "big" }, 90 }, { { "small" }, 10 } };
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    service_rotation rotation(seed);
    int small = 0;
    for (int i = 1; i <= 200; ++i) {
      small += rotation.Next(route).mValue == "small" ? 1 : 0;
      CHECK(std::abs(small - i / 10.0) <= 1.0);
    }
  }
}

TEST(ServiceRotation, InstancesDontAllBeginWithTheHeaviest)
{
  route_spec route = Route("r", "a", "/");
  route.mServices = { { { "big" }, 70 }, { { "small" }, 30 } };
  int small = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    service_rotation rotation(seed);
    small += rotation.Next(route).mValue == "small" ? 1 : 0;
  }
  CHECK(small > 30 && small < 90);
}

TEST(ServiceRotation, AWeightOfZeroGetsNothing)
{
  route_spec route = Route("r", "a", "/");
  route.mServices = { { { "on" }, 5 }, { { "off" }, 0 } };
  service_rotation rotation(7);
  for (int i = 0; i < 100; ++i) {
    STRCMP_EQUAL("on", rotation.Next(route).mValue.c_str());
  }
}

TEST_GROUP(UpstreamDirectory)
{
  upstream_directory mDirectory;

  std::vector<upstream_change_kind> Kinds(
    const std::vector<upstream_change>& aChanges)
  {
    std::vector<upstream_change_kind> kinds;
    for (const upstream_change& change : aChanges) {
      kinds.push_back(change.mKind);
    }
    return kinds;
  }
};

TEST(UpstreamDirectory, AnEntryThatIsRemovedIsGoneAtOnce)
{
  mDirectory.Replace({ Entry("a"), Entry("b") }, kStart);
  std::vector<upstream_change> changes =
    mDirectory.Remove({ "a" }, kStart + 1s);
  CHECK(Kinds(changes) ==
        std::vector<upstream_change_kind>{ upstream_change_kind::Left });
  changes = mDirectory.Replace({}, kStart + 2s);
  CHECK(Kinds(changes) ==
        std::vector<upstream_change_kind>{ upstream_change_kind::Left });
  LONGS_EQUAL(0, mDirectory.Size());
}

TEST(UpstreamDirectory, AnOutageLetsEntriesLapseWithoutLosingUpstreams)
{
  mDirectory.Replace({ Entry("a"), Entry("b") }, kStart);
  mDirectory.PlatformLost(kStart);
  mDirectory.PlatformBack(kStart + 6s);
  CHECK(mDirectory.Replace({}, kStart + 6s).empty());
  // One is back in time, the other is not.
  mDirectory.Put(Entry("a", 9), kStart + 7s);
  CHECK(mDirectory.Expire(kStart + 8s).empty());
  std::vector<upstream_change> changes = mDirectory.Expire(kStart + 8500ms);
  LONGS_EQUAL(1, changes.size());
  STRCMP_EQUAL("b", changes[0].mEntry.mId.mValue.c_str());
}

TEST(UpstreamDirectory, WhereAPeerNeverLostThePlatformMissingMeansGone)
{
  // An instance was cut off by itself for longer than entries live.
  mDirectory.Replace({ Entry("a") }, kStart);
  mDirectory.PlatformLost(kStart);
  mDirectory.PlatformBack(kStart + 12s);
  CHECK(mDirectory.Replace({}, kStart + 12s).empty());
  mDirectory.EndGrace(kStart + 12300ms);
  LONGS_EQUAL(1, mDirectory.Expire(kStart + 12300ms).size());
}

TEST(UpstreamDirectory, AShortOutageChangesNothing)
{
  mDirectory.Replace({ Entry("a") }, kStart);
  mDirectory.PlatformLost(kStart);
  mDirectory.PlatformBack(kStart + 500ms);
  LONGS_EQUAL(1, mDirectory.Remove({ "a" }, kStart + 600ms).size());
}

TEST(UpstreamDirectory, AnotherStartUnderTheSameNameIsARestart)
{
  upstream_entry first = Entry("a", 5);
  upstream_entry born = Entry("a", 6);
  born.mBorn = 2000ms;
  upstream_entry counted = Entry("a", 1);
  upstream_entry moved = Entry("a", 6);
  moved.mAddress.mPort = 81;
  for (const upstream_entry& next : { born, counted, moved }) {
    upstream_directory directory;
    directory.Put(first, kStart);
    CHECK(Kinds(directory.Put(next, kStart)) ==
          std::vector<upstream_change_kind>{ upstream_change_kind::Restarted });
  }
  upstream_directory directory;
  directory.Put(first, kStart);
  CHECK(Kinds(directory.Put(Entry("a", 6), kStart)) ==
        std::vector<upstream_change_kind>{ upstream_change_kind::Renewed });
  CHECK(directory.Put(Entry("a", 6), kStart).empty());
  upstream_entry draining = Entry("a", 7);
  draining.mDraining = true;
  upstream_entry cold = draining;
  cold.mColdLeft = 900ms;
  for (const upstream_entry& next : { draining, cold }) {
    CHECK(Kinds(directory.Put(next, kStart)) ==
          std::vector<upstream_change_kind>{ upstream_change_kind::Updated });
  }
}

TEST_GROUP(RegionSpill){};

// The part that leaves follows any pattern of wishes no faster than allowed.
TEST(RegionSpill, ThePartMovesNoFasterThanItsBound)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    region_spill spill;
    std::vector<double> shares;
    bool wants = false;
    instant now = kStart;
    for (int window = 0; window < 20; ++window) {
      int outside = 0;
      constexpr int kRequests = 200;
      for (int i = 0; i < kRequests; ++i) {
        wants = random() % 100 == 0 ? !wants : wants;
        outside +=
          spill.Decide(wants, true, now) == spill_side::Outside ? 1 : 0;
        now += 10ms;
      }
      shares.push_back(static_cast<double>(outside) / kRequests);
    }
    for (std::size_t i = 1; i < shares.size(); ++i) {
      CHECK_TEXT(std::abs(shares[i] - shares[i - 1]) <= 0.15,
                 std::to_string(seed).c_str());
    }
  }
}

TEST(RegionSpill, AFullRegionSendsItsPartAndTurnsTheRestAway)
{
  region_spill spill;
  int outside = 0;
  int neither = 0;
  instant now = kStart;
  for (int i = 0; i < 2000; ++i) {
    spill_side side = spill.Decide(true, false, now);
    outside += side == spill_side::Outside ? 1 : 0;
    neither += side == spill_side::Neither ? 1 : 0;
    now += 10ms;
  }
  LONGS_EQUAL(2000, outside + neither);
  // Over 20 s the part climbs towards all of them.
  CHECK(outside > 600 && neither > 600);
}

TEST(RegionSpill, WithoutAWishNothingLeaves)
{
  region_spill spill;
  for (int i = 0; i < 1000; ++i) {
    CHECK(spill.Decide(false, true, kStart + i * 10ms) == spill_side::Inside);
  }
}

TEST_GROUP(ColdGate)
{
  static constexpr double kRate = 3.6;
  static constexpr double kBound = kRate * 1.5 + 5;
};

// All instances send as fast as they may to one cold upstream.
TEST(ColdGate, TheSumOverInstancesKeepsTheBoundInEachSecond)
{
  for (std::size_t count : { 1U, 3U, 16U, 130U }) {
    std::vector<fleet_place> fleet;
    for (std::size_t i = 0; i < count; ++i) {
      fleet.push_back(
        { { "i" + std::to_string(i) }, { i % 2 == 0 ? "near" : "far" } });
    }
    std::vector<cold_gate> gates;
    for (const fleet_place& place : fleet) {
      gates.emplace_back(cold_gate_options{ place.mInstance, 1.5, 5 });
      gates.back().SetFleet(fleet);
    }
    std::deque<instant> sent;
    std::size_t total = 0;
    for (instant now = kStart; now < kStart + 10s; now += 20ms) {
      for (cold_gate& gate : gates) {
        if (gate.IsOpen({ "u" }, { "near" }, kRate, now)) {
          gate.Count({ "u" }, now);
          sent.push_back(now);
          ++total;
        }
      }
      while (!sent.empty() && sent.front() <= now - 1s) {
        sent.pop_front();
      }
      CHECK(static_cast<double>(sent.size()) <= kBound);
    }
    CHECK_TEXT(total >= 7, "a cold upstream is used");
  }
}

TEST(ColdGate, WithoutARateItIsOpen)
{
  cold_gate gate({ { "i" }, 1.5, 5 });
  gate.Count({ "u" }, kStart);
  CHECK(gate.IsOpen({ "u" }, { "near" }, 0, kStart));
}

TEST_GROUP(FleetBudget){};

// Against a slow oracle that keeps every event.
TEST(FleetBudget, TheFleetStaysWithinItsBoundWhateverComes)
{
  constexpr std::size_t kInstances = 16;
  fleet_budget_options options{ 0.2, 112, 10000ms };
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::vector<fleet_budget> budgets(kInstances, fleet_budget(options));
    for (fleet_budget& budget : budgets) {
      budget.SetFleetSize(kInstances);
    }
    std::deque<instant> requests;
    std::deque<instant> repeats;
    for (instant now = kStart; now < kStart + 40s; now += 10ms) {
      fleet_budget& budget = budgets[random() % kInstances];
      bool flood = (now - kStart) / 5s % 2 == 1;
      int count = flood ? 5 : 1;
      for (int i = 0; i < count; ++i) {
        budget.CountRequest({ "s" }, now);
        requests.push_back(now);
        if (budget.Take({ "s" }, now)) {
          repeats.push_back(now);
        }
      }
      for (std::deque<instant>* events : { &requests, &repeats }) {
        while (!events->empty() && events->front() <= now - 10s) {
          events->pop_front();
        }
      }
      double bound = 0.2 * static_cast<double>(requests.size()) + 112;
      CHECK(static_cast<double>(repeats.size()) <= bound);
    }
  }
}

TEST_GROUP(WorkEstimate){};

TEST(WorkEstimate, KnownAndUnknownObjectsAreLearnedApart)
{
  std::mt19937 random(3);
  work_estimate work(400ms);
  for (int i = 0; i < 300; ++i) {
    bool known = random() % 3 != 0;
    std::chrono::milliseconds took(known ? 170 + random() % 50
                                         : 580 + random() % 120);
    work.Learn(took, 1500, false);
  }
  CHECK(work.Known() > 170ms && work.Known() < 220ms);
  CHECK(work.Unknown() > 560ms && work.Unknown() < 720ms);
  CHECK(work.Bytes() > 1400 && work.Bytes() < 1600);
}

TEST_GROUP(FleetView)
{
  fleet_member mSelf = Member("self", "leinster-a");
  fleet_view mFleet{ { mSelf } };
};

TEST(FleetView, AnswersNameLiveInstancesOfTheAskersDomain)
{
  fleet_member near = Member("near", "leinster-a");
  fleet_member region = Member("region", "leinster-b");
  fleet_member silent = Member("silent", "leinster-a");
  mFleet.Replace({ near, region, silent });
  mFleet.SetServing(true);
  mFleet.Hear(Serving(near), kStart);
  mFleet.Hear(Serving(region), kStart);
  std::vector<endpoint> names =
    mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart + 1s);
  CHECK(names == (std::vector<endpoint>{ mSelf.mCaller, near.mCaller }));
  // With too few of its own domain the region helps.
  names = mFleet.Answer({ "leinster-b" }, { "leinster" }, kStart + 1s);
  LONGS_EQUAL(3, names.size());
  CHECK(names[0] == region.mCaller);
  // The dead are not named, three heartbeats after their last.
  names = mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart + 2s);
  CHECK(names == std::vector<endpoint>{ mSelf.mCaller });
}

TEST(FleetView, WhoLeavesOrDoesNotServeIsNotNamed)
{
  fleet_member peer = Member("peer", "leinster-a");
  mFleet.Hear({ peer, true, true }, kStart);
  CHECK(mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).empty());
  mFleet.SetServing(true);
  LONGS_EQUAL(1,
              mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).size());
  mFleet.BeginLeaving();
  CHECK(mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).empty());
}

TEST(FleetView, AnOlderIncarnationIsNotHeard)
{
  fleet_member peer = Member("peer", "leinster-a");
  peer.mIncarnation = 5;
  CHECK(mFleet.Hear(Serving(peer), kStart));
  peer.mIncarnation = 4;
  CHECK_FALSE(mFleet.Hear(Serving(peer), kStart));
}

TEST(FleetView, PeersThatKnowMoreAreFoundWhileTheyLive)
{
  fleet_member peer = Member("peer", "leinster-a");
  fleet_beat beat = Serving(peer);
  beat.mControlVersion = 8;
  beat.mSettled = true;
  mFleet.Hear(beat, kStart);
  mFleet.SetControlVersion(7);
  LONGS_EQUAL(1, mFleet.Ahead(kStart).size());
  CHECK(mFleet.HasSettledPeer(kStart));
  mFleet.SetControlVersion(8);
  CHECK(mFleet.Ahead(kStart).empty());
  CHECK_FALSE(mFleet.HasSettledPeer(kStart + 3s));
}

TEST_GROUP(WatchState)
{
  watch_state mState;
};

TEST(WatchState, AStaleReadingAfterLostHistoryIsNotTaken)
{
  CHECK(mState.Take(Whole(50)));
  CHECK(mState.After() == std::optional<std::uint64_t>(50));
  CHECK_FALSE(mState.Take({ reading_status::HistoryLost, false, 0 }));
  CHECK(mState.After() == std::nullopt);
  CHECK_FALSE(mState.Take(Whole(40)));
  CHECK(mState.After() == std::nullopt);
  CHECK(mState.Take(Whole(60)));
  CHECK(mState.After() == std::optional<std::uint64_t>(60));
}

TEST(WatchState, TwoFailuresInARowAreAnOutageAndAreSaidOnce)
{
  reading_head none;
  CHECK_FALSE(mState.Take(none));
  CHECK_FALSE(mState.IsLost());
  CHECK_FALSE(mState.Take(none));
  CHECK(mState.IsLost());
  CHECK(mState.TakeTurn() == std::optional<bool>(true));
  CHECK(mState.TakeTurn() == std::nullopt);
  CHECK(mState.Take(Whole(1)));
  CHECK(mState.TakeTurn() == std::optional<bool>(false));
}

// The platform fell silent for eight seconds: a reading that waits for changes
// meets the silence for its whole wait each time, and found it back five
// seconds after its return.
TEST(WatchState, AfterAFailureAReadingDoesNotWait)
{
  CHECK(mState.MayWait(3s) == 3s);
  CHECK_FALSE(mState.Take({}));
  CHECK(mState.MayWait(3s) == 0s);
  CHECK(mState.Take(Whole(1)));
  CHECK(mState.MayWait(3s) == 3s);
}

TEST(WatchState, APeersCopyIsTakenOnlyWhereItIsLater)
{
  CHECK(mState.Take(Whole(50)));
  CHECK_FALSE(mState.TakeFromPeer(Whole(50)));
  CHECK_FALSE(mState.TakeFromPeer({}));
  CHECK(mState.TakeFromPeer(Whole(51)));
  CHECK(mState.After() == std::optional<std::uint64_t>(51));
}

TEST(WatchState, EvacuationsComeAndGo)
{
  control_reading reading;
  reading.mEvacuated = { { "a" } };
  std::set<domain_id> evacuated = NextEvacuated({ { "b" } }, reading);
  LONGS_EQUAL(2, evacuated.size());
  reading.mReturned = { { "b" } };
  evacuated = NextEvacuated(evacuated, reading);
  CHECK(evacuated == std::set<domain_id>{ { "a" } });
  reading = {};
  reading.mHead.mWhole = true;
  CHECK(NextEvacuated(evacuated, reading).empty());
}
