// Events are taken in the order of time. The finish of a request is computed
// when it begins, by adding up what its machine does in each step of 50 ms.
#include "laburnumdyke/testing/harness/speed_replay.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kQueuePerSlot = 3;
constexpr std::size_t kCacheSize = 18;
constexpr std::chrono::milliseconds kUncachedWork{ 640 };
constexpr std::chrono::milliseconds kCachedWork{ 192 };
constexpr int kObjectsPerUpstream = 4;
constexpr std::chrono::milliseconds kNoiseStep{ 50 };

// From -1 to 1, another one for each upstream and step.
double
NoiseAt(const std::string& aUpstream, std::int64_t aStep)
{
  std::uint64_t hash = RendezvousWeight(aUpstream, std::to_string(aStep));
  return static_cast<double>(hash % 20001) / 10000 - 1;
}

} // namespace

speed_replay::speed_replay(const speed_replay_options& aOptions,
                           std::vector<speed_upstream> aUpstreams)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  std::vector<upstream_entry> entries;
  for (speed_upstream& upstream : aUpstreams) {
    entries.push_back(ReplayUpstream(
      upstream.mId, entries.size() % 2 == 0 ? "east-a" : "east-b"));
    entries.back().mSlots = upstream.mSlots;
    mUpstreams[entries.back().mId].mSpeed = std::move(upstream);
  }
  AddInstances(entries);
}

void
speed_replay::AddInstances(const std::vector<upstream_entry>& aEntries)
{
  std::vector<instance_location> fleet;
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    std::string name = "i" + std::to_string(i);
    steering_options options =
      ReplayOptions(name, i % 2 == 0 ? "east-a" : "east-b");
    options.mSeed = i + 1;
    options.mLearnedSpeed = mOptions.mLearnedSpeed;
    mInstances.emplace_back(options);
    fleet.push_back({ { name }, { "east" } });
  }
  for (upstream_steering& instance : mInstances) {
    instance.SetRules(ReplayRules());
    instance.SetFleet(fleet);
    instance.Apply(instance.Directory().Replace(aEntries, kReplayStart),
                   kReplayStart);
  }
}

double
speed_replay::Noise(const speed_upstream& aUpstream, instant aNow) const
{
  duration at = aNow - kReplayStart;
  bool isSlow =
    at >= aUpstream.mSlowFrom && at < aUpstream.mSlowFrom + aUpstream.mSlowFor;
  double noise =
    std::pow(aUpstream.mNoise, NoiseAt(aUpstream.mId, at / kNoiseStep));
  return noise * (isSlow ? aUpstream.mSlowFactor : 1);
}

instant
speed_replay::FinishOf(const model_upstream& aUpstream,
                       duration aWork,
                       instant aNow) const
{
  const speed_upstream& speed = aUpstream.mSpeed;
  double shared = aUpstream.mRunning / (speed.mKnee * speed.mSlots);
  std::chrono::duration<double> left =
    aWork * speed.mFactor * std::max(1.0, shared);
  instant at = aNow;
  while (true) {
    duration step = kNoiseStep - (at - kReplayStart) % kNoiseStep;
    double noise = Noise(speed, at);
    std::chrono::duration<double> done =
      std::chrono::duration<double>(step) / noise;
    if (done >= left) {
      return at + std::chrono::duration_cast<duration>(left * noise);
    }
    left -= done;
    at += step;
  }
}

reported_load
speed_replay::Load(const model_upstream& aUpstream, instant aNow) const
{
  reported_load load{ aUpstream.mRunning,
                      static_cast<std::uint32_t>(aUpstream.mWaiting.size()),
                      aUpstream.mSpeed.mSlots };
  if (mOptions.mReportsWork) {
    load.mWorkPercent =
      static_cast<std::uint32_t>(100 * Noise(aUpstream.mSpeed, aNow));
  }
  return load;
}

void
speed_replay::Run(std::chrono::seconds aFor)
{
  std::exponential_distribution<double> interarrival(mOptions.mPerSecond);
  instant now = kReplayStart;
  while (now < kReplayStart + aFor) {
    FinishUntil(now);
    Arrive(now);
    now += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(interarrival(mRandom)));
  }
  FinishUntil(now + 1h);
}

void
speed_replay::Arrive(instant aNow)
{
  static const std::vector<upstream_id> kNoneTried;
  std::size_t instance = mRandom() % mInstances.size();
  std::string object =
    std::to_string(mRandom() % (mUpstreams.size() * kObjectsPerUpstream));
  steering_choice choice = mInstances[instance].Choose(
    { mRoute, { "sheets" }, object, aNow, aNow + 3s, kNoneTried }, aNow);
  mChoices.push_back(choice.mTarget ? choice.mTarget->mId.mValue : "");
  mRequests.push_back({ instance, object, aNow, {} });
  if (!choice.mTarget) {
    ++mResult.mRefused;
    return;
  }
  mRequests.back().mTarget = *choice.mTarget;
  mInstances[instance].Begin(*choice.mTarget, aNow);
  model_upstream& upstream = mUpstreams[choice.mTarget->mId];
  std::size_t request = mRequests.size() - 1;
  if (upstream.mRunning < upstream.mSpeed.mSlots) {
    Begin(request, aNow);
  } else if (upstream.mWaiting.size() <
             kQueuePerSlot * upstream.mSpeed.mSlots) {
    upstream.mWaiting.push_back(request);
  } else {
    ++mResult.mShed;
    attempt_report report;
    report.mQueueFull = true;
    report.mLoad = Load(upstream, aNow);
    mInstances[instance].End(*choice.mTarget, report, aNow);
  }
}

void
speed_replay::Begin(std::size_t aNumber, instant aNow)
{
  const model_request& request = mRequests[aNumber];
  model_upstream& upstream = mUpstreams[request.mTarget.mId];
  ++upstream.mRunning;
  bool isCached = std::erase(upstream.mCached, request.mObject) > 0;
  upstream.mCached.push_back(request.mObject);
  if (upstream.mCached.size() > kCacheSize) {
    upstream.mCached.pop_front();
  }
  duration work = isCached ? kCachedWork : kUncachedWork;
  mFinishes.push({ FinishOf(upstream, work, aNow), aNumber });
}

void
speed_replay::FinishUntil(instant aUntil)
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
    mAnswerTimes += elapsed;
    attempt_report report;
    report.mResult = attempt_result::Answered;
    report.mTook = elapsed;
    report.mBytes = 1500;
    report.mLoad = Load(upstream, done.mAt);
    mInstances[request.mInstance].End(request.mTarget, report, done.mAt);
  }
}

duration
speed_replay::MeanTime() const
{
  return mAnswerTimes / std::max(1, mResult.mOnTime + mResult.mLate);
}

int
speed_replay::Sent(const std::string& aUpstream,
                   duration aBegin,
                   duration aEnd) const
{
  return static_cast<int>(std::count_if(
    mRequests.begin(), mRequests.end(), [&](const model_request& aRequest) {
      duration at = aRequest.mArrived - kReplayStart;
      return aRequest.mTarget.mId.mValue == aUpstream && at >= aBegin &&
             at < aEnd;
    }));
}

} // namespace laburnumdyke
