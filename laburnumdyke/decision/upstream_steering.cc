// Every candidate is weighed anew for each request: a service has tens to
// hundreds of upstreams and an instance a few requests a second, so that no
// index pays. What is learned (work of a route, slowness of an upstream, round
// trips) are exponential means, bounded so that one odd answer moves little.
#include "laburnumdyke/decision/upstream_steering.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

// Work that is assumed until an answer has come, as a part of the objective.
constexpr double kFirstWorkPart = 0.5;
constexpr double kLearnWeight = 0.1; // of one answer in the mean of a route
constexpr double kSlownessWeight = 0.3;
constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 20;
// Over which an upstream's slowness is forgotten, so that it is tried again.
constexpr std::chrono::seconds kForgetSlowness{ 5 };
// Work on an object at the second and at later upstreams of its order, against
// the first.
constexpr double kSecondChoice = 1.2;
constexpr double kLaterChoice = 1.6;
constexpr double kColdFactor = 2; // work of an upstream that has just started
// Delay that is accepted to keep a byte within its failure domain, where links
// are plentiful.
constexpr seconds_d kCrossingByte{ 4e-6 };
// Requests that wait at an upstream for each of its slots; beyond it refuses.
constexpr double kMostWaitingPerSlot = 2;
constexpr std::chrono::milliseconds kLeastRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMostRetryAfter{ 1000 };
constexpr double kTripWeight = 0.2;

duration
ToDuration(seconds_d aTime)
{
  return std::chrono::duration_cast<duration>(aTime);
}

} // namespace

upstream_steering::upstream_steering(steering_options aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(mOptions.mDirectory)
  , mColdGate(
      { mOptions.mSelf, mOptions.mColdOvershoot, mOptions.mColdSlack })
  , mRandom(mOptions.mSeed)
{
}

void
upstream_steering::Apply(const std::vector<upstream_change>& aChanges,
                         instant aNow)
{
  for (const upstream_change& change : aChanges) {
    const upstream_entry& entry = change.mEntry;
    if (change.mKind == upstream_change_kind::Left) {
      mUpstreams.erase(entry.mId);
      continue;
    }
    if (change.mKind != upstream_change_kind::Updated) {
      mUpstreams[entry.mId] = upstream();
    }
    upstream& known = mUpstreams[entry.mId];
    known.mEntry = entry;
    known.mColdUntil = aNow + entry.mColdLeft;
    known.mMisdirected = false;
  }
}

void
upstream_steering::DoubtWarmth(upstream& aUpstream, instant aNow)
{
  service_rules rules =
    mRoutes ? mRoutes->Rules(aUpstream.mEntry.mService) : service_rules();
  aUpstream.mColdUntil =
    std::max(aUpstream.mColdUntil, aNow + rules.mColdTime);
}

void
upstream_steering::SetEvacuated(const std::set<domain_id>& aDomains,
                                instant aNow)
{
  for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
    const domain_id& domain = known.second.mEntry.mDomain;
    if (mEvacuated.count(domain) > 0 && aDomains.count(domain) == 0) {
      DoubtWarmth(known.second, aNow);
    }
  }
  mEvacuated = aDomains;
}

void
upstream_steering::SetRules(std::shared_ptr<const route_table> aRoutes)
{
  mRoutes = std::move(aRoutes);
}

void
upstream_steering::SetFleet(std::vector<fleet_place> aFleet)
{
  mColdGate.SetFleet(std::move(aFleet));
}

region_id
upstream_steering::RegionOf(const domain_id& aDomain) const
{
  auto found = mOptions.mRegions.find(aDomain);
  return found == mOptions.mRegions.end() ? region_id{} : found->second;
}

bool
upstream_steering::IsCold(const upstream& aUpstream, instant aNow) const
{
  return aNow < aUpstream.mColdUntil;
}

double
upstream_steering::Slowness(const upstream& aUpstream, instant aNow) const
{
  seconds_d age = aNow - aUpstream.mMeasured;
  seconds_d span = kForgetSlowness;
  return 1 + (aUpstream.mSlowness - 1) * std::exp(-age / span);
}

bool
upstream_steering::IsOpen(const upstream& aUpstream,
                          const steering_request& aRequest,
                          bool aTrustHealth,
                          instant aNow) const
{
  const upstream_entry& entry = aUpstream.mEntry;
  if (entry.mService != aRequest.mService || entry.mDraining ||
      aUpstream.mMisdirected || mEvacuated.count(entry.mDomain) > 0) {
    return false;
  }
  region_id region = RegionOf(entry.mDomain);
  const std::vector<region_id>& homes = aRequest.mRoute.mHomes;
  if (!homes.empty() &&
      std::find(homes.begin(), homes.end(), region) == homes.end()) {
    return false;
  }
  const std::vector<upstream_id>& tried = aRequest.mTried;
  if (std::find(tried.begin(), tried.end(), entry.mId) != tried.end()) {
    return false;
  }
  if (aTrustHealth && aUpstream.mHealth.State(aNow) != health_state::Usable) {
    return false;
  }
  return !IsCold(aUpstream, aNow) ||
         mColdGate.IsOpen(entry.mId,
                          region,
                          mRoutes ? mRoutes->Rules(entry.mService).mColdRate
                                  : 0,
                          aNow);
}

double
upstream_steering::Unfamiliarity(const upstream& aUpstream,
                                 const steering_request& aRequest) const
{
  if (aRequest.mObject.empty() || !aRequest.mRoute.mAffinity) {
    return 1;
  }
  const upstream_entry& own = aUpstream.mEntry;
  std::uint64_t weight = RendezvousWeight(own.mId.mValue, aRequest.mObject);
  std::size_t before = 0;
  for (const std::pair<const upstream_id, upstream>& other : mUpstreams) {
    const upstream_entry& entry = other.second.mEntry;
    if (entry.mService == own.mService && entry.mDomain == own.mDomain &&
        !entry.mDraining && entry.mId != own.mId &&
        RendezvousWeight(entry.mId.mValue, aRequest.mObject) > weight) {
      ++before;
    }
  }
  if (before == 0) {
    return 1;
  }
  return before == 1 ? kSecondChoice : kLaterChoice;
}

upstream_steering::candidate
upstream_steering::Weigh(upstream& aUpstream,
                         const steering_request& aRequest,
                         const route_state& aRoute,
                         instant aNow) const
{
  candidate weighed;
  const upstream_entry& entry = aUpstream.mEntry;
  weighed.mUpstream = &aUpstream;
  weighed.mOutside = RegionOf(entry.mDomain) != mOptions.mRegion;
  double slots = std::max(1U, aUpstream.mHealth.Allowed(entry.mSlots, aNow));
  double load = aUpstream.mLoad.Estimate(aNow);
  double slowness = Slowness(aUpstream, aNow);
  seconds_d mean = seconds_d(aRoute.mWork) * slowness;
  double waiting = std::max(0.0, load + 1 - slots);
  weighed.mWait = ToDuration(mean * (waiting / slots));
  double factor = Unfamiliarity(aUpstream, aRequest);
  factor *= IsCold(aUpstream, aNow) ? kColdFactor : 1;
  auto trip = mTrips.find(entry.mDomain);
  seconds_d distance = trip != mTrips.end() ? trip->second
                       : weighed.mOutside   ? mOptions.mFarTrip
                                            : mOptions.mNearTrip;
  seconds_d total = distance + seconds_d(weighed.mWait) + mean * factor;
  weighed.mTotal = ToDuration(total);
  bool crosses = entry.mDomain != mOptions.mDomain;
  weighed.mCost =
    total.count() + (crosses ? kCrossingByte.count() * aRoute.mBytes : 0);
  bool onTime =
    aNow + weighed.mTotal <= aRequest.mReceived + aRequest.mRoute.mObjective;
  bool room = load + 1 <= slots * (1 + kMostWaitingPerSlot);
  bool isFree = load + 1 <= slots;
  weighed.mAdmits = (onTime && room) || isFree;
  return weighed;
}

std::vector<upstream_steering::candidate>
upstream_steering::Candidates(const steering_request& aRequest,
                              bool aTrustHealth,
                              instant aNow)
{
  std::vector<candidate> candidates;
  route_state& route = RouteState(aRequest.mRoute);
  for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
    if (IsOpen(known.second, aRequest, aTrustHealth, aNow)) {
      candidates.push_back(Weigh(known.second, aRequest, route, aNow));
    }
  }
  return candidates;
}

const upstream_steering::candidate*
upstream_steering::Pick(const std::vector<candidate>& aCandidates,
                        const steering_request& aRequest,
                        instant aNow)
{
  const candidate* inside = nullptr;
  const candidate* outside = nullptr;
  bool hasInside = false;
  for (const candidate& one : aCandidates) {
    hasInside = hasInside || !one.mOutside;
    const candidate*& best = one.mOutside ? outside : inside;
    if (one.mAdmits && (best == nullptr || one.mCost < best->mCost)) {
      best = &one;
    }
  }
  if (!hasInside) {
    return outside;
  }
  bool wants = outside != nullptr &&
               (inside == nullptr || outside->mCost < inside->mCost);
  region_spill& spill =
    mSpills.try_emplace(aRequest.mService, mOptions.mSpill).first->second;
  bool leaves = spill.Decide(wants, aNow);
  if (leaves && outside != nullptr) {
    return outside;
  }
  return inside;
}

steering_choice
upstream_steering::TurnAway(const std::vector<candidate>& aCandidates,
                            const steering_request& aRequest,
                            instant aNow)
{
  steering_choice choice;
  choice.mCandidates = aCandidates.size();
  choice.mReason = aCandidates.empty() ? refusal_reason::NoUpstream
                                       : refusal_reason::QueueFull;
  duration soonest = kMostRetryAfter;
  for (const candidate& one : aCandidates) {
    soonest = std::min(soonest, one.mWait);
  }
  // Spread over as long again, so that those turned away together don't come
  // back together.
  std::uniform_real_distribution<double> spread(1, 2);
  duration after = ToDuration(seconds_d(soonest) * spread(mRandom));
  after = std::clamp<duration>(after, kLeastRetryAfter, kMostRetryAfter);
  after = std::min(after, std::max(duration(0), aRequest.mDeadline - aNow));
  choice.mRetryAfter =
    std::chrono::duration_cast<std::chrono::milliseconds>(after);
  return choice;
}

steering_choice
upstream_steering::Choose(const steering_request& aRequest, instant aNow)
{
  std::vector<candidate> candidates = Candidates(aRequest, true, aNow);
  if (candidates.empty()) {
    // Where everything looks ill the measurement is doubted.
    candidates = Candidates(aRequest, false, aNow);
  }
  const candidate* picked = Pick(candidates, aRequest, aNow);
  if (picked == nullptr) {
    return TurnAway(candidates, aRequest, aNow);
  }
  const upstream_entry& entry = picked->mUpstream->mEntry;
  steering_choice choice;
  choice.mCandidates = candidates.size();
  choice.mTarget =
    steering_target{ entry.mId,     entry.mAddress,
                     entry.mDomain, aRequest.mRoute.mName,
                     entry.mBorn,   picked->mWait };
  return choice;
}

upstream_steering::upstream*
upstream_steering::Find(const steering_target& aTarget)
{
  auto found = mUpstreams.find(aTarget.mId);
  bool same =
    found != mUpstreams.end() && found->second.mEntry.mBorn == aTarget.mBorn;
  return same ? &found->second : nullptr;
}

void
upstream_steering::Begin(const steering_target& aTarget, instant aNow)
{
  upstream* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  target->mLoad.Begin();
  if (IsCold(*target, aNow)) {
    mColdGate.Count(aTarget.mId, aNow);
  }
}

upstream_steering::route_state&
upstream_steering::RouteState(const route_spec& aRoute)
{
  route_state& state = mRouteStates[aRoute.mName];
  if (state.mWork == duration(0)) {
    state.mWork = ToDuration(seconds_d(aRoute.mObjective) * kFirstWorkPart);
  }
  return state;
}

void
upstream_steering::Learn(upstream& aUpstream,
                         const steering_target& aTarget,
                         const attempt_report& aReport,
                         instant aNow)
{
  auto found = mRouteStates.find(aTarget.mRoute);
  if (found == mRouteStates.end()) {
    return;
  }
  route_state& route = found->second;
  seconds_d least = seconds_d(aReport.mTook) * 0.1;
  seconds_d work = std::max(
    least, seconds_d(aReport.mTook) - seconds_d(aTarget.mExpectedWait));
  double ratio = std::clamp(
    work / seconds_d(route.mWork), kLeastSlowness, kMostSlowness);
  double slowness = Slowness(aUpstream, aNow);
  aUpstream.mSlowness = slowness + (ratio - slowness) * kSlownessWeight;
  aUpstream.mMeasured = aNow;
  if (IsCold(aUpstream, aNow)) {
    return;
  }
  double weight = route.mKnown ? kLearnWeight : 1;
  route.mKnown = true;
  route.mWork += ToDuration((work - seconds_d(route.mWork)) * weight);
  route.mBytes +=
    (static_cast<double>(aReport.mBytes) - route.mBytes) * weight;
}

void
upstream_steering::End(const steering_target& aTarget,
                       const attempt_report& aReport,
                       instant aNow)
{
  if (aReport.mConnect) {
    duration& trip = mTrips.try_emplace(aTarget.mDomain, *aReport.mConnect)
                       .first->second;
    trip += ToDuration(seconds_d(*aReport.mConnect - trip) * kTripWeight);
  }
  upstream* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  target->mLoad.End();
  if (aReport.mLoad) {
    target->mLoad.Report(*aReport.mLoad, aNow);
  }
  if (aReport.mWrongInstance) {
    target->mMisdirected = true;
    return;
  }
  bool wasIll = target->mHealth.State(aNow) != health_state::Usable;
  target->mHealth.Judge(
    aReport.mResult, std::chrono::milliseconds(0), aNow);
  if (wasIll && aReport.mResult == attempt_result::Answered) {
    DoubtWarmth(*target, aNow);
  }
  if (aReport.mResult == attempt_result::Answered) {
    Learn(*target, aTarget, aReport, aNow);
  }
}

} // namespace laburnumdyke
