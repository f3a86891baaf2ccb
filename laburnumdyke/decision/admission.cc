// A request takes the least loaded live upstream of its service; where none
// has a free slot it waits in a queue ordered by rank, then by deadline.
#include "laburnumdyke/decision/admission.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 500 };
constexpr std::chrono::milliseconds kFirstRest{ 100 };
constexpr std::uint32_t kLongestRestDoublings = 5;

} // namespace

admission_changes
admission::Configure(const document& aDocument,
                     const std::set<upstream_id>& aHomes,
                     instant aNow)
{
  mRanks = aDocument.mRanks;
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    it->second.mHome = false;
    bool gone =
      it->second.mInFlight == 0 && aDocument.mUpstreams.count(it->first) == 0;
    it = gone ? mUpstreams.erase(it) : std::next(it);
  }
  for (const upstream_id& home : aHomes) {
    auto declared = aDocument.mUpstreams.find(home);
    if (declared != aDocument.mUpstreams.end()) {
      upstream_use& use = mUpstreams[home];
      use.mSpec = declared->second;
      use.mHome = true;
    }
  }
  admission_changes changes;
  std::vector<service_id> services;
  for (const std::pair<const service_id, service_queue>& queue : mQueues) {
    services.push_back(queue.first);
  }
  for (const service_id& service : services) {
    ServeQueue(service, aNow, changes);
  }
  return changes;
}

bool
admission::MayTake(const upstream_use& aUse, instant aNow) const
{
  return aUse.mHome && aUse.mSpec.mState == upstream_state::Serving &&
         aUse.mInFlight < aUse.mSpec.mSlots && aUse.mRestUntil <= aNow;
}

admission::upstream_use*
admission::PickUpstream(const service_id& aService, instant aNow)
{
  upstream_use* best = nullptr;
  for (std::pair<const upstream_id, upstream_use>& entry : mUpstreams) {
    upstream_use& use = entry.second;
    bool better = use.mSpec.mService == aService && MayTake(use, aNow) &&
                  (best == nullptr || use.mInFlight < best->mInFlight);
    if (better) {
      best = &use;
    }
  }
  return best;
}

grant
admission::Occupy(upstream_use& aUse, request_number aNumber)
{
  ++aUse.mInFlight;
  CheckInvariant(aUse.mInFlight <= aUse.mSpec.mSlots,
                 "slots_overshot",
                 "in_flight=" + std::to_string(aUse.mInFlight) +
                   " slots=" + std::to_string(aUse.mSpec.mSlots));
  for (const std::pair<const upstream_id, upstream_use>& entry : mUpstreams) {
    if (&entry.second == &aUse) {
      mInFlight.emplace(aNumber, entry.first);
      return { aNumber, entry.first, aUse.mSpec.mAddress };
    }
  }
  FailInvariant("unknown_upstream", "number=" + std::to_string(aNumber));
}

std::uint32_t
admission::QueueLimit(work_rank aRank) const
{
  return mRanks.at(static_cast<std::size_t>(aRank)).mQueue;
}

admission_answer
admission::Ask(const admission_request& aRequest, instant aNow)
{
  admission_answer answer;
  answer.mRetryAfter = kRetryAfter;
  if (aRequest.mDeadline <= aNow) {
    answer.mReason = refusal_reason::DeadlinePassed;
    return answer;
  }
  upstream_use* use = PickUpstream(aRequest.mService, aNow);
  if (use != nullptr) {
    answer.mStep = admission_step::Granted;
    answer.mGrant = Occupy(*use, aRequest.mNumber);
    return answer;
  }
  bool anyHome =
    std::any_of(mUpstreams.begin(),
                mUpstreams.end(),
                [&](const std::pair<const upstream_id, upstream_use>& aEntry) {
                  const upstream_use& one = aEntry.second;
                  return one.mHome && one.mSpec.mService == aRequest.mService &&
                         one.mSpec.mState == upstream_state::Serving;
                });
  if (!anyHome) {
    answer.mReason = refusal_reason::NoUpstream;
    return answer;
  }
  service_queue& queue = mQueues[aRequest.mService];
  std::size_t sameRank = static_cast<std::size_t>(std::count_if(
    queue.begin(),
    queue.end(),
    [&](const std::pair<const queue_key, admission_request>& aEntry) {
      return aEntry.first.mRank == aRequest.mRank;
    }));
  if (sameRank >= QueueLimit(aRequest.mRank)) {
    answer.mReason = refusal_reason::QueueFull;
    return answer;
  }
  queue_key key{ aRequest.mRank, aRequest.mDeadline, aRequest.mNumber };
  queue.emplace(key, aRequest);
  mQueued.emplace(aRequest.mNumber, std::make_pair(aRequest.mService, key));
  answer.mStep = admission_step::Queued;
  return answer;
}

void
admission::ServeQueue(const service_id& aService,
                      instant aNow,
                      admission_changes& aChanges)
{
  service_queue& queue = mQueues[aService];
  while (!queue.empty()) {
    auto first = queue.begin();
    if (first->first.mDeadline <= aNow) {
      aChanges.mRefusals.push_back(
        { first->second.mNumber, refusal_reason::DeadlinePassed });
    } else {
      upstream_use* use = PickUpstream(aService, aNow);
      if (use == nullptr) {
        return;
      }
      aChanges.mGrants.push_back(Occupy(*use, first->second.mNumber));
    }
    mQueued.erase(first->second.mNumber);
    queue.erase(first);
  }
}

admission_changes
admission::Release(request_number aNumber, attempt_result aResult, instant aNow)
{
  auto found = mInFlight.find(aNumber);
  CheckInvariant(found != mInFlight.end(),
                 "released_twice",
                 "number=" + std::to_string(aNumber));
  upstream_use& use = mUpstreams[found->second];
  mInFlight.erase(found);
  --use.mInFlight;
  if (aResult == attempt_result::Answered) {
    use.mFailures = 0;
  } else {
    std::uint32_t doublings = std::min(use.mFailures, kLongestRestDoublings);
    use.mRestUntil = aNow + kFirstRest * (1U << doublings);
    ++use.mFailures;
  }
  admission_changes changes;
  service_id service = use.mSpec.mService;
  ServeQueue(service, aNow, changes);
  return changes;
}

void
admission::Withdraw(request_number aNumber)
{
  auto found = mQueued.find(aNumber);
  if (found != mQueued.end()) {
    mQueues[found->second.first].erase(found->second.second);
    mQueued.erase(found);
  }
}

admission_changes
admission::Tick(instant aNow)
{
  admission_changes changes;
  std::vector<request_number> late;
  for (const std::pair<const service_id, service_queue>& queue : mQueues) {
    for (const std::pair<const queue_key, admission_request>& entry :
         queue.second) {
      if (entry.first.mDeadline <= aNow) {
        late.push_back(entry.first.mNumber);
      }
    }
  }
  for (request_number number : late) {
    changes.mRefusals.push_back({ number, refusal_reason::DeadlinePassed });
    Withdraw(number);
  }
  std::vector<service_id> services;
  for (const std::pair<const service_id, service_queue>& queue : mQueues) {
    services.push_back(queue.first);
  }
  for (const service_id& service : services) {
    ServeQueue(service, aNow, changes);
  }
  return changes;
}

std::vector<service_credit>
admission::Credits(instant aNow) const
{
  std::map<service_id, service_credit> credits;
  for (const std::pair<const upstream_id, upstream_use>& entry : mUpstreams) {
    const upstream_use& use = entry.second;
    if (!use.mHome || use.mSpec.mState != upstream_state::Serving) {
      continue;
    }
    service_credit& credit = credits[use.mSpec.mService];
    credit.mService = use.mSpec.mService;
    credit.mSlots += use.mSpec.mSlots;
    if (MayTake(use, aNow)) {
      credit.mFree += use.mSpec.mSlots - use.mInFlight;
    }
  }
  std::vector<service_credit> result;
  for (const std::pair<const service_id, service_credit>& entry : credits) {
    result.push_back(entry.second);
  }
  return result;
}

} // namespace laburnumdyke
