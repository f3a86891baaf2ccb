// Every event ends in ServeQueue, the only place that grants slots: a new
// request is queued first, and dequeued at once if a slot is free. So no
// request bypasses the queue, and slots, shares and health are checked in one
// place.
//
// Least-loaded selection by the instance's own count of requests. The slots of
// an unhealthy upstream are not used, unless every upstream of the service
// looks unhealthy: then health is ignored and requests are spread evenly.
#include "laburnumdyke/decision/admission.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{ 200 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 5000 };

} // namespace

template<queue_order Order>
std::uint32_t
basic_admission<Order>::upstream_record::Used(instant aNow) const
{
  bool held = mHome && aNow < mClaim.mHeldUntil;
  return mInFlight + (held ? mClaim.mHeldElsewhere : 0);
}

template<queue_order Order>
bool
basic_admission<Order>::upstream_record::IsServing() const
{
  return mHome && mSpec.mState == upstream_state::Serving;
}

template<queue_order Order>
std::uint32_t
basic_admission<Order>::upstream_record::Free(instant aNow) const
{
  std::uint32_t allowed = mHealth.Allowed(mSpec.mSlots, aNow);
  std::uint32_t used = Used(aNow);
  return IsServing() && used < allowed ? allowed - used : 0;
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
basic_admission<Order>::RemoveAbsentUpstreams(const document& aDocument)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    it->second.mHome = false;
    bool isRemovable =
      it->second.mInFlight == 0 && aDocument.mUpstreams.count(it->first) == 0;
    it = isRemovable ? mUpstreams.erase(it) : std::next(it);
  }
}

// An upstream is cold, and starts a warm-up, if the previous document did not
// have it as serving or had it at another address. The first document starts no
// warm-up, since the instance is new, not the upstreams.
template<queue_order Order>
void
basic_admission<Order>::UpdateUpstreams(const document& aDocument, instant aNow)
{
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       aDocument.mUpstreams) {
    upstream_record& record = mUpstreams[entry.first];
    auto before = mPreviousUpstreams.find(entry.first);
    bool cold = before == mPreviousUpstreams.end() ||
                before->second.mState == upstream_state::Leaving ||
                before->second.mAddress != entry.second.mAddress;
    auto service = aDocument.mServices.find(entry.second.mService);
    if (service != aDocument.mServices.end()) {
      record.mWarmUp = service->second.mWarmUp;
    }
    record.mSpec = entry.second;
    if (mConfigured && cold) {
      record.mHealth = upstream_health();
      record.mHealth.BeginWarmUp(record.mWarmUp, aNow);
    }
  }
  mPreviousUpstreams = aDocument.mUpstreams;
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
  RemoveAbsentUpstreams(aDocument);
  UpdateUpstreams(aDocument, aNow);
  for (const home_claim& claim : aHomes) {
    if (aDocument.mUpstreams.count(claim.mUpstream) != 0) {
      upstream_record& record = mUpstreams[claim.mUpstream];
      record.mClaim = claim;
      record.mHome = true;
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
basic_admission<Order>::ComputePoolState(const pool& aPool, instant aNow) const
{
  pool_state healthy;
  pool_state unhealthy;
  unhealthy.mIgnoreHealth = true;
  for (const upstream_id& name : aPool.mMembers) {
    const upstream_record& record = mUpstreams.at(name);
    health_state health = record.mHealth.State(aNow);
    if (!record.IsServing() || health == health_state::Draining) {
      continue;
    }
    std::uint32_t open = record.mHealth.Allowed(record.mSpec.mSlots, aNow);
    std::uint32_t held = record.Used(aNow) - record.mInFlight;
    if (held >= open) {
      continue; // requests of a previous home may still occupy all of them
    }
    pool_state& state = health == health_state::Usable ? healthy : unhealthy;
    state.mAnyServing = true;
    state.mSlots += open - held;
    state.mFree += record.Free(aNow);
  }
  return healthy.mAnyServing ? healthy : unhealthy;
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
    aState.mIgnoreHealth ? health_state::Unhealthy : health_state::Usable;
  for (const upstream_id& name : aPool.mMembers) {
    upstream_entry& entry = *mUpstreams.find(name);
    upstream_record& record = entry.second;
    if (record.mHealth.State(aNow) != wanted || record.Free(aNow) == 0) {
      continue;
    }
    // The load includes an error penalty, so it is ignored along with health:
    // the upstream that was selected least recently comes first.
    double load =
      aState.mIgnoreHealth
        ? 0
        : record.mHealth.Load(record.Used(aNow), record.mSpec.mSlots, aNow);
    std::pair<double, instant> order(load, record.mLastPicked);
    if (best == nullptr || order < bestOrder) {
      best = &entry;
      bestOrder = order;
    }
  }
  return best;
}

template<queue_order Order>
grant
basic_admission<Order>::OccupySlot(upstream_entry& aEntry,
                                   pool& aPool,
                                   const admission_request& aRequest,
                                   instant aNow)
{
  upstream_record& record = aEntry.second;
  ++record.mInFlight;
  record.mLastPicked = aNow;
  auto state = [&]() {
    return "upstream=" + aEntry.first.mValue +
           " in_flight=" + std::to_string(record.mInFlight) +
           " used=" + std::to_string(record.Used(aNow)) +
           " slots=" + std::to_string(record.mSpec.mSlots);
  };
  CheckInvariant(
    record.Used(aNow) <= record.mSpec.mSlots, "slots_overshot", state);
  CheckInvariant(record.IsServing() &&
                   record.mHealth.State(aNow) != health_state::Draining,
                 "work_for_leaving_upstream",
                 state);
  mInFlight.emplace(
    aRequest.mNumber,
    in_flight_request{ aEntry.first, aRequest.mService, aRequest.mRank, aNow });
  aPool.mShare.Take(aRequest.mRank, aNow);
  return { aRequest.mNumber, aEntry.first, record.mSpec.mAddress };
}

template<queue_order Order>
admission_answer
basic_admission<Order>::Refuse(refusal_reason aReason, duration aWait)
{
  std::chrono::milliseconds wait =
    std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(aWait),
               kMinRetryAfter,
               kMaxRetryAfter);
  // Half to one and a half times the wait, so that callers that were refused
  // together do not retry together.
  std::uniform_int_distribution<std::int64_t> jitter(wait.count() / 2,
                                                     wait.count() * 3 / 2);
  admission_answer answer;
  answer.mReason = aReason;
  answer.mRetryAfter = std::chrono::milliseconds(jitter(mRandom));
  return answer;
}

template<queue_order Order>
refusal_reason
basic_admission<Order>::CheckRequest(const pool& aPool,
                                     const admission_request& aRequest,
                                     instant aNow) const
{
  pool_state state = ComputePoolState(aPool, aNow);
  if (!state.mAnyServing) {
    return refusal_reason::NoUpstream;
  }
  std::size_t ahead = aPool.mQueue.CountAhead(aRequest);
  bool isImmediate =
    ahead == 0 &&
    aPool.mShare.MayTake(aRequest.mRank, state.mSlots, state.mFree, aNow);
  if (isImmediate) {
    return refusal_reason::None;
  }
  std::uint32_t limit =
    mRanks.at(static_cast<std::size_t>(aRequest.mRank)).mQueue;
  if (aPool.mQueue.Size(aRequest.mRank) >= limit) {
    return refusal_reason::QueueFull;
  }
  // The rank's floor guarantees it slots even while more urgent ranks wait.
  double floorSlots = aPool.mShare.Floor(aRequest.mRank) * state.mSlots;
  duration wait = std::min(
    aPool.mHoldTime.Wait(ahead, state.mSlots),
    aPool.mHoldTime.Wait(aPool.mQueue.CountAheadInRank(aRequest), floorSlots));
  return aNow + wait + aPool.mHoldTime.Mean() > aRequest.mDeadline
           ? refusal_reason::DeadlineTooClose
           : refusal_reason::None;
}

// Moves the new request's own grant or refusal out of mOthers into the answer.
template<queue_order Order>
void
basic_admission<Order>::ExtractOwnResult(request_number aNumber,
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
      admission_answer refused = Refuse(it->mReason, kMinRetryAfter);
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
basic_admission<Order>::RequestSlot(const admission_request& aRequest,
                                    instant aNow)
{
  if (aRequest.mDeadline <= aNow) {
    return Refuse(refusal_reason::DeadlinePassed, kMinRetryAfter);
  }
  auto found = mPools.find(aRequest.mService);
  if (found == mPools.end()) {
    return Refuse(refusal_reason::NoUpstream, kMinRetryAfter);
  }
  pool& pool = found->second;
  pool.mShare.CountDemand(aRequest.mRank, aNow);
  refusal_reason reason = CheckRequest(pool, aRequest, aNow);
  if (reason != refusal_reason::None) {
    std::uint32_t slots = ComputePoolState(pool, aNow).mSlots;
    return Refuse(reason, pool.mHoldTime.Wait(pool.mQueue.Size(), slots));
  }
  pool.mQueue.Push(aRequest);
  mQueued.emplace(aRequest.mNumber, aRequest.mService);
  admission_answer answer;
  answer.mStep = admission_step::Queued;
  ServeQueue(pool, aNow, answer.mOthers);
  ExtractOwnResult(aRequest.mNumber, answer);
  return answer;
}

template<queue_order Order>
void
basic_admission<Order>::RefuseQueued(pool& aPool,
                                     request_number aNumber,
                                     refusal_reason aReason,
                                     admission_changes& aChanges)
{
  aPool.mQueue.Erase(aNumber);
  mQueued.erase(aNumber);
  aChanges.mRefusals.push_back({ aNumber, aReason });
}

// Grants one slot, or refuses one request that is not expected to meet its
// deadline while others wait for the slot. The last waiting request is always
// granted a free slot, so that a wrong estimate cannot stop the service.
template<queue_order Order>
bool
basic_admission<Order>::ServeOne(pool& aPool,
                                 instant aNow,
                                 admission_changes& aChanges)
{
  pool_state state = ComputePoolState(aPool, aNow);
  rank_flags waiting{};
  for (std::size_t i = 0; i < kRankCount; ++i) {
    waiting[i] = aPool.mQueue.Size(static_cast<work_rank>(i)) > 0;
  }
  for (work_rank rank : aPool.mShare.Order(waiting, state.mSlots, aNow)) {
    if (!aPool.mShare.MayTake(rank, state.mSlots, state.mFree, aNow)) {
      continue;
    }
    admission_request first = aPool.mQueue.Front(rank);
    bool tooLate = aNow + aPool.mHoldTime.Mean() / 2 > first.mDeadline;
    if (tooLate && aPool.mQueue.Size() > 1) {
      RefuseQueued(
        aPool, first.mNumber, refusal_reason::DeadlineTooClose, aChanges);
      return true;
    }
    upstream_entry* entry = PickUpstream(aPool, state, aNow);
    if (entry == nullptr) {
      return false;
    }
    aPool.mQueue.Erase(first.mNumber);
    mQueued.erase(first.mNumber);
    aChanges.mGrants.push_back(OccupySlot(*entry, aPool, first, aNow));
    return true;
  }
  return false;
}

template<queue_order Order>
void
basic_admission<Order>::RefuseExpired(pool& aPool,
                                      instant aNow,
                                      admission_changes& aChanges)
{
  for (request_number number : aPool.mQueue.Expired(aNow)) {
    RefuseQueued(aPool, number, refusal_reason::DeadlinePassed, aChanges);
  }
}

template<queue_order Order>
void
basic_admission<Order>::ServeQueue(pool& aPool,
                                   instant aNow,
                                   admission_changes& aChanges)
{
  RefuseExpired(aPool, aNow, aChanges);
  if (aPool.mQueue.Size() > 0 && !ComputePoolState(aPool, aNow).mAnyServing) {
    for (request_number number : aPool.mQueue.Expired(instant::max())) {
      RefuseQueued(aPool, number, refusal_reason::NoUpstream, aChanges);
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
  in_flight_request ended = found->second;
  mInFlight.erase(found);
  upstream_record& record = mUpstreams[ended.mUpstream];
  --record.mInFlight;
  record.mHealth.RecordAttempt(aResult, record.mWarmUp, aNow);
  pool& pool = mPools[ended.mService];
  pool.mShare.Return(ended.mRank, aNow);
  if (aResult == attempt_result::Answered) {
    pool.mHoldTime.AddSample(aNow - ended.mSince);
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
    upstream_record& record = found->second;
    record.mHealth.RecordAttempt(
      attempt_result::Draining, record.mWarmUp, aNow);
  }
}

template<queue_order Order>
std::vector<upstream_view>
basic_admission<Order>::Upstreams() const
{
  std::vector<upstream_view> views;
  for (const upstream_entry& entry : mUpstreams) {
    const upstream_record& record = entry.second;
    if (record.mHome || record.mInFlight > 0) {
      views.push_back(
        { entry.first, record.mSpec.mAddress, record.mHome, record.mInFlight });
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

// While health is ignored, no free slots are advertised: peers relay elsewhere
// if they can, and otherwise still reach the service here.
template<queue_order Order>
std::vector<service_credit>
basic_admission<Order>::Credits(instant aNow) const
{
  std::vector<service_credit> result;
  for (const std::pair<const service_id, pool>& entry : mPools) {
    pool_state state = ComputePoolState(entry.second, aNow);
    if (state.mAnyServing) {
      bool open = !state.mIgnoreHealth && entry.second.mQueue.Size() == 0;
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
