// What attempts at upstreams teach: the load there, health, the service time of
// a route, slowness of an upstream, round trips. Learned values are
// exponentially weighted moving averages, bounded so that a single outlier has
// little effect.
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

// Time constant with which slowness decays, so that a slow upstream is retried.
constexpr std::chrono::seconds kSlownessDecayTime{ 5 };
constexpr double kSlownessWeight = 0.3;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 20;
constexpr double kRoundTripWeight = 0.2;

} // namespace

double
upstream_steering::Slowness(const upstream& aUpstream, instant aNow) const
{
  seconds_d age = aNow - aUpstream.mSlownessUpdated;
  seconds_d span = kSlownessDecayTime;
  return 1 + (aUpstream.mSlowness - 1) * std::exp(-age / span);
}

double
upstream_steering::LoadOf(const upstream& aUpstream, instant aNow) const
{
  double usual = 0;
  auto service = mServiceLoads.find(aUpstream.mEntry.mService);
  if (service != mServiceLoads.end()) {
    auto region = service->second.find(aUpstream.mRegion);
    if (region != service->second.end()) {
      usual = region->second.PerSlot(aNow) * aUpstream.mEntry.mSlots;
    }
  }
  return aUpstream.mLoad.Estimate(mRegionInstances, usual, aNow);
}

void
upstream_steering::RecordLoad(upstream& aUpstream,
                              const reported_load& aReport,
                              instant aNow)
{
  aUpstream.mLoad.Report(aReport, aNow);
  mServiceLoads[aUpstream.mEntry.mService][aUpstream.mRegion].Report(aReport,
                                                                     aNow);
}

upstream_steering::upstream*
upstream_steering::Find(const steering_target& aTarget)
{
  auto found = mUpstreams.find(aTarget.mId);
  bool isSameStart = found != mUpstreams.end() &&
                     found->second.mEntry.mBorn == aTarget.mBorn &&
                     found->second.mStart == aTarget.mStart;
  return isSameStart ? &found->second : nullptr;
}

bool
upstream_steering::MaySend(const steering_target& aTarget, instant aNow)
{
  const upstream* target = Find(aTarget);
  bool maySend = target != nullptr && TakesRequests(*target) &&
                 (aTarget.mCold || !IsCold(*target, aNow));
  if (maySend) {
    // The interval of a sender counts from here; the choice was reserved.
    mColdStartLimiter.RecordSend(aTarget.mId, aNow);
  }
  return maySend;
}

void
upstream_steering::Begin(const steering_target& aTarget, instant aNow)
{
  upstream* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  target->mLoad.Begin();
  target->mSpeed.RecordSend(aNow);
  // Also of a warm upstream, which may turn out to be cold just after.
  mColdStartLimiter.RecordSend(aTarget.mId, aNow);
}

work_estimate&
upstream_steering::WorkOf(const route_spec& aRoute)
{
  return mWork.try_emplace(aRoute.mName, aRoute.mObjective).first->second;
}

void
upstream_steering::AddSample(upstream& aUpstream,
                             const steering_target& aTarget,
                             const attempt_report& aReport,
                             instant aNow)
{
  auto found = mWork.find(aTarget.mRoute);
  if (found == mWork.end() || aTarget.mObject.empty()) {
    return;
  }
  work_estimate& route = found->second;
  duration work =
    std::max(aReport.mTook / 10, aReport.mTook - aTarget.mExpectedWait);
  bool wasCached = aUpstream.mRecent.Contains(aTarget.mObject);
  aUpstream.mRecent.Add(aTarget.mObject);
  double ratio =
    std::clamp(route.Slowness(work, wasCached), kMinSlowness, kMaxSlowness);
  double slowness = Slowness(aUpstream, aNow);
  aUpstream.mSlowness = slowness + (ratio - slowness) * kSlownessWeight;
  aUpstream.mSlownessUpdated = aNow;
  if (IsCold(aUpstream, aNow)) {
    return;
  }
  if (UsesSpeed(aUpstream, aNow)) {
    double noise = LearnSpeed(aUpstream, aReport, route, work, wasCached, aNow);
    work = ToDuration(seconds_d(work) / noise);
  }
  route.AddSample(work, aReport.mBytes, wasCached);
}

void
upstream_steering::RecordConnectFailure(upstream& aUpstream,
                                        connect_failure aFailure,
                                        instant aNow)
{
  bool isRefused = aFailure == connect_failure::Refused;
  if (!isRefused && aFailure != connect_failure::TimedOut) {
    return;
  }
  bool isReported = isRefused || aUpstream.mEntry.mDomain == mOptions.mDomain;
  bool isNews =
    SuspectRestart(aUpstream,
                   isReported ? restart_suspicion::kMaxTime
                              : restart_suspicion::kMaxUnreportedTime,
                   aNow);
  if (isNews && isReported) {
    mRestartReports.push_back({ aUpstream.mEntry.mId, aUpstream.mEntry.mBorn });
  }
}

std::optional<speed_notice>
upstream_steering::End(const steering_target& aTarget,
                       const attempt_report& aReport,
                       instant aNow)
{
  if (aReport.mConnect) {
    duration& roundTrip =
      mRoundTrips.try_emplace(aTarget.mDomain, *aReport.mConnect).first->second;
    roundTrip +=
      ToDuration(seconds_d(*aReport.mConnect - roundTrip) * kRoundTripWeight);
  }
  upstream* target = Find(aTarget);
  if (target == nullptr) {
    return std::nullopt;
  }
  target->mLoad.End();
  if (aReport.mLoad) {
    RecordLoad(*target, *aReport.mLoad, aNow);
    if (aReport.mLoad->mWorkPercent) {
      target->mSpeed.Report(*aReport.mLoad->mWorkPercent, aNow);
    }
  } else if (aReport.mQueueFull) {
    std::uint32_t slots = target->mEntry.mSlots;
    target->mLoad.Report(
      { slots, static_cast<std::uint32_t>(slots * kMaxQueuedPerSlot), slots },
      aNow);
  }
  if (aReport.mQueueFull) {
    RecordShed(target->mEntry.mService, aNow);
  }
  if (aReport.mWrongInstance) {
    target->mMisdirected = aNow;
    return std::nullopt;
  }
  RecordConnectFailure(*target, aReport.mConnectFailure, aNow);
  bool wasUnhealthy = target->mHealth.State(aNow) != health_state::Usable;
  target->mHealth.RecordAttempt(
    aReport.mResult, std::chrono::milliseconds(0), aNow);
  if (wasUnhealthy && aReport.mResult == attempt_result::Answered) {
    MarkCold(*target, aNow);
  }
  if (aReport.mResult == attempt_result::Answered) {
    target->mRestart.RecordAnswer(RulesOf(*target).mColdTime, aNow);
    AddSample(*target, aTarget, aReport, aNow);
  }
  return TakeNotice(*target, aNow);
}

} // namespace laburnumdyke
