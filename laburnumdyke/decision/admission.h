// Admission of requests to the upstreams whose home this entry instance is.
//
// Usage:
//   admission_answer answer = admission.Ask(request, now);
//   ... Granted: dispatch to answer.mGrant, then Release(number, ...)
//   ... Queued: wait for a grant from Release, Configure or Tick
//   ... Refused: answer.mReason, answer.mRetryAfter
//
// Invariant: requests in flight at an upstream, with those that an earlier
// home may still have there, never exceed its slots.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace laburnumdyke {

using request_number = std::uint64_t;

struct admission_request
{
  request_number mNumber = 0; // unique within the instance
  service_id mService;
  work_rank mRank = work_rank::Standard;
  instant mDeadline{};
};

struct grant
{
  request_number mNumber = 0;
  upstream_id mUpstream;
  endpoint mAddress;
};

// A request that left the queue without a grant.
struct queue_refusal
{
  request_number mNumber = 0;
  refusal_reason mReason = refusal_reason::None;
};

enum class admission_step
{
  Granted,
  Queued,
  Refused,
};

struct admission_answer
{
  admission_step mStep = admission_step::Refused;
  grant mGrant;                                  // Granted
  refusal_reason mReason = refusal_reason::None; // Refused
  std::chrono::milliseconds mRetryAfter{ 0 };    // Refused
};

// What became free or was given up by an event.
struct admission_changes
{
  std::vector<grant> mGrants;
  std::vector<queue_refusal> mRefusals;
};

// How an attempt at an upstream ended, as its health is judged by.
enum class attempt_result
{
  Answered,
  Refused,
  Failed,
};

// Slots that a relay may still use here, for one service.
struct service_credit
{
  service_id mService;
  std::uint32_t mSlots = 0; // of live upstreams with this home
  std::uint32_t mFree = 0;
};

class admission
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Admission;

  // Sets the upstreams whose home this instance is. Requests in flight at
  // others go on and are counted until released.
  admission_changes Configure(const document& aDocument,
                              const std::set<upstream_id>& aHomes,
                              instant aNow);

  admission_answer Ask(const admission_request& aRequest, instant aNow);

  // Ends a granted request. Returns whom the freed slot went to.
  admission_changes Release(request_number aNumber,
                            attempt_result aResult,
                            instant aNow);

  // Gives up a request that is still queued.
  void Withdraw(request_number aNumber);

  // Refuses queued requests whose deadline has passed.
  admission_changes Tick(instant aNow);

  std::vector<service_credit> Credits(instant aNow) const;
  std::size_t InFlight() const { return mInFlight.size(); }
  std::size_t Queued() const { return mQueued.size(); }

private:
  struct upstream_use
  {
    upstream_spec mSpec;
    bool mHome = false;
    std::uint32_t mInFlight = 0;
    instant mRestUntil{};        // no new work before, after failures
    std::uint32_t mFailures = 0; // in a row
  };

  // Orders the queue of a service: by rank, then by deadline.
  struct queue_key
  {
    work_rank mRank;
    instant mDeadline;
    request_number mNumber;
    auto operator<=>(const queue_key&) const = default;
  };

  using service_queue = std::map<queue_key, admission_request>;

  bool MayTake(const upstream_use& aUse, instant aNow) const;
  upstream_use* PickUpstream(const service_id& aService, instant aNow);
  grant Occupy(upstream_use& aUse, request_number aNumber);
  void ServeQueue(const service_id& aService,
                  instant aNow,
                  admission_changes& aChanges);
  std::uint32_t QueueLimit(work_rank aRank) const;

  std::array<rank_spec, kRankCount> mRanks{};
  std::map<upstream_id, upstream_use> mUpstreams;
  std::map<request_number, upstream_id> mInFlight;
  std::map<service_id, service_queue> mQueues;
  std::map<request_number, std::pair<service_id, queue_key>> mQueued;
};

} // namespace laburnumdyke
