// Replays load in virtual time on several instances of a region that share
// upstreams of uneven and changing speed.
//
// Usage:
//   speed_replay replay(options, { { .mId = "u0", .mFactor = 2 }, ... });
//   replay.Run(30s);
//   replay.Result().mOnTime; replay.Sent("u0", begin, end);
#pragma once

#include "laburnumdyke/testing/harness/load_replay.h"

#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace laburnumdyke {

struct speed_upstream
{
  std::string mId{};
  std::uint32_t mSlots = 4;
  double mFactor = 1; // service time, relative to the usual one
  // Part of the slots from which on running requests share the upstream.
  double mKnee = 1;
  // Greatest factor of the noise of its machine, which takes another value,
  // from 1 / mNoise to mNoise, every 50 ms.
  double mNoise = 1;
  // A time in which it is slower by mSlowFactor.
  duration mSlowFrom{};
  duration mSlowFor{};
  double mSlowFactor = 5;
};

struct speed_replay_options
{
  learned_speed mLearnedSpeed = learned_speed::Reported;
  bool mReportsWork = true; // whether load reports have the fourth value
  std::size_t mInstances = 20;
  double mPerSecond = 60;
  unsigned mSeed = 1;
};

class speed_replay
{
public:
  speed_replay(const speed_replay_options& aOptions,
               std::vector<speed_upstream> aUpstreams);

  // Poisson arrivals for aFor; then waits until all requests have ended.
  void Run(std::chrono::seconds aFor);

  const replay_result& Result() const { return mResult; }
  // Mean time to the answer, over requests that were answered.
  duration MeanTime() const;
  // Requests sent to an upstream in a time after the start.
  int Sent(const std::string& aUpstream, duration aBegin, duration aEnd) const;
  // The upstreams chosen, in the order of requests; empty: refused.
  const std::vector<std::string>& Choices() const { return mChoices; }

private:
  struct model_upstream
  {
    speed_upstream mSpeed;
    std::uint32_t mRunning = 0;
    std::deque<std::size_t> mWaiting{}; // indices of requests
    std::deque<std::string> mCached{};
  };

  struct model_request
  {
    std::size_t mInstance = 0;
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

  void AddInstances(const std::vector<upstream_entry>& aEntries);
  // How long work takes now on the upstream's machine, relative to its usual.
  double Noise(const speed_upstream& aUpstream, instant aNow) const;
  instant FinishOf(const model_upstream& aUpstream,
                   duration aWork,
                   instant aNow) const;
  reported_load Load(const model_upstream& aUpstream, instant aNow) const;
  void Arrive(instant aNow);
  void Begin(std::size_t aNumber, instant aNow);
  void FinishUntil(instant aUntil);

  speed_replay_options mOptions;
  std::mt19937 mRandom;
  route_spec mRoute = ReplayRoute();
  std::deque<upstream_steering> mInstances;
  std::map<upstream_id, model_upstream> mUpstreams;
  std::deque<model_request> mRequests;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  replay_result mResult;
  duration mAnswerTimes{};
  std::vector<std::string> mChoices;
};

} // namespace laburnumdyke
