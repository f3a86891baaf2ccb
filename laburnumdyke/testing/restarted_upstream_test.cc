// An upstream that crashes and starts again under its own name: until its new
// registration is read, the old one says that it is warm.
#include "laburnumdyke/decision/upstream_steering.h"
#include "laburnumdyke/decision/upstream_update.h"

#include "laburnumdyke/testing/harness/load_replay.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr double kColdRate = 3.6; // requests a second, of ReplayRules()
const instant kCrash = kReplayStart + 7s;
const instant kRestart = kCrash + 1200ms;
// From the start of an upstream until instances have read its registration.
constexpr std::chrono::milliseconds kReadAfter{ 900 };
// From a report of one instance until all others have it.
constexpr std::chrono::milliseconds kReportDelay{ 100 };
constexpr std::chrono::milliseconds kWarmWork{ 250 };
constexpr std::chrono::milliseconds kColdWork{ 1500 };
const upstream_id kCrashing{ "u0" };

upstream_entry
RestartedEntry()
{
  upstream_entry entry = ReplayUpstream(kCrashing.mValue, "east-a");
  entry.mBorn = 2000ms;
  entry.mColdLeft = 2100ms;
  return entry;
}

struct finish
{
  instant mAt;
  std::size_t mInstance;
  steering_target mTarget;
  duration mTook;
  bool operator>(const finish& aOther) const { return mAt > aOther.mAt; }
};

// Instances that send to a few upstreams, of which kCrashing crashes and starts
// again. All read its registration at the same time.
class crash_replay
{
public:
  crash_replay(std::size_t aInstances, unsigned aSeed)
    : mRandom(aSeed)
    , mCount(aInstances)
  {
    StartInstances();
  }

  // The instances are in another failure domain than the upstreams, and
  // connections to kCrashing time out while it is down.
  crash_replay(std::size_t aInstances, unsigned aSeed, std::string aDomain)
    : mRandom(aSeed)
    , mCount(aInstances)
    , mDomain(std::move(aDomain))
    , mFailure(connect_failure::TimedOut)
  {
    StartInstances();
  }

  // All instances start again at aAt and read the same rows as before.
  void SetInstanceRestart(instant aAt) { mInstanceRestart = aAt; }

  void Run(double aPerSecond)
  {
    std::exponential_distribution<double> pause(aPerSecond);
    instant end = kRestart + 5s;
    bool isRead = false;
    for (instant now = kReplayStart; now < end;) {
      now += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause(mRandom)));
      if (now >= mInstanceRestart) {
        mInstanceRestart = instant::max();
        StartInstances();
      }
      FinishUntil(now);
      Report(now);
      if (!isRead && now >= kRestart + kReadAfter) {
        isRead = true;
        for (upstream_steering& instance : mInstances) {
          instance.Apply(instance.Directory().ApplyRows(
                           { { kCrashing, RestartedEntry() } }, now),
                         now,
                         kRestart - 1ms);
        }
      }
      Arrive(now);
    }
  }

  // Requests that reach the new start of kCrashing in any second while it is
  // cold.
  std::size_t MostInASecond() const
  {
    std::size_t most = 0;
    for (auto first = mArrivals.begin(); first != mArrivals.end(); ++first) {
      auto last = std::lower_bound(first, mArrivals.end(), *first + 1s);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

private:
  void StartInstances()
  {
    mInstances.clear();
    mFinishes = {};
    mReports.clear();
    std::vector<instance_location> fleet;
    for (std::size_t i = 0; i < mCount; ++i) {
      std::string name = "i" + std::to_string(i);
      fleet.push_back({ { name }, { "east" } });
      mInstances.emplace_back(ReplayOptions(name, mDomain));
    }
    for (upstream_steering& instance : mInstances) {
      instance.SetRules(ReplayRules());
      instance.SetFleet(fleet);
      std::vector<upstream_entry> entries;
      for (const char* name : { "u0", "u1", "u2", "u3" }) {
        entries.push_back(ReplayUpstream(name, "east-a"));
        entries.back().mBorn = 1000ms;
      }
      instance.Apply(instance.Directory().Replace(entries, kReplayStart),
                     kReplayStart);
    }
  }

  void Arrive(instant aNow)
  {
    std::size_t instance = mRandom() % mInstances.size();
    std::string object = std::to_string(mRandom() % kReplayObjects);
    std::vector<upstream_id> tried;
    bool mayRetry = true;
    while (mayRetry) {
      steering_choice choice = mInstances[instance].Choose(
        { mRoute, { "sheets" }, object, aNow, aNow + 3s, tried }, aNow);
      if (!choice.mTarget) {
        return;
      }
      mInstances[instance].Begin(*choice.mTarget, aNow);
      bool isDown =
        choice.mTarget->mId == kCrashing && aNow >= kCrash && aNow < kRestart;
      if (isDown) {
        attempt_report report;
        report.mResult = attempt_result::Failed;
        report.mConnectFailure = mFailure;
        mInstances[instance].End(*choice.mTarget, report, aNow);
        for (const restart_report& one :
             mInstances[instance].TakeRestartReports()) {
          mReports.push_back({ aNow + kReportDelay, one });
        }
      } else {
        Send(instance, *choice.mTarget, aNow);
      }
      mayRetry = isDown && tried.empty();
      tried.push_back(choice.mTarget->mId);
    }
  }

  void Send(std::size_t aInstance, const steering_target& aTarget, instant aNow)
  {
    bool isCold = aTarget.mId == kCrashing && aNow >= kRestart;
    if (isCold && aNow < kRestart + 3s) {
      mArrivals.push_back(aNow);
    }
    duration work = isCold ? kColdWork : kWarmWork;
    mFinishes.push({ aNow + work, aInstance, aTarget, work });
  }

  void Report(instant aNow)
  {
    while (!mReports.empty() && mReports.front().first <= aNow) {
      for (upstream_steering& instance : mInstances) {
        instance.LearnRestart(mReports.front().second, aNow);
      }
      mReports.pop_front();
    }
  }

  void FinishUntil(instant aNow)
  {
    while (!mFinishes.empty() && mFinishes.top().mAt <= aNow) {
      finish done = mFinishes.top();
      mFinishes.pop();
      attempt_report report;
      report.mResult = attempt_result::Answered;
      report.mTook = done.mTook;
      report.mBytes = 1500;
      mInstances[done.mInstance].End(done.mTarget, report, done.mAt);
    }
  }

  std::mt19937 mRandom;
  std::size_t mCount;
  std::string mDomain = "east-a";
  connect_failure mFailure = connect_failure::Refused;
  instant mInstanceRestart = instant::max();
  route_spec mRoute = ReplayRoute();
  std::deque<upstream_steering> mInstances;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  std::deque<std::pair<instant, restart_report>> mReports; // by arrival
  std::deque<instant> mArrivals;
};

double
ColdBound()
{
  steering_options options;
  return kColdRate * options.mColdOvershoot + options.mColdSlack;
}

} // namespace

TEST_GROUP(RestartedUpstream)
{
  upstream_steering mSteering{ ReplayOptions("one", "east-a") };
  const instant mSeen = kReplayStart + 1s; // the crash

  void setup() override
  {
    mSteering.SetRules(ReplayRules());
    mSteering.SetFleet({ { { "one" }, { "east" } } });
    ReadRow(1, instant::min(), kReplayStart);
  }

  // Reads a row of the only upstream that says that it is warm.
  void ReadRow(std::uint64_t aSequence, instant aWrittenAfter, instant aNow)
  {
    upstream_entry entry = ReplayUpstream("e1", "east-a");
    entry.mBorn = 1000ms;
    entry.mSequence = aSequence;
    mSteering.Apply(
      mSteering.Directory().Put(entry, aNow), aNow, aWrittenAfter);
  }

  steering_choice Choose(instant aNow)
  {
    return mSteering.Choose(
      { mRoute, { "sheets" }, "1", aNow, aNow + 3s, mTried }, aNow);
  }

  void Attempt(attempt_report aReport, instant aNow)
  {
    steering_choice choice = Choose(aNow);
    mSteering.Begin(*choice.mTarget, aNow);
    mSteering.End(*choice.mTarget, aReport, aNow);
  }

  void FailToConnect(connect_failure aFailure, instant aNow)
  {
    attempt_report report;
    report.mResult = attempt_result::Failed;
    report.mConnectFailure = aFailure;
    Attempt(report, aNow);
  }

  void Refuse(instant aNow)
  {
    FailToConnect(connect_failure::Refused, aNow);
  }

  bool IsCold(instant aNow)
  {
    steering_choice choice = Choose(aNow);
    return !choice.mTarget || choice.mTarget->mCold;
  }

  route_spec mRoute = ReplayRoute();
  std::vector<upstream_id> mTried;
};

// Guards against a flood of requests to a cold upstream, by instances that take
// the upstream for the one that crashed. Seen as violations of FAILBACK.
TEST(RestartedUpstream, ItIsNotFloodedBeforeItsRegistrationIsRead)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash_replay replay(16, seed);
    replay.Run(50);
    CHECK(static_cast<double>(replay.MostInASecond()) <= ColdBound());
  }
}

// Guards against the same by instances that sent nothing to the upstream while
// it was down, of which there are more in a large fleet.
TEST(RestartedUpstream, InstancesThatDidNotMeetItDontFloodIt)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash_replay replay(120, seed);
    replay.Run(60);
    CHECK(static_cast<double>(replay.MostInASecond()) <= ColdBound());
  }
}

// Guards against an instance that has met a refused connection and takes the
// upstream for warm once it answers again.
TEST(RestartedUpstream, ARefusedConnectionIsFollowedByAColdStart)
{
  CHECK_FALSE(IsCold(kReplayStart));
  Refuse(mSeen);
  steering_choice choice = Choose(mSeen + 2s);
  CHECK(choice.mTarget.has_value());
  CHECK(choice.mTarget->mCold);
}

// Guards against a request that waits for its connection while the upstream
// starts again, and is sent as if it were warm.
TEST(RestartedUpstream, ARequestChosenBeforeIsNotSent)
{
  steering_choice choice = Choose(mSeen);
  CHECK(mSteering.MaySend(*choice.mTarget, mSeen));
  CHECK(mSteering.LearnRestart({ { "e1" }, 1000ms }, mSeen + 10ms).has_value());
  CHECK_FALSE(mSteering.MaySend(*choice.mTarget, mSeen + 20ms));
}

// Guards against the cold time of an upstream that never ended: it refused a
// connection for lack of room.
TEST(RestartedUpstream, ALaterRowOfTheSameStartRefutesIt)
{
  Refuse(mSeen);
  // The process may have been writing this one as it ended.
  ReadRow(2, mSeen + 500ms, mSeen + 1500ms);
  CHECK(IsCold(mSeen + 2s));
  ReadRow(3, instant::min(), mSeen + 2s); // a snapshot
  CHECK(IsCold(mSeen + 2s));
  ReadRow(4, mSeen + 1s, mSeen + 2500ms);
  CHECK_FALSE(IsCold(mSeen + 2500ms));
}

// Guards against an upstream that stays cold while the store is away.
TEST(RestartedUpstream, ItIsWarmOnceItHasAnsweredForTheColdTime)
{
  Refuse(mSeen);
  attempt_report answered;
  answered.mResult = attempt_result::Answered;
  answered.mTook = 100ms;
  Attempt(answered, mSeen + 2s);
  CHECK(IsCold(mSeen + 4900ms));
  CHECK_FALSE(IsCold(mSeen + 5s));
}

TEST(RestartedUpstream, OnlyWhatAnInstanceSawItselfIsReported)
{
  CHECK(mSteering.LearnRestart({ { "e1" }, 1000ms }, mSeen).has_value());
  CHECK(mSteering.TakeRestartReports().empty());
  // An unknown upstream, and a start that has been succeeded by the known one.
  CHECK_FALSE(mSteering.LearnRestart({ { "e2" }, 1000ms }, mSeen).has_value());
  CHECK_FALSE(mSteering.LearnRestart({ { "e1" }, 500ms }, mSeen).has_value());
  ReadRow(2, mSeen + 1s, mSeen + 2s);
  Refuse(mSeen + 3s);
  std::vector<restart_report> reports = mSteering.TakeRestartReports();
  CHECK(reports == std::vector<restart_report>({ { { "e1" }, 1000ms } }));
  CHECK(mSteering.TakeRestartReports().empty());
  CHECK(mSteering.RecentlySuspected(mSeen + 3s).count({ "e1" }) == 1);
}

// Guards against a flood by instances that can't tell a silent machine from a
// cut link, and against the cold time of all upstreams behind a cut link at
// instances that reach them.
TEST(RestartedUpstream, ASilentOneIsReportedOnlyWithinItsFailureDomain)
{
  FailToConnect(connect_failure::Other, mSeen);
  CHECK_FALSE(IsCold(mSeen + 2s));
  FailToConnect(connect_failure::TimedOut, mSeen + 2s);
  CHECK(IsCold(mSeen + 4s));
  LONGS_EQUAL(1, mSteering.TakeRestartReports().size());
  upstream_entry far = ReplayUpstream("e1", "east-b");
  far.mBorn = 2000ms;
  mSteering.Apply(mSteering.Directory().Put(far, mSeen + 5s), mSeen + 5s);
  FailToConnect(connect_failure::TimedOut, mSeen + 6s);
  CHECK(IsCold(mSeen + 8s));
  CHECK(mSteering.TakeRestartReports().empty());
}

// Guards against a flood by instances of other failure domains after a silent
// crash: no instance of the upstream's own one is there to report it.
TEST(RestartedUpstream, ASilentOneIsNotFloodedFromOtherFailureDomains)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash_replay replay(120, seed, "east-b");
    replay.Run(60);
    CHECK(static_cast<double>(replay.MostInASecond()) <= ColdBound());
  }
}

// Guards against a flood by instances that start while the upstream is down:
// reports are not repeated, and the first snapshot has its old row.
TEST(RestartedUpstream, InstancesThatStartMeanwhileDontFloodIt)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash_replay replay(16, seed);
    replay.SetInstanceRestart(kRestart - 50ms);
    replay.Run(60);
    CHECK(static_cast<double>(replay.MostInASecond()) <= ColdBound());
  }
}

// Guards against a second restart that other instances aren't told of: an
// answer came in between, so the refusal is that of another start.
TEST(RestartedUpstream, ARefusalAfterAnAnswerIsReportedAgain)
{
  Refuse(mSeen);
  LONGS_EQUAL(1, mSteering.TakeRestartReports().size());
  attempt_report answered;
  answered.mResult = attempt_result::Answered;
  answered.mTook = 100ms;
  Attempt(answered, mSeen + 2s);
  Refuse(mSeen + 4s);
  LONGS_EQUAL(1, mSteering.TakeRestartReports().size());
}

// Guards against a change for deployments without a cold time or a cold rate.
TEST(RestartedUpstream, WithoutAColdTimeNothingCountsAsCold)
{
  mSteering.SetRules(nullptr);
  Refuse(mSeen);
  CHECK_FALSE(IsCold(mSeen + 2s));
}

// Guards against upstreams that stay cold after a cut link is back, at
// followers of a reader that has not suspected them: the reader leaves their
// heartbeats out.
TEST(RestartedUpstream, AFollowerLearnsThatASilentOneHasNotRestarted)
{
  upstream_steering reader{ ReplayOptions("reader", "east-a") };
  upstream_entry entry = ReplayUpstream("e1", "east-b");
  entry.mBorn = 3000ms;
  reader.Apply(reader.Directory().Put(entry, mSeen), mSeen);
  mSteering.Apply(mSteering.Directory().Put(entry, mSeen), mSeen);
  FailToConnect(connect_failure::TimedOut, mSeen);
  CHECK(mSteering.TakeRestartReports().empty());
  for (int i = 1; i <= 6; ++i) {
    instant now = mSeen + i * 1s;
    ++entry.mSequence;
    std::vector<upstream_change> changes = reader.Directory().Put(entry, now);
    reader.Apply(changes, now, now - 1s);
    upstream_update update =
      ToUpdate({}, {}, changes, {}, reader.RecentlySuspected(now));
    mSteering.Apply(
      mSteering.Directory().ApplyRows(ToRows(std::move(update)), now),
      now,
      now - 1s);
  }
  CHECK_FALSE(IsCold(mSeen + 6s));
}

// Guards against two requests of one sender within a second: the first one
// waits for its connection, which may take half a second.
TEST(RestartedUpstream, TheIntervalOfASenderCountsFromTheSend)
{
  Refuse(mSeen);
  steering_choice first = Choose(mSeen + 2s);
  mSteering.Begin(*first.mTarget, mSeen + 2s);
  CHECK(mSteering.MaySend(*first.mTarget, mSeen + 2450ms));
  steering_choice second = Choose(mSeen + 3250ms);
  CHECK_FALSE(second.mTarget.has_value() &&
              mSteering.MaySend(*second.mTarget, mSeen + 3250ms));
}

// Guards against a flood while the store is away and the upstream stays down:
// the instances that send to it meet refused connections all the time, and the
// others, which were told once, take it for warm.
TEST(RestartedUpstream, ItStaysColdAtOthersWhileItRefusesConnections)
{
  upstream_steering other{ ReplayOptions("other", "east-a") };
  other.SetRules(ReplayRules());
  upstream_entry entry = ReplayUpstream("e1", "east-a");
  entry.mBorn = 1000ms;
  other.Apply(other.Directory().Put(entry, kReplayStart), kReplayStart);
  instant now = mSeen;
  for (; now < mSeen + 15s; now += 1500ms) {
    Refuse(now);
    for (const restart_report& report : mSteering.TakeRestartReports()) {
      other.LearnRestart(report, now);
    }
  }
  steering_choice choice =
    other.Choose({ mRoute, { "sheets" }, "1", now, now + 3s, mTried }, now);
  CHECK_FALSE(choice.mTarget.has_value() && !choice.mTarget->mCold);
}

// Guards against a row that is read late, of a start that has ended meanwhile:
// it may have been written before the refused connection.
TEST(RestartedUpstream, ARowFromBeforeTheRefusalDoesNotEndTheSuspicion)
{
  Refuse(mSeen);
  Refuse(mSeen + 3s);
  upstream_entry entry = ReplayUpstream("e1", "east-a");
  entry.mBorn = 2000ms;
  entry.mColdLeft = 300ms;
  instant now = mSeen + 3200ms;
  mSteering.Apply(mSteering.Directory().Put(entry, now), now, mSeen + 1s);
  CHECK(IsCold(now + 1s));
}
