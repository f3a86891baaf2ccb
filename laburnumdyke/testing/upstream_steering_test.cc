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
  const instant mReturn = kReplayStart + 10s;

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

  void Register(std::vector<upstream_entry> aEntries,
                instant aNow = kReplayStart,
                instant aWrittenAfter = instant::min())
  {
    mSteering.Apply(mSteering.Directory().Replace(std::move(aEntries), aNow),
                    aNow,
                    aWrittenAfter);
  }

  // Takes the only upstream out of evacuation at mReturn. It has no request.
  void ReturnToService()
  {
    Register({ ReplayUpstream("e3", "east-b") });
    mSteering.SetEvacuated({ { "east-b" } }, kReplayStart);
    mSteering.SetEvacuated({}, mReturn);
  }

  // Reads a row of the only upstream.
  void ReadRow(std::uint64_t aSequence,
               std::chrono::milliseconds aColdLeft,
               instant aNow,
               instant aWrittenAfter)
  {
    upstream_entry row = ReplayUpstream("e3", "east-b");
    row.mSequence = aSequence;
    row.mColdLeft = aColdLeft;
    Register({ row }, aNow, aWrittenAfter);
  }

  bool IsCold(instant aNow)
  {
    steering_choice choice = Choose("1", aNow);
    return !choice.mTarget || choice.mTarget->mCold;
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
  Register({ again }, kReplayStart, kReplayStart);
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
  ReturnToService();
  steering_choice choice = Choose("1", kReplayStart + 10s);
  CHECK(choice.mTarget.has_value());
  mSteering.Begin(*choice.mTarget, kReplayStart + 10s);
  STRCMP_EQUAL("", Chosen("2", kReplayStart + 10100ms).c_str());
  // Until it registers as warm, having said that it was cold.
  ReadRow(2, 2500ms, kReplayStart + 10150ms, mReturn);
  STRCMP_EQUAL("", Chosen("2", kReplayStart + 10150ms).c_str());
  ReadRow(3, 0ms, kReplayStart + 10200ms, mReturn + 150ms);
  STRCMP_EQUAL("e3", Chosen("2", kReplayStart + 10200ms).c_str());
}

// Guards against a row that was written before an upstream became cold, read
// afterwards, which ends the limit on cold upstreams.
TEST(UpstreamSteering, AnEarlierRowDoesNotEndTheColdTime)
{
  ReturnToService();
  ReadRow(2, 0ms, mReturn + 100ms, mReturn - 1ms);
  CHECK(IsCold(mReturn + 200ms));
  ReadRow(3, 0ms, mReturn + 300ms, instant::min()); // a snapshot
  CHECK(IsCold(mReturn + 400ms));
  // Nor does an earlier row that gives a shorter time, but a longer one counts.
  ReadRow(4, 500ms, mReturn + 500ms, mReturn - 1ms);
  CHECK(IsCold(mReturn + 2900ms));
  ReadRow(5, 2800ms, mReturn + 600ms, mReturn - 1ms);
  CHECK(IsCold(mReturn + 3300ms));
  CHECK_FALSE(IsCold(mReturn + 3400ms));
}

// Guards against upstreams that report only how long they stay cold after their
// start: what they repeat says nothing about an event since.
TEST(UpstreamSteering, ARowThatRepeatsNoColdTimeDoesNotEndIt)
{
  ReturnToService();
  ReadRow(2, 0ms, mReturn + 100ms, mReturn + 50ms);
  ReadRow(3, 0ms, mReturn + 1600ms, mReturn + 1500ms);
  CHECK(IsCold(mReturn + 2900ms));
  CHECK_FALSE(IsCold(mReturn + 3s));
}

// The other orders of the end of an evacuation, rows and their readings.
TEST(UpstreamSteering, ALaterRowSaysHowLongTheColdTimeIs)
{
  ReturnToService();
  ReadRow(2, 1000ms, mReturn + 100ms, mReturn);
  CHECK(IsCold(mReturn + 1000ms));
  CHECK_FALSE(IsCold(mReturn + 1100ms));
  ReadRow(3, 0ms, mReturn + 200ms, mReturn + 100ms);
  CHECK_FALSE(IsCold(mReturn + 200ms));
  // Read before the end of the evacuation is: the limit holds.
  mSteering.SetEvacuated({ { "east-b" } }, mReturn + 1s);
  ReadRow(4, 1ms, mReturn + 2s, mReturn + 1s);
  mSteering.SetEvacuated({}, mReturn + 2100ms);
  CHECK(IsCold(mReturn + 2200ms));
  // Without any row it ends by itself.
  CHECK_FALSE(IsCold(mReturn + 5100ms));
}

// Guards against an upstream that gets requests again, at an address that has
// become another one's, because of a row that it wrote before.
TEST(UpstreamSteering, AnEarlierRowDoesNotEndAMisdirection)
{
  Register({ ReplayUpstream("e3", "east-b") });
  steering_choice choice = Choose("1");
  mSteering.Begin(*choice.mTarget, kReplayStart);
  attempt_report report;
  report.mWrongInstance = true;
  mSteering.End(*choice.mTarget, report, mReturn);
  ReadRow(2, 0ms, mReturn + 100ms, mReturn - 1ms);
  CHECK_FALSE(Choose("1", mReturn + 200ms).mTarget.has_value());
  ReadRow(3, 0ms, mReturn + 300ms, instant::min());
  CHECK_FALSE(Choose("1", mReturn + 400ms).mTarget.has_value());
  ReadRow(4, 0ms, mReturn + 500ms, mReturn);
  CHECK(Choose("1", mReturn + 600ms).mTarget.has_value());
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
