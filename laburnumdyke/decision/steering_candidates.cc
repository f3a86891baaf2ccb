// Which upstreams can get a request, in which order they come for its object,
// and what each would cost. Nothing here has an effect on later choices, so
// Choose() and Explain() share it.
#include "laburnumdyke/decision/object_order.h"
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <array>

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

// Whether aRegion is one of aHomes; all are if there are none.
bool
IsHome(const std::vector<region_id>& aHomes, const region_id& aRegion)
{
  return aHomes.empty() ||
         std::find(aHomes.begin(), aHomes.end(), aRegion) != aHomes.end();
}

} // namespace

// Why the upstream gets no requests at all, whatever its health or load.
std::optional<exclusion_rule>
upstream_steering::ClosedBy(const upstream& aUpstream) const
{
  const upstream_entry& entry = aUpstream.mEntry;
  if (entry.mDraining) {
    return exclusion_rule::Draining;
  }
  if (aUpstream.mMisdirected) {
    return exclusion_rule::WrongInstance;
  }
  if (mEvacuated.count(entry.mDomain) > 0) {
    return exclusion_rule::Evacuated;
  }
  return std::nullopt;
}

bool
upstream_steering::TakesRequests(const upstream& aUpstream) const
{
  return !ClosedBy(aUpstream);
}

std::optional<exclusion_rule>
upstream_steering::ExclusionOf(const upstream& aUpstream,
                               const steering_request& aRequest,
                               bool aTrustHealth,
                               instant aNow) const
{
  const upstream_entry& entry = aUpstream.mEntry;
  std::optional<exclusion_rule> closed = ClosedBy(aUpstream);
  if (closed) {
    return closed;
  }
  const region_id& region = aUpstream.mRegion;
  if (!IsHome(aRequest.mRoute.mHomes, region)) {
    return exclusion_rule::RouteHome;
  }
  if (aRequest.mCustomer != nullptr &&
      !IsHome(aRequest.mCustomer->mHomes, region)) {
    return exclusion_rule::CustomerHome;
  }
  const std::vector<upstream_id>& tried = aRequest.mTried;
  if (std::find(tried.begin(), tried.end(), entry.mId) != tried.end()) {
    return exclusion_rule::Tried;
  }
  if (aTrustHealth && aUpstream.mHealth.State(aNow) != health_state::Usable) {
    return exclusion_rule::Unhealthy;
  }
  bool maySend = !IsCold(aUpstream, aNow) ||
                 mColdStartLimiter.MaySend(
                   entry.mId,
                   region,
                   mRoutes ? mRoutes->Rules(entry.mService).mColdRate : 0,
                   aNow);
  return maySend ? std::nullopt : std::optional(exclusion_rule::ColdLimit);
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

// The top-ranked upstreams for the request's object in each locality, or all
// eligible upstreams if the request concerns no object.
std::vector<upstream_steering::ranked_upstream>
upstream_steering::PreferredUpstreams(const request_view& aView,
                                      bool aTrustHealth,
                                      instant aNow) const
{
  const steering_request& request = aView.mRequest;
  bool staysInDomain = kCrossDomainCostPerByte * aView.mWork.Bytes() >
                       seconds_d(request.mRoute.mObjective) / 4;
  std::vector<ranked_upstream> choices;
  std::array<top_ranked<const upstream*, kChoicesPerLocality>, kLocalities>
    tops;
  bool hasOrder = !request.mObject.empty() && request.mRoute.mAffinity;
  for (const upstream* known : aView.mUpstreams) {
    if (ExclusionOf(*known, request, aTrustHealth, aNow)) {
      continue;
    }
    locality place = LocalityOf(*known, staysInDomain);
    if (!hasOrder) {
      choices.push_back({ known, place, 0 });
      continue;
    }
    double weight = known->mEntry.mSlots;
    weight *= place == locality::OtherRegion
                ? aView.mBalance.Weight(known->mRegion)
                : 1;
    tops.at(static_cast<std::size_t>(place))
      .Add(known, OrderScore(known->mEntry.mId, weight, request.mObject));
  }
  for (std::size_t place = 0; place < kLocalities; ++place) {
    std::size_t rank = 0;
    for (const top_ranked<const upstream*, kChoicesPerLocality>::ranked&
           ranked : tops.at(place).Ranked()) {
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
    aView.IsAssignedRemotely() ? locality::OtherRegion : locality::Local;
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
  if (aView.IsAssignedRemotely() && !isRemote) {
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
  double load = LoadOf(target, aNow);
  double slowness = ExpectedSlowness(target, aNow);
  evaluated.mLoad = load;
  evaluated.mSlots = slots;
  evaluated.mSlowness = slowness;
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
  bool hasCapacity = (meetsObjective && hasQueueSpace) || isFree;
  evaluated.mAdmits = hasCapacity && load + 1 <= slots * aView.mRoom.mSlots;
  evaluated.mYields = hasCapacity && !evaluated.mAdmits;
  return evaluated;
}

std::vector<upstream_steering::candidate>
upstream_steering::Candidates(const request_view& aView,
                              bool aTrustHealth,
                              instant aNow) const
{
  std::vector<candidate> candidates;
  std::vector<ranked_upstream> preferred =
    PreferredUpstreams(aView, aTrustHealth, aNow);
  OrderBySpeed(preferred, aView.mRequest, aNow);
  for (const ranked_upstream& ranked : preferred) {
    candidates.push_back(Evaluate(ranked, aView, aNow));
  }
  return candidates;
}

upstream_steering::selection
upstream_steering::Select(const request_view& aView, instant aNow) const
{
  selection selected{ Candidates(aView, true, aNow), true };
  if (selected.mCandidates.empty()) {
    // If no upstream looks healthy, the health data is ignored.
    selected = { Candidates(aView, false, aNow), false };
  }
  return selected;
}

upstream_steering::best_candidates
upstream_steering::Compare(const std::vector<candidate>& aCandidates)
{
  best_candidates best;
  for (const candidate& one : aCandidates) {
    best.mHasLocal = best.mHasLocal || !one.mRemote;
    const candidate*& side = one.mRemote ? best.mRemote : best.mLocal;
    if (one.mAdmits && (side == nullptr || one.mCost < side->mCost)) {
      side = &one;
    }
  }
  return best;
}

} // namespace laburnumdyke
