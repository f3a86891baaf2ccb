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

constexpr double kSlownessWeight = 0.3;
constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 20;
// Over which an upstream's slowness is forgotten, so that it is tried again.
constexpr std::chrono::seconds kForgetSlowness{ 5 };
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

// Answers that are costly to carry between failure domains make the instance's
// own domain its reach; otherwise it is the region.
upstream_steering::homes
upstream_steering::HomesOf(const steering_request& aRequest,
                           double aBytes) const
{
  homes found;
  bool staysInDomain =
    kCrossingByte * aBytes > seconds_d(aRequest.mRoute.mObjective) / 4;
  std::uint64_t inside = 0;
  std::uint64_t outside = 0;
  for (const std::pair<const upstream_id, upstream>& known : mUpstreams) {
    const upstream_entry& entry = known.second.mEntry;
    if (entry.mService != aRequest.mService || entry.mDraining) {
      continue;
    }
    bool inReach = staysInDomain
                     ? entry.mDomain == mOptions.mDomain
                     : RegionOf(entry.mDomain) == mOptions.mRegion;
    std::uint64_t weight = RendezvousWeight(entry.mId.mValue, aRequest.mObject);
    std::uint64_t& most = inReach ? inside : outside;
    const upstream_entry*& home = inReach ? found.mInside : found.mOutside;
    if (home == nullptr || weight > most) {
      most = weight;
      home = &entry;
    }
  }
  return found;
}

bool
upstream_steering::Knows(const upstream& aUpstream,
                         const steering_request& aRequest,
                         const homes& aHomes) const
{
  if (aRequest.mObject.empty() || !aRequest.mRoute.mAffinity) {
    return true;
  }
  return &aUpstream.mEntry == aHomes.mInside ||
         &aUpstream.mEntry == aHomes.mOutside ||
         aUpstream.mRecent.Has(aRequest.mObject);
}

upstream_steering::candidate
upstream_steering::Weigh(upstream& aUpstream,
                         const steering_request& aRequest,
                         const work_estimate& aWork,
                         const homes& aHomes,
                         instant aNow) const
{
  candidate weighed;
  const upstream_entry& entry = aUpstream.mEntry;
  weighed.mUpstream = &aUpstream;
  weighed.mOutside = RegionOf(entry.mDomain) != mOptions.mRegion;
  double slots = std::max(1U, aUpstream.mHealth.Allowed(entry.mSlots, aNow));
  double load = aUpstream.mLoad.Estimate(aNow);
  double slowness = Slowness(aUpstream, aNow);
  bool knows = Knows(aUpstream, aRequest, aHomes);
  double waiting = std::max(0.0, load + 1 - slots);
  weighed.mWait =
    ToDuration(seconds_d(aWork.Known()) * slowness * (waiting / slots));
  seconds_d work = knows ? aWork.Known() : aWork.Unknown();
  work *= slowness * (IsCold(aUpstream, aNow) ? kColdFactor : 1);
  auto trip = mTrips.find(entry.mDomain);
  seconds_d distance = trip != mTrips.end() ? trip->second
                       : weighed.mOutside   ? mOptions.mFarTrip
                                            : mOptions.mNearTrip;
  seconds_d total = distance + seconds_d(weighed.mWait) + work;
  weighed.mTotal = ToDuration(total);
  bool crosses = entry.mDomain != mOptions.mDomain;
  weighed.mCost =
    total.count() + (crosses ? kCrossingByte.count() * aWork.Bytes() : 0);
  bool onTime =
    aNow + weighed.mTotal <= aRequest.mReceived + aRequest.mRoute.mObjective;
  bool room = load + 1 <= slots * (1 + kMostWaitingPerSlot);
  // Work on an unknown object holds a slot for long: one more stays free.
  bool isFree = load + (knows ? 1 : 2) <= slots;
  weighed.mAdmits = (onTime && room) || isFree;
  return weighed;
}

std::vector<upstream_steering::candidate>
upstream_steering::Candidates(const steering_request& aRequest,
                              bool aTrustHealth,
                              instant aNow)
{
  std::vector<candidate> candidates;
  const work_estimate& work = WorkOf(aRequest.mRoute);
  homes homes = HomesOf(aRequest, work.Bytes());
  for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
    if (IsOpen(known.second, aRequest, aTrustHealth, aNow)) {
      candidates.push_back(
        Weigh(known.second, aRequest, work, homes, aNow));
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
    steering_target{ entry.mId,
                     entry.mAddress,
                     entry.mDomain,
                     aRequest.mRoute.mName,
                     std::string(aRequest.mObject),
                     entry.mBorn,
                     picked->mWait };
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

work_estimate&
upstream_steering::WorkOf(const route_spec& aRoute)
{
  return mWork.try_emplace(aRoute.mName, aRoute.mObjective).first->second;
}

void
upstream_steering::Learn(upstream& aUpstream,
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
  bool knew = aUpstream.mRecent.Has(aTarget.mObject);
  aUpstream.mRecent.Add(aTarget.mObject);
  double ratio =
    std::clamp(route.Slowness(work, knew), kLeastSlowness, kMostSlowness);
  double slowness = Slowness(aUpstream, aNow);
  aUpstream.mSlowness = slowness + (ratio - slowness) * kSlownessWeight;
  aUpstream.mMeasured = aNow;
  if (!IsCold(aUpstream, aNow)) {
    route.Learn(work, aReport.mBytes, knew);
  }
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
