// Every event ends in ServeQueue, the only place that grants: a request that
// asks is queued first and taken out at once where a slot is free. So a new
// request never overtakes a waiting one, and slots, shares and health are
// checked in one place.
//
// The upstream with the least load by the instance's own count is picked. The
// slots of an upstream that looks ill are out of use, unless all of the
// service's look ill: then the measurement is distrusted and requests are
// spread evenly.
#include "laburnumdyke/decision/admission.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kLeastRetryAfter{ 200 };
constexpr std::chrono::milliseconds kLongestRetryAfter{ 5000 };

} // namespace

template<queue_order Order>
std::uint32_t
basic_admission<Order>::upstream_use::Used(instant aNow) const
{
  bool held = mHome && aNow < mClaim.mHeldUntil;
  return mInFlight + (held ? mClaim.mHeldElsewhere : 0);
}

template<queue_order Order>
bool
basic_admission<Order>::upstream_use::Serves() const
{
  return mHome && mSpec.mState == upstream_state::Serving;
}

template<queue_order Order>
std::uint32_t
basic_admission<Order>::upstream_use::Free(instant aNow) const
{
  std::uint32_t allowed = mHealth.Allowed(mSpec.mSlots, aNow);
  std::uint32_t used = Used(aNow);
  return Serves() && used < allowed ? allowed - used : 0;
}

template<queue_order Order>
void
basic_admission<Order>::Open(const admission_options& aOptions)
{
  mLimit.SetLimits(aOptions);
  mRandom.seed(aOptions.mSeed);
}

template<queue_order Order>
void
basic_admission<Order>::ForgetGone(const document& aDocument)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    it->second.mHome = false;
    bool gone =
      it->second.mInFlight == 0 && aDocument.mUpstreams.count(it->first) == 0;
    it = gone ? mUpstreams.erase(it) : std::next(it);
  }
}

// An upstream that an earlier document did not have serving, or had at another
// address, is cold. The first document starts no ramp: the instance is new,
// not the upstreams.
template<queue_order Order>
void
basic_admission<Order>::Declare(const document& aDocument, instant aNow)
{
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       aDocument.mUpstreams) {
    upstream_use& use = mUpstreams[entry.first];
    auto before = mDeclared.find(entry.first);
    bool cold = before == mDeclared.end() ||
                before->second.mState == upstream_state::Leaving ||
                before->second.mAddress != entry.second.mAddress;
    auto service = aDocument.mServices.find(entry.second.mService);
    if (service != aDocument.mServices.end()) {
      use.mWarmUp = service->second.mWarmUp;
    }
    use.mSpec = entry.second;
    if (mConfigured && cold) {
      use.mHealth = upstream_health();
      use.mHealth.BeginWarmUp(use.mWarmUp, aNow);
    }
  }
  mDeclared = aDocument.mUpstreams;
  mConfigured = true;
}

template<queue_order Order>
void
basic_admission<Order>::GroupByService()
{
  for (std::pair<const service_id, pool>& entry : mPools) {
    entry.second.mMembers.clear();
    entry.second.mShare.SetFloors(mRanks);
  }
  for (const upstream_entry& entry : mUpstreams) {
    if (entry.second.mHome) {
      auto [found, isNew] = mPools.try_emplace(entry.second.mSpec.mService);
      if (isNew) {
        found->second.mShare.SetFloors(mRanks);
      }
      found->second.mMembers.push_back(entry.first);
    }
  }
}

template<queue_order Order>
admission_changes
basic_admission<Order>::Configure(const document& aDocument,
                                  const std::vector<home_claim>& aHomes,
                                  instant aNow)
{
  mRanks = aDocument.mRanks;
  mLimit.SetFloors(mRanks);
  ForgetGone(aDocument);
  Declare(aDocument, aNow);
  for (const home_claim& claim : aHomes) {
    if (aDocument.mUpstreams.count(claim.mUpstream) != 0) {
      upstream_use& use = mUpstreams[claim.mUpstream];
      use.mClaim = claim;
      use.mHome = true;
    }
  }
  GroupByService();
  admission_changes changes;
  for (std::pair<const service_id, pool>& entry : mPools) {
    ServeQueue(entry.second, aNow, changes);
  }
  return changes;
}

template<queue_order Order>
typename basic_admission<Order>::pool_state
basic_admission<Order>::Survey(const pool& aPool, instant aNow) const
{
  pool_state trusted;
  pool_state distrusted;
  distrusted.mDistrust = true;
  for (const upstream_id& name : aPool.mMembers) {
    const upstream_use& use = mUpstreams.at(name);
    health_state health = use.mHealth.State(aNow);
    if (!use.Serves() || health == health_state::Draining) {
      continue;
    }
    std::uint32_t open = use.mHealth.Allowed(use.mSpec.mSlots, aNow);
    std::uint32_t held = use.Used(aNow) - use.mInFlight;
    if (held >= open) {
      continue; // an earlier home may still occupy all of them
    }
    pool_state& state = health == health_state::Usable ? trusted : distrusted;
    state.mAnyServes = true;
    state.mSlots += open - held;
    state.mFree += use.Free(aNow);
  }
  return trusted.mAnyServes ? trusted : distrusted;
}

template<queue_order Order>
typename basic_admission<Order>::upstream_entry*
basic_admission<Order>::PickUpstream(const pool& aPool,
                                     const pool_state& aState,
                                     instant aNow)
{
  upstream_entry* best = nullptr;
  std::pair<double, instant> bestOrder;
  health_state wanted =
    aState.mDistrust ? health_state::Ill : health_state::Usable;
  for (const upstream_id& name : aPool.mMembers) {
    upstream_entry& entry = *mUpstreams.find(name);
    upstream_use& use = entry.second;
    if (use.mHealth.State(aNow) != wanted || use.Free(aNow) == 0) {
      continue;
    }
    // Distrusted health may not weigh either: the spread is by turns.
    double load = aState.mDistrust
                    ? 0
                    : use.mHealth.Load(use.Used(aNow), use.mSpec.mSlots, aNow);
    std::pair<double, instant> order(load, use.mPicked);
    if (best == nullptr || order < bestOrder) {
      best = &entry;
      bestOrder = order;
    }
  }
  return best;
}

template<queue_order Order>
grant
basic_admission<Order>::Occupy(upstream_entry& aEntry,
                               pool& aPool,
                               const admission_request& aRequest,
                               instant aNow)
{
  upstream_use& use = aEntry.second;
  ++use.mInFlight;
  use.mPicked = aNow;
  auto state = [&]() {
    return "upstream=" + aEntry.first.mValue +
           " in_flight=" + std::to_string(use.mInFlight) +
           " used=" + std::to_string(use.Used(aNow)) +
           " slots=" + std::to_string(use.mSpec.mSlots);
  };
  CheckInvariant(use.Used(aNow) <= use.mSpec.mSlots, "slots_overshot", state);
  CheckInvariant(use.Serves() &&
                   use.mHealth.State(aNow) != health_state::Draining,
                 "work_for_leaving_upstream",
                 state);
  mInFlight.emplace(
    aRequest.mNumber,
    dispatched{ aEntry.first, aRequest.mService, aRequest.mRank, aNow });
  aPool.mShare.Take(aRequest.mRank, aNow);
  return { aRequest.mNumber, aEntry.first, use.mSpec.mAddress };
}

template<queue_order Order>
admission_answer
basic_admission<Order>::Refuse(refusal_reason aReason, duration aWait)
{
  std::chrono::milliseconds wait =
    std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(aWait),
               kLeastRetryAfter,
               kLongestRetryAfter);
  // Half to one and a half times the wait, so that callers that were refused
  // together don't return together.
  std::uniform_int_distribution<std::int64_t> jitter(wait.count() / 2,
                                                     wait.count() * 3 / 2);
  admission_answer answer;
  answer.mReason = aReason;
  answer.mRetryAfter = std::chrono::milliseconds(jitter(mRandom));
  return answer;
}

template<queue_order Order>
refusal_reason
basic_admission<Order>::CheckAsk(const pool& aPool,
                                 const admission_request& aRequest,
                                 instant aNow) const
{
  pool_state state = Survey(aPool, aNow);
  if (!state.mAnyServes) {
    return refusal_reason::NoUpstream;
  }
  std::size_t ahead = aPool.mQueue.Ahead(aRequest);
  bool atOnce =
    ahead == 0 &&
    aPool.mShare.MayTake(aRequest.mRank, state.mSlots, state.mFree, aNow);
  if (atOnce) {
    return refusal_reason::None;
  }
  std::uint32_t limit =
    mRanks.at(static_cast<std::size_t>(aRequest.mRank)).mQueue;
  if (aPool.mQueue.Size(aRequest.mRank) >= limit) {
    return refusal_reason::QueueFull;
  }
  // The rank's floor serves it while more urgent ranks wait.
  double floorSlots = aPool.mShare.Floor(aRequest.mRank) * state.mSlots;
  duration wait =
    std::min(aPool.mHold.Wait(ahead, state.mSlots),
             aPool.mHold.Wait(aPool.mQueue.AheadInRank(aRequest), floorSlots));
  return aNow + wait + aPool.mHold.Mean() > aRequest.mDeadline
           ? refusal_reason::DeadlineTooClose
           : refusal_reason::None;
}

// Moves what was decided of the asking request out of the others.
template<queue_order Order>
void
basic_admission<Order>::TakeOwn(request_number aNumber,
                                admission_answer& aAnswer)
{
  std::vector<grant>& grants = aAnswer.mOthers.mGrants;
  for (auto it = grants.begin(); it != grants.end(); ++it) {
    if (it->mNumber == aNumber) {
      aAnswer.mStep = admission_step::Granted;
      aAnswer.mGrant = *it;
      grants.erase(it);
      return;
    }
  }
  std::vector<queue_refusal>& refusals = aAnswer.mOthers.mRefusals;
  for (auto it = refusals.begin(); it != refusals.end(); ++it) {
    if (it->mNumber == aNumber) {
      admission_answer refused = Refuse(it->mReason, kLeastRetryAfter);
      aAnswer.mStep = refused.mStep;
      aAnswer.mReason = refused.mReason;
      aAnswer.mRetryAfter = refused.mRetryAfter;
      refusals.erase(it);
      return;
    }
  }
}

template<queue_order Order>
admission_answer
basic_admission<Order>::Ask(const admission_request& aRequest, instant aNow)
{
  if (aRequest.mDeadline <= aNow) {
    return Refuse(refusal_reason::DeadlinePassed, kLeastRetryAfter);
  }
  auto found = mPools.find(aRequest.mService);
  if (found == mPools.end()) {
    return Refuse(refusal_reason::NoUpstream, kLeastRetryAfter);
  }
  pool& pool = found->second;
  pool.mShare.CountDemand(aRequest.mRank, aNow);
  refusal_reason reason = CheckAsk(pool, aRequest, aNow);
  if (reason != refusal_reason::None) {
    std::uint32_t slots = Survey(pool, aNow).mSlots;
    return Refuse(reason, pool.mHold.Wait(pool.mQueue.Size(), slots));
  }
  pool.mQueue.Push(aRequest);
  mQueued.emplace(aRequest.mNumber, aRequest.mService);
  admission_answer answer;
  answer.mStep = admission_step::Queued;
  ServeQueue(pool, aNow, answer.mOthers);
  TakeOwn(aRequest.mNumber, answer);
  return answer;
}

template<queue_order Order>
void
basic_admission<Order>::Drop(pool& aPool,
                             request_number aNumber,
                             refusal_reason aReason,
                             admission_changes& aChanges)
{
  aPool.mQueue.Erase(aNumber);
  mQueued.erase(aNumber);
  aChanges.mRefusals.push_back({ aNumber, aReason });
}

// Grants one slot, or refuses one request that can't make its deadline while
// others wait for the slot. The last one that waits is always tried, so that
// a wrong estimate can't stop the service.
template<queue_order Order>
bool
basic_admission<Order>::ServeOne(pool& aPool,
                                 instant aNow,
                                 admission_changes& aChanges)
{
  pool_state state = Survey(aPool, aNow);
  rank_flags waiting{};
  for (std::size_t i = 0; i < kRankCount; ++i) {
    waiting[i] = aPool.mQueue.Size(static_cast<work_rank>(i)) > 0;
  }
  for (work_rank rank : aPool.mShare.Order(waiting, state.mSlots, aNow)) {
    if (!aPool.mShare.MayTake(rank, state.mSlots, state.mFree, aNow)) {
      continue;
    }
    admission_request first = aPool.mQueue.First(rank);
    bool tooLate = aNow + aPool.mHold.Mean() / 2 > first.mDeadline;
    if (tooLate && aPool.mQueue.Size() > 1) {
      Drop(aPool, first.mNumber, refusal_reason::DeadlineTooClose, aChanges);
      return true;
    }
    upstream_entry* entry = PickUpstream(aPool, state, aNow);
    if (entry == nullptr) {
      return false;
    }
    aPool.mQueue.Erase(first.mNumber);
    mQueued.erase(first.mNumber);
    aChanges.mGrants.push_back(Occupy(*entry, aPool, first, aNow));
    return true;
  }
  return false;
}

template<queue_order Order>
void
basic_admission<Order>::RefuseLate(pool& aPool,
                                   instant aNow,
                                   admission_changes& aChanges)
{
  for (request_number number : aPool.mQueue.Late(aNow)) {
    Drop(aPool, number, refusal_reason::DeadlinePassed, aChanges);
  }
}

template<queue_order Order>
void
basic_admission<Order>::ServeQueue(pool& aPool,
                                   instant aNow,
                                   admission_changes& aChanges)
{
  RefuseLate(aPool, aNow, aChanges);
  if (aPool.mQueue.Size() > 0 && !Survey(aPool, aNow).mAnyServes) {
    for (request_number number : aPool.mQueue.Late(instant::max())) {
      Drop(aPool, number, refusal_reason::NoUpstream, aChanges);
    }
  }
  while (ServeOne(aPool, aNow, aChanges)) {
  }
}

template<queue_order Order>
admission_changes
basic_admission<Order>::Release(request_number aNumber,
                                attempt_result aResult,
                                instant aNow)
{
  auto found = mInFlight.find(aNumber);
  CheckInvariant(found != mInFlight.end(), "released_twice", [&]() {
    return "number=" + std::to_string(aNumber);
  });
  dispatched ended = found->second;
  mInFlight.erase(found);
  upstream_use& use = mUpstreams[ended.mUpstream];
  --use.mInFlight;
  use.mHealth.Judge(aResult, use.mWarmUp, aNow);
  pool& pool = mPools[ended.mService];
  pool.mShare.Return(ended.mRank, aNow);
  if (aResult == attempt_result::Answered) {
    pool.mHold.Learn(aNow - ended.mSince);
  }
  admission_changes changes;
  ServeQueue(pool, aNow, changes);
  return changes;
}

template<queue_order Order>
void
basic_admission<Order>::Withdraw(request_number aNumber)
{
  auto found = mQueued.find(aNumber);
  if (found != mQueued.end()) {
    mPools[found->second].mQueue.Erase(aNumber);
    mQueued.erase(found);
  }
}

template<queue_order Order>
void
basic_admission<Order>::Report(const upstream_id& aUpstream,
                               std::uint32_t aBusy,
                               instant aNow)
{
  auto found = mUpstreams.find(aUpstream);
  if (found != mUpstreams.end()) {
    found->second.mHealth.Report(aBusy, aNow);
  }
}

template<queue_order Order>
void
basic_admission<Order>::ReportDraining(const upstream_id& aUpstream,
                                       instant aNow)
{
  auto found = mUpstreams.find(aUpstream);
  if (found != mUpstreams.end()) {
    upstream_use& use = found->second;
    use.mHealth.Judge(attempt_result::Draining, use.mWarmUp, aNow);
  }
}

template<queue_order Order>
std::vector<upstream_view>
basic_admission<Order>::Upstreams() const
{
  std::vector<upstream_view> views;
  for (const upstream_entry& entry : mUpstreams) {
    const upstream_use& use = entry.second;
    if (use.mHome || use.mInFlight > 0) {
      views.push_back(
        { entry.first, use.mSpec.mAddress, use.mHome, use.mInFlight });
    }
  }
  return views;
}

template<queue_order Order>
admission_changes
basic_admission<Order>::Tick(instant aNow)
{
  admission_changes changes;
  for (std::pair<const service_id, pool>& entry : mPools) {
    ServeQueue(entry.second, aNow, changes);
  }
  return changes;
}

// Distrusted upstreams are advertised without free slots: a relay that has a
// choice goes elsewhere, one that has none still finds service here.
template<queue_order Order>
std::vector<service_credit>
basic_admission<Order>::Credits(instant aNow) const
{
  std::vector<service_credit> result;
  for (const std::pair<const service_id, pool>& entry : mPools) {
    pool_state state = Survey(entry.second, aNow);
    if (state.mAnyServes) {
      bool open = !state.mDistrust && entry.second.mQueue.Size() == 0;
      std::uint32_t waiting =
        static_cast<std::uint32_t>(entry.second.mQueue.Size());
      result.push_back(
        { entry.first, state.mSlots, open ? state.mFree : 0, waiting });
    }
  }
  return result;
}

template class basic_admission<earliest_deadline_first>;
template class basic_admission<first_in_first_out>;
template class basic_admission<last_in_first_out>;

} // namespace laburnumdyke
