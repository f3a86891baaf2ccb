// The pipeline of one request through an entry instance.
//
//   limit -> identity -> route -> admit -> forward -> settle
//
// Stages call the pure decisions under their table's lock and act on the
// answers. The transport that carries a request to an upstream or to another
// entry instance is a template parameter, so that tests put a mock in its
// place.
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
#include "laburnumdyke/plugin/instance_entry.h"
#include "laburnumdyke/plugin/link_pacer.h"
#include "laburnumdyke/plugin/request_facts.h"
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

// Writes the answer of a request that no upstream answered.
asio::awaitable<void>
WriteOutcome(kernel& aKernel,
             http_exchange& aExchange,
             const forward_result& aResult,
             std::string_view aMessage,
             std::string_view aCredits = {});

attempt_result
JudgeAttempt(const forward_result& aResult);

// Whether an upstream may still be at work on a request that has ended here.
bool
LeavesWorkBehind(const forward_result& aResult);

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
    facts_result read = ReadFacts(aExchange.Head(), *document, aFromPeer);
    if (!read.mFacts) {
      co_await Refuse(aExchange, read.mReason, read.mMessage);
      co_return;
    }
    const request_facts& facts = *read.mFacts;
    instant deadline = aExchange.mReceived + facts.mAllowed;
    instance_entry entry(
      mTables.Admission(), facts.mRank, HeldBytes(aExchange), Now());
    forward_result result = NotRun(entry.Reason(), entry.RetryAfter());
    if (entry.Reason() == refusal_reason::None) {
      result = co_await Run(aExchange, facts, deadline);
    } else {
      mKernel.Counters().Add("instance_refused_total",
                             ToString(entry.Reason()));
    }
    if (!result.mBegun) {
      std::string credits = CreditsFor(facts);
      co_await WriteOutcome(mKernel, aExchange, result, "", credits);
    }
    Account(aExchange, facts, result);
  }

private:
  static constexpr std::size_t kMostAttempts = 4; // for one request
  // For an upstream to notice that a connection was closed on it; until then
  // the request still has its slot there.
  static constexpr std::chrono::milliseconds kCancelSettle{ 250 };

  // An answer whose body is shorter is not worth a refusal.
  static constexpr std::uint64_t kLeastAnswer = 1400; // bytes

  // Keeps what the stages of one request share.
  struct attempt_state
  {
    http_exchange& mExchange;
    const request_facts& mFacts;
    instant mDeadline;
    body_prefix mPrefix;
    std::set<instance_id> mTried;
  };

  // What a dispatched request holds until it has ended.
  struct dispatch_hold
  {
    grant mGrant;
    std::optional<region_permit> mPermit;
  };

  static instant Now() { return std::chrono::steady_clock::now(); }

  static forward_result NotRun(refusal_reason aReason,
                               std::chrono::milliseconds aRetryAfter = {})
  {
    return {
      outcome_kind::NotRun, aReason, false, upstream_sign::None, aRetryAfter
    };
  }

  asio::awaitable<void> Refuse(http_exchange& aExchange,
                               refusal_reason aReason,
                               std::string aMessage)
  {
    co_await WriteOutcome(mKernel, aExchange, NotRun(aReason), aMessage);
  }

  asio::awaitable<forward_result> Run(http_exchange& aExchange,
                                      const request_facts& aFacts,
                                      instant aDeadline)
  {
    bool owned =
      !aFacts.mIdempotent && aFacts.mOrigin != request_origin::HomeRelay;
    if (owned && !aFacts.mIdentity) {
      co_return NotRun(refusal_reason::IdentityRequired);
    }
    std::optional<body_prefix> prefix = co_await ReadPrefix(aExchange);
    if (!prefix) {
      co_return NotRun(refusal_reason::CallerGone);
    }
    attempt_state state{ aExchange, aFacts, aDeadline, std::move(*prefix), {} };
    if (!owned) {
      co_return co_await Attempts(state);
    }
    if (!mTables.IsOwn(*aFacts.mIdentity)) {
      co_return co_await RelayToIssuer(state);
    }
    begin_result begun = mTables.Begin(*aFacts.mIdentity, Now());
    if (!begun.mMayRun) {
      co_return forward_result{
        begun.mOutcome, begun.mReason, false, upstream_sign::None
      };
    }
    forward_result result = co_await Attempts(state);
    mTables.Finish(*aFacts.mIdentity, result.mOutcome, Now());
    co_return result;
  }

  // Only the issuer may begin the request; a second hop is refused.
  asio::awaitable<forward_result> RelayToIssuer(attempt_state& aState)
  {
    const request_identity& identity = *aState.mFacts.mIdentity;
    std::optional<peer> issuer = mTables.FindPeer(identity.mIssuer, Now());
    bool reachable =
      issuer && aState.mFacts.mOrigin == request_origin::Caller &&
      issuer->mLast.mSender.mIncarnation == identity.mIncarnation;
    if (!reachable) {
      co_return forward_result{ outcome_kind::Unknown,
                                refusal_reason::IssuerGone,
                                false,
                                upstream_sign::None };
    }
    relay_target target{ identity.mIssuer,
                         issuer->mLast.mSender.mRelay,
                         issuer->mLast.mStamp,
                         issuer->mLast.mSender.mRegion };
    co_return co_await SendRelay(aState, target, "issuer");
  }

  asio::awaitable<forward_result> Attempts(attempt_state& aState)
  {
    mTables.RetryBudget().With(
      [&](retry_budget& aBudget) { aBudget.CountRequest(Now()); });
    bool mayHaveRun = false;
    for (std::size_t attempt = 1;; ++attempt) {
      bool relayed = false;
      forward_result result = co_await Attempt(aState, relayed);
      // "Not run" speaks of the request, and so of every attempt at it.
      if (mayHaveRun && result.mOutcome == outcome_kind::NotRun) {
        result.mOutcome = outcome_kind::Unknown;
      }
      mayHaveRun = mayHaveRun || result.mOutcome == outcome_kind::Unknown;
      std::optional<retry_reason> reason =
        RetryReason(result, relayed, aState.mFacts.mIdempotent);
      if (!reason || result.mBegun || !aState.mPrefix.mComplete ||
          attempt >= kMostAttempts || Now() >= aState.mDeadline) {
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
    if (IsFromAfar(aState.mFacts) &&
        !mPacer.CanCarry(AnswerLink(aState), kLeastAnswer, now)) {
      co_return NotRun(refusal_reason::LinkOverBudget);
    }
    if (aState.mFacts.mOrigin == request_origin::HomeRelay) {
      bool fresh = mTables.IsFresh(aState.mFacts.mStamp, now);
      if (!fresh) {
        co_return NotRun(refusal_reason::StaleAdvert);
      }
      co_return co_await RunHere(aState);
    }
    route next = mTables.Route(aState.mFacts.mService, aState.mTried, now);
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
                               aState.mFacts.mService,
                               aState.mFacts.mRank,
                               aState.mDeadline };
    admission_answer answer =
      mTables.Admission().With([&](admission& aAdmission) {
        return aAdmission.RequestSlot(request, Now());
      });
    mTables.Waiters().Deliver(answer.mOthers);
    if (answer.mStep == admission_step::Refused) {
      // Another attempt goes elsewhere; after a failed upstream it may come
      // here again, where admission now prefers another upstream.
      aState.mTried.insert(mTables.Self().mInstance);
      co_return NotRun(answer.mReason, answer.mRetryAfter);
    }
    if (answer.mStep == admission_step::Queued) {
      std::optional<wait_verdict> verdict =
        co_await mTables.Waiters().Wait(request.mNumber, request.mDeadline);
      if (!verdict) {
        verdict = Withdraw(request.mNumber);
      }
      if (const queue_refusal* refused =
            std::get_if<queue_refusal>(&*verdict)) {
        co_return NotRun(refused->mReason);
      }
      answer.mGrant = std::get<grant>(*verdict);
    }
    co_return co_await Dispatch(aState, answer.mGrant);
  }

  // Gives a queued request up, unless it was decided on in the meantime.
  wait_verdict Withdraw(request_number aNumber)
  {
    mTables.Admission().With(
      [&](admission& aAdmission) { aAdmission.Withdraw(aNumber); });
    std::optional<wait_verdict> late = mTables.Waiters().Collect(aNumber);
    return late.value_or(
      queue_refusal{ aNumber, refusal_reason::DeadlinePassed });
  }

  asio::awaitable<forward_result> Dispatch(attempt_state& aState,
                                           const grant& aGrant)
  {
    forward_result result = NotRun(refusal_reason::LeaseLapsed);
    dispatch_hold hold{ aGrant, std::nullopt };
    if (mTables.BeginDispatch(aGrant, aState.mDeadline, Now())) {
      hold.mPermit = mTables.AdmitToRegion(
        aState.mFacts.mService, aGrant.mUpstream, aState.mDeadline, Now());
      result = NotRun(refusal_reason::RegionOverCap);
    }
    if (hold.mPermit) {
      result = co_await SendToUpstream(aState, hold);
    }
    if (LeavesWorkBehind(result)) {
      asio::co_spawn(aState.mExchange.mStream.get_executor(),
                     ReleaseLater(hold, JudgeAttempt(result)),
                     asio::detached);
    } else {
      ReleaseSlot(hold, JudgeAttempt(result));
    }
    co_return result;
  }

  asio::awaitable<forward_result> SendToUpstream(attempt_state& aState,
                                                 const dispatch_hold& aHold)
  {
    forward_request request;
    request.mTo = aHold.mGrant.mAddress;
    request.mTarget = aState.mFacts.mTarget;
    AddCommonHeaders(aState, request);
    if (aState.mFacts.mIdentity) {
      request.mHeaders.emplace_back(kRequestIdHeader,
                                    aState.mFacts.mIdentity->Text());
    }
    // An idle connection may be closing: what is written to it may or may
    // not run. Non-idempotent requests pay for a new one instead.
    request.mReuse = aState.mFacts.mIdempotent;
    request.mMayBegin = [this, aHold]() { return MayBegin(aHold); };
    co_return co_await mTransport.Send(
      aState.mExchange, aState.mPrefix, request);
  }

  // The leases on the slot and on the unit of the region's cap.
  bool MayBegin(const dispatch_hold& aHold)
  {
    const upstream_id& lender = aHold.mPermit->mUnit.mUpstream;
    instant now = Now();
    return mTables.MayDispatch(aHold.mGrant.mUpstream, now) &&
           (!aHold.mPermit->mLoan || mTables.MayDispatch(lender, now));
  }

  // The unit goes back before the slot, so that whoever gets the slot finds
  // the unit.
  void ReleaseSlot(const dispatch_hold& aHold, attempt_result aResult)
  {
    if (aHold.mPermit) {
      mTables.ReleaseToRegion(*aHold.mPermit);
    }
    mTables.EndDispatch(aHold.mGrant.mNumber);
    admission_changes changes =
      mTables.Admission().With([&](admission& aAdmission) {
        return aAdmission.Release(aHold.mGrant.mNumber, aResult, Now());
      });
    mTables.Waiters().Deliver(changes);
  }

  asio::awaitable<void> ReleaseLater(dispatch_hold aHold,
                                     attempt_result aResult)
  {
    co_await SleepFor(kCancelSettle);
    ReleaseSlot(aHold, aResult);
  }

  asio::awaitable<forward_result> SendRelay(attempt_state& aState,
                                            const relay_target& aTarget,
                                            std::string aMode)
  {
    link_use link{ aTarget.mRegion, aState.mFacts.mRank, aState.mDeadline };
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
    request.mReuse = aState.mFacts.mIdempotent;
    forward_result result =
      co_await mTransport.Send(aState.mExchange, aState.mPrefix, request);
    if (!result.mCredits.empty()) {
      mTables.UpdateCredits(
        aTarget.mInstance, DecodeCredits(result.mCredits), Now());
    }
    if (result.mReason == refusal_reason::UpstreamConnect &&
        result.mOutcome == outcome_kind::NotRun) {
      result.mReason = refusal_reason::RelayConnect;
      mTables.NoteRelayRefused(aTarget.mInstance, Now());
    } else if (result.mReason == refusal_reason::UpstreamLost) {
      result.mReason = refusal_reason::RelayLost;
    }
    co_return result;
  }

  // What is free here, for an instance that relayed; empty for callers.
  std::string CreditsFor(const request_facts& aFacts)
  {
    return aFacts.mOrigin == request_origin::HomeRelay
             ? EncodeCredits(mTables.Credits(Now()))
             : std::string();
  }

  // Of the request's body, as far as its length is known.
  static std::uint64_t BodyBytes(const attempt_state& aState)
  {
    std::uint64_t read = aState.mPrefix.mBytes.size();
    return aState.mPrefix.mComplete
             ? read
             : aState.mExchange.mParser.content_length().value_or(read);
  }

  // Whether the answer's body leaves this region.
  bool IsFromAfar(const request_facts& aFacts)
  {
    return !aFacts.mFromRegion.mValue.empty() &&
           aFacts.mFromRegion != mTables.Self().mRegion;
  }

  static link_use AnswerLink(const attempt_state& aState)
  {
    return { aState.mFacts.mFromRegion, aState.mFacts.mRank, aState.mDeadline };
  }

  body_rate_limiter MakeRateLimiter(const link_use& aLink)
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
    aRequest.mCancel = aState.mFacts.mIdempotent;
    if (IsFromAfar(aState.mFacts)) {
      aRequest.mAnswerLimiter = MakeRateLimiter(AnswerLink(aState));
    }
    aRequest.mHeaders.emplace_back(
      kDeadlineHeader, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    aRequest.mHeaders.emplace_back(kRankHeader, ToString(aState.mFacts.mRank));
    if (aState.mFacts.mOrigin == request_origin::HomeRelay) {
      aRequest.mCredits = [this, &aState]() {
        return CreditsFor(aState.mFacts);
      };
    }
    aRequest.mAnswer.emplace_back(kOutcomeHeader, "answered");
    aRequest.mAnswer.emplace_back(kInstanceHeader,
                                  mTables.Self().mInstance.mValue);
  }

  void Account(const http_exchange& aExchange,
               const request_facts& aFacts,
               const forward_result& aResult)
  {
    if (aResult.mOutcome == outcome_kind::Answered) {
      mTables.RetryBudget().With(
        [&](retry_budget& aBudget) { aBudget.CountSuccess(Now()); });
    }
    if (aFacts.mOrigin != request_origin::Caller) {
      return;
    }
    mKernel.Counters().Add("requests_total",
                           std::string(ToString(aFacts.mRank)) + "," +
                             std::string(ToString(aResult.mOutcome)));
    if (aResult.mOutcome == outcome_kind::Answered) {
      mKernel.Latencies().Record(ToString(aFacts.mRank),
                                 Now() - aExchange.mReceived);
    }
  }

  kernel& mKernel;
  Transport& mTransport;
  entry_tables mTables;
  link_pacer mPacer;
};

} // namespace laburnumdyke
