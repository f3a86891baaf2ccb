// The division follows its target, and the shares follow the division or what
// requests prefer, whichever is greater in a region that receives requests;
// both at a bounded rate. Requests are assigned by error diffusion: each served
// request adds the shares to the credits of the regions and takes one from the
// credit of the chosen region. Refused requests add nothing, since full
// upstreams would otherwise make the shares of what is served jump.
#include "laburnumdyke/decision/region_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace laburnumdyke {

namespace {

// Fraction of mMostShift that the shares may use in a window. The rest allows
// for the random variation of an instance's few requests. With 0.5 and more,
// windows of 100 requests exceeded mMostShift in waves.
constexpr double kShiftFraction = 0.4;
// Time constant of what requests prefer, in windows.
constexpr double kSmoothingWindows = 1.0;
// Credit at which a request that prefers another region is sent there.
constexpr double kPreferredCredit = 0.5;
// Any request is sent to a region whose credit exceeds that by this part of the
// requests that the instance serves in a window. What the credits allow adds to
// the change of the shares, so it must be small compared with mMostShift.
constexpr double kTolerance = 0.03;
constexpr double kMinTolerance = 0.25; // requests
constexpr double kMaxTolerance = 1.0;  // requests
constexpr double kMaxCredit = 2.0;

double
PartOf(const share_map& aParts, const region_id& aRegion)
{
  auto found = aParts.find(aRegion);
  return found == aParts.end() ? 0 : found->second;
}

// The part that moves between two divisions of the same whole.
double
Distance(const share_map& aOne, const share_map& aOther)
{
  double sum = 0;
  for (const share_map::value_type& part : aOne) {
    sum += std::abs(part.second - PartOf(aOther, part.first));
  }
  for (const share_map::value_type& part : aOther) {
    sum += aOne.count(part.first) == 0 ? part.second : 0;
  }
  return sum / 2;
}

// A bound of the part of requests that moves.
double
Distance(const region_division& aOne, const region_division& aOther)
{
  return std::abs(aOne.mAway - aOther.mAway) +
         std::max(aOne.mAway, aOther.mAway) *
           Distance(aOne.mReceivers, aOther.mReceivers);
}

// Moves aParts by aFraction of the way to aTarget.
void
Approach(share_map& aParts, const share_map& aTarget, double aFraction)
{
  for (const share_map::value_type& target : aTarget) {
    aParts.try_emplace(target.first, 0);
  }
  for (share_map::value_type& part : aParts) {
    part.second += aFraction * (PartOf(aTarget, part.first) - part.second);
  }
}

// The fraction of a way of aDistance that is covered in aStep.
double
Fraction(double aStep, double aDistance)
{
  return aDistance > aStep ? aStep / aDistance : 1;
}

} // namespace

region_shares::region_shares(region_spillover_options aOptions,
                             region_id aOwn,
                             region_division aInitial)
  : mOptions(aOptions)
  , mOwn(std::move(aOwn))
  , mTarget(std::move(aInitial))
{
  mState.mServed = rate_meter(mOptions.mWindow);
  mState.mDivision = mTarget;
  mState.mShares = Desired(mState);
  mState.mPreferred = mState.mShares;
}

void
region_shares::SetTarget(const region_division& aTarget)
{
  if (Distance(mTarget, aTarget) >= kMinChange) {
    mTarget = aTarget;
  }
}

share_map
region_shares::Desired(const shares_state& aState) const
{
  const region_division& division = aState.mDivision;
  share_map desired;
  double away = 0;
  for (const share_map::value_type& receiver : division.mReceivers) {
    double part = division.mAway * receiver.second;
    double preferred = PartOf(aState.mPreferred, receiver.first);
    part = std::max(part, preferred);
    desired[receiver.first] = part;
    away += part;
  }
  for (share_map::value_type& share : desired) {
    share.second /= std::max(1.0, away);
  }
  desired[mOwn] = std::max(0.0, 1 - away);
  return desired;
}

void
region_shares::Advance(shares_state& aState,
                       const region_offers& aOffers,
                       instant aNow) const
{
  std::chrono::duration<double> window = mOptions.mWindow;
  double windows = 0;
  if (aState.mStarted) {
    windows = std::chrono::duration<double>(aNow - aState.mLast) / window;
    windows = std::clamp(windows, 0.0, 1.0);
  }
  aState.mStarted = true;
  aState.mLast = aNow;
  double step = mOptions.mMostShift * kShiftFraction * windows;
  double fraction = Fraction(step, Distance(aState.mDivision, mTarget));
  aState.mDivision.mAway += fraction * (mTarget.mAway - aState.mDivision.mAway);
  Approach(aState.mDivision.mReceivers, mTarget.mReceivers, fraction);
  auto preferred =
    std::min_element(aOffers.begin(),
                     aOffers.end(),
                     [](const region_offers::value_type& aOne,
                        const region_offers::value_type& aOther) {
                       return aOne.second < aOther.second;
                     });
  // A request that no region admits prefers to stay.
  share_map only{ { preferred == aOffers.end() ? mOwn : preferred->first, 1 } };
  Approach(aState.mPreferred, only, 1 - std::exp(-windows / kSmoothingWindows));
  share_map desired = Desired(aState);
  Approach(
    aState.mShares, desired, Fraction(step, Distance(aState.mShares, desired)));
}

std::optional<region_id>
region_shares::Select(const shares_state& aState,
                      const region_offers& aOffers,
                      instant aNow) const
{
  const region_id* chosen = nullptr;
  std::chrono::duration<double> window = mOptions.mWindow;
  double served = aState.mServed.At(aNow) * window.count();
  const region_id* forced = nullptr;
  double highest =
    kPreferredCredit +
    std::clamp(served * kTolerance, kMinTolerance, kMaxTolerance);
  double lowest = std::numeric_limits<double>::infinity();
  for (const region_offers::value_type& offer : aOffers) {
    double credit = PartOf(aState.mCredits, offer.first);
    if (credit >= highest) {
      forced = &offer.first;
      highest = credit;
    }
    bool isDue = offer.first == mOwn || credit >= kPreferredCredit;
    if (isDue && offer.second < lowest) {
      chosen = &offer.first;
      lowest = offer.second;
    }
  }
  chosen = forced != nullptr ? forced : chosen;
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

std::optional<region_id>
region_shares::DecideFrom(shares_state& aState,
                          const region_offers& aOffers,
                          instant aNow) const
{
  Advance(aState, aOffers, aNow);
  std::map<region_id, double> before = aState.mCredits;
  for (const share_map::value_type& share : aState.mShares) {
    double& credit = aState.mCredits[share.first];
    credit = std::clamp(credit + share.second, -kMaxCredit, kMaxCredit);
  }
  std::optional<region_id> chosen = Select(aState, aOffers, aNow);
  if (chosen) {
    aState.mCredits[*chosen] -= 1;
    aState.mServesUntil = aNow + mOptions.mWindow;
    aState.mServed.Add(aNow);
  } else if (aNow < aState.mServesUntil) {
    aState.mCredits = std::move(before);
  }
  return chosen;
}

std::optional<region_id>
region_shares::Decide(const region_offers& aOffers, instant aNow)
{
  return DecideFrom(mState, aOffers, aNow);
}

std::optional<region_id>
region_shares::Preview(const region_offers& aOffers, instant aNow) const
{
  shares_state state = mState;
  return DecideFrom(state, aOffers, aNow);
}

} // namespace laburnumdyke
