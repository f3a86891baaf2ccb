// Admission of requests to the upstreams whose home this entry instance is.
//
// Usage:
//   admission_answer answer = admission.Ask(request, now);
//   ... Granted: dispatch to answer.mGrant, then Release(number, ...)
//   ... Queued: wait for a grant from Ask, Release, Configure or Tick
//   ... Refused: answer.mReason, answer.mRetryAfter
//   ... in each case: deliver answer.mOthers
//
// Options: admission_options by Open, which is optional; the limits of ranks
// and upstreams come from the document.
//
// Errors are refusal reasons:
//   DeadlinePassed    on arrival or in the queue
//   DeadlineTooClose  the estimated wait and service end after the deadline
//   QueueFull         the rank's line for the service is full
//   NoUpstream        no upstream of the service has its home here, or each
//                     says that it leaves
//
// Invariants: requests in flight at an upstream, with those that an earlier
// home may still have there, never exceed its slots; no request is granted to
// an upstream that is leaving.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/hold_time.h"
#include "laburnumdyke/decision/home_claim.h"
#include "laburnumdyke/decision/instance_limit.h"
#include "laburnumdyke/decision/rank_share.h"
#include "laburnumdyke/decision/request_queue.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/decision/upstream_health.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace laburnumdyke {

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

// What became free or was given up by an event.
struct admission_changes
{
  std::vector<grant> mGrants;
  std::vector<queue_refusal> mRefusals;
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
  admission_changes mOthers; // other requests that the event decided on
};

// Slots that a relay may still use here, for one service.
struct service_credit
{
  service_id mService;
  std::uint32_t mSlots = 0; // of live upstreams with this home
  std::uint32_t mFree = 0;
  std::uint32_t mWaiting = 0; // requests queued for one
};

// One upstream as admission sees it.
struct upstream_view
{
  upstream_id mUpstream;
  endpoint mAddress;
  bool mHome = false;
  std::uint32_t mInFlight = 0;
};

template<queue_order Order>
class basic_admission
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Admission;

  basic_admission() { Open({}); }

  // Sets the options; they must be sound by CheckOptions.
  void Open(const admission_options& aOptions);

  // Sets the upstreams whose home this instance is. Requests in flight at
  // others go on and are counted until released.
  admission_changes Configure(const document& aDocument,
                              const std::vector<home_claim>& aHomes,
                              instant aNow);

  admission_answer Ask(const admission_request& aRequest, instant aNow);

  // Ends a granted request. Returns whom the freed slot went to.
  admission_changes Release(request_number aNumber,
                            attempt_result aResult,
                            instant aNow);

  // Gives up a request that is still queued.
  void Withdraw(request_number aNumber);

  // Takes a load report of an upstream in.
  void Report(const upstream_id& aUpstream, std::uint32_t aBusy, instant aNow);

  // Takes the upstream's own word that it leaves: no new work for a while.
  void ReportDraining(const upstream_id& aUpstream, instant aNow);

  // The upstreams whose home this instance is, or that it still has requests
  // in flight at.
  std::vector<upstream_view> Upstreams() const;

  // Refuses queued requests whose deadline has passed, and grants what time
  // has made free.
  admission_changes Tick(instant aNow);

  // Bounds all requests of the instance, relayed ones too.
  instance_limit& Limit() { return mLimit; }

  std::vector<service_credit> Credits(instant aNow) const;
  std::size_t InFlight() const { return mInFlight.size(); }
  std::size_t Queued() const { return mQueued.size(); }

private:
  struct upstream_use
  {
    upstream_spec mSpec;
    home_claim mClaim;
    bool mHome = false;
    std::uint32_t mInFlight = 0;
    instant mPicked{}; // when it last took a request
    std::chrono::milliseconds mWarmUp{ 0 };
    upstream_health mHealth;

    // In flight, with what an earlier home may still have there.
    std::uint32_t Used(instant aNow) const;
    bool Serves() const;
    // Slots open to new requests, ill or not.
    std::uint32_t Free(instant aNow) const;
  };

  struct dispatched
  {
    upstream_id mUpstream;
    service_id mService;
    work_rank mRank = work_rank::Standard;
    instant mSince{};
  };

  // The upstreams of one service, its queue and its share by rank.
  struct pool
  {
    request_queue<Order> mQueue;
    rank_share mShare;
    hold_time mHold;
    std::vector<upstream_id> mMembers;
  };

  struct pool_state
  {
    std::uint32_t mSlots = 0; // allowed, of upstreams that may be picked
    std::uint32_t mFree = 0;
    bool mAnyServes = false; // serving and not draining
    bool mDistrust = false;  // everything looks ill
  };

  using upstream_entry = std::pair<const upstream_id, upstream_use>;

  void ForgetGone(const document& aDocument);
  void Declare(const document& aDocument, instant aNow);
  void GroupByService();
  pool_state Survey(const pool& aPool, instant aNow) const;
  upstream_entry* PickUpstream(const pool& aPool,
                               const pool_state& aState,
                               instant aNow);
  grant Occupy(upstream_entry& aEntry,
               pool& aPool,
               const admission_request& aRequest,
               instant aNow);
  bool ServeOne(pool& aPool, instant aNow, admission_changes& aChanges);
  void ServeQueue(pool& aPool, instant aNow, admission_changes& aChanges);
  void RefuseLate(pool& aPool, instant aNow, admission_changes& aChanges);
  void Drop(pool& aPool,
            request_number aNumber,
            refusal_reason aReason,
            admission_changes& aChanges);
  refusal_reason CheckAsk(const pool& aPool,
                          const admission_request& aRequest,
                          instant aNow) const;
  void TakeOwn(request_number aNumber, admission_answer& aAnswer);
  admission_answer Refuse(refusal_reason aReason, duration aWait);

  std::array<rank_spec, kRankCount> mRanks{};
  instance_limit mLimit;
  std::mt19937_64 mRandom;
  bool mConfigured = false;
  upstream_map mDeclared; // by the document before
  std::map<upstream_id, upstream_use> mUpstreams;
  std::map<request_number, dispatched> mInFlight;
  std::map<service_id, pool> mPools;
  std::map<request_number, service_id> mQueued;
};

// The order that the bench decided for; docs/DESIGN.md has the figures.
using admission = basic_admission<earliest_deadline_first>;

extern template class basic_admission<earliest_deadline_first>;
extern template class basic_admission<first_in_first_out>;
extern template class basic_admission<last_in_first_out>;

} // namespace laburnumdyke
