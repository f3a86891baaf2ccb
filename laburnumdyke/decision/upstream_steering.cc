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
// Upstreams of an object's order that are asked, in each reach. Two are enough
// to even out load, and few enough that they know the object.
constexpr std::size_t kChoices = 2;
// Work at another than the first, which may have forgotten the object.
constexpr double kLaterChoice = 1.1;
constexpr double kColdFactor = 2; // work of an upstream that has just started
// Delay that is accepted to keep a byte within its failure domain, where links
// are plentiful.
constexpr seconds_d kCrossingByte{ 4e-6 };
// Requests that wait at an upstream for each of its slots; beyond it refuses.
constexpr double kMostWaitingPerSlot = 2;
constexpr double kFirstSharePart = 0.6;
constexpr std::chrono::milliseconds kLeastRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMostRetryAfter{ 1000 };
constexpr double kTripWeight = 0.2;

duration
ToDuration(seconds_d aTime)
{
  return std::chrono::duration_cast<duration>(aTime);
}

// Rendezvous hashing with the slots as weight: the greatest score is first.
double
OrderScore(const upstream_entry& aEntry, std::string_view aObject)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  double part =
    (static_cast<double>(RendezvousWeight(aEntry.mId.mValue, aObject)) + 1) /
    kRange;
  return -static_cast<double>(aEntry.mSlots) /
         std::log(std::min(part, 1 - 1e-12));
}

} // namespace

upstream_steering::upstream_steering(steering_options aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(mOptions.mDirectory)
  , mColdGate({ mOptions.mSelf, mOptions.mColdOvershoot, mOptions.mColdSlack })
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
  aUpstream.mColdUntil = std::max(aUpstream.mColdUntil, aNow + rules.mColdTime);
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
  mRegionSenders = 1;
  bool knewOthers = mSenders > 1;
  mSenders = std::max<std::size_t>(1, aFleet.size());
  if (!knewOthers && mSenders > 1) {
    mSpills.clear(); // begun without knowing the demand elsewhere
  }
  for (const fleet_place& place : aFleet) {
    bool isPeer =
      place.mRegion == mOptions.mRegion && place.mInstance != mOptions.mSelf;
    mRegionSenders += isPeer ? 1 : 0;
  }
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

upstream_steering::reach
upstream_steering::ReachOf(const upstream_entry& aEntry,
                           bool aStaysInDomain) const
{
  if (RegionOf(aEntry.mDomain) != mOptions.mRegion) {
    return reach::Beyond;
  }
  bool own = !aStaysInDomain || aEntry.mDomain == mOptions.mDomain;
  return own ? reach::Own : reach::Region;
}

// The first upstreams of an object's order in each reach; all of them where
// the request is about no object.
std::vector<upstream_steering::ranked_upstream>
upstream_steering::FirstChoices(const steering_request& aRequest,
                                bool aStaysInDomain,
                                bool aTrustHealth,
                                instant aNow)
{
  std::vector<ranked_upstream> choices;
  bool hasOrder = !aRequest.mObject.empty() && aRequest.mRoute.mAffinity;
  for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
    if (!IsOpen(known.second, aRequest, aTrustHealth, aNow)) {
      continue;
    }
    const upstream_entry& entry = known.second.mEntry;
    double score = hasOrder ? OrderScore(entry, aRequest.mObject) : 0;
    choices.push_back(
      { &known.second, ReachOf(entry, aStaysInDomain), score, 0 });
  }
  if (!hasOrder) {
    return choices;
  }
  std::sort(choices.begin(),
            choices.end(),
            [](const ranked_upstream& aFirst, const ranked_upstream& aSecond) {
              return aFirst.mReach != aSecond.mReach
                       ? aFirst.mReach < aSecond.mReach
                       : aFirst.mScore > aSecond.mScore;
            });
  for (std::size_t i = 1; i < choices.size(); ++i) {
    bool sameReach = choices[i].mReach == choices[i - 1].mReach;
    choices[i].mRank = sameReach ? choices[i - 1].mRank + 1 : 0;
  }
  std::erase_if(choices, [](const ranked_upstream& aOne) {
    return aOne.mRank >= kChoices;
  });
  return choices;
}

upstream_steering::candidate
upstream_steering::Weigh(const ranked_upstream& aRanked,
                         const steering_request& aRequest,
                         const work_estimate& aWork,
                         instant aNow) const
{
  candidate weighed;
  const upstream& target = *aRanked.mUpstream;
  const upstream_entry& entry = target.mEntry;
  weighed.mUpstream = aRanked.mUpstream;
  weighed.mOutside = RegionOf(entry.mDomain) != mOptions.mRegion;
  double slots = std::max(1U, target.mHealth.Allowed(entry.mSlots, aNow));
  double load = target.mLoad.Estimate(mRegionSenders, aNow);
  double slowness = Slowness(target, aNow);
  double waiting = std::max(0.0, load + 1 - slots);
  weighed.mWait =
    ToDuration(seconds_d(aWork.Known()) * slowness * (waiting / slots));
  bool isFirst = aRanked.mReach == reach::Own && aRanked.mRank == 0;
  bool knows =
    isFirst || aRequest.mObject.empty() || target.mRecent.Has(aRequest.mObject);
  seconds_d work = knows ? aWork.Known() : aWork.Unknown();
  work *= slowness * (isFirst ? 1 : kLaterChoice) *
          (IsCold(target, aNow) ? kColdFactor : 1);
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
  const work_estimate& work = WorkOf(aRequest.mRoute);
  bool staysInDomain =
    kCrossingByte * work.Bytes() > seconds_d(aRequest.mRoute.mObjective) / 4;
  for (const ranked_upstream& ranked :
       FirstChoices(aRequest, staysInDomain, aTrustHealth, aNow)) {
    candidates.push_back(Weigh(ranked, aRequest, work, aNow));
  }
  return candidates;
}

// The part that evens out load where the demand of a region follows its entry
// instances, or kFirstSharePart of it: at low load less has to leave.
double
upstream_steering::FirstShare(const service_id& aService) const
{
  double own = 0;
  double all = 0;
  for (const std::pair<const upstream_id, upstream>& known : mUpstreams) {
    const upstream_entry& entry = known.second.mEntry;
    if (entry.mService == aService && !entry.mDraining) {
      all += entry.mSlots;
      own += RegionOf(entry.mDomain) == mOptions.mRegion ? entry.mSlots : 0;
    }
  }
  double demand =
    static_cast<double>(mRegionSenders) / static_cast<double>(mSenders);
  if (all == 0 || own / all >= demand) {
    return 0;
  }
  return (1 - own / all / demand) * kFirstSharePart;
}

region_spill&
upstream_steering::SpillOf(const service_id& aService)
{
  auto found = mSpills.find(aService);
  if (found == mSpills.end()) {
    region_spill_options options = mOptions.mSpill;
    // Without instances elsewhere nothing is known of the demand there.
    bool knowsOthers = mSenders > mRegionSenders;
    options.mFirstShare = knowsOthers ? FirstShare(aService) : 0;
    found = mSpills.emplace(aService, region_spill(options)).first;
  }
  return found->second;
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
  bool wants =
    outside != nullptr && (inside == nullptr || outside->mCost < inside->mCost);
  if (inside == nullptr && outside == nullptr) {
    return nullptr;
  }
  spill_side side =
    SpillOf(aRequest.mService).Decide(wants, inside != nullptr, aNow);
  if (side == spill_side::Outside && outside != nullptr) {
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
  choice.mTarget = steering_target{ entry.mId,
                                    entry.mAddress,
                                    entry.mDomain,
                                    aRequest.mRoute.mName,
                                    std::string(aRequest.mObject),
                                    entry.mBorn,
                                    picked->mWait,
                                    IsCold(*picked->mUpstream, aNow),
                                    mSenders };
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
    duration& trip =
      mTrips.try_emplace(aTarget.mDomain, *aReport.mConnect).first->second;
    trip += ToDuration(seconds_d(*aReport.mConnect - trip) * kTripWeight);
  }
  upstream* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  target->mLoad.End();
  if (aReport.mLoad) {
    target->mLoad.Report(*aReport.mLoad, aNow);
  } else if (aReport.mFull) {
    std::uint32_t slots = target->mEntry.mSlots;
    target->mLoad.Report(
      { slots, static_cast<std::uint32_t>(slots * kMostWaitingPerSlot), slots },
      aNow);
  }
  if (aReport.mWrongInstance) {
    target->mMisdirected = true;
    return;
  }
  bool wasIll = target->mHealth.State(aNow) != health_state::Usable;
  target->mHealth.Judge(aReport.mResult, std::chrono::milliseconds(0), aNow);
  if (wasIll && aReport.mResult == attempt_result::Answered) {
    DoubtWarmth(*target, aNow);
  }
  if (aReport.mResult == attempt_result::Answered) {
    Learn(*target, aTarget, aReport, aNow);
  }
}

} // namespace laburnumdyke
