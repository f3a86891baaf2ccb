// The decisions of one entry instance, as the request pipeline, the peer link
// and the configuration watch call them. All use of membership, admission,
// routing and placement by the randomised run goes through here.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/document_state.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/placement.h"
#include "laburnumdyke/decision/retry_budget.h"
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/testing/soak/platform_mock.h"
#include "laburnumdyke/testing/soak/upstream_mock.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

// How an attempt ended, in the terms of the pipeline's forward_result.
struct attempt_end
{
  outcome_kind mOutcome = outcome_kind::NotRun;
  refusal_reason mReason = refusal_reason::None;
  std::uint64_t mAnswerOf = 0;
  bool mDraining = false; // the upstream says that it leaves
};

class entry_decisions
{
public:
  entry_decisions(const member& aSelf,
                  std::vector<endpoint> aSeeds,
                  instant aNow);

  const member& Self() const { return mMembership.Self(); }
  const document_state& Document() const { return mDocument; }
  identity_ledger& Ledger() { return mLedger; }
  retry_budget& Retries() { return mRetries; }

  // False where the version in force is as new.
  bool Accept(const known_document& aDocument);

  std::vector<addressed_heartbeat> Heartbeats(instant aNow);
  bool ReceiveHeartbeat(const heartbeat& aHeartbeat, instant aNow);
  // Whether peers should hear of this instance at once.
  bool TakeSendNow();
  std::vector<peer> LivePeers(instant aNow) const;
  std::optional<peer> FindPeer(const instance_id& aInstance,
                               instant aNow) const;
  void BeginLeaving(instant aNow);

  admission_changes RefreshHomes(instant aNow);
  admission_changes Tick(instant aNow);
  admission_answer RequestSlot(const admission_request& aRequest, instant aNow);
  void Withdraw(request_number aNumber);
  admission_changes Release(request_number aNumber,
                            const attempt_end& aEnd,
                            instant aNow);

  route Route(const service_id& aService,
              const std::set<instance_id>& aTried,
              instant aNow);

  // The check before a dispatch, and once more before its first byte.
  bool BeginDispatch(const grant& aGrant, instant aDeadline, instant aNow);
  // What the load page of an upstream says.
  void Report(const upstream_id& aUpstream,
              const upstream_load& aLoad,
              instant aNow);
  std::vector<upstream_view> Upstreams() const
  {
    return mAdmission.Upstreams();
  }

  void RecordRelayConnectFailure(const instance_id& aInstance, instant aNow)
  {
    mRouter.OnConnectionRefused(aInstance, aNow);
  }

  bool MayDispatch(const upstream_id& aUpstream, instant aNow);
  void EndDispatch(request_number aNumber);

  bool IsFresh(std::chrono::milliseconds aStamp, instant aNow) const;

  std::optional<retry_reason> RetryReasonOf(const attempt_end& aEnd,
                                            bool aRelayed,
                                            bool aIdempotent) const;

  // The entry instances of a look-up's answer, best first.
  std::vector<instance_id> Lookup(const service_id& aService,
                                  const address_bytes& aClient,
                                  instant aNow);

private:
  void RefreshPlacement(const std::shared_ptr<const document>& aDocument,
                        instant aNow);
  std::chrono::milliseconds Stamp(instant aNow) const;

  instant mStarted;
  document_state mDocument;
  membership mMembership;
  identity_ledger mLedger;
  admission mAdmission;
  retry_budget mRetries;
  router mRouter;
  traffic_shifts mShifts;
  block_table mBlocks;
  std::shared_ptr<const document> mBlocksOf; // that mBlocks was made from
};

} // namespace laburnumdyke
