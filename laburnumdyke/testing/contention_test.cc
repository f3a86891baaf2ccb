// Which requests go first when a service has too little capacity: replays in
// virtual time of instances that share nothing but their upstreams.
#include "laburnumdyke/decision/contention.h"

#include "laburnumdyke/testing/harness/load_replay.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSeeds = 5;

replay_callers
Callers(const std::string& aName, double aPerSecond, std::uint32_t aPriority)
{
  replay_callers callers{ aName, "east", aPerSecond };
  callers.mRoute.mName = aName;
  callers.mRoute.mPriority = aPriority;
  return callers;
}

// "sheets" has routes of its own and gets overflow from "parcels".
std::shared_ptr<const route_table>
SplitRules()
{
  routing_document document;
  document.mVersion = 1;
  document.mServices[{ "sheets" }] = { 3000ms, 3.6 };
  document.mRoutes.push_back(ReplayRoute());
  return std::make_shared<const route_table>(std::move(document));
}

constexpr std::size_t kUpstreams = 6; // a capacity of 94 requests a second

struct replay_setting
{
  uneven_load mUnevenLoad = uneven_load::Always;
  std::size_t mInstances = 20;
  std::size_t mUpstreams = kUpstreams;
  std::shared_ptr<const route_table> mRules = ReplayRules();
};

void
Add(replay_result& aSum, const replay_result& aResult)
{
  aSum.mOnTime += aResult.mOnTime;
  aSum.mLate += aResult.mLate;
  aSum.mRefused += aResult.mRefused;
  aSum.mShed += aResult.mShed;
}

// Sums over the seeds, by callers' name; "all" has the sum of all.
std::map<std::string, replay_result>
Replay(const std::vector<replay_callers>& aCallers,
       const replay_setting& aSetting)
{
  std::map<std::string, replay_result> sums;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    load_replay replay(
      { { "east", aSetting.mInstances, aSetting.mUpstreams, 0 } },
      seed,
      learned_speed::Reported,
      aSetting.mUnevenLoad);
    replay.SetRules(aSetting.mRules);
    std::set<std::string> names;
    for (const replay_callers& callers : aCallers) {
      replay.AddCallers(callers);
      names.insert(callers.mName);
    }
    replay.Run(30s);
    for (const std::string& name : names) {
      Add(sums[name], replay.Result(name));
      Add(sums["all"], replay.Result(name));
    }
  }
  return sums;
}

void
CheckSame(const replay_result& aOne, const replay_result& aOther)
{
  LONGS_EQUAL(aOne.mOnTime, aOther.mOnTime);
  LONGS_EQUAL(aOne.mLate, aOther.mLate);
  LONGS_EQUAL(aOne.mRefused, aOther.mRefused);
  LONGS_EQUAL(aOne.mShed, aOther.mShed);
}

} // namespace

TEST_GROUP(ContentionReplay)
{
  using results = std::map<std::string, replay_result>;

  // Callers of two priorities that ask for 1.5 times the capacity.
  static std::vector<replay_callers> TwoPriorities()
  {
    return { Callers("urgent", 70, 0), Callers("usual", 70, 1) };
  }
};

// Guards against urgent requests that are refused as often as others. With 80
// instances, each sends an upstream so little that load reports are stale.
TEST(ContentionReplay, UrgentRequestsGoFirstAtOneAndAHalfTimesTheCapacity)
{
  for (std::size_t instances : { 20, 80 }) {
    results before = Replay(TwoPriorities(), { uneven_load::Never, instances });
    results after = Replay(TwoPriorities(), { uneven_load::Always, instances });
    CHECK(after["urgent"].Served() > before["urgent"].Served() + 0.12);
    CHECK(after["all"].mOnTime > before["all"].mOnTime);
  }
}

// Guards against the priority of the route counting where the customer has one.
TEST(ContentionReplay, ACustomersPriorityTakesPrecedenceOverTheRoutes)
{
  std::vector<replay_callers> callers = { Callers("urgent", 70, 1),
                                          Callers("usual", 70, 0) };
  for (replay_callers& each : callers) {
    each.mCustomer.emplace();
    each.mCustomer->mName = { each.mName };
    each.mCustomer->mPriority = 1 - each.mRoute.mPriority;
  }
  results before = Replay(callers, { uneven_load::Never });
  results after = Replay(callers, {});
  CHECK(after["urgent"].Served() > before["urgent"].Served() + 0.12);
}

// Guards against overflow that displaces a service's own callers. Overflow
// comes after them even where its priority is higher.
TEST(ContentionReplay, OverflowOfASplitRouteDoesNotDisplaceAServicesOwnCallers)
{
  replay_callers split = Callers("split", 90, 0);
  split.mRoute.mServices = { { { "parcels" }, 3 }, { { "sheets" }, 1 } };
  std::vector<replay_callers> callers = { Callers("own", 60, 1), split };
  replay_setting setting;
  setting.mRules = SplitRules();
  results after = Replay(callers, setting);
  setting.mUnevenLoad = uneven_load::Never;
  results before = Replay(callers, setting);
  CHECK(after["own"].Served() > before["own"].Served() + 0.2);
  CHECK(after["split"].Served() > after["all"].Served() / 4);
  CHECK(after["all"].mOnTime > before["all"].mOnTime);
}

// Guards against a customer that displaces others by sending more, and against
// one that gets less than the others because of that.
TEST(ContentionReplay, ACustomerAtFiveTimesItsRateDoesNotDisplaceTheOthers)
{
  std::vector<replay_callers> callers;
  for (int i = 0; i < 20; ++i) {
    replay_callers one = Callers(i == 0 ? "hot" : "usual", i == 0 ? 25 : 5, 0);
    one.mCustomer.emplace();
    one.mCustomer->mName = { "customer " + std::to_string(i) };
    callers.push_back(one);
  }
  results before = Replay(callers, { uneven_load::Never });
  results after = Replay(callers, {});
  CHECK(after["hot"].Served() < before["hot"].Served() / 2);
  CHECK(after["hot"].Served() > after["all"].Served() / 4);
  CHECK(after["usual"].Served() > before["usual"].Served());
  CHECK(after["usual"].mOnTime > before["usual"].mOnTime * 110 / 100);
  int hot = after["hot"].mOnTime + after["hot"].mLate;
  int usual = after["usual"].mOnTime + after["usual"].mLate;
  CHECK(hot > usual / 19);
}

// Guards against urgent demand beyond the capacity that starves the others.
TEST(ContentionReplay, TheLeastUrgentAreServedAQuarterAsOftenAsAll)
{
  std::vector<replay_callers> callers = { Callers("urgent", 140, 0),
                                          Callers("usual", 20, 1),
                                          Callers("bulk", 40, 2) };
  for (std::size_t instances : { 20, 80 }) {
    results before = Replay(callers, { uneven_load::Never, instances });
    results after = Replay(callers, { uneven_load::Always, instances });
    CHECK(after["urgent"].Served() > before["urgent"].Served() + 0.1);
    CHECK(after["usual"].Served() > after["all"].Served() / 4);
    CHECK(after["bulk"].Served() > after["all"].Served() / 4);
  }
}

// Guards against limits where there is capacity for all.
TEST(ContentionReplay, BelowCapacityTheChoicesAreTheSame)
{
  std::vector<replay_callers> callers = { Callers("urgent", 30, 0),
                                          Callers("usual", 30, 1) };
  for (std::size_t instances : { 20, 40 }) {
    results before = Replay(callers, { uneven_load::Never, instances, 12 });
    results after = Replay(callers, { uneven_load::Always, instances, 12 });
    CheckSame(before["urgent"], after["urgent"]);
    CheckSame(before["usual"], after["usual"]);
  }
}

// Guards against effects on deployments that have not opted in.
TEST(ContentionReplay, WithThreeValuesAndNoCustomersTheChoicesAreTheSame)
{
  results before = Replay(TwoPriorities(), { uneven_load::Never });
  results after = Replay(TwoPriorities(), { uneven_load::Auto });
  CheckSame(before["urgent"], after["urgent"]);
  CheckSame(before["usual"], after["usual"]);
}

TEST_GROUP(Contention)
{
  contention mService;
  instant mNow = kReplayStart;

  contending_request Request(std::uint32_t aPriority,
                             const std::string& aCustomer = {})
  {
    return { { false, aPriority }, "sheets", aCustomer };
  }

  // One request of each of two priorities every 100 ms; the urgent is served.
  void Contend(std::chrono::milliseconds aFor)
  {
    for (instant end = mNow + aFor; mNow < end; mNow += 100ms) {
      mService.Record(Request(0), contention_outcome::Served, mNow);
      mService.Record(Request(1), contention_outcome::Full, mNow);
    }
  }
};

// Guards against limits that outlive the contention.
TEST(Contention, LimitsTheLessUrgentWhileRequestsFindNoRoom)
{
  CHECK_FALSE(mService.Room(Request(1), mNow).IsLimited());
  Contend(4s);
  CHECK_FALSE(mService.Room(Request(0), mNow).IsLimited());
  CHECK(mService.IsContended(mNow));
  mNow += 30s;
  CHECK_FALSE(mService.Room(Request(1), mNow).IsLimited());
}

// Guards against memory that grows with the customers and priorities seen.
TEST(Contention, TheCustomersKeptAreBounded)
{
  for (std::uint32_t i = 0; i < 2000; ++i) {
    mService.Record(Request(i % 100, std::to_string(i)),
                    contention_outcome::Full,
                    mNow + i * 1ms);
  }
  LONGS_EQUAL(contention::kMaxCustomers, mService.CustomerCount());
}
