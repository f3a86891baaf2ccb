// Steering: the choice of an upstream, and simulations in virtual time of
// several instances that send to the same upstreams.
#include "laburnumdyke/decision/upstream_steering.h"

#include "laburnumdyke/testing/harness/load_replay.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamSteering)
{
  route_spec mRoute = ReplayRoute();
  upstream_steering mSteering{ ReplayOptions("one", "east-a") };
  std::vector<upstream_id> mTried;

  void setup() override
  {
    mSteering.SetRules(ReplayRules());
    mSteering.SetFleet({ { { "one" }, { "east" } } });
    Register({ ReplayUpstream("e1", "east-a"),
               ReplayUpstream("e2", "east-a"),
               ReplayUpstream("e3", "east-b"),
               ReplayUpstream("w1", "west-a"),
               ReplayUpstream("w2", "west-b") });
  }

  void Register(std::vector<upstream_entry> aEntries)
  {
    mSteering.Apply(
      mSteering.Directory().Replace(std::move(aEntries), kReplayStart),
      kReplayStart);
  }

  steering_choice Choose(const std::string& aObject,
                         instant aNow = kReplayStart)
  {
    return mSteering.Choose(
      { mRoute, { "sheets" }, aObject, aNow, aNow + mRoute.mTimeout, mTried },
      aNow);
  }

  // Whether an upstream whose slots are taken is still avoided after a change
  // of its entry.
  bool StaysBusyAfter(upstream_change_kind aKind)
  {
    const std::string object = "7";
    steering_target first = *Choose(object).mTarget;
    for (int i = 0; i < 20 && Chosen(object) == first.mId.mValue; ++i) {
      mSteering.Begin(first, kReplayStart);
    }
    CHECK(Chosen(object) != first.mId.mValue);
    upstream_entry entry =
      ReplayUpstream(first.mId.mValue, first.mDomain.mValue);
    mSteering.Apply({ { aKind, entry } }, kReplayStart);
    return Chosen(object) != first.mId.mValue;
  }

  std::string Chosen(const std::string& aObject, instant aNow = kReplayStart)
  {
    steering_choice choice = Choose(aObject, aNow);
    return choice.mTarget ? choice.mTarget->mId.mValue : "";
  }
};

TEST(UpstreamSteering, AllInstancesOfARegionChooseTheSameUpstreamForAnObject)
{
  upstream_steering other{ ReplayOptions("two", "east-b") };
  other.SetRules(ReplayRules());
  other.Apply(other.Directory().Replace({ ReplayUpstream("e1", "east-a"),
                                          ReplayUpstream("e2", "east-a"),
                                          ReplayUpstream("e3", "east-b"),
                                          ReplayUpstream("w1", "west-a") },
                                        kReplayStart),
              kReplayStart);
  for (int i = 0; i < 50; ++i) {
    std::string object = std::to_string(i);
    steering_choice choice = other.Choose(
      { mRoute, { "sheets" }, object, kReplayStart, kReplayStart + 3s, mTried },
      kReplayStart);
    CHECK(choice.mTarget.has_value());
    STRCMP_EQUAL(Chosen(object).c_str(), choice.mTarget->mId.mValue.c_str());
  }
}

TEST(UpstreamSteering, RemovingAnUpstreamMovesOnlyItsOwnObjects)
{
  std::map<std::string, std::string> before;
  for (int i = 0; i < 50; ++i) {
    before[std::to_string(i)] = Chosen(std::to_string(i));
  }
  Register({ ReplayUpstream("e1", "east-a"), ReplayUpstream("e3", "east-b") });
  for (const std::pair<const std::string, std::string>& one : before) {
    std::string now = Chosen(one.first);
    if (one.second != "e2") {
      STRCMP_EQUAL(one.second.c_str(), now.c_str());
    } else {
      CHECK(now != "e2");
    }
  }
}

TEST(UpstreamSteering, DrainingEvacuatedAndTriedUpstreamsAreNotChosen)
{
  std::vector<upstream_entry> entries = { ReplayUpstream("e1", "east-a"),
                                          ReplayUpstream("e2", "east-a"),
                                          ReplayUpstream("e3", "east-b") };
  entries[0].mDraining = true;
  Register(entries);
  mSteering.SetEvacuated({ { "east-b" } }, kReplayStart);
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("e2", Chosen(std::to_string(i)).c_str());
  }
  mTried = { { "e2" } };
  steering_choice choice = Choose("1");
  CHECK_FALSE(choice.mTarget.has_value());
  CHECK(choice.mReason == refusal_reason::NoUpstream);
}

// Guards against an upstream that seems idle because its entry was renewed.
TEST(UpstreamSteering, WhatIsKnownOfAnUpstreamOutlivesARenewal)
{
  CHECK(StaysBusyAfter(upstream_change_kind::Renewed));
}

// The same where its entry lapsed and came back.
TEST(UpstreamSteering, WhatIsKnownOfAnUpstreamOutlivesAReturn)
{
  CHECK(StaysBusyAfter(upstream_change_kind::Returned));
}

TEST(UpstreamSteering, ARouteWithHomesStaysThere)
{
  mRoute.mHomes = { { "west" } };
  for (int i = 0; i < 50; ++i) {
    CHECK(Chosen(std::to_string(i))[0] == 'w');
  }
  mRoute.mHomes = { { "north" } };
  STRCMP_EQUAL("", Chosen("1").c_str());
}

TEST(UpstreamSteering,
     AnUpstreamWithAnothersAddressIsNotChosenUntilItRegistersAgain)
{
  Register({ ReplayUpstream("e1", "east-a") });
  steering_choice choice = Choose("1");
  attempt_report report;
  report.mWrongInstance = true;
  mSteering.Begin(*choice.mTarget, kReplayStart);
  mSteering.End(*choice.mTarget, report, kReplayStart);
  STRCMP_EQUAL("", Chosen("1").c_str());
  upstream_entry again = ReplayUpstream("e1", "east-a");
  again.mSequence = 2;
  Register({ again });
  STRCMP_EQUAL("e1", Chosen("1").c_str());
}

TEST(UpstreamSteering, AFullUpstreamIsNotUnhealthy)
{
  Register({ ReplayUpstream("e1", "east-a"), ReplayUpstream("w1", "west-a") });
  steering_choice choice = Choose("1");
  attempt_report report;
  report.mResult = attempt_result::Abandoned;
  report.mQueueFull = true;
  mSteering.Begin(*choice.mTarget, kReplayStart);
  mSteering.End(*choice.mTarget, report, kReplayStart);
  // The region has upstreams, if full ones, so spillover stays limited.
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    refused += Choose("1").mTarget ? 0 : 1;
  }
  CHECK(refused >= 18);
}

// Half of the demand and a tenth of the slots: equal utilisation takes 8 of 10
// requests elsewhere.
TEST(UpstreamSteering, ARegionWithFewUpstreamsSpillsOverFromTheFirstRequestOn)
{
  std::vector<upstream_entry> entries = { ReplayUpstream("e1", "east-a") };
  for (int i = 0; i < 9; ++i) {
    entries.push_back(ReplayUpstream("w" + std::to_string(i), "west-a"));
  }
  Register(entries);
  mSteering.SetFleet({ { { "one" }, { "east" } }, { { "two" }, { "west" } } });
  int remote = 0;
  for (int i = 0; i < 100; ++i) {
    std::string chosen = Chosen(std::to_string(i), kReplayStart + i * 1ms);
    remote += chosen[0] == 'w' ? 1 : 0;
  }
  CHECK(remote > 70 && remote < 90);
}

TEST(UpstreamSteering, RefusedRequestsGetSpreadRetryDelays)
{
  Register({ ReplayUpstream("e1", "east-a") });
  for (int i = 0; i < 40; ++i) {
    steering_choice choice = Choose(std::to_string(i));
    if (choice.mTarget) {
      mSteering.Begin(*choice.mTarget, kReplayStart);
    }
  }
  std::set<std::int64_t> times;
  for (int i = 0; i < 20; ++i) {
    steering_choice choice = Choose("1");
    CHECK_FALSE(choice.mTarget.has_value());
    CHECK(choice.mReason == refusal_reason::QueueFull);
    CHECK(choice.mRetryAfter >= 100ms && choice.mRetryAfter <= 1000ms);
    times.insert(choice.mRetryAfter.count());
  }
  CHECK(times.size() > 5);
}

TEST(UpstreamSteering, ADomainThatReturnsToServiceCountsAsCold)
{
  Register({ ReplayUpstream("e3", "east-b") });
  mSteering.SetEvacuated({ { "east-b" } }, kReplayStart);
  mSteering.SetEvacuated({}, kReplayStart + 10s);
  steering_choice choice = Choose("1", kReplayStart + 10s);
  CHECK(choice.mTarget.has_value());
  mSteering.Begin(*choice.mTarget, kReplayStart + 10s);
  STRCMP_EQUAL("", Chosen("2", kReplayStart + 10100ms).c_str());
  // Until it registers as warm.
  upstream_entry again = ReplayUpstream("e3", "east-b");
  again.mSequence = 2;
  Register({ again });
  STRCMP_EQUAL("e3", Chosen("2", kReplayStart + 10200ms).c_str());
}

TEST_GROUP(LoadReplay){};

// A quarter of the capacity for cached objects: objects stay on their first
// choices, so nearly all requests are for cached objects after the first one.
TEST(LoadReplay, AtLowLoadObjectsStayCached)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay({ { "east", 8, 6, 25 } }, seed);
    replay.Run(30s);
    const replay_result& result = replay.Result("east");
    int all = result.mOnTime + result.mLate + result.mRefused;
    CHECK(result.mOnTime > all * 80 / 100);
    CHECK(result.mRefused < all * 2 / 100);
  }
}

// Three quarters of the capacity from the start, on upstreams with empty
// caches: no load reports exist, and every instance sees the upstreams as free.
// The upstreams must not stay saturated by slow requests for uncached objects.
TEST(LoadReplay, AnOverloadOfColdUpstreamsEndsWithCachedObjects)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay({ { "east", 8, 6, 70 } }, seed);
    replay.Run(30s);
    const replay_result& result = replay.Result("east");
    int all = result.mOnTime + result.mLate + result.mRefused;
    CHECK(result.mOnTime > all / 2);
    CHECK_TEXT(result.mShed < all * 5 / 100, "upstreams rarely refuse");
  }
}

// A burst on two upstreams without load reports: each instance must allow for
// the seven others sending as much, so that together they do not overfill the
// queues.
TEST(LoadReplay, InTheFirstMomentTheQueuesAreNotOverfilled)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay({ { "east", 8, 2, 120 } }, seed);
    replay.Run(1s);
    LONGS_EQUAL(0, replay.Result("east").mShed);
  }
}

// A hundred instances past the capacity: each sends an upstream a request every
// five seconds, so that reports of its load are old. Guards against instances
// that take full upstreams for idle ones.
TEST(LoadReplay, ManyInstancesPastCapacityDoNotFillTheQueues)
{
  for (unsigned seed = 1; seed <= 3; ++seed) {
    load_replay replay({ { "east", 100, 60, 1100, 240 } }, seed);
    replay.Run(10s);
    const replay_result& result = replay.Result("east");
    CHECK(result.mOnTime > result.mLate);
    CHECK_TEXT(result.mShed < result.All() * 5 / 100, "upstreams refuse");
  }
}

// One and a half times the capacity: requests that cannot meet the objective
// are refused, so that most of those served meet it.
TEST(LoadReplay, PastCapacityServedRequestsAreStillOnTime)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay({ { "east", 8, 6, 140 } }, seed);
    replay.Run(30s);
    const replay_result& result = replay.Result("east");
    CHECK(result.mOnTime > result.mLate);
    CHECK(result.mRefused > 0);
  }
}
