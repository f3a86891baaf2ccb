// Admission control for the upstreams that this entry instance is the home of.
//
// Usage:
//   admission_answer answer = admission.RequestSlot(request, now);
//   ... Granted: dispatch to answer.mGrant, then Release(number, ...)
//   ... Queued: wait for a grant from RequestSlot, Release, Configure or Tick
//   ... Refused: answer.mReason, answer.mRetryAfter
//   ... in each case: deliver answer.mOthers
//
// Options: admission_options, set by Open; without it the defaults apply. The
// limits of ranks and upstreams come from the document.
//
// Errors are refusal reasons:
//   DeadlinePassed    on arrival or in the queue
//   DeadlineTooClose  the request is not expected to end before its deadline
//   QueueFull         the rank's queue for the service is full
//   NoUpstream        no upstream of the service has its home here, or every
//                     one is leaving or draining
//
// Invariants: requests in flight at an upstream, including those that a
// previous home may still have there, never exceed its slots; no request is
// granted to an upstream that is leaving.
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

// A request that was removed from the queue without a grant.
struct queue_refusal
{
  request_number mNumber = 0;
  refusal_reason mReason = refusal_reason::None;
};

// Queued requests that an event granted or refused.
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
  admission_changes mOthers; // queued requests decided at the same time
};

// The capacity for one service that this instance offers to its peers, which
// may relay requests to it.
struct service_credit
{
  service_id mService;
  std::uint32_t mSlots = 0; // of usable upstreams whose home this instance is
  std::uint32_t mFree = 0;
  std::uint32_t mWaiting = 0; // requests queued for a slot
};

// The state of one upstream in admission.
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

  // Sets the options, which must pass CheckOptions.
  void Open(const admission_options& aOptions);

  // Sets the upstreams whose home this instance is. Requests in flight at
  // other upstreams continue and are counted until released.
  admission_changes Configure(const document& aDocument,
                              const std::vector<home_claim>& aHomes,
                              instant aNow);

  // Grants a slot to a new request, queues it or refuses it.
  admission_answer RequestSlot(const admission_request& aRequest, instant aNow);

  // Ends a granted request. Returns the queued requests that this granted or
  // refused. A number that is not in flight breaks an invariant.
  admission_changes Release(request_number aNumber,
                            attempt_result aResult,
                            instant aNow);

  // Removes a request from the queue; does nothing if it is not queued.
  void Withdraw(request_number aNumber);

  // Records a load report of an upstream; aBusy: requests in progress there.
  void Report(const upstream_id& aUpstream, std::uint32_t aBusy, instant aNow);

  // Records that the upstream reports itself as draining: it gets no new
  // requests until the drain ends; see upstream_health.h.
  void ReportDraining(const upstream_id& aUpstream, instant aNow);

  // The upstreams whose home this instance is, or that it still has requests
  // in flight at.
  std::vector<upstream_view> Upstreams() const;

  // Refuses queued requests whose deadline has passed, and grants slots that
  // became free with time, such as during a warm-up.
  admission_changes Tick(instant aNow);

  // Limits all requests of the instance, including relayed ones.
  instance_limit& Limit() { return mLimit; }

  // One entry for each service with an upstream that may be selected.
  std::vector<service_credit> Credits(instant aNow) const;
  std::size_t InFlight() const { return mInFlight.size(); }
  std::size_t Queued() const { return mQueued.size(); }

private:
  struct upstream_record
  {
    upstream_spec mSpec;
    home_claim mClaim;
    bool mHome = false;
    std::uint32_t mInFlight = 0;
    instant mLastPicked{}; // when it last took a request
    std::chrono::milliseconds mWarmUp{ 0 };
    upstream_health mHealth;

    // Requests in flight, including those of a previous home.
    std::uint32_t Used(instant aNow) const;
    bool IsServing() const;
    // Slots open to new requests; health is not considered.
    std::uint32_t Free(instant aNow) const;
  };

  struct in_flight_request
  {
    upstream_id mUpstream;
    service_id mService;
    work_rank mRank = work_rank::Standard;
    instant mSince{};
  };

  // The upstreams of one service, its queue and the shares of its ranks.
  struct pool
  {
    request_queue<Order> mQueue;
    rank_share mShare;
    hold_time mHoldTime;
    std::vector<upstream_id> mMembers;
  };

  struct pool_state
  {
    std::uint32_t mSlots = 0; // allowed, of upstreams that may be selected
    std::uint32_t mFree = 0;
    bool mAnyServing = false;   // serving and not draining
    bool mIgnoreHealth = false; // every upstream looks unhealthy
  };

  using upstream_entry = std::pair<const upstream_id, upstream_record>;

  void RemoveAbsentUpstreams(const document& aDocument);
  void UpdateUpstreams(const document& aDocument, instant aNow);
  void GroupByService();
  pool_state ComputePoolState(const pool& aPool, instant aNow) const;
  upstream_entry* PickUpstream(const pool& aPool,
                               const pool_state& aState,
                               instant aNow);
  grant OccupySlot(upstream_entry& aEntry,
                   pool& aPool,
                   const admission_request& aRequest,
                   instant aNow);
  bool ServeOne(pool& aPool, instant aNow, admission_changes& aChanges);
  void ServeQueue(pool& aPool, instant aNow, admission_changes& aChanges);
  void RefuseExpired(pool& aPool, instant aNow, admission_changes& aChanges);
  void RefuseQueued(pool& aPool,
                    request_number aNumber,
                    refusal_reason aReason,
                    admission_changes& aChanges);
  refusal_reason CheckRequest(const pool& aPool,
                              const admission_request& aRequest,
                              instant aNow) const;
  void ExtractOwnResult(request_number aNumber, admission_answer& aAnswer);
  admission_answer Refuse(refusal_reason aReason, duration aWait);

  std::array<rank_spec, kRankCount> mRanks{};
  instance_limit mLimit;
  std::mt19937_64 mRandom;
  bool mConfigured = false;
  upstream_map mPreviousUpstreams; // of the document that was last applied
  std::map<upstream_id, upstream_record> mUpstreams;
  std::map<request_number, in_flight_request> mInFlight;
  std::map<service_id, pool> mPools;
  std::map<request_number, service_id> mQueued;
};

// docs/DESIGN.md has the benchmark figures behind the choice of this order.
using admission = basic_admission<earliest_deadline_first>;

extern template class basic_admission<earliest_deadline_first>;
extern template class basic_admission<first_in_first_out>;
extern template class basic_admission<last_in_first_out>;

} // namespace laburnumdyke
