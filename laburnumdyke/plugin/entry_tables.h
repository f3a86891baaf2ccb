// The shared tables of an entry instance, with the steps that need one or two
// of them at once. Locks are taken in order of rank, one at a time where the
// step allows it.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/document_state.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/retry_budget.h"
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/grant_waiters.h"

#include <atomic>
#include <memory>
#include <set>

namespace laburnumdyke {

// What the plug-ins of one kernel share beside the decisions' tables.
struct entry_runtime
{
  static constexpr lock_rank kLockRank = lock_rank::Lifecycle;
  std::shared_ptr<grant_waiters> mWaiters;
  std::shared_ptr<std::atomic<request_number>> mNumbers;
  instant mStarted{};
  bool mOpened = false;
};

class entry_tables
{
public:
  explicit entry_tables(kernel& aKernel);

  std::shared_ptr<const document> Document();
  std::uint64_t Version();
  member Self();

  table<admission>& Admission() { return mAdmission; }
  table<membership>& Membership() { return mMembership; }
  table<retry_budget>& RetryBudget() { return mRetryBudget; }
  table<document_state>& DocumentState() { return mDocumentState; }
  table<identity_ledger>& Ledger() { return mLedger; }
  grant_waiters& Waiters() { return *mWaiters; }

  request_number NextNumber() { return ++*mNumbers; }

  bool IsOwn(const request_identity& aIdentity);
  begin_result Begin(const request_identity& aIdentity, instant aNow);
  void Finish(const request_identity& aIdentity,
              outcome_kind aOutcome,
              instant aNow);

  std::optional<peer> FindPeer(const instance_id& aInstance, instant aNow);
  std::vector<peer> LivePeers(instant aNow);

  route Route(const service_id& aService,
              const std::set<instance_id>& aTried,
              instant aNow);

  // The right to dispatch to an upstream, checked immediately before it.
  bool MayDispatch(const upstream_id& aUpstream, instant aNow);

  // The same, and counts the request in flight until EndDispatch: what is in
  // flight is told to the domain peers, who may become the next home. The
  // deadline must be no later than the service's own from now.
  bool BeginDispatch(const grant& aGrant, instant aDeadline, instant aNow);
  void EndDispatch(request_number aNumber);

  // Time since this kernel's tables were opened; the stamp of adverts.
  std::chrono::milliseconds Stamp(instant aNow) const;
  bool IsFresh(std::chrono::milliseconds aStamp, instant aNow) const;

  // Sets admission's homes from the document and the live view, and wakes
  // whom that gives a slot.
  void RefreshHomes(instant aNow);

  // Refuses queued requests that are late and grants what has become free.
  void TickAdmission(instant aNow);

private:
  kernel& mKernel;
  table<document_state>& mDocumentState;
  table<membership>& mMembership;
  table<identity_ledger>& mLedger;
  table<admission>& mAdmission;
  table<retry_budget>& mRetryBudget;
  std::shared_ptr<grant_waiters> mWaiters;
  std::shared_ptr<std::atomic<request_number>> mNumbers;
  instant mStarted{};
};

} // namespace laburnumdyke
