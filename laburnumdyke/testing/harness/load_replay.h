// Replays load in virtual time on several instances, in one or more regions,
// that share nothing but their upstreams.
//
// Usage:
//   load_replay replay({ { "east", 8, 6, 25 } }, seed);
//   replay.SetBurst(kReplayStart, 6s, 2.5);
//   replay.Run(30s);
//   replay.Result("east").mOnTime; replay.GreatestShift("east", 2s);
//
// AddCallers() adds callers with a route or a customer of their own, whose
// results are counted under their own name.
#pragma once

#include "laburnumdyke/decision/upstream_steering.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace laburnumdyke {

inline const instant kReplayStart = instant() + std::chrono::hours(1);

// A steered instance in aDomain; the regions are "east", "west" and "north",
// each with the failure domains "-a" and "-b".
steering_options
ReplayOptions(const std::string& aSelf, const std::string& aDomain);

upstream_entry
ReplayUpstream(const std::string& aId, const std::string& aDomain);

// The service "sheets", whose upstreams are faster on cached objects.
route_spec
ReplayRoute();

std::shared_ptr<const route_table>
ReplayRules();

inline constexpr int kReplayObjects = 24;

struct replay_region
{
  std::string mName;
  std::size_t mInstances = 0;
  std::size_t mUpstreams = 0;
  double mPerSecond = 0; // mean rate of requests of the region's callers
  int mObjects = kReplayObjects; // that they ask for
};

// Callers in a region that are counted under their own name.
struct replay_callers
{
  std::string mName;
  std::string mRegion;
  double mPerSecond = 0;
  route_spec mRoute = ReplayRoute();
  std::optional<customer_spec> mCustomer{};
  int mObjects = kReplayObjects; // that they ask for
};

// Numbers of requests of a region's callers.
struct replay_result
{
  int mOnTime = 0;
  int mLate = 0;
  int mRefused = 0;
  int mShed = 0; // refused by an upstream whose queue was full

  int All() const { return mOnTime + mLate + mRefused + mShed; }
  // The part of the requests that ran.
  double Served() const
  {
    return All() == 0 ? 0 : static_cast<double>(mOnTime + mLate) / All();
  }
};

class load_replay
{
public:
  load_replay(std::vector<replay_region> aRegions,
              unsigned aSeed,
              learned_speed aLearnedSpeed = learned_speed::Reported,
              uneven_load aUnevenLoad = uneven_load::Never);

  // aCallers' region must be one of the replay's.
  void AddCallers(replay_callers aCallers);
  // Gives all instances rules, in place of ReplayRules().
  void SetRules(const std::shared_ptr<const route_table>& aRules);

  // All rates are aFactor times as high from aBegin for aFor.
  void SetBurst(instant aBegin, duration aFor, double aFactor);

  // Multiplies the rates of regions by what the function returns.
  using rate_factor = std::function<double(const std::string&, instant)>;
  void SetRateFactor(rate_factor aFactor) { mRateFactor = std::move(aFactor); }

  // Calls the function every aPeriod with the instances, in virtual time.
  using instance_step =
    std::function<void(std::deque<upstream_steering>&,
                       const std::vector<instance_location>&,
                       instant)>;
  void SetStep(duration aPeriod, instance_step aStep)
  {
    mStepPeriod = aPeriod;
    mStep = std::move(aStep);
  }

  // Mean time from arrival to the end of a region's served requests.
  duration MeanTime(const std::string& aRegion) const;

  // The upstreams of a region take aFactor times as long for requests that
  // begin from aBegin for aFor; all upstreams report how long work takes.
  void SetSlow(const std::string& aRegion,
               instant aBegin,
               duration aFor,
               double aFactor);

  // Poisson arrivals for aFor; then waits until all requests have ended.
  void Run(std::chrono::seconds aFor);

  const replay_result& Result(const std::string& aRegion)
  {
    return mResults[aRegion];
  }

  // The greatest part, 0 to 1, of the region's requests that changes the region
  // in which they run from a window to the next one, over sliding windows.
  double GreatestShift(const std::string& aRegion, duration aWindow) const;

private:
  // Slots, a short queue, and a cache of recent objects.
  struct model_upstream
  {
    std::uint32_t mRunning = 0;
    std::deque<std::size_t> mWaiting{}; // indices of requests
    std::deque<std::string> mCached{};
  };

  struct model_request
  {
    std::size_t mInstance = 0;
    std::size_t mCallers = 0;
    std::string mObject;
    instant mArrived{};
    steering_target mTarget;
  };

  struct finish
  {
    instant mAt;
    std::size_t mRequest;
    bool operator>(const finish& aOther) const { return mAt > aOther.mAt; }
  };

  struct run
  {
    instant mBegun;
    std::string mRegion; // of the upstream
  };

  using region_counts = std::map<std::string, int>;

  void AddInstances(const replay_region& aRegion);
  // Requests run in each region from aBegin to aEnd.
  static region_counts CountRuns(const std::vector<run>& aRuns,
                                 instant aBegin,
                                 instant aEnd);
  void Arrive(std::size_t aCallers, instant aNow);
  reported_load Load(const steering_target& aTarget, instant aNow);
  double Slowness(const steering_target& aTarget, instant aNow) const;
  void Begin(std::size_t aNumber, instant aNow);
  void FinishUntil(instant aUntil);
  double Rate(const replay_callers& aCallers, instant aNow) const;

  std::mt19937 mRandom;
  learned_speed mLearnedSpeed;
  uneven_load mUnevenLoad;
  std::deque<replay_callers> mCallers;
  std::map<std::string, std::vector<std::size_t>> mInstancesOf; // by region
  std::deque<upstream_steering> mInstances;
  std::vector<instance_location> mFleet;
  std::map<upstream_id, model_upstream> mUpstreams;
  std::deque<model_request> mRequests;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  std::map<std::string, replay_result> mResults;
  std::map<std::string, std::vector<run>> mRuns; // by the callers' region
  instant mBurstBegin{};
  instant mBurstEnd{};
  double mBurstFactor = 1;
  std::string mSlowRegion{}; // empty: none, and no reports of it
  instant mSlowBegin{};
  instant mSlowEnd{};
  double mSlowFactor = 1;
  rate_factor mRateFactor;
  instance_step mStep;
  duration mStepPeriod{};
  instant mNextStep = kReplayStart;
  std::map<std::string, duration> mTotalTimes; // by the callers' region
};

} // namespace laburnumdyke
