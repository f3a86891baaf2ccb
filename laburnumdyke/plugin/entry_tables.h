// The shared tables of an entry instance, and the operations that need more
// than one of them. Locks are taken in order of rank, and one at a time where
// the operation allows it.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/document_state.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/decision/instance_list.h"
#include "laburnumdyke/decision/link_budget.h"
#include "laburnumdyke/decision/link_lender.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/placement.h"
#include "laburnumdyke/decision/region_load.h"
#include "laburnumdyke/decision/retry_budget.h"
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/grant_waiters.h"

#include <atomic>
#include <memory>
#include <set>

namespace laburnumdyke {

// State shared by the plug-ins of one kernel, besides the decision tables.
struct entry_runtime
{
  static constexpr lock_rank kLockRank = lock_rank::Lifecycle;
  std::shared_ptr<grant_waiters> mWaiters;
  std::shared_ptr<std::atomic<request_number>> mLastNumber;
  instant mStarted{};
  bool mOpened = false;
};

// The right to one request in flight in the region. If the unit belongs to
// another upstream, mLoan is set and reported to the next home of that one.
struct region_permit
{
  quota_unit mUnit;
  std::optional<request_number> mLoan;
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
  table<instance_list>& InstanceList() { return mInstanceList; }
  grant_waiters& Waiters() { return *mWaiters; }

  request_number NextNumber() { return ++*mLastNumber; }

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

  // Records that no connection could be made to relay to the instance.
  void RecordRelayConnectFailure(const instance_id& aInstance, instant aNow);

  // Records the free capacity that a peer stated when it answered a relay.
  void UpdateCredits(const instance_id& aInstance,
                     const std::vector<service_credit>& aCredits,
                     instant aNow);

  // The free capacity of this instance, by service.
  std::vector<service_credit> Credits(instant aNow);

  // Whether the lease allows a dispatch to the upstream. To be checked
  // immediately before the dispatch.
  bool MayDispatch(const upstream_id& aUpstream, instant aNow);

  // Checks the same and counts the request as in flight until EndDispatch().
  // Requests in flight are reported to the peers in the failure domain, which
  // may become the upstream's next home. The deadline must be no further away
  // than the service's declared deadline. A refusal is counted in
  // dispatch_refused_total.
  bool BeginDispatch(const grant& aGrant, instant aDeadline, instant aNow);
  void EndDispatch(request_number aNumber);

  // Time since this kernel's tables were opened; the time stamp of
  // advertisements.
  std::chrono::milliseconds Stamp(instant aNow) const;
  bool IsFresh(std::chrono::milliseconds aStamp, instant aNow) const;

  // Answers a look-up. The service must be declared in aDocument.
  placement_answer Place(const document& aDocument,
                         const service_id& aService,
                         const address_bytes& aClient,
                         instant aNow,
                         wall_time aWallNow);

  // Updates the block table from the document. Meanwhile, readers use the
  // previous table.
  void RefreshBlocks(const std::shared_ptr<const document>& aDocument);

  // Updates the traffic shifts with the set of live regions.
  void RefreshShifts(const document& aDocument, instant aNow);

  // Update the region's quotas and the link budgets from the document in force
  // and the home claims that this instance holds.
  void RefreshRegionLoad(const std::vector<home_claim>& aClaims, instant aNow);
  void RefreshLinks(const std::vector<home_claim>& aClaims, instant aNow);

  // Acquires a unit of the region's cap. To be called immediately before a
  // dispatch; the permit is released together with the slot. Returns nullopt if
  // the request must be refused as RegionOverCap.
  std::optional<region_permit> AcquireRegionPermit(const service_id& aService,
                                                   const upstream_id& aUpstream,
                                                   instant aDeadline,
                                                   instant aNow);
  void ReleaseRegionPermit(const region_permit& aPermit);

  // How much of aBytes may be sent to another region now.
  link_take_result TakeLink(const region_id& aTo,
                            work_rank aRank,
                            std::uint64_t aBytes,
                            instant aNow);

  // Whether aBytes could be sent to another region by the deadline.
  bool CanCarry(const region_id& aTo,
                work_rank aRank,
                std::uint64_t aBytes,
                instant aDeadline,
                instant aNow);

  // Lends a part of the failure domain's rate on a link. Returns nullopt if,
  // by its lease, this instance is not the lender at aNow.
  std::optional<rate_grant> LendLink(const link_direction& aDirection,
                                     const instance_id& aInstance,
                                     byte_rate aDemand,
                                     instant aNow);

  table<link_budget>& Links() { return mLinks; }

  // Updates the homes in admission, region load and links from the document
  // and the membership view, and wakes the requests that get a slot by it.
  void RefreshHomes(instant aNow);

  // Refuses queued requests that have expired and grants slots that have become
  // free.
  void TickAdmission(instant aNow);

private:
  // Removes the claims whose upstream the platform lists as leaving.
  std::vector<home_claim> ExcludeLeavingUpstreams(
    const document& aDocument,
    std::vector<home_claim> aClaims,
    instant aNow);

  kernel& mKernel;
  table<document_state>& mDocumentState;
  table<instance_list>& mInstanceList;
  table<membership>& mMembership;
  table<identity_ledger>& mLedger;
  table<admission>& mAdmission;
  table<retry_budget>& mRetryBudget;
  table<placement_state>& mPlacement;
  table<traffic_shifts>& mShifts;
  table<region_load>& mRegionLoad;
  table<link_budget>& mLinks;
  table<link_lenders>& mLinkLenders;
  table<router>& mRouter;
  std::shared_ptr<grant_waiters> mWaiters;
  std::shared_ptr<std::atomic<request_number>> mLastNumber;
  instant mStarted{};
};

} // namespace laburnumdyke
