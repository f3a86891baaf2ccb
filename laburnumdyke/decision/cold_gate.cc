// Senders are the first of the fleet in rendezvous order, those in the
// upstream's own region before all others. Views of the fleet may differ for
// a moment, so only a part of the bound is dealt out; who knows nobody yet is
// no sender, since all who start together know nobody.
#include "laburnumdyke/decision/cold_gate.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr double kDealtPart = 0.6; // of the bound
constexpr std::size_t kForgetOver = 1024;

} // namespace

void
cold_gate::SetFleet(std::vector<fleet_place> aFleet)
{
  mFleet = std::move(aFleet);
}

bool
cold_gate::IsSender(const upstream_id& aUpstream,
                    const region_id& aRegion,
                    std::size_t aSenders) const
{
  auto self =
    std::find_if(mFleet.begin(), mFleet.end(), [&](const fleet_place& aPlace) {
      return aPlace.mInstance == mOptions.mSelf;
    });
  if (self == mFleet.end()) {
    return false;
  }
  bool selfNear = self->mRegion == aRegion;
  std::size_t before = 0;
  for (const fleet_place& place : mFleet) {
    bool near = place.mRegion == aRegion;
    bool outranks =
      near != selfNear
        ? near
        : Outranks(place.mInstance, mOptions.mSelf, aUpstream.mValue);
    before += place.mInstance != mOptions.mSelf && outranks ? 1 : 0;
  }
  return before < aSenders;
}

bool
cold_gate::IsOpen(const upstream_id& aUpstream,
                  const region_id& aRegion,
                  double aRate,
                  instant aNow) const
{
  if (aRate <= 0) {
    return true;
  }
  double bound = aRate * mOptions.mOvershoot + mOptions.mSlack;
  std::size_t senders =
    std::max<std::size_t>(1, static_cast<std::size_t>(bound * kDealtPart));
  auto last = mLast.find(aUpstream);
  bool rested = last == mLast.end() || aNow - last->second >= kGap;
  return rested && IsSender(aUpstream, aRegion, senders);
}

void
cold_gate::Count(const upstream_id& aUpstream, instant aNow)
{
  if (mLast.size() > kForgetOver) {
    std::erase_if(mLast,
                  [&](const std::pair<const upstream_id, instant>& aOne) {
                    return aNow - aOne.second >= kGap;
                  });
  }
  mLast[aUpstream] = aNow;
}

} // namespace laburnumdyke
