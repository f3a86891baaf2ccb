// Steering: the choice of an upstream, and simulations in virtual time of
// several instances that send to the same upstreams.
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;

steering_options
Options(const std::string& aSelf, const std::string& aDomain)
{
  steering_options options;
  options.mSelf = { aSelf };
  options.mDomain = { aDomain };
  options.mRegion = { aDomain.substr(0, aDomain.find('-')) };
  for (const char* region : { "east", "west" }) {
    for (const char* letter : { "-a", "-b" }) {
      options.mRegions[{ std::string(region) + letter }] = { region };
    }
  }
  return options;
}

upstream_entry
Upstream(const std::string& aId, const std::string& aDomain)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mService = { "sheets" };
  entry.mDomain = { aDomain };
  entry.mAddress = { "10.0.0.1", 80 };
  entry.mSlots = 3;
  entry.mSequence = 1;
  return entry;
}

route_spec
Sheets()
{
  route_spec route;
  route.mName = "sheets";
  route.mIdempotent = true;
  route.mObjective = 400ms;
  route.mAffinity = true;
  route.mServices = { { { "sheets" }, 1 } };
  route.mTimeout = 3000ms;
  route.mMaxAttempts = 2;
  return route;
}

std::shared_ptr<const route_table>
Rules()
{
  routing_document document;
  document.mVersion = 1;
  document.mServices[{ "sheets" }] = { 3000ms, 3.6 };
  return std::make_shared<const route_table>(std::move(document));
}

} // namespace

TEST_GROUP(UpstreamSteering)
{
  route_spec mRoute = Sheets();
  upstream_steering mSteering{ Options("one", "east-a") };
  std::vector<upstream_id> mTried;

  void setup() override
  {
    mSteering.SetRules(Rules());
    mSteering.SetFleet({ { { "one" }, { "east" } } });
    Register({ Upstream("e1", "east-a"),
               Upstream("e2", "east-a"),
               Upstream("e3", "east-b"),
               Upstream("w1", "west-a"),
               Upstream("w2", "west-b") });
  }

  void Register(std::vector<upstream_entry> aEntries)
  {
    mSteering.Apply(mSteering.Directory().Replace(std::move(aEntries), kStart),
                    kStart);
  }

  steering_choice Choose(const std::string& aObject, instant aNow = kStart)
  {
    return mSteering.Choose(
      { mRoute, { "sheets" }, aObject, aNow, aNow + mRoute.mTimeout, mTried },
      aNow);
  }

  std::string Chosen(const std::string& aObject, instant aNow = kStart)
  {
    steering_choice choice = Choose(aObject, aNow);
    return choice.mTarget ? choice.mTarget->mId.mValue : "";
  }
};

TEST(UpstreamSteering, AllInstancesOfARegionChooseTheSameUpstreamForAnObject)
{
  upstream_steering other{ Options("two", "east-b") };
  other.SetRules(Rules());
  other.Apply(other.Directory().Replace({ Upstream("e1", "east-a"),
                                          Upstream("e2", "east-a"),
                                          Upstream("e3", "east-b"),
                                          Upstream("w1", "west-a") },
                                        kStart),
              kStart);
  for (int i = 0; i < 50; ++i) {
    std::string object = std::to_string(i);
    steering_choice choice = other.Choose(
      { mRoute, { "sheets" }, object, kStart, kStart + 3s, mTried }, kStart);
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
  Register({ Upstream("e1", "east-a"), Upstream("e3", "east-b") });
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
  std::vector<upstream_entry> entries = { Upstream("e1", "east-a"),
                                          Upstream("e2", "east-a"),
                                          Upstream("e3", "east-b") };
  entries[0].mDraining = true;
  Register(entries);
  mSteering.SetEvacuated({ { "east-b" } }, kStart);
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("e2", Chosen(std::to_string(i)).c_str());
  }
  mTried = { { "e2" } };
  steering_choice choice = Choose("1");
  CHECK_FALSE(choice.mTarget.has_value());
  CHECK(choice.mReason == refusal_reason::NoUpstream);
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
  Register({ Upstream("e1", "east-a") });
  steering_choice choice = Choose("1");
  attempt_report report;
  report.mWrongInstance = true;
  mSteering.Begin(*choice.mTarget, kStart);
  mSteering.End(*choice.mTarget, report, kStart);
  STRCMP_EQUAL("", Chosen("1").c_str());
  upstream_entry again = Upstream("e1", "east-a");
  again.mSequence = 2;
  Register({ again });
  STRCMP_EQUAL("e1", Chosen("1").c_str());
}

TEST(UpstreamSteering, AFullUpstreamIsNotUnhealthy)
{
  Register({ Upstream("e1", "east-a"), Upstream("w1", "west-a") });
  steering_choice choice = Choose("1");
  attempt_report report;
  report.mResult = attempt_result::Abandoned;
  report.mQueueFull = true;
  mSteering.Begin(*choice.mTarget, kStart);
  mSteering.End(*choice.mTarget, report, kStart);
  // The region has upstreams, if full ones, so spillover stays limited.
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    refused += Choose("1").mTarget ? 0 : 1;
  }
  CHECK(refused >= 18);
}

TEST(UpstreamSteering, ARegionWithFewUpstreamsSpillsOverFromTheFirstRequestOn)
{
  // The region has half of the instances and a tenth of the slots.
  std::vector<upstream_entry> entries = { Upstream("e1", "east-a") };
  for (int i = 0; i < 9; ++i) {
    entries.push_back(Upstream("w" + std::to_string(i), "west-a"));
  }
  Register(entries);
  mSteering.SetFleet({ { { "one" }, { "east" } }, { { "two" }, { "west" } } });
  int remote = 0;
  for (int i = 0; i < 100; ++i) {
    std::string chosen = Chosen(std::to_string(i), kStart + i * 1ms);
    remote += chosen[0] == 'w' ? 1 : 0;
  }
  CHECK(remote > 30 && remote < 70);
}

TEST(UpstreamSteering, RefusedRequestsGetSpreadRetryDelays)
{
  Register({ Upstream("e1", "east-a") });
  for (int i = 0; i < 40; ++i) {
    steering_choice choice = Choose(std::to_string(i));
    if (choice.mTarget) {
      mSteering.Begin(*choice.mTarget, kStart);
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
  Register({ Upstream("e3", "east-b") });
  mSteering.SetEvacuated({ { "east-b" } }, kStart);
  mSteering.SetEvacuated({}, kStart + 10s);
  steering_choice choice = Choose("1", kStart + 10s);
  CHECK(choice.mTarget.has_value());
  mSteering.Begin(*choice.mTarget, kStart + 10s);
  STRCMP_EQUAL("", Chosen("2", kStart + 10100ms).c_str());
  // Until it registers as warm.
  upstream_entry again = Upstream("e3", "east-b");
  again.mSequence = 2;
  Register({ again });
  STRCMP_EQUAL("e3", Chosen("2", kStart + 10200ms).c_str());
}

namespace {

// Model of an upstream: slots, a short queue, and a cache of recent objects
// that makes requests for them faster.
struct model_upstream
{
  std::uint32_t mRunning = 0;
  std::deque<std::size_t> mWaiting{}; // indices of requests
  std::deque<std::string> mCached{};
};

struct model_request
{
  std::size_t mInstance = 0;
  std::string mObject;
  instant mArrived{};
  instant mSent{};
  steering_target mTarget;
};

struct model_result
{
  int mOnTime = 0;
  int mLate = 0;
  int mRefused = 0;
  int mShed = 0;
};

constexpr std::uint32_t kModelSlots = 3;
constexpr std::size_t kModelQueue = 9;
constexpr std::size_t kModelCacheSize = 18;
constexpr std::chrono::milliseconds kModelUncachedWork{ 640 };
constexpr std::chrono::milliseconds kModelCachedWork{ 192 };

// Several instances in front of the upstreams of one region, with Poisson
// arrivals. The instances share nothing but the upstreams.
class load_replay
{
public:
  load_replay(std::size_t aInstances, std::size_t aUpstreams, unsigned aSeed)
    : mRandom(aSeed)
  {
    std::vector<upstream_entry> entries;
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      entries.push_back(
        Upstream("u" + std::to_string(i), i % 2 == 0 ? "east-a" : "east-b"));
      mUpstreams[entries.back().mId] = {};
    }
    std::vector<instance_location> fleet;
    for (std::size_t i = 0; i < aInstances; ++i) {
      fleet.push_back({ { "i" + std::to_string(i) }, { "east" } });
    }
    for (std::size_t i = 0; i < aInstances; ++i) {
      steering_options options =
        Options(fleet[i].mInstance.mValue, i % 2 == 0 ? "east-a" : "east-b");
      options.mSeed = i + 1;
      mInstances.emplace_back(options);
      mInstances.back().SetRules(Rules());
      mInstances.back().SetFleet(fleet);
      mInstances.back().Apply(
        mInstances.back().Directory().Replace(entries, kStart), kStart);
    }
  }

  model_result Run(double aPerSecond, std::chrono::seconds aFor)
  {
    std::exponential_distribution<double> interarrival(aPerSecond);
    std::uniform_int_distribution<int> object(0, 23);
    instant next = kStart;
    while (next < kStart + aFor) {
      FinishUntil(next);
      Arrive(next, std::to_string(object(mRandom)));
      next += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(interarrival(mRandom)));
    }
    FinishUntil(kStart + aFor + 1h);
    return mResult;
  }

private:
  struct finish
  {
    instant mAt;
    std::size_t mRequest;
    bool operator>(const finish& aOther) const { return mAt > aOther.mAt; }
  };

  void Arrive(instant aNow, const std::string& aObject)
  {
    std::size_t instance = mRandom() % mInstances.size();
    static const std::vector<upstream_id> kNoneTried;
    steering_choice choice = mInstances[instance].Choose(
      { mRoute, { "sheets" }, aObject, aNow, aNow + 3s, kNoneTried }, aNow);
    if (!choice.mTarget) {
      ++mResult.mRefused;
      return;
    }
    mInstances[instance].Begin(*choice.mTarget, aNow);
    model_upstream& upstream = mUpstreams[choice.mTarget->mId];
    mRequests.push_back({ instance, aObject, aNow, aNow, *choice.mTarget });
    std::size_t number = mRequests.size() - 1;
    if (upstream.mRunning < kModelSlots) {
      Begin(number, aNow);
    } else if (upstream.mWaiting.size() < kModelQueue) {
      upstream.mWaiting.push_back(number);
    } else {
      ++mResult.mShed;
      attempt_report report;
      report.mQueueFull = true;
      report.mLoad = Load(upstream);
      mInstances[instance].End(*choice.mTarget, report, aNow);
    }
  }

  static reported_load Load(const model_upstream& aUpstream)
  {
    return { aUpstream.mRunning,
             static_cast<std::uint32_t>(aUpstream.mWaiting.size()),
             kModelSlots };
  }

  void Begin(std::size_t aNumber, instant aNow)
  {
    const model_request& request = mRequests[aNumber];
    model_upstream& upstream = mUpstreams[request.mTarget.mId];
    ++upstream.mRunning;
    auto cached = std::find(
      upstream.mCached.begin(), upstream.mCached.end(), request.mObject);
    bool isCached = cached != upstream.mCached.end();
    if (isCached) {
      upstream.mCached.erase(cached);
    }
    upstream.mCached.push_back(request.mObject);
    if (upstream.mCached.size() > kModelCacheSize) {
      upstream.mCached.pop_front();
    }
    mFinishes.push(
      { aNow + (isCached ? kModelCachedWork : kModelUncachedWork), aNumber });
  }

  void FinishUntil(instant aUntil)
  {
    while (!mFinishes.empty() && mFinishes.top().mAt <= aUntil) {
      finish done = mFinishes.top();
      mFinishes.pop();
      const model_request request = mRequests[done.mRequest];
      model_upstream& upstream = mUpstreams[request.mTarget.mId];
      --upstream.mRunning;
      if (!upstream.mWaiting.empty()) {
        std::size_t number = upstream.mWaiting.front();
        upstream.mWaiting.pop_front();
        Begin(number, done.mAt);
      }
      duration elapsed = done.mAt - request.mArrived;
      (elapsed <= mRoute.mObjective ? mResult.mOnTime : mResult.mLate) += 1;
      attempt_report report;
      report.mResult = attempt_result::Answered;
      report.mTook = done.mAt - request.mSent;
      report.mBytes = 1500;
      report.mLoad = Load(upstream);
      mInstances[request.mInstance].End(request.mTarget, report, done.mAt);
    }
  }

  std::mt19937 mRandom;
  route_spec mRoute = Sheets();
  std::deque<upstream_steering> mInstances;
  std::map<upstream_id, model_upstream> mUpstreams;
  std::deque<model_request> mRequests;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  model_result mResult;
};

} // namespace

TEST_GROUP(LoadReplay){};

// A quarter of the capacity for cached objects: objects stay on their first
// choices, so nearly all requests are for cached objects after the first one.
TEST(LoadReplay, AtLowLoadObjectsStayCached)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay(8, 6, seed);
    model_result result = replay.Run(25, 30s);
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
    load_replay replay(8, 6, seed);
    model_result result = replay.Run(70, 30s);
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
    load_replay replay(8, 2, seed);
    LONGS_EQUAL(0, replay.Run(120, 1s).mShed);
  }
}

// One and a half times the capacity: requests that cannot meet the objective
// are refused, so that most of those served meet it.
TEST(LoadReplay, PastCapacityServedRequestsAreStillOnTime)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    load_replay replay(8, 6, seed);
    model_result result = replay.Run(140, 30s);
    CHECK(result.mOnTime > result.mLate);
    CHECK(result.mRefused > 0);
  }
}
