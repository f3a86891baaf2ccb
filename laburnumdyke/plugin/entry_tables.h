// The shared tables of an entry instance, with the steps that need one or two
// of them at once. Locks are taken in order of rank, one at a time where the
// step allows it.
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

// What the plug-ins of one kernel share beside the decisions' tables.
struct entry_runtime
{
  static constexpr lock_rank kLockRank = lock_rank::Lifecycle;
  std::shared_ptr<grant_waiters> mWaiters;
  std::shared_ptr<std::atomic<request_number>> mNumbers;
  instant mStarted{};
  bool mOpened = false;
};

// The right to one request in flight in the region. Where the unit is another
// upstream's, the loan tells that one's next home of it.
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

  // No connection to the instance could be made to relay to it.
  void NoteRelayRefused(const instance_id& aInstance, instant aNow);

  // What a peer had free when it answered a relay.
  void UpdateCredits(const instance_id& aInstance,
                     const std::vector<service_credit>& aCredits,
                     instant aNow);

  // What this instance has free.
  std::vector<service_credit> Credits(instant aNow);

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

  // Answers a look-up for a declared service.
  placement_answer Place(const document& aDocument,
                         const service_id& aService,
                         const address_bytes& aClient,
                         instant aNow,
                         wall_time aCivilNow);

  // Brings the block table up to the document. Readers go on with the earlier
  // table meanwhile.
  void RefreshBlocks(const std::shared_ptr<const document>& aDocument);

  // Tells the shifts which regions are live.
  void RefreshShifts(const document& aDocument, instant aNow);

  // Brings the region's quotas and the links' budgets up to the document in
  // force and to the home claims that this instance holds.
  void RefreshRegionLoad(const std::vector<home_claim>& aClaims, instant aNow);
  void RefreshLinks(const std::vector<home_claim>& aClaims, instant aNow);

  // A unit of the region's cap, to be taken immediately before a dispatch and
  // released with the slot. Nothing: refuse as RegionOverCap.
  std::optional<region_permit> AdmitToRegion(const service_id& aService,
                                             const upstream_id& aUpstream,
                                             instant aDeadline,
                                             instant aNow);
  void ReleaseToRegion(const region_permit& aPermit);

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

  // Lends a rate of the domain's. Nothing where this instance is not the
  // lender, by its lease at aNow.
  std::optional<rate_grant> LendLink(const link_direction& aDirection,
                                     const instance_id& aInstance,
                                     byte_rate aDemand,
                                     instant aNow);

  table<link_budget>& Links() { return mLinks; }

  // Sets the homes of admission, region load and links from the document and
  // the live view, and wakes whom that gives a slot.
  void RefreshHomes(instant aNow);

  // Refuses queued requests that are late and grants what has become free.
  void TickAdmission(instant aNow);

private:
  // Without those whose upstream the platform lists as leaving.
  std::vector<home_claim> OpenToWork(const document& aDocument,
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
  std::shared_ptr<std::atomic<request_number>> mNumbers;
  instant mStarted{};
};

} // namespace laburnumdyke
