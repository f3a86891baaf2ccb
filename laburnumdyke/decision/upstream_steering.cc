// All upstreams of a service are ranked for each request: it has tens to a
// thousand of them and an instance handles some tens of requests per second, so
// an index by object would not pay off. steering_candidates.cc has how they are
// ranked and evaluated, steering_explanation.cc the explanation of a choice,
// demand_choice.cc the use of measured demand, contention_steering.cc the use
// of contention, upstream_feedback.cc what is learned from attempts, and
// speed_steering.cc how learned speeds are used.
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace laburnumdyke {

namespace {

using seconds_d = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 1000 };

} // namespace

upstream_steering::upstream_steering(steering_options aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(mOptions.mDirectory)
  , mColdStartLimiter(
      { mOptions.mSelf, mOptions.mColdOvershoot, mOptions.mColdSlack })
  , mDemand(mOptions.mSpillover, mOptions.mRegion)
  , mRandom(mOptions.mSeed)
{
}

void
upstream_steering::Apply(const std::vector<upstream_change>& aChanges,
                         instant aNow,
                         instant aWrittenAfter)
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
    upstream& known = mUpstreams[entry.mId];
    if (isNew) {
      bool isRestart = change.mKind == upstream_change_kind::Restarted;
      upstream started;
      started.mEntry.mId = entry.mId;
      started.mStart = known.mStart + (isRestart ? 1 : 0);
      started.mRestart = known.mRestart;
      started.mRestart.RecordNewStart(aWrittenAfter);
      known = std::move(started);
      ForgetStart(known);
    } else {
      known.mRestart.RecordRegistration(aWrittenAfter);
    }
    ApplyColdLeft(known, entry.mColdLeft, aNow, aWrittenAfter);
    known.mEntry = entry;
    known.mRegion = RegionOf(entry.mDomain);
    if (known.mMisdirected && aWrittenAfter >= *known.mMisdirected) {
      known.mMisdirected.reset();
    }
  }
}

// Of an upstream that was found to be cold, a row that was written before can
// prolong that time but not end it. Nor can one that repeats that there is no
// time left: an upstream may report only the time since its start.
void
upstream_steering::ApplyColdLeft(upstream& aUpstream,
                                 std::chrono::milliseconds aColdLeft,
                                 instant aNow,
                                 instant aWrittenAfter)
{
  constexpr std::chrono::milliseconds kNone{ 0 };
  instant coldUntil = aNow + aColdLeft;
  bool isRepeated = aColdLeft == kNone && aUpstream.mEntry.mColdLeft == kNone;
  bool isLater = aWrittenAfter >= aUpstream.mFoundCold;
  aUpstream.mColdUntil = isLater && !isRepeated
                           ? coldUntil
                           : std::max(aUpstream.mColdUntil, coldUntil);
}

service_rules
upstream_steering::RulesOf(const upstream& aUpstream) const
{
  return mRoutes ? mRoutes->Rules(aUpstream.mEntry.mService) : service_rules();
}

void
upstream_steering::ForgetStart(upstream& aUpstream)
{
  aUpstream.mLoad = {};
  aUpstream.mSlowness = 1;
  aUpstream.mSlownessUpdated = {};
  aUpstream.mRecent = {};
  aUpstream.mSpeed = upstream_speed(SpreadOf(aUpstream.mEntry.mId));
}

bool
upstream_steering::SuspectRestart(upstream& aUpstream,
                                  std::chrono::milliseconds aMaxTime,
                                  instant aNow)
{
  service_rules rules = RulesOf(aUpstream);
  bool hasColdStart = rules.mColdRate > 0 && rules.mColdTime.count() > 0;
  if (!hasColdStart) {
    return false;
  }
  bool isNews = aUpstream.mRestart.IsNews(aNow);
  if (isNews) {
    ++aUpstream.mStart;
    ForgetStart(aUpstream);
  }
  aUpstream.mRestart.Suspect(aMaxTime, aNow);
  return isNews;
}

std::vector<restart_report>
upstream_steering::TakeRestartReports()
{
  return std::exchange(mRestartReports, {});
}

std::optional<endpoint>
upstream_steering::LearnRestart(const restart_report& aReport, instant aNow)
{
  auto found = mUpstreams.find(aReport.mId);
  bool isNews =
    found != mUpstreams.end() && found->second.mEntry.mBorn == aReport.mBorn &&
    SuspectRestart(found->second, restart_suspicion::kMaxTime, aNow);
  return isNews ? std::optional(found->second.mEntry.mAddress) : std::nullopt;
}

std::set<upstream_id>
upstream_steering::RecentlySuspected(instant aNow) const
{
  std::set<upstream_id> suspected;
  for (const std::pair<const upstream_id, upstream>& known : mUpstreams) {
    if (known.second.mRestart.HeldWithin(restart_suspicion::kMaxTime, aNow)) {
      suspected.insert(known.first);
    }
  }
  return suspected;
}

void
upstream_steering::MarkCold(upstream& aUpstream, instant aNow)
{
  aUpstream.mColdUntil =
    std::max(aUpstream.mColdUntil, aNow + RulesOf(aUpstream).mColdTime);
  aUpstream.mFoundCold = aNow;
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
  mDemand.SetFleet(mFleet, !knewPeers && mFleetSize > 1);
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
  return aNow < aUpstream.mColdUntil || aUpstream.mRestart.Holds(aNow);
}

const std::vector<const upstream_steering::upstream*>&
upstream_steering::UpstreamsOf(const service_id& aService)
{
  if (mByService.empty()) {
    for (std::pair<const upstream_id, upstream>& known : mUpstreams) {
      mByService[known.second.mEntry.mService].push_back(&known.second);
    }
  }
  return mByService[aService];
}

region_balance
upstream_steering::MakeBalance(
  const std::vector<const upstream*>& aUpstreams) const
{
  std::map<region_id, region_capacity> capacities;
  for (const std::pair<const region_id, std::size_t>& region : mFleet) {
    capacities[region.first].mDemand = static_cast<double>(region.second);
  }
  for (const upstream* known : aUpstreams) {
    if (TakesRequests(*known)) {
      capacities[known->mRegion].mSlots += known->mEntry.mSlots;
    }
  }
  return region_balance(capacities, mOptions.mRegion);
}

const region_balance&
upstream_steering::BalanceOf(const service_id& aService)
{
  auto found = mBalances.find(aService);
  if (found != mBalances.end()) {
    return found->second;
  }
  return mBalances.emplace(aService, MakeBalance(UpstreamsOf(aService)))
    .first->second;
}

// The spillover of a service for which there is none yet.
region_spillover
upstream_steering::MakeSpillover(double aShare) const
{
  region_spillover_options options = mOptions.mSpillover;
  options.mInitialShare = aShare;
  return region_spillover(options);
}

region_spillover&
upstream_steering::SpilloverOf(const service_id& aService)
{
  double share = BalanceOf(aService).RemoteShare();
  auto found = mSpillovers.find(aService);
  if (found == mSpillovers.end()) {
    found = mSpillovers.emplace(aService, MakeSpillover(share)).first;
  }
  found->second.SetMinShare(share);
  return found->second;
}

refusal_reason
upstream_steering::RefusalOf(const std::vector<candidate>& aCandidates)
{
  if (aCandidates.empty()) {
    return refusal_reason::NoUpstream;
  }
  bool yields = std::any_of(aCandidates.begin(),
                            aCandidates.end(),
                            [](const candidate& aOne) { return aOne.mYields; });
  return yields ? refusal_reason::YieldsToOthers : refusal_reason::QueueFull;
}

std::chrono::milliseconds
upstream_steering::RetryAfter(const std::vector<candidate>& aCandidates,
                              const steering_request& aRequest,
                              double aSpread,
                              instant aNow)
{
  duration shortestWait = kMaxRetryAfter;
  for (const candidate& one : aCandidates) {
    // A request that yields finds room when one of those there has ended.
    shortestWait = std::min(
      shortestWait, one.mYields ? std::max(one.mWait, one.mTotal) : one.mWait);
  }
  duration after = ToDuration(seconds_d(shortestWait) * aSpread);
  after = std::clamp<duration>(after, kMinRetryAfter, kMaxRetryAfter);
  after = std::min(after, std::max(duration(0), aRequest.mDeadline - aNow));
  return std::chrono::duration_cast<std::chrono::milliseconds>(after);
}

steering_choice
upstream_steering::Refuse(const std::vector<candidate>& aCandidates,
                          const request_view& aView,
                          instant aNow)
{
  std::uniform_real_distribution<double> spread(kLeastRetrySpread,
                                                MostRetrySpread(aView));
  steering_choice choice;
  choice.mReason = RefusalOf(aCandidates);
  choice.mRetryAfter =
    RetryAfter(aCandidates, aView.mRequest, spread(mRandom), aNow);
  return choice;
}

steering_choice
upstream_steering::Choose(const steering_request& aRequest, instant aNow)
{
  if (aRequest.mTried.empty()) {
    mDemand.Count(aRequest.mService, aNow);
  }
  std::optional<demand_view> demand = DemandOf(aRequest.mService, aNow);
  request_view view{ aRequest,
                     UpstreamsOf(aRequest.mService),
                     WorkOf(aRequest.mRoute),
                     demand ? demand->mBalance : BalanceOf(aRequest.mService),
                     RoomOf(aRequest, UpstreamsOf(aRequest.mService), aNow) };
  selection selected = Select(view, aNow);
  const candidate* chosen = nullptr;
  if (demand) {
    best_by_region best = BestByRegion(selected.mCandidates);
    std::optional<region_id> region =
      demand->mShares.Decide(OffersOf(best), aNow);
    chosen = region ? best.at(*region) : nullptr;
  } else {
    chosen = Pick(selected.mCandidates, [&](const best_candidates& aBest) {
      return SpilloverOf(aRequest.mService)
        .Decide(aBest.PrefersRemote(),
                aBest.mLocal != nullptr,
                aNow,
                aBest.mRemote != nullptr);
    });
  }
  std::optional<contention_change> contention = RecordContention(
    aRequest,
    chosen == nullptr ? RefusalOf(selected.mCandidates) : refusal_reason::None,
    aNow);
  if (chosen == nullptr) {
    steering_choice refusal = Refuse(selected.mCandidates, view, aNow);
    refusal.mContention = contention;
    return refusal;
  }
  const upstream_entry& entry = chosen->mUpstream->mEntry;
  steering_choice choice;
  choice.mContention = contention;
  choice.mTarget = steering_target{ entry.mId,
                                    entry.mAddress,
                                    entry.mDomain,
                                    aRequest.mRoute.mName,
                                    std::string(aRequest.mObject),
                                    entry.mBorn,
                                    chosen->mUpstream->mStart,
                                    chosen->mWait,
                                    IsCold(*chosen->mUpstream, aNow),
                                    mFleetSize };
  return choice;
}

} // namespace laburnumdyke
