// The senders are the first instances in rendezvous order, those in the
// upstream's region before all others. Instances may briefly disagree about the
// fleet, so only a fraction of the bound is allotted. An instance that does not
// know the fleet yet does not send, because all instances that start together
// are in that state.
#include "laburnumdyke/decision/cold_start_limiter.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr double kAllottedFraction = 0.6; // of the bound, shared among senders
constexpr std::size_t kPruneThreshold = 1024;

} // namespace

void
cold_start_limiter::SetFleet(std::vector<instance_location> aFleet)
{
  mFleet = std::move(aFleet);
}

bool
cold_start_limiter::IsSender(const upstream_id& aUpstream,
                             const region_id& aRegion,
                             std::size_t aSenders) const
{
  auto self = std::find_if(
    mFleet.begin(), mFleet.end(), [&](const instance_location& aPlace) {
      return aPlace.mInstance == mOptions.mSelf;
    });
  if (self == mFleet.end()) {
    return false;
  }
  bool selfInRegion = self->mRegion == aRegion;
  std::size_t ahead = 0;
  for (const instance_location& place : mFleet) {
    bool inRegion = place.mRegion == aRegion;
    bool outranks =
      inRegion != selfInRegion
        ? inRegion
        : Outranks(place.mInstance, mOptions.mSelf, aUpstream.mValue);
    ahead += place.mInstance != mOptions.mSelf && outranks ? 1 : 0;
  }
  return ahead < aSenders;
}

bool
cold_start_limiter::MaySend(const upstream_id& aUpstream,
                            const region_id& aRegion,
                            double aRate,
                            instant aNow) const
{
  if (aRate <= 0) {
    return true;
  }
  double bound = aRate * mOptions.mOvershoot + mOptions.mSlack;
  std::size_t senders = std::max<std::size_t>(
    1, static_cast<std::size_t>(bound * kAllottedFraction));
  auto lastSend = mLastSend.find(aUpstream);
  bool intervalPassed =
    lastSend == mLastSend.end() || aNow - lastSend->second >= kMinSendInterval;
  return intervalPassed && IsSender(aUpstream, aRegion, senders);
}

void
cold_start_limiter::RecordSend(const upstream_id& aUpstream, instant aNow)
{
  if (mLastSend.size() > kPruneThreshold) {
    std::erase_if(mLastSend,
                  [&](const std::pair<const upstream_id, instant>& aOne) {
                    return aNow - aOne.second >= kMinSendInterval;
                  });
  }
  mLastSend[aUpstream] = aNow;
}

} // namespace laburnumdyke
