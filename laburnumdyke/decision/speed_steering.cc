// How the choice of an upstream uses learned speeds. An instance's estimate of
// the response time follows all that it has learned. The order of an object's
// upstreams follows only the slow part of it, which all instances learn alike:
// otherwise each would keep the object cached somewhere else.
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

// Smaller differences of speed move no objects: they are within the error of
// what instances learn, and moving an object costs its cached copy.
constexpr double kMinMovingRatio = 1.25;
// The part of the objects that a slower upstream keeps falls with this power of
// the ratio. High, since it still gets what its place in the order of other
// objects and full queues elsewhere bring.
constexpr double kMovingPower = 4;

// A hash as a number from 0 to 1.
double
ToUnit(std::uint64_t aHash)
{
  return static_cast<double>(aHash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

double
upstream_steering::SpreadOf(const upstream_id& aUpstream) const
{
  return ToUnit(RendezvousWeight(mOptions.mSelf.mValue, aUpstream.mValue));
}

bool
upstream_steering::UsesSpeed(const upstream& aUpstream, instant aNow) const
{
  switch (mOptions.mLearnedSpeed) {
    case learned_speed::Always:
      return true;
    case learned_speed::Reported:
      return aUpstream.mSpeed.IsReporting(aNow);
    case learned_speed::Never:
      break;
  }
  return false;
}

double
upstream_steering::MeanSpeed(const upstream& aUpstream) const
{
  auto found = mServiceSpeeds.find(aUpstream.mEntry.mService);
  return found == mServiceSpeeds.end() ? 1 : found->second.Mean();
}

double
upstream_steering::ExpectedSlowness(const upstream& aUpstream,
                                    instant aNow) const
{
  if (!UsesSpeed(aUpstream, aNow)) {
    return Slowness(aUpstream, aNow);
  }
  const upstream_speed& speed = aUpstream.mSpeed;
  double mean = MeanSpeed(aUpstream);
  return speed.IsProbeDue(mean, mRegionInstances, aNow)
           ? mean
           : speed.Factor(mean, aNow);
}

// The number of aSlots that the upstream handles well.
double
upstream_steering::HandledSlots(const upstream& aUpstream,
                                double aSlots,
                                instant aNow) const
{
  return UsesSpeed(aUpstream, aNow) ? std::min(aSlots,
                                               aUpstream.mSpeed.HandledSlots(
                                                 aUpstream.mEntry.mSlots, aNow))
                                    : aSlots;
}

// Whether the second upstream of an object's order takes the place of the
// first. The first keeps a part of its objects that is the smaller the slower
// it is. The part is by hash, so that instances whose estimates differ a little
// disagree on few objects, and a change of the estimate moves few.
bool
upstream_steering::MovesToSecond(const upstream& aFirst,
                                 const upstream& aSecond,
                                 std::string_view aObject,
                                 instant aNow) const
{
  double mean = MeanSpeed(aFirst);
  double ratio =
    aFirst.mSpeed.Base(mean, aNow) / aSecond.mSpeed.Base(mean, aNow);
  if (ratio < kMinMovingRatio) {
    return false;
  }
  double kept = std::pow(kMinMovingRatio / ratio, kMovingPower);
  return ToUnit(RendezvousWeight("speed of " + aFirst.mEntry.mId.mValue,
                                 aObject)) > kept;
}

// Exchanges the first two upstreams of each locality where the second is faster
// by what is known for longer.
void
upstream_steering::OrderBySpeed(std::vector<ranked_upstream>& aRanked,
                                const steering_request& aRequest,
                                instant aNow) const
{
  if (aRequest.mObject.empty() || !aRequest.mRoute.mAffinity) {
    return;
  }
  for (std::size_t i = 1; i < aRanked.size(); ++i) {
    ranked_upstream& first = aRanked[i - 1];
    ranked_upstream& second = aRanked[i];
    bool isPair = second.mRank == 1 && first.mLocality == second.mLocality;
    if (isPair && UsesSpeed(*first.mUpstream, aNow) &&
        UsesSpeed(*second.mUpstream, aNow) &&
        MovesToSecond(
          *first.mUpstream, *second.mUpstream, aRequest.mObject, aNow)) {
      std::swap(first.mUpstream, second.mUpstream);
    }
  }
}

// Learns from an answer that took aWork without waiting. Returns how long work
// took on the upstream's machine, relative to the upstream's own mean.
double
upstream_steering::LearnSpeed(upstream& aUpstream,
                              const attempt_report& aReport,
                              const work_estimate& aRoute,
                              duration aWork,
                              bool aWasCached,
                              instant aNow)
{
  double noise = aUpstream.mSpeed.ReportedNoise(aNow);
  // Whether the object was cached shows once the noise is taken out.
  duration usual = ToDuration(seconds_d(aWork) / noise);
  speed_sample sample;
  sample.mRatio = aRoute.Slowness(usual, aWasCached) * noise;
  sample.mIsCertain = aWasCached;
  sample.mSlots = std::max(1U, aUpstream.mEntry.mSlots);
  if (aReport.mLoad) {
    sample.mRunning = aReport.mLoad->mRunning;
  }
  aUpstream.mSpeed.AddSample(
    sample, mServiceSpeeds[aUpstream.mEntry.mService], aNow);
  return noise;
}

std::optional<speed_notice>
upstream_steering::TakeNotice(upstream& aUpstream, instant aNow)
{
  if (!UsesSpeed(aUpstream, aNow)) {
    return std::nullopt;
  }
  double mean = MeanSpeed(aUpstream);
  std::optional<speed_change> change = aUpstream.mSpeed.TakeChange(mean, aNow);
  if (!change) {
    return std::nullopt;
  }
  return speed_notice{ *change,
                       aUpstream.mSpeed.Factor(mean, aNow),
                       HandledSlots(aUpstream, aUpstream.mEntry.mSlots, aNow) };
}

} // namespace laburnumdyke
