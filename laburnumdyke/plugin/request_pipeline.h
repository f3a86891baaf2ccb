// The stages by which an entry instance serves one request.
//
//   limit -> identity -> route -> admit -> forward -> settle
//
// Each stage calls side-effect-free decision code under its table's lock and
// acts on the result. The transport that carries a request to an upstream or to
// another entry instance is a template parameter, so that tests can replace it
// by a mock.
#pragma once

#include "laburnumdyke/decision/document_state.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/retry_budget.h"
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/plugin/credit_header.h"
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/grant_waiters.h"
#include "laburnumdyke/plugin/http_forward.h"
#include "laburnumdyke/plugin/instance_limit_guard.h"
#include "laburnumdyke/plugin/link_pacer.h"
#include "laburnumdyke/plugin/request_attributes.h"
#include "laburnumdyke/plugin/sleep.h"

#include <atomic>
#include <optional>
#include <set>
#include <string>

namespace laburnumdyke {

template<class T>
concept request_transport = requires(T& aTransport,
                                     http_exchange& aExchange,
                                     const body_prefix& aPrefix,
                                     const forward_request& aRequest)
{
  {
    aTransport.Send(aExchange, aPrefix, aRequest)
    } -> std::same_as<asio::awaitable<forward_result>>;
};

// Carries requests by HTTP over pooled connections.
class http_transport
{
public:
  explicit http_transport(kernel& aKernel)
    : mPool(aKernel.Table<connection_pool>())
  {
  }

  asio::awaitable<forward_result> Send(http_exchange& aExchange,
                                       const body_prefix& aPrefix,
                                       const forward_request& aRequest)
  {
    return Forward(mPool, aExchange, aPrefix, aRequest);
  }

private:
  table<connection_pool>& mPool;
};

static_assert(request_transport<http_transport>);

// Writes the answer to a request that no upstream answered, and counts it in
// refused_total.
asio::awaitable<void>
WriteOutcome(kernel& aKernel,
             http_exchange& aExchange,
             const forward_result& aResult,
             std::string_view aMessage,
             std::string_view aCredits = {});

// Maps the result of an attempt to what it tells admission about the upstream.
attempt_result
ClassifyAttempt(const forward_result& aResult);

// Whether an upstream may still be running a request that has ended here.
bool
MayStillBeRunning(const forward_result& aResult);

// Returns nullopt if the request must not be attempted again.
std::optional<retry_reason>
RetryReason(const forward_result& aResult, bool aRelayed, bool aIdempotent);

template<request_transport Transport>
class request_pipeline
{
public:
  request_pipeline(kernel& aKernel, Transport& aTransport)
    : mKernel(aKernel)
    , mTransport(aTransport)
    , mTables(aKernel)
    , mPacer(aKernel, mTables)
  {
  }

  // Serves one request and writes its answer.
  asio::awaitable<void> Serve(http_exchange& aExchange, bool aFromPeer)
  {
    std::shared_ptr<const document> document = mTables.Document();
    if (!document) {
      co_await Refuse(aExchange, refusal_reason::NoDocument, "");
      co_return;
    }
    request_parse_result read =
      ParseRequestHead(aExchange.Head(), *document, aFromPeer);
    if (!read.mAttributes) {
      co_await Refuse(aExchange, read.mReason, read.mMessage);
      co_return;
    }
    const request_attributes& attributes = *read.mAttributes;
    instant deadline = aExchange.mReceived + attributes.mTimeout;
    instance_limit_guard entry(mTables.Admission(),
                               attributes.mRank,
                               MaxBufferedBytes(aExchange),
                               Now());
    forward_result result = NotRun(entry.Reason(), entry.RetryAfter());
    if (entry.Reason() == refusal_reason::None) {
      result = co_await Run(aExchange, attributes, deadline);
    } else {
      mKernel.Counters().Add("instance_refused_total",
                             ToString(entry.Reason()));
    }
    if (!result.mBegun) {
      std::string credits = CreditsFor(attributes);
      co_await WriteOutcome(mKernel, aExchange, result, "", credits);
    }
    RecordOutcome(aExchange, attributes, result);
  }

private:
  static constexpr std::size_t kMaxAttempts = 4; // for one request
  // Time for an upstream to notice that its connection was closed; until then
  // the request still occupies its slot there.
  static constexpr std::chrono::milliseconds kCancelDelay{ 250 };

  // A relayed request is refused before it is run if the link can't carry an
  // answer with a body of this size. Shorter ones are not worth a refusal.
  static constexpr std::uint64_t kMinAnswerBytes = 1400; // bytes

  // State shared by the stages of one request.
  struct attempt_state
  {
    http_exchange& mExchange;
    const request_attributes& mAttributes;
    instant mDeadline;
    body_prefix mPrefix;
    std::set<instance_id> mTried;
  };

  // The slot and region permit that a dispatched request holds until it ends.
  struct dispatch_resources
  {
    grant mGrant;
    std::optional<region_permit> mPermit;
  };

  static instant Now() { return std::chrono::steady_clock::now(); }

  static forward_result NotRun(refusal_reason aReason,
                               std::chrono::milliseconds aRetryAfter = {})
  {
    return { outcome_kind::NotRun,
             aReason,
             false,
             upstream_health_signal::None,
             aRetryAfter };
  }

  asio::awaitable<void> Refuse(http_exchange& aExchange,
                               refusal_reason aReason,
                               std::string aMessage)
  {
    co_await WriteOutcome(mKernel, aExchange, NotRun(aReason), aMessage);
  }

  asio::awaitable<forward_result> Run(http_exchange& aExchange,
                                      const request_attributes& aAttributes,
                                      instant aDeadline)
  {
    bool needsIdentity = !aAttributes.mIdempotent &&
                         aAttributes.mOrigin != request_origin::HomeRelay;
    if (needsIdentity && !aAttributes.mIdentity) {
      co_return NotRun(refusal_reason::IdentityRequired);
    }
    std::optional<body_prefix> prefix = co_await ReadPrefix(aExchange);
    if (!prefix) {
      co_return NotRun(refusal_reason::CallerGone);
    }
    attempt_state state{
      aExchange, aAttributes, aDeadline, std::move(*prefix), {}
    };
    if (!needsIdentity) {
      co_return co_await AttemptWithRetries(state);
    }
    if (!mTables.IsOwn(*aAttributes.mIdentity)) {
      co_return co_await RelayToIssuer(state);
    }
    begin_result begun = mTables.Begin(*aAttributes.mIdentity, Now());
    if (!begun.mMayRun) {
      co_return forward_result{
        begun.mOutcome, begun.mReason, false, upstream_health_signal::None
      };
    }
    forward_result result = co_await AttemptWithRetries(state);
    mTables.Finish(*aAttributes.mIdentity, result.mOutcome, Now());
    co_return result;
  }

  // Only the issuer of the identity may begin the request. A request that was
  // already relayed is not relayed to an issuer again.
  asio::awaitable<forward_result> RelayToIssuer(attempt_state& aState)
  {
    const request_identity& identity = *aState.mAttributes.mIdentity;
    std::optional<peer> issuer = mTables.FindPeer(identity.mIssuer, Now());
    bool reachable =
      issuer && aState.mAttributes.mOrigin == request_origin::Caller &&
      issuer->mLast.mSender.mIncarnation == identity.mIncarnation;
    if (!reachable) {
      co_return forward_result{ outcome_kind::Unknown,
                                refusal_reason::IssuerGone,
                                false,
                                upstream_health_signal::None };
    }
    relay_target target{ identity.mIssuer,
                         issuer->mLast.mSender.mRelay,
                         issuer->mLast.mStamp,
                         issuer->mLast.mSender.mRegion };
    co_return co_await SendRelay(aState, target, "issuer");
  }

  asio::awaitable<forward_result> AttemptWithRetries(attempt_state& aState)
  {
    mTables.RetryBudget().With(
      [&](retry_budget& aBudget) { aBudget.CountRequest(Now()); });
    bool mayHaveRun = false;
    for (std::size_t attempt = 1;; ++attempt) {
      bool relayed = false;
      forward_result result = co_await Attempt(aState, relayed);
      // NotRun is a statement on the request, so it must hold for all
      // attempts.
      if (mayHaveRun && result.mOutcome == outcome_kind::NotRun) {
        result.mOutcome = outcome_kind::Unknown;
      }
      mayHaveRun = mayHaveRun || result.mOutcome == outcome_kind::Unknown;
      std::optional<retry_reason> reason =
        RetryReason(result, relayed, aState.mAttributes.mIdempotent);
      if (!reason || result.mBegun || !aState.mPrefix.mComplete ||
          attempt >= kMaxAttempts || Now() >= aState.mDeadline) {
        co_return result;
      }
      bool allowed = mTables.RetryBudget().With(
        [&](retry_budget& aBudget) { return aBudget.TakeRetry(Now()); });
      if (!allowed) {
        mKernel.Counters().Add("retry_refused_total", "retry_budget_spent");
        co_return result;
      }
      mKernel.Counters().Add("retry_total", ToString(*reason));
    }
  }

  asio::awaitable<forward_result> Attempt(attempt_state& aState, bool& aRelayed)
  {
    instant now = Now();
    if (IsFromOtherRegion(aState.mAttributes) &&
        !mPacer.CanCarry(AnswerLink(aState), kMinAnswerBytes, now)) {
      co_return NotRun(refusal_reason::LinkOverBudget);
    }
    if (aState.mAttributes.mOrigin == request_origin::HomeRelay) {
      bool fresh = mTables.IsFresh(aState.mAttributes.mStamp, now);
      if (!fresh) {
        co_return NotRun(refusal_reason::StaleAdvert);
      }
      co_return co_await RunHere(aState);
    }
    route next = mTables.Route(aState.mAttributes.mService, aState.mTried, now);
    switch (next.mStep) {
      case route_step::Here:
        co_return co_await RunHere(aState);
      case route_step::Relay:
        aRelayed = true;
        aState.mTried.insert(next.mTarget.mInstance);
        co_return co_await SendRelay(aState, next.mTarget, "home");
      case route_step::Refuse:
        break;
    }
    co_return NotRun(next.mReason);
  }

  asio::awaitable<forward_result> RunHere(attempt_state& aState)
  {
    admission_request request{ mTables.NextNumber(),
                               aState.mAttributes.mService,
                               aState.mAttributes.mRank,
                               aState.mDeadline };
    admission_answer answer =
      mTables.Admission().With([&](admission& aAdmission) {
        return aAdmission.RequestSlot(request, Now());
      });
    mTables.Waiters().Deliver(answer.mOthers);
    if (answer.mStep == admission_step::Refused) {
      // The next attempt is made at another instance. After an upstream has
      // failed, by contrast, it may be made here again, since admission then
      // prefers another upstream.
      aState.mTried.insert(mTables.Self().mInstance);
      co_return NotRun(answer.mReason, answer.mRetryAfter);
    }
    if (answer.mStep == admission_step::Queued) {
      std::optional<admission_decision> decision =
        co_await mTables.Waiters().Wait(request.mNumber, request.mDeadline);
      if (!decision) {
        decision = Withdraw(request.mNumber);
      }
      if (const queue_refusal* refused =
            std::get_if<queue_refusal>(&*decision)) {
        co_return NotRun(refused->mReason);
      }
      answer.mGrant = std::get<grant>(*decision);
    }
    co_return co_await Dispatch(aState, answer.mGrant);
  }

  // Withdraws a queued request, unless admission has decided it meanwhile.
  admission_decision Withdraw(request_number aNumber)
  {
    mTables.Admission().With(
      [&](admission& aAdmission) { aAdmission.Withdraw(aNumber); });
    std::optional<admission_decision> late = mTables.Waiters().Collect(aNumber);
    return late.value_or(
      queue_refusal{ aNumber, refusal_reason::DeadlinePassed });
  }

  asio::awaitable<forward_result> Dispatch(attempt_state& aState,
                                           const grant& aGrant)
  {
    forward_result result = NotRun(refusal_reason::LeaseLapsed);
    dispatch_resources resources{ aGrant, std::nullopt };
    if (mTables.BeginDispatch(aGrant, aState.mDeadline, Now())) {
      resources.mPermit = mTables.AcquireRegionPermit(
        aState.mAttributes.mService, aGrant.mUpstream, aState.mDeadline, Now());
      result = NotRun(refusal_reason::RegionOverCap);
    }
    if (resources.mPermit) {
      result = co_await SendToUpstream(aState, resources);
    }
    if (MayStillBeRunning(result)) {
      asio::co_spawn(aState.mExchange.mStream.get_executor(),
                     ReleaseLater(resources, ClassifyAttempt(result)),
                     asio::detached);
    } else {
      ReleaseSlot(resources, ClassifyAttempt(result));
    }
    co_return result;
  }

  asio::awaitable<forward_result> SendToUpstream(
    attempt_state& aState,
    const dispatch_resources& aResources)
  {
    forward_request request;
    request.mTo = aResources.mGrant.mAddress;
    request.mTarget = aState.mAttributes.mTarget;
    AddCommonHeaders(aState, request);
    if (aState.mAttributes.mIdentity) {
      request.mHeaders.emplace_back(kRequestIdHeader,
                                    aState.mAttributes.mIdentity->Text());
    }
    // The peer may be closing an idle connection, so that it is unknown whether
    // a request written to it is run. Non-idempotent requests open a new one.
    request.mReuse = aState.mAttributes.mIdempotent;
    request.mMayBegin = [this, aResources]() { return MayBegin(aResources); };
    co_return co_await mTransport.Send(
      aState.mExchange, aState.mPrefix, request);
  }

  // Checks the leases on the slot and on the unit of the region's cap.
  bool MayBegin(const dispatch_resources& aResources)
  {
    const upstream_id& lender = aResources.mPermit->mUnit.mUpstream;
    instant now = Now();
    return mTables.MayDispatch(aResources.mGrant.mUpstream, now) &&
           (!aResources.mPermit->mLoan || mTables.MayDispatch(lender, now));
  }

  // Releases the unit before the slot, so that the request that gets the slot
  // next finds the unit available.
  void ReleaseSlot(const dispatch_resources& aResources, attempt_result aResult)
  {
    if (aResources.mPermit) {
      mTables.ReleaseRegionPermit(*aResources.mPermit);
    }
    mTables.EndDispatch(aResources.mGrant.mNumber);
    admission_changes changes =
      mTables.Admission().With([&](admission& aAdmission) {
        return aAdmission.Release(aResources.mGrant.mNumber, aResult, Now());
      });
    mTables.Waiters().Deliver(changes);
  }

  asio::awaitable<void> ReleaseLater(dispatch_resources aResources,
                                     attempt_result aResult)
  {
    co_await SleepFor(kCancelDelay);
    ReleaseSlot(aResources, aResult);
  }

  asio::awaitable<forward_result> SendRelay(attempt_state& aState,
                                            const relay_target& aTarget,
                                            std::string aMode)
  {
    link_transfer link{ aTarget.mRegion,
                        aState.mAttributes.mRank,
                        aState.mDeadline };
    region_id own = mTables.Self().mRegion;
    if (!mPacer.CanCarry(link, BodyBytes(aState), Now())) {
      co_return NotRun(refusal_reason::LinkOverBudget);
    }
    forward_request request;
    if (link.mTo != own) {
      request.mRequestLimiter = MakeRateLimiter(link);
    }
    request.mHeaders.emplace_back(kRegionHeader, own.mValue);
    request.mTo = aTarget.mRelay;
    request.mTarget = std::string(FromBeast(aState.mExchange.Head().target()));
    AddCommonHeaders(aState, request);
    request.mHeaders.emplace_back(kRelayHeader, aMode);
    request.mHeaders.emplace_back(kStampHeader,
                                  std::to_string(aTarget.mStamp.count()));
    request.mReuse = aState.mAttributes.mIdempotent;
    forward_result result =
      co_await mTransport.Send(aState.mExchange, aState.mPrefix, request);
    if (!result.mCredits.empty()) {
      mTables.UpdateCredits(
        aTarget.mInstance, DecodeCredits(result.mCredits), Now());
    }
    if (result.mReason == refusal_reason::UpstreamConnect &&
        result.mOutcome == outcome_kind::NotRun) {
      result.mReason = refusal_reason::RelayConnect;
      mTables.RecordRelayConnectFailure(aTarget.mInstance, Now());
    } else if (result.mReason == refusal_reason::UpstreamLost) {
      result.mReason = refusal_reason::RelayLost;
    }
    co_return result;
  }

  // The free capacity here, for an instance that relayed a request; empty for
  // callers.
  std::string CreditsFor(const request_attributes& aAttributes)
  {
    return aAttributes.mOrigin == request_origin::HomeRelay
             ? EncodeCredits(mTables.Credits(Now()))
             : std::string();
  }

  // Length of the request's body; if unknown, of the part read so far.
  static std::uint64_t BodyBytes(const attempt_state& aState)
  {
    std::uint64_t read = aState.mPrefix.mBytes.size();
    return aState.mPrefix.mComplete
             ? read
             : aState.mExchange.mParser.content_length().value_or(read);
  }

  // Whether the answer's body is sent to another region.
  bool IsFromOtherRegion(const request_attributes& aAttributes)
  {
    return !aAttributes.mRelayingRegion.mValue.empty() &&
           aAttributes.mRelayingRegion != mTables.Self().mRegion;
  }

  static link_transfer AnswerLink(const attempt_state& aState)
  {
    return { aState.mAttributes.mRelayingRegion,
             aState.mAttributes.mRank,
             aState.mDeadline };
  }

  body_rate_limiter MakeRateLimiter(const link_transfer& aLink)
  {
    return
      [this, aLink](std::size_t aBytes) { return mPacer.Pace(aLink, aBytes); };
  }

  void AddCommonHeaders(const attempt_state& aState, forward_request& aRequest)
  {
    std::chrono::milliseconds left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aState.mDeadline -
                                                            Now());
    aRequest.mDeadline = aState.mDeadline;
    aRequest.mCancel = aState.mAttributes.mIdempotent;
    if (IsFromOtherRegion(aState.mAttributes)) {
      aRequest.mAnswerLimiter = MakeRateLimiter(AnswerLink(aState));
    }
    aRequest.mHeaders.emplace_back(
      kDeadlineHeader, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    aRequest.mHeaders.emplace_back(kRankHeader,
                                   ToString(aState.mAttributes.mRank));
    if (aState.mAttributes.mOrigin == request_origin::HomeRelay) {
      aRequest.mCredits = [this, &aState]() {
        return CreditsFor(aState.mAttributes);
      };
    }
    aRequest.mAnswer.emplace_back(kOutcomeHeader, "answered");
    aRequest.mAnswer.emplace_back(kInstanceHeader,
                                  mTables.Self().mInstance.mValue);
  }

  void RecordOutcome(const http_exchange& aExchange,
                     const request_attributes& aAttributes,
                     const forward_result& aResult)
  {
    if (aResult.mOutcome == outcome_kind::Answered) {
      mTables.RetryBudget().With(
        [&](retry_budget& aBudget) { aBudget.CountSuccess(Now()); });
    }
    if (aAttributes.mOrigin != request_origin::Caller) {
      return;
    }
    mKernel.Counters().Add("requests_total",
                           std::string(ToString(aAttributes.mRank)) + "," +
                             std::string(ToString(aResult.mOutcome)));
    if (aResult.mOutcome == outcome_kind::Answered) {
      mKernel.Latencies().Record(ToString(aAttributes.mRank),
                                 Now() - aExchange.mReceived);
    }
  }

  kernel& mKernel;
  Transport& mTransport;
  entry_tables mTables;
  link_pacer mPacer;
};

} // namespace laburnumdyke
