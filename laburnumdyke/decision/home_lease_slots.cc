// The slots that requests of previous homes may still occupy. Those of a live
// instance are the ones that it reports. A silent one is kept until its last
// request must have ended; a home that it may have had counts as full until
// then.
#include "laburnumdyke/decision/home_lease.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

using std::chrono::milliseconds;

// Stands for all slots of an upstream that the document no longer declares.
constexpr std::uint32_t kAllSlots = 1U << 16U;

// Used until the document gives the longest request.
constexpr milliseconds kDefaultLongest{ 60000 };

} // namespace

// Counts all slots as held if a silent instance may have filled them, that is,
// unless another instance was the home after the silent one could no longer
// dispatch. If no instance is known to have been the home, one that was killed
// before this one started may have filled them.
void
home_lease::Acquire(const upstream_id& aUpstream, instant aNow)
{
  duration longest = mLimits[aUpstream].mLongestRequest;
  bool lastHomeUnknown = mLastHeld.count(aUpstream) == 0;
  if (lastHomeUnknown && mFirstCall + longest > aNow) {
    mAllHeldUntil[aUpstream] = mFirstCall + longest;
  }
  instant lastHeld = mLastHeld[aUpstream];
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    const silent_incarnation& silent = one.second;
    instant until = silent.mHeard + kLeaseDuration + longest;
    bool mayHaveFilled = silent.mEligible && until > aNow &&
                         lastHeld < silent.mHeard + kTakeoverDelay;
    if (mayHaveFilled) {
      instant& allHeldUntil = mAllHeldUntil[aUpstream];
      allHeldUntil = std::max(allHeldUntil, until);
    }
  }
}

void
home_lease::Retire(const instance_id& aInstance, const domain_peer& aPeer)
{
  silent_incarnation& silent =
    mSilentIncarnations[{ aInstance, aPeer.mIncarnation }];
  silent.mHeard = std::max(aPeer.mHeard, aPeer.mIndirectlyHeard);
  silent.mEligible = !aPeer.mLeaving;
  silent.mHeldSlots = aPeer.mHeldSlots;
}

void
home_lease::RetireSilent(instant aNow)
{
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    bool alive = IsAlive(it->second, aNow);
    if (!alive) {
      Retire(it->first, it->second);
    }
    it = alive ? std::next(it) : mPeers.erase(it);
  }
}

void
home_lease::RemoveExpired(instant aNow)
{
  while (!mSent.empty() && aNow - mSent.front().mAt >= kLeaseDuration) {
    mSent.pop_front();
  }
  milliseconds life = SilentRetention();
  std::erase_if(
    mSilentIncarnations,
    [&](const std::pair<const incarnation_key, silent_incarnation>& aEntry) {
      return aNow - aEntry.second.mHeard >= life;
    });
  std::erase_if(mAllHeldUntil,
                [&](const std::pair<const upstream_id, instant>& aEntry) {
                  return aEntry.second <= aNow;
                });
}

std::chrono::milliseconds
home_lease::SilentRetention() const
{
  milliseconds longest = mLimits.empty() ? kDefaultLongest : milliseconds(0);
  for (const std::pair<const upstream_id, upstream_limits>& one : mLimits) {
    longest = std::max(longest, one.second.mLongestRequest);
  }
  return kTakeoverDelay + longest;
}

// Slots that requests of silent incarnations may occupy.
home_lease::held_slots
home_lease::HeldBySilent(const upstream_id& aUpstream, instant aNow) const
{
  held_slots held;
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    auto found = one.second.mHeldSlots.find(aUpstream);
    if (found != one.second.mHeldSlots.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto allHeld = mAllHeldUntil.find(aUpstream);
  if (allHeld != mAllHeldUntil.end() && allHeld->second > aNow) {
    auto limits = mLimits.find(aUpstream);
    held.mOccupied =
      limits == mLimits.end() ? kAllSlots : limits->second.mSlots;
    held.mUntil = std::max(held.mUntil, allHeld->second);
  }
  return held;
}

home_lease::held_slots
home_lease::HeldElsewhere(const upstream_id& aUpstream, instant aNow) const
{
  held_slots held = HeldBySilent(aUpstream, aNow);
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    auto found = one.second.mHeldSlots.find(aUpstream);
    if (found != one.second.mHeldSlots.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto limits = mLimits.find(aUpstream);
  if (limits != mLimits.end()) {
    held.mOccupied = std::min(held.mOccupied, limits->second.mSlots);
  }
  return held;
}

} // namespace laburnumdyke
