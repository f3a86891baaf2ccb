// All upstreams of a service are ranked for each request: it has tens to a
// thousand of them and an instance handles some tens of requests per second, so
// an index by object would not pay off. upstream_feedback.cc has what is
// learned from attempts, speed_steering.cc how learned speeds are used.
#include "laburnumdyke/decision/upstream_steering.h"

#include "laburnumdyke/decision/object_order.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

// Upstreams considered for an object in each locality. Two are enough to
// balance load, and few enough that they have the object cached.
constexpr std::size_t kChoicesPerLocality = 2;
// Service time factor of upstreams other than an object's first choice, which
// may have evicted the object.
constexpr double kNonPrimaryFactor = 1.1;
constexpr double kColdFactor = 2; // service time factor of a cold upstream
// Delay accepted per byte to keep a response within its failure
// domain, where bandwidth is plentiful.
constexpr seconds_d kCrossDomainCostPerByte{ 4e-6 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 1000 };

// Whether aRegion is one of aHomes; all are if there are none.
bool
IsHome(const std::vector<region_id>& aHomes, const region_id& aRegion)
{
  return aHomes.empty() ||
         std::find(aHomes.begin(), aHomes.end(), aRegion) != aHomes.end();
}

} // namespace

upstream_steering::upstream_steering(steering_options aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(mOptions.mDirectory)
  , mColdStartLimiter(
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
    if (change.mKind != upstream_change_kind::Renewed) {
      mBalances.clear();
      mByService.clear();
    }
    if (change.mKind == upstream_change_kind::Left) {
      mUpstreams.erase(entry.mId);
      continue;
    }
    bool isNew = change.mKind == upstream_change_kind::Joined ||
                 change.mKind == upstream_change_kind::Restarted;
    if (isNew) {
      mUpstreams[entry.mId] = upstream();
      mUpstreams[entry.mId].mSpeed = upstream_speed(SpreadOf(entry.mId));
    }
    upstream& known = mUpstreams[entry.mId];
    known.mEntry = entry;
    known.mRegion = RegionOf(entry.mDomain);
    known.mColdUntil = aNow + entry.mColdLeft;
    known.mMisdirected = false;
  }
}

void
upstream_steering::MarkCold(upstream& aUpstream, instant aNow)
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
      MarkCold(known.second, aNow);
    }
  }
  mEvacuated = aDomains;
  mBalances.clear();
}

void
upstream_steering::SetRules(std::shared_ptr<const route_table> aRoutes)
{
  mRoutes = std::move(aRoutes);
}

void
upstream_steering::SetFleet(std::vector<instance_location> aFleet)
{
  bool knewPeers = mFleetSize > 1;
  mFleetSize = std::max<std::size_t>(1, aFleet.size());
  if (!knewPeers && mFleetSize > 1) {
    mSpillovers.clear(); // initial shares were set without knowing demand
  }
  mFleet.clear();
  for (const instance_location& place : aFleet) {
    ++mFleet[place.mRegion];
  }
  auto own = mFleet.find(mOptions.mRegion);
  mRegionInstances = own == mFleet.end() ? 1 : own->second;
  mBalances.clear();
  mColdStartLimiter.SetFleet(std::move(aFleet));
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

// Whether the upstream may get requests at all, whatever its health or load.
bool
upstream_steering::TakesRequests(const upstream& aUpstream) const
{
  const upstream_entry& entry = aUpstream.mEntry;
  return !entry.mDraining && !aUpstream.mMisdirected &&
         mEvacuated.count(entry.mDomain) == 0;
}

bool
upstream_steering::IsEligible(const upstream& aUpstream,
                              const steering_request& aRequest,
                              bool aTrustHealth,
                              instant aNow) const
{
  const upstream_entry& entry = aUpstream.mEntry;
  if (!TakesRequests(aUpstream)) {
    return false;
  }
  const region_id& region = aUpstream.mRegion;
  if (!IsHome(aRequest.mRoute.mHomes, region) ||
      (aRequest.mCustomer != nullptr &&
       !IsHome(aRequest.mCustomer->mHomes, region))) {
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
         mColdStartLimiter.MaySend(
           entry.mId,
           region,
           mRoutes ? mRoutes->Rules(entry.mService).mColdRate : 0,
           aNow);
}

upstream_steering::locality
upstream_steering::LocalityOf(const upstream& aUpstream,
                              bool aStaysInDomain) const
{
  if (aUpstream.mRegion != mOptions.mRegion) {
    return locality::OtherRegion;
  }
  bool isLocal =
    !aStaysInDomain || aUpstream.mEntry.mDomain == mOptions.mDomain;
  return isLocal ? locality::Local : locality::Region;
}

const std::vector<upstream_steering::upstream*>&
upstream_steering::UpstreamsOf(const service_id& aService)
{
  if (mByService.empty()) {
    for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
      mByService[known.second.mEntry.mService].push_back(&known.second);
    }
  }
  return mByService[aService];
}

// The top-ranked upstreams for the request's object in each locality, or all
// eligible upstreams if the request concerns no object.
std::vector<upstream_steering::ranked_upstream>
upstream_steering::PreferredUpstreams(const steering_request& aRequest,
                                      bool aStaysInDomain,
                                      bool aTrustHealth,
                                      instant aNow)
{
  std::vector<ranked_upstream> choices;
  std::array<top_ranked<upstream*, kChoicesPerLocality>, kLocalities> tops;
  bool hasOrder = !aRequest.mObject.empty() && aRequest.mRoute.mAffinity;
  const region_balance& balance = BalanceOf(aRequest.mService);
  for (upstream* known : UpstreamsOf(aRequest.mService)) {
    if (!IsEligible(*known, aRequest, aTrustHealth, aNow)) {
      continue;
    }
    locality place = LocalityOf(*known, aStaysInDomain);
    if (!hasOrder) {
      choices.push_back({ known, place, 0 });
      continue;
    }
    double weight = known->mEntry.mSlots;
    weight *=
      place == locality::OtherRegion ? balance.Weight(known->mRegion) : 1;
    tops.at(static_cast<std::size_t>(place))
      .Add(known, OrderScore(known->mEntry.mId, weight, aRequest.mObject));
  }
  for (std::size_t place = 0; place < kLocalities; ++place) {
    std::size_t rank = 0;
    for (const top_ranked<upstream*, kChoicesPerLocality>::ranked& ranked :
         tops.at(place).Ranked()) {
      choices.push_back(
        { ranked.mCandidate, static_cast<locality>(place), rank++ });
    }
  }
  return choices;
}

// Whether the upstream is the first of those that the object is assigned to.
bool
upstream_steering::IsPrimary(const ranked_upstream& aRanked,
                             const request_view& aView)
{
  locality assigned =
    aView.mIsAssignedRemotely ? locality::OtherRegion : locality::Local;
  return aRanked.mLocality == assigned && aRanked.mRank == 0;
}

// Whether the upstream is expected to have the request's object cached. In a
// region that the object isn't assigned to, other objects soon displace it.
bool
upstream_steering::IsCached(const ranked_upstream& aRanked,
                            const request_view& aView) const
{
  std::string_view object = aView.mRequest.mObject;
  if (object.empty()) {
    return true;
  }
  bool isRemote = aRanked.mLocality == locality::OtherRegion;
  if (aView.mIsAssignedRemotely && !isRemote) {
    return false;
  }
  return IsPrimary(aRanked, aView) ||
         aRanked.mUpstream->mRecent.Contains(object);
}

upstream_steering::candidate
upstream_steering::Evaluate(const ranked_upstream& aRanked,
                            const request_view& aView,
                            instant aNow) const
{
  const steering_request& request = aView.mRequest;
  candidate evaluated;
  const upstream& target = *aRanked.mUpstream;
  const upstream_entry& entry = target.mEntry;
  evaluated.mUpstream = aRanked.mUpstream;
  evaluated.mRemote = aRanked.mLocality == locality::OtherRegion;
  double slots = std::max(1U, target.mHealth.Allowed(entry.mSlots, aNow));
  double load = target.mLoad.Estimate(mRegionInstances, aNow);
  double slowness = ExpectedSlowness(target, aNow);
  double waiting = std::max(0.0, load + 1 - slots);
  evaluated.mWait =
    ToDuration(seconds_d(aView.mWork.Known()) * slowness * (waiting / slots));
  double handled = HandledSlots(target, slots, aNow);
  double excess = std::max(0.0, load + 1 - handled);
  // Requests beyond those that the upstream handles well delay each other,
  // whether they wait or run.
  seconds_d delay = handled < slots ? seconds_d(aView.mWork.Known()) *
                                        slowness * (excess / handled)
                                    : seconds_d(evaluated.mWait);
  seconds_d work =
    IsCached(aRanked, aView) ? aView.mWork.Known() : aView.mWork.Unknown();
  work *= slowness * (IsPrimary(aRanked, aView) ? 1 : kNonPrimaryFactor) *
          (IsCold(target, aNow) ? kColdFactor : 1);
  auto roundTrip = mRoundTrips.find(entry.mDomain);
  seconds_d distance = roundTrip != mRoundTrips.end() ? roundTrip->second
                       : evaluated.mRemote            ? mOptions.mFarRoundTrip
                                                      : mOptions.mNearRoundTrip;
  seconds_d total = distance + delay + work;
  evaluated.mTotal = ToDuration(total);
  bool crossesDomains = entry.mDomain != mOptions.mDomain;
  evaluated.mCost =
    total.count() + (crossesDomains
                       ? kCrossDomainCostPerByte.count() * aView.mWork.Bytes()
                       : 0);
  bool meetsObjective =
    aNow + evaluated.mTotal <= request.mReceived + request.mRoute.mObjective;
  bool hasQueueSpace = load + 1 <= slots * (1 + kMaxQueuedPerSlot);
  bool isFree = load + 1 <= slots;
  evaluated.mAdmits = (meetsObjective && hasQueueSpace) || isFree;
  return evaluated;
}

std::vector<upstream_steering::candidate>
upstream_steering::Candidates(const steering_request& aRequest,
                              bool aTrustHealth,
                              instant aNow)
{
  std::vector<candidate> candidates;
  const work_estimate& work = WorkOf(aRequest.mRoute);
  bool isAssignedRemotely =
    BalanceOf(aRequest.mService).IsAssignedRemotely(aRequest.mObject);
  request_view view{ aRequest, work, isAssignedRemotely };
  bool staysInDomain = kCrossDomainCostPerByte * work.Bytes() >
                       seconds_d(aRequest.mRoute.mObjective) / 4;
  std::vector<ranked_upstream> preferred =
    PreferredUpstreams(aRequest, staysInDomain, aTrustHealth, aNow);
  OrderBySpeed(preferred, aRequest, aNow);
  for (const ranked_upstream& ranked : preferred) {
    candidates.push_back(Evaluate(ranked, view, aNow));
  }
  return candidates;
}

const region_balance&
upstream_steering::BalanceOf(const service_id& aService)
{
  auto found = mBalances.find(aService);
  if (found != mBalances.end()) {
    return found->second;
  }
  std::map<region_id, region_capacity> capacities;
  for (const std::pair<const region_id, std::size_t>& region : mFleet) {
    capacities[region.first].mDemand = static_cast<double>(region.second);
  }
  for (const upstream* known : UpstreamsOf(aService)) {
    if (TakesRequests(*known)) {
      capacities[known->mRegion].mSlots += known->mEntry.mSlots;
    }
  }
  region_balance balance(capacities, mOptions.mRegion);
  return mBalances.emplace(aService, std::move(balance)).first->second;
}

region_spillover&
upstream_steering::SpilloverOf(const service_id& aService)
{
  double share = BalanceOf(aService).RemoteShare();
  auto found = mSpillovers.find(aService);
  if (found == mSpillovers.end()) {
    region_spillover_options options = mOptions.mSpillover;
    options.mInitialShare = share;
    found = mSpillovers.emplace(aService, region_spillover(options)).first;
  }
  found->second.SetMinShare(share);
  return found->second;
}

const upstream_steering::candidate*
upstream_steering::Pick(const std::vector<candidate>& aCandidates,
                        const steering_request& aRequest,
                        instant aNow)
{
  const candidate* local = nullptr;
  const candidate* remote = nullptr;
  bool hasLocal = false;
  for (const candidate& one : aCandidates) {
    hasLocal = hasLocal || !one.mRemote;
    const candidate*& best = one.mRemote ? remote : local;
    if (one.mAdmits && (best == nullptr || one.mCost < best->mCost)) {
      best = &one;
    }
  }
  if (!hasLocal) {
    return remote;
  }
  bool prefersRemote =
    remote != nullptr && (local == nullptr || remote->mCost < local->mCost);
  if (local == nullptr && remote == nullptr) {
    return nullptr;
  }
  spillover_decision decision =
    SpilloverOf(aRequest.mService)
      .Decide(prefersRemote, local != nullptr, aNow, remote != nullptr);
  switch (decision) {
    case spillover_decision::Local:
      return local;
    case spillover_decision::Remote:
      return remote;
    case spillover_decision::Refuse:
      break;
  }
  return nullptr;
}

steering_choice
upstream_steering::Refuse(const std::vector<candidate>& aCandidates,
                          const steering_request& aRequest,
                          instant aNow)
{
  steering_choice choice;
  choice.mReason = aCandidates.empty() ? refusal_reason::NoUpstream
                                       : refusal_reason::QueueFull;
  duration shortestWait = kMaxRetryAfter;
  for (const candidate& one : aCandidates) {
    shortestWait = std::min(shortestWait, one.mWait);
  }
  // Spread over up to twice the time, so that requests refused together do not
  // retry together.
  std::uniform_real_distribution<double> spread(1, 2);
  duration after = ToDuration(seconds_d(shortestWait) * spread(mRandom));
  after = std::clamp<duration>(after, kMinRetryAfter, kMaxRetryAfter);
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
    // If no upstream looks healthy, the health data is ignored.
    candidates = Candidates(aRequest, false, aNow);
  }
  const candidate* chosen = Pick(candidates, aRequest, aNow);
  if (chosen == nullptr) {
    return Refuse(candidates, aRequest, aNow);
  }
  const upstream_entry& entry = chosen->mUpstream->mEntry;
  steering_choice choice;
  choice.mTarget = steering_target{ entry.mId,
                                    entry.mAddress,
                                    entry.mDomain,
                                    aRequest.mRoute.mName,
                                    std::string(aRequest.mObject),
                                    entry.mBorn,
                                    chosen->mWait,
                                    IsCold(*chosen->mUpstream, aNow),
                                    mFleetSize };
  return choice;
}

} // namespace laburnumdyke
