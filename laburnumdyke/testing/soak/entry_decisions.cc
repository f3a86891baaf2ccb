// The order of the calls is that of entry_tables and peer_link; the judgement
// of attempts is the pipeline's own.
#include "laburnumdyke/testing/soak/entry_decisions.h"

#include "laburnumdyke/plugin/request_pipeline.h"

#include <utility>

namespace laburnumdyke {

namespace {

upstream_limits
LimitsOf(const document& aDocument, const upstream_spec& aUpstream)
{
  return { aUpstream.mSlots,
           aDocument.mServices.at(aUpstream.mService).mDeadline };
}

} // namespace

entry_decisions::entry_decisions(const member& aSelf,
                                 std::vector<endpoint> aSeeds,
                                 instant aNow)
  : mStarted(aNow)
{
  mMembership.Open(aSelf, std::move(aSeeds));
  mLedger.Open(aSelf.mInstance, aSelf.mIncarnation, aNow);
}

bool
entry_decisions::Accept(const known_document& aDocument)
{
  return mDocument.Accept(aDocument.mVersion,
                          aDocument.mHash,
                          aDocument.mObjects,
                          aDocument.mDocument);
}

std::chrono::milliseconds
entry_decisions::Stamp(instant aNow) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mStarted);
}

std::vector<addressed_heartbeat>
entry_decisions::Heartbeats(instant aNow)
{
  heartbeat message = mMembership.Compose(aNow);
  message.mVersion = mDocument.Version();
  message.mContentHash = mDocument.ContentHash();
  message.mStamp = Stamp(aNow);
  message.mCredits = mAdmission.Credits(aNow);
  return mMembership.Address(message, aNow);
}

bool
entry_decisions::ReceiveHeartbeat(const heartbeat& aHeartbeat, instant aNow)
{
  return mMembership.ReceiveHeartbeat(aHeartbeat, aNow);
}

bool
entry_decisions::TakeSendNow()
{
  return mMembership.TakeSendNow();
}

std::vector<peer>
entry_decisions::LivePeers(instant aNow) const
{
  return mMembership.Live(aNow);
}

std::optional<peer>
entry_decisions::FindPeer(const instance_id& aInstance, instant aNow) const
{
  return mMembership.Find(aInstance, aNow);
}

void
entry_decisions::BeginLeaving(instant aNow)
{
  mMembership.BeginLeaving(aNow);
}

admission_changes
entry_decisions::RefreshHomes(instant aNow)
{
  std::shared_ptr<const document> document = mDocument.Document();
  if (!document) {
    return {};
  }
  std::map<upstream_id, upstream_limits> terms;
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       document->mUpstreams) {
    if (entry.second.mDomain == Self().mDomain) {
      terms[entry.first] = LimitsOf(*document, entry.second);
    }
  }
  RefreshPlacement(document, aNow);
  return mAdmission.Configure(
    *document, mMembership.Lease().UpdateClaims(terms, aNow), aNow);
}

admission_changes
entry_decisions::Tick(instant aNow)
{
  return mAdmission.Tick(aNow);
}

admission_answer
entry_decisions::RequestSlot(const admission_request& aRequest, instant aNow)
{
  return mAdmission.RequestSlot(aRequest, aNow);
}

void
entry_decisions::Withdraw(request_number aNumber)
{
  mAdmission.Withdraw(aNumber);
}

admission_changes
entry_decisions::Release(request_number aNumber,
                         const attempt_end& aEnd,
                         instant aNow)
{
  upstream_health_signal sign = aEnd.mDraining
                                  ? upstream_health_signal::Draining
                                  : upstream_health_signal::None;
  attempt_result judged =
    ClassifyAttempt({ aEnd.mOutcome, aEnd.mReason, false, sign });
  return mAdmission.Release(aNumber, judged, aNow);
}

route
entry_decisions::Route(const service_id& aService,
                       const std::set<instance_id>& aTried,
                       instant aNow)
{
  member self = Self();
  std::vector<service_credit> own = mAdmission.Credits(aNow);
  std::vector<peer> live = mMembership.Live(aNow);
  return mRouter.Choose({ aService, self, own, live, aTried }, aNow);
}

void
entry_decisions::Report(const upstream_id& aUpstream,
                        const upstream_load& aLoad,
                        instant aNow)
{
  if (aLoad.mDraining) {
    mAdmission.ReportDraining(aUpstream, aNow);
  } else {
    mAdmission.Report(aUpstream, aLoad.mBusy, aNow);
  }
}

bool
entry_decisions::MayDispatch(const upstream_id& aUpstream, instant aNow)
{
  return mMembership.Lease().MayDispatch(aUpstream, aNow);
}

bool
entry_decisions::BeginDispatch(const grant& aGrant,
                               instant aDeadline,
                               instant aNow)
{
  return mMembership.Lease().BeginDispatch(
    aGrant.mUpstream, aGrant.mNumber, aDeadline, aNow);
}

void
entry_decisions::EndDispatch(request_number aNumber)
{
  mMembership.Lease().EndDispatch(aNumber);
}

bool
entry_decisions::IsFresh(std::chrono::milliseconds aStamp, instant aNow) const
{
  std::chrono::milliseconds age = Stamp(aNow) - aStamp;
  return age >= std::chrono::milliseconds(0) && age < 2 * kAdvertMaxAge;
}

std::optional<retry_reason>
entry_decisions::RetryReasonOf(const attempt_end& aEnd,
                               bool aRelayed,
                               bool aIdempotent) const
{
  return RetryReason(
    { aEnd.mOutcome, aEnd.mReason, false }, aRelayed, aIdempotent);
}

void
entry_decisions::RefreshPlacement(
  const std::shared_ptr<const document>& aDocument,
  instant aNow)
{
  if (mBlocksOf != aDocument) {
    mBlocks = UpdateBlocks(mBlocks, mBlocksOf.get(), *aDocument);
    mBlocksOf = aDocument;
  }
  std::vector<peer> peers = mMembership.Live(aNow);
  mShifts.Observe(*aDocument, LiveRegions(Self(), peers), aNow);
}

std::vector<instance_id>
entry_decisions::Lookup(const service_id& aService,
                        const address_bytes& aClient,
                        instant aNow)
{
  std::vector<instance_id> named;
  std::shared_ptr<const document> document = mDocument.Document();
  if (!document) {
    return named;
  }
  RefreshPlacement(document, aNow);
  std::vector<peer> peers = mMembership.Live(aNow);
  placement_view view{ *document, mBlocks, Self(), peers };
  report_rooms rooms(view, mAdmission.Credits(aNow), aNow);
  wall_time wallNow{ std::chrono::duration_cast<wall_time::duration>(
    aNow.time_since_epoch()) };
  placement_answer placed =
    PlaceClient(view, aService, aClient, rooms, mShifts, aNow, wallNow);
  for (const entry_choice& choice : placed.mChoices) {
    named.push_back(choice.mInstance);
  }
  return named;
}

} // namespace laburnumdyke
