// An upstream that crashes and starts again under its own name: until its new
// registration is read, the old one says that it is warm.
#include "laburnumdyke/decision/upstream_steering.h"

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
  {
    std::vector<instance_location> fleet;
    for (std::size_t i = 0; i < aInstances; ++i) {
      std::string name = "i" + std::to_string(i);
      fleet.push_back({ { name }, { "east" } });
      mInstances.emplace_back(ReplayOptions(name, "east-a"));
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

  void Run(double aPerSecond)
  {
    std::exponential_distribution<double> pause(aPerSecond);
    instant end = kRestart + 5s;
    bool isRead = false;
    for (instant now = kReplayStart; now < end;) {
      now += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause(mRandom)));
      FinishUntil(now);
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
        report.mRefusedConnection = true;
        mInstances[instance].End(*choice.mTarget, report, aNow);
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
  route_spec mRoute = ReplayRoute();
  std::deque<upstream_steering> mInstances;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  std::deque<instant> mArrivals;
};

} // namespace

TEST_GROUP(RestartedUpstream){};

// Guards against a flood of requests to a cold upstream, by instances that take
// the upstream for the one that crashed. Seen as violations of FAILBACK.
TEST(RestartedUpstream, ItIsNotFloodedBeforeItsRegistrationIsRead)
{
  steering_options options;
  double bound = kColdRate * options.mColdOvershoot + options.mColdSlack;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash_replay replay(16, seed);
    replay.Run(50);
    CHECK(static_cast<double>(replay.MostInASecond()) <= bound);
  }
}

// Guards against an instance that has met a refused connection and takes the
// upstream for warm once it answers again.
TEST(RestartedUpstream, ARefusedConnectionIsFollowedByAColdStart)
{
  upstream_steering steering{ ReplayOptions("one", "east-a") };
  steering.SetRules(ReplayRules());
  steering.SetFleet({ { { "one" }, { "east" } } });
  steering.Apply(steering.Directory().Replace(
                   { ReplayUpstream("e1", "east-a") }, kReplayStart),
                 kReplayStart);
  route_spec route = ReplayRoute();
  std::vector<upstream_id> tried;
  steering_request request{ route,        { "sheets" },      "1",
                            kReplayStart, kReplayStart + 3s, tried };
  steering_choice first = steering.Choose(request, kReplayStart);
  CHECK_FALSE(first.mTarget->mCold);
  steering.Begin(*first.mTarget, kReplayStart);
  attempt_report report;
  report.mResult = attempt_result::Failed;
  report.mRefusedConnection = true;
  steering.End(*first.mTarget, report, kReplayStart);
  instant later = kReplayStart + 2s;
  steering_choice second = steering.Choose(request, later);
  CHECK(second.mTarget.has_value());
  CHECK(second.mTarget->mCold);
}
