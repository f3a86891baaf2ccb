// The components of steering by host and path: routes, service rotation, the
// upstream directory, spillover, cold-start limits, repeat budget, fleet view.
#include "laburnumdyke/decision/cold_start_limiter.h"
#include "laburnumdyke/decision/fleet_budget.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/region_spillover.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/service_rotation.h"
#include "laburnumdyke/decision/upstream_directory.h"
#include "laburnumdyke/decision/upstream_update.h"
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

fleet_heartbeat
Serving(const fleet_member& aMember)
{
  return { aMember, true, false };
}

reading_head
Snapshot(std::uint64_t aVersion)
{
  return { reading_status::Read, true, aVersion };
}

} // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, TheLongestMatchingPrefixWins)
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

TEST(ServiceRotation, EveryPrefixOfRequestsFollowsTheWeights)
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

TEST(ServiceRotation, InstancesDoNotAllStartWithTheGreatestWeight)
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

TEST(UpstreamDirectory, EntriesThatExpireInAnOutageAreKeptForTheGracePeriod)
{
  mDirectory.Replace({ Entry("a"), Entry("b") }, kStart);
  mDirectory.OnPlatformLost(kStart);
  mDirectory.OnPlatformRecovered(kStart + 6s);
  CHECK(mDirectory.Replace({}, kStart + 6s).empty());
  // One registers again in time, the other does not.
  mDirectory.Put(Entry("a", 9), kStart + 7s);
  CHECK(mDirectory.Expire(kStart + 8s).empty());
  std::vector<upstream_change> changes = mDirectory.Expire(kStart + 8500ms);
  LONGS_EQUAL(1, changes.size());
  STRCMP_EQUAL("b", changes[0].mEntry.mId.mValue.c_str());
}

TEST(UpstreamDirectory, IfAPeerNeverLostThePlatformMissingUpstreamsAreRemoved)
{
  // Only this instance was cut off, for longer than registrations last.
  mDirectory.Replace({ Entry("a") }, kStart);
  mDirectory.OnPlatformLost(kStart);
  mDirectory.OnPlatformRecovered(kStart + 12s);
  CHECK(mDirectory.Replace({}, kStart + 12s).empty());
  mDirectory.EndGrace(kStart + 12300ms);
  LONGS_EQUAL(1, mDirectory.Expire(kStart + 12300ms).size());
}

TEST(UpstreamDirectory, AShortOutageChangesNothing)
{
  mDirectory.Replace({ Entry("a") }, kStart);
  mDirectory.OnPlatformLost(kStart);
  mDirectory.OnPlatformRecovered(kStart + 500ms);
  LONGS_EQUAL(1, mDirectory.Remove({ "a" }, kStart + 600ms).size());
}

// Guards against upstreams that are dropped for good because their entry lapsed
// and came back between two readings.
TEST(UpstreamDirectory, OfSeveralRowsOfOneUpstreamTheLastHolds)
{
  mDirectory.Replace({ Entry("a", 1), Entry("b", 1) }, kStart);
  std::vector<upstream_change> changes =
    mDirectory.ApplyRows({ { { "a" }, std::nullopt },
                           { { "b" }, Entry("b", 2) },
                           { { "a" }, Entry("a", 2) },
                           { { "b" }, std::nullopt } },
                         kStart + 1s);
  CHECK(Kinds(changes) ==
        (std::vector<upstream_change_kind>{ upstream_change_kind::Returned,
                                            upstream_change_kind::Left }));
  LONGS_EQUAL(1, mDirectory.Size());
}

TEST(UpstreamDirectory, AnotherIncarnationAfterARemovalIsARestart)
{
  mDirectory.Replace({ Entry("a", 5) }, kStart);
  upstream_entry next = Entry("a", 1);
  next.mBorn = 2000ms;
  std::vector<upstream_change> changes = mDirectory.ApplyRows(
    { { { "a" }, std::nullopt }, { { "a" }, next } }, kStart + 1s);
  CHECK(Kinds(changes) ==
        std::vector<upstream_change_kind>{ upstream_change_kind::Restarted });
}

// Guards against followers that never hear of a return, because the log of
// updates leaves heartbeats out.
TEST(UpstreamDirectory, AReturnIsNoHeartbeat)
{
  mDirectory.Replace({ Entry("a", 1) }, kStart);
  mDirectory.OnPlatformLost(kStart);
  mDirectory.OnPlatformRecovered(kStart + 6s);
  CHECK(mDirectory.Remove({ "a" }, kStart + 6s).empty());
  std::vector<upstream_change> changes =
    mDirectory.Put(Entry("a", 2), kStart + 7s);
  CHECK(Kinds(changes) ==
        std::vector<upstream_change_kind>{ upstream_change_kind::Returned });
  LONGS_EQUAL(1, ToUpdate(1, 2, changes, {}).mEntries.size());
}

TEST(UpstreamDirectory, ANewIncarnationOfTheSameNameIsARestart)
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

TEST_GROUP(RegionSpillover){};

// For any pattern of preferences the remote share changes within its limit.
TEST(RegionSpillover, TheShareChangesNoFasterThanItsBound)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    region_spillover spill;
    std::vector<double> shares;
    bool prefersRemote = false;
    instant now = kStart;
    for (int window = 0; window < 20; ++window) {
      int remote = 0;
      constexpr int kRequests = 200;
      for (int i = 0; i < kRequests; ++i) {
        prefersRemote = random() % 100 == 0 ? !prefersRemote : prefersRemote;
        remote +=
          spill.Decide(prefersRemote, true, now) == spillover_decision::Remote
            ? 1
            : 0;
        now += 10ms;
      }
      shares.push_back(static_cast<double>(remote) / kRequests);
    }
    for (std::size_t i = 1; i < shares.size(); ++i) {
      CHECK_TEXT(std::abs(shares[i] - shares[i - 1]) <= 0.15,
                 std::to_string(seed).c_str());
    }
  }
}

TEST(RegionSpillover, AFullRegionSendsItsShareAndRefusesTheRest)
{
  region_spillover spill;
  int remote = 0;
  int refused = 0;
  instant now = kStart;
  for (int i = 0; i < 2000; ++i) {
    spillover_decision decision = spill.Decide(true, false, now);
    remote += decision == spillover_decision::Remote ? 1 : 0;
    refused += decision == spillover_decision::Refuse ? 1 : 0;
    now += 10ms;
  }
  LONGS_EQUAL(2000, remote + refused);
  // Over 20 s the remote share rises towards 1.
  CHECK(remote > 600 && refused > 600);
}

TEST(RegionSpillover, WithoutAPreferenceAllRequestsStayLocal)
{
  region_spillover spill;
  for (int i = 0; i < 1000; ++i) {
    CHECK(spill.Decide(false, true, kStart + i * 10ms) ==
          spillover_decision::Local);
  }
}

TEST_GROUP(ColdStartLimiter)
{
  static constexpr double kRate = 3.6;
  static constexpr double kBound = kRate * 1.5 + 5;
};

// All instances send to one cold upstream as fast as they are allowed to.
TEST(ColdStartLimiter, TheSumOverInstancesStaysWithinTheBoundInEachSecond)
{
  for (std::size_t count : { 1U, 3U, 16U, 130U }) {
    std::vector<instance_location> fleet;
    for (std::size_t i = 0; i < count; ++i) {
      fleet.push_back(
        { { "i" + std::to_string(i) }, { i % 2 == 0 ? "near" : "far" } });
    }
    std::vector<cold_start_limiter> limiters;
    for (const instance_location& place : fleet) {
      limiters.emplace_back(
        cold_start_limiter_options{ place.mInstance, 1.5, 5 });
      limiters.back().SetFleet(fleet);
    }
    std::deque<instant> sent;
    std::size_t total = 0;
    for (instant now = kStart; now < kStart + 10s; now += 20ms) {
      for (cold_start_limiter& limiter : limiters) {
        if (limiter.MaySend({ "u" }, { "near" }, kRate, now)) {
          limiter.RecordSend({ "u" }, now);
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

TEST(ColdStartLimiter, WithoutARateRequestsAreNotLimited)
{
  cold_start_limiter limiter({ { "i" }, 1.5, 5 });
  limiter.RecordSend({ "u" }, kStart);
  CHECK(limiter.MaySend({ "u" }, { "near" }, 0, kStart));
}

TEST_GROUP(FleetBudget){};

// Checked against an exact count over all events in the window.
TEST(FleetBudget, TheFleetStaysWithinItsBoundUnderAnyLoad)
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
      bool isBurst = (now - kStart) / 5s % 2 == 1;
      int count = isBurst ? 5 : 1;
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

TEST(WorkEstimate, CachedAndUncachedObjectsAreLearnedSeparately)
{
  std::mt19937 random(3);
  work_estimate work(400ms);
  for (int i = 0; i < 300; ++i) {
    bool known = random() % 3 != 0;
    std::chrono::milliseconds elapsed(known ? 170 + random() % 50
                                            : 580 + random() % 120);
    work.AddSample(elapsed, 1500, false);
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
  mFleet.ReceiveHeartbeat(Serving(near), kStart);
  mFleet.ReceiveHeartbeat(Serving(region), kStart);
  std::vector<endpoint> names =
    mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart + 1s);
  CHECK(names == (std::vector<endpoint>{ mSelf.mCaller, near.mCaller }));
  // With too few instances in the domain, others of the region are added.
  names = mFleet.Answer({ "leinster-b" }, { "leinster" }, kStart + 1s);
  LONGS_EQUAL(3, names.size());
  CHECK(names[0] == region.mCaller);
  // An instance is not named after three missed heartbeats.
  names = mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart + 2s);
  CHECK(names == std::vector<endpoint>{ mSelf.mCaller });
}

TEST(FleetView, LeavingOrUnreadyInstancesAreNotNamed)
{
  fleet_member peer = Member("peer", "leinster-a");
  mFleet.ReceiveHeartbeat({ peer, true, true }, kStart);
  CHECK(mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).empty());
  mFleet.SetServing(true);
  LONGS_EQUAL(1,
              mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).size());
  mFleet.BeginLeaving();
  CHECK(mFleet.Answer({ "leinster-a" }, { "leinster" }, kStart).empty());
}

TEST(FleetView, AnOlderIncarnationIsIgnored)
{
  fleet_member peer = Member("peer", "leinster-a");
  peer.mIncarnation = 5;
  CHECK(mFleet.ReceiveHeartbeat(Serving(peer), kStart));
  peer.mIncarnation = 4;
  CHECK_FALSE(mFleet.ReceiveHeartbeat(Serving(peer), kStart));
}

TEST(FleetView, PeersWithNewerDataAreFoundWhileTheyLive)
{
  fleet_member peer = Member("peer", "leinster-a");
  fleet_heartbeat heartbeat = Serving(peer);
  heartbeat.mControlVersion = 8;
  heartbeat.mSettled = true;
  mFleet.ReceiveHeartbeat(heartbeat, kStart);
  mFleet.SetControlVersion(7);
  LONGS_EQUAL(1, mFleet.PeersWithNewerControl(kStart).size());
  CHECK(mFleet.HasSettledPeer(kStart));
  mFleet.SetControlVersion(8);
  CHECK(mFleet.PeersWithNewerControl(kStart).empty());
  CHECK_FALSE(mFleet.HasSettledPeer(kStart + 3s));
}

TEST_GROUP(WatchState)
{
  watch_state mState;
};

TEST(WatchState, AStaleSnapshotAfterLostHistoryIsRejected)
{
  CHECK(mState.Take(Snapshot(50)));
  CHECK(mState.After() == std::optional<store_version>(50));
  CHECK_FALSE(mState.Take({ reading_status::HistoryLost, false, 0 }));
  CHECK(mState.After() == std::nullopt);
  CHECK_FALSE(mState.Take(Snapshot(40)));
  CHECK(mState.After() == std::nullopt);
  CHECK(mState.Take(Snapshot(60)));
  CHECK(mState.After() == std::optional<store_version>(60));
}

TEST(WatchState, TwoConsecutiveFailuresAreAnOutageReportedOnce)
{
  reading_head none;
  CHECK_FALSE(mState.Take(none));
  CHECK_FALSE(mState.IsLost());
  CHECK_FALSE(mState.Take(none));
  CHECK(mState.IsLost());
  CHECK(mState.TakeOutageChange() == std::optional<bool>(true));
  CHECK(mState.TakeOutageChange() == std::nullopt);
  CHECK(mState.Take(Snapshot(1)));
  CHECK(mState.TakeOutageChange() == std::optional<bool>(false));
}

// In an outage of eight seconds each reading that waited for changes took its
// whole time-out, and the recovery was noticed only five seconds after it.
// Guards against an outage in which each instance asks many times a second.
TEST(WatchState, PausesGrowWithEachFailureUpToABound)
{
  const reading_head noAnswer;
  mState.Take(noAnswer);
  CHECK(mState.RetryPause() == watch_state::kFirstRetryPause);
  mState.Take(noAnswer);
  CHECK(mState.RetryPause() == 2 * watch_state::kFirstRetryPause);
  for (int i = 0; i < 40; ++i) {
    mState.Take(noAnswer);
  }
  CHECK(mState.RetryPause() == watch_state::kMaxRetryPause);
  reading_head answered;
  answered.mStatus = reading_status::Read;
  answered.mIsSnapshot = true;
  mState.Take(answered);
  mState.Take(noAnswer);
  CHECK(mState.RetryPause() == watch_state::kFirstRetryPause);
}

TEST(WatchState, AfterAFailureAReadingDoesNotWait)
{
  CHECK(mState.LongPollWait(3s) == 3s);
  CHECK_FALSE(mState.Take({}));
  CHECK(mState.LongPollWait(3s) == 0s);
  CHECK(mState.Take(Snapshot(1)));
  CHECK(mState.LongPollWait(3s) == 3s);
}

TEST(WatchState, APeersCopyIsAppliedOnlyIfItIsLater)
{
  CHECK(mState.Take(Snapshot(50)));
  CHECK_FALSE(mState.TakeFromPeer(Snapshot(50)));
  CHECK_FALSE(mState.TakeFromPeer({}));
  CHECK(mState.TakeFromPeer(Snapshot(51)));
  CHECK(mState.After() == std::optional<store_version>(51));
}

TEST(WatchState, EvacuationsAreAddedAndRemoved)
{
  control_reading reading;
  reading.mEvacuated = { { "a" } };
  std::set<domain_id> evacuated = ApplyEvacuations({ { "b" } }, reading);
  LONGS_EQUAL(2, evacuated.size());
  reading.mReturned = { { "b" } };
  evacuated = ApplyEvacuations(evacuated, reading);
  CHECK(evacuated == std::set<domain_id>{ { "a" } });
  reading = {};
  reading.mHead.mIsSnapshot = true;
  CHECK(ApplyEvacuations(evacuated, reading).empty());
}
