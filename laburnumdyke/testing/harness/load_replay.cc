// The next arrival of each region and the next finish are taken in the order of
// time. A rate that changes is sampled at each arrival, which is exact enough
// for hundreds of arrivals a second.
#include "laburnumdyke/testing/harness/load_replay.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 3;
constexpr std::size_t kQueue = 9;
constexpr std::size_t kCacheSize = 18;
constexpr std::chrono::milliseconds kUncachedWork{ 640 };
constexpr std::chrono::milliseconds kCachedWork{ 192 };
// Windows with fewer runs are not compared.
constexpr int kMinRuns = 50;
constexpr std::chrono::milliseconds kWindowStep{ 100 };

std::string
DomainOf(const std::string& aRegion, std::size_t aNumber)
{
  return aRegion + (aNumber % 2 == 0 ? "-a" : "-b");
}

int
Sum(const std::map<std::string, int>& aCounts)
{
  int sum = 0;
  for (const std::pair<const std::string, int>& count : aCounts) {
    sum += count.second;
  }
  return sum;
}

// The part that moves between two distributions, 0 to 1.
double
Difference(std::map<std::string, int> aFirst,
           std::map<std::string, int> aSecond)
{
  double moved = 0;
  double first = Sum(aFirst);
  double second = Sum(aSecond);
  for (const std::pair<const std::string, int>& count : aSecond) {
    moved += std::max(0.0, count.second / second - aFirst[count.first] / first);
  }
  return moved;
}

} // namespace

steering_options
ReplayOptions(const std::string& aSelf, const std::string& aDomain)
{
  steering_options options;
  options.mSelf = { aSelf };
  options.mDomain = { aDomain };
  options.mRegion = { aDomain.substr(0, aDomain.find('-')) };
  for (const char* region : { "east", "west", "north" }) {
    for (const char* letter : { "-a", "-b" }) {
      options.mRegions[{ std::string(region) + letter }] = { region };
    }
  }
  return options;
}

upstream_entry
ReplayUpstream(const std::string& aId, const std::string& aDomain)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mService = { "sheets" };
  entry.mDomain = { aDomain };
  entry.mAddress = { "10.0.0.1", 80 };
  entry.mSlots = kSlots;
  entry.mSequence = 1;
  return entry;
}

route_spec
ReplayRoute()
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
ReplayRules()
{
  routing_document document;
  document.mVersion = 1;
  document.mServices[{ "sheets" }] = { 3000ms, 3.6 };
  return std::make_shared<const route_table>(std::move(document));
}

load_replay::load_replay(std::vector<replay_region> aRegions,
                         unsigned aSeed,
                         learned_speed aLearnedSpeed,
                         uneven_load aUnevenLoad)
  : mRandom(aSeed)
  , mLearnedSpeed(aLearnedSpeed)
  , mUnevenLoad(aUnevenLoad)
{
  std::vector<upstream_entry> entries;
  for (const replay_region& region : aRegions) {
    replay_callers callers{ region.mName, region.mName, region.mPerSecond };
    callers.mObjects = region.mObjects;
    AddCallers(std::move(callers));
    for (std::size_t i = 0; i < region.mUpstreams; ++i) {
      std::string name = region.mName + "-u" + std::to_string(i);
      entries.push_back(ReplayUpstream(name, DomainOf(region.mName, i)));
      mUpstreams[entries.back().mId] = {};
    }
    AddInstances(region);
  }
  for (upstream_steering& instance : mInstances) {
    instance.SetRules(ReplayRules());
    instance.SetFleet(mFleet);
    instance.Apply(instance.Directory().Replace(entries, kReplayStart),
                   kReplayStart);
  }
}

void
load_replay::AddCallers(replay_callers aCallers)
{
  if (aCallers.mPerSecond > 0) {
    mCallers.push_back(std::move(aCallers));
  }
}

void
load_replay::SetRules(const std::shared_ptr<const route_table>& aRules)
{
  for (upstream_steering& instance : mInstances) {
    instance.SetRules(aRules);
  }
}

void
load_replay::AddInstances(const replay_region& aRegion)
{
  for (std::size_t i = 0; i < aRegion.mInstances; ++i) {
    std::string name = aRegion.mName + "-i" + std::to_string(i);
    steering_options options = ReplayOptions(name, DomainOf(aRegion.mName, i));
    options.mSeed = mInstances.size() + 1;
    options.mLearnedSpeed = mLearnedSpeed;
    options.mUnevenLoad = mUnevenLoad;
    mInstancesOf[aRegion.mName].push_back(mInstances.size());
    mInstances.emplace_back(options);
    mFleet.push_back({ { name }, { aRegion.mName } });
  }
}

void
load_replay::SetBurst(instant aBegin, duration aFor, double aFactor)
{
  mBurstBegin = aBegin;
  mBurstEnd = aBegin + aFor;
  mBurstFactor = aFactor;
}

void
load_replay::SetSlow(const std::string& aRegion,
                     instant aBegin,
                     duration aFor,
                     double aFactor)
{
  mSlowRegion = aRegion;
  mSlowBegin = aBegin;
  mSlowEnd = aBegin + aFor;
  mSlowFactor = aFactor;
}

double
load_replay::Slowness(const steering_target& aTarget, instant aNow) const
{
  const std::string& domain = aTarget.mDomain.mValue;
  bool isSlow = aNow >= mSlowBegin && aNow < mSlowEnd &&
                domain.substr(0, domain.find('-')) == mSlowRegion;
  return isSlow ? mSlowFactor : 1;
}

double
load_replay::Rate(const replay_callers& aCallers, instant aNow) const
{
  bool isBurst = aNow >= mBurstBegin && aNow < mBurstEnd;
  double factor = mRateFactor ? mRateFactor(aCallers.mRegion, aNow) : 1;
  return aCallers.mPerSecond * (isBurst ? mBurstFactor : 1) * factor;
}

void
load_replay::Run(std::chrono::seconds aFor)
{
  std::vector<instant> next(mCallers.size(), kReplayStart);
  instant end = kReplayStart + aFor;
  while (true) {
    auto first = std::min_element(next.begin(), next.end());
    if (*first >= end) {
      break;
    }
    std::size_t callers = static_cast<std::size_t>(first - next.begin());
    for (; mStep && mNextStep <= *first; mNextStep += mStepPeriod) {
      FinishUntil(mNextStep);
      mStep(mInstances, mFleet, mNextStep);
    }
    FinishUntil(*first);
    Arrive(callers, *first);
    std::exponential_distribution<double> interarrival(
      Rate(mCallers[callers], *first));
    *first += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(interarrival(mRandom)));
  }
  FinishUntil(end + 1h);
}

void
load_replay::Arrive(std::size_t aCallers, instant aNow)
{
  static const std::vector<upstream_id> kNoneTried;
  const replay_callers& callers = mCallers[aCallers];
  const std::vector<std::size_t>& local = mInstancesOf[callers.mRegion];
  std::size_t instance = local[mRandom() % local.size()];
  std::uniform_int_distribution<int> number(0, callers.mObjects - 1);
  std::string object = callers.mRegion + std::to_string(number(mRandom));
  replay_result& result = mResults[callers.mName];
  steering_choice choice = mInstances[instance].Choose(
    { callers.mRoute,
      { "sheets" },
      object,
      aNow,
      aNow + 3s,
      kNoneTried,
      callers.mCustomer ? &*callers.mCustomer : nullptr },
    aNow);
  if (!choice.mTarget) {
    ++result.mRefused;
    return;
  }
  mInstances[instance].Begin(*choice.mTarget, aNow);
  model_upstream& upstream = mUpstreams[choice.mTarget->mId];
  mRequests.push_back({ instance, aCallers, object, aNow, *choice.mTarget });
  std::size_t request = mRequests.size() - 1;
  if (upstream.mRunning < kSlots) {
    Begin(request, aNow);
  } else if (upstream.mWaiting.size() < kQueue) {
    upstream.mWaiting.push_back(request);
  } else {
    ++result.mShed;
    attempt_report report;
    report.mQueueFull = true;
    report.mLoad = Load(*choice.mTarget, aNow);
    mInstances[instance].End(*choice.mTarget, report, aNow);
  }
}

reported_load
load_replay::Load(const steering_target& aTarget, instant aNow)
{
  const model_upstream& upstream = mUpstreams[aTarget.mId];
  reported_load load{ upstream.mRunning,
                      static_cast<std::uint32_t>(upstream.mWaiting.size()),
                      kSlots };
  if (!mSlowRegion.empty()) {
    load.mWorkPercent =
      static_cast<std::uint32_t>(100 * Slowness(aTarget, aNow));
  }
  return load;
}

void
load_replay::Begin(std::size_t aNumber, instant aNow)
{
  const model_request& request = mRequests[aNumber];
  model_upstream& upstream = mUpstreams[request.mTarget.mId];
  ++upstream.mRunning;
  bool isCached = std::erase(upstream.mCached, request.mObject) > 0;
  upstream.mCached.push_back(request.mObject);
  if (upstream.mCached.size() > kCacheSize) {
    upstream.mCached.pop_front();
  }
  const std::string& domain = request.mTarget.mDomain.mValue;
  mRuns[mCallers[request.mCallers].mRegion].push_back(
    { aNow, domain.substr(0, domain.find('-')) });
  duration work = isCached ? kCachedWork : kUncachedWork;
  std::chrono::duration<double> slowed = work * Slowness(request.mTarget, aNow);
  mFinishes.push(
    { aNow + std::chrono::duration_cast<duration>(slowed), aNumber });
}

void
load_replay::FinishUntil(instant aUntil)
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
    const replay_callers& callers = mCallers[request.mCallers];
    replay_result& result = mResults[callers.mName];
    (elapsed <= callers.mRoute.mObjective ? result.mOnTime : result.mLate) += 1;
    mTotalTimes[callers.mRegion] += elapsed;
    attempt_report report;
    report.mResult = attempt_result::Answered;
    report.mTook = elapsed;
    report.mBytes = 1500;
    report.mLoad = Load(request.mTarget, done.mAt);
    mInstances[request.mInstance].End(request.mTarget, report, done.mAt);
  }
}

duration
load_replay::MeanTime(const std::string& aRegion) const
{
  auto result = mResults.find(aRegion);
  auto total = mTotalTimes.find(aRegion);
  if (result == mResults.end() || total == mTotalTimes.end()) {
    return duration(0);
  }
  return total->second / (result->second.mOnTime + result->second.mLate);
}

load_replay::region_counts
load_replay::CountRuns(const std::vector<run>& aRuns,
                       instant aBegin,
                       instant aEnd)
{
  region_counts counts;
  for (const run& each : aRuns) {
    if (each.mBegun >= aBegin && each.mBegun < aEnd) {
      ++counts[each.mRegion];
    }
  }
  return counts;
}

double
load_replay::GreatestShift(const std::string& aRegion, duration aWindow) const
{
  auto found = mRuns.find(aRegion);
  if (found == mRuns.end()) {
    return 0;
  }
  const std::vector<run>& runs = found->second;
  double greatest = 0;
  instant last = runs.back().mBegun;
  for (instant begin = kReplayStart; begin + 2 * aWindow <= last;
       begin += kWindowStep) {
    region_counts first = CountRuns(runs, begin, begin + aWindow);
    region_counts second =
      CountRuns(runs, begin + aWindow, begin + 2 * aWindow);
    if (Sum(first) >= kMinRuns && Sum(second) >= kMinRuns) {
      greatest = std::max(greatest, Difference(first, second));
    }
  }
  return greatest;
}

} // namespace laburnumdyke
