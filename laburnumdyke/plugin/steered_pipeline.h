// Serves one request that is routed by host and path: finds the route, reads
// the body, chooses upstreams, makes attempts and writes the final answer.
//
// The dialect reads and writes the headers of a front end; the transport makes
// one attempt. Tests supply mocks for both.
//
// Usage:
//   steered_pipeline<my_dialect, upstream_transport> pipeline(kernel,
//   transport); co_await pipeline.Serve(exchange);
//
// Errors, as the caller sees them:
//   400  malformed body
//   401  the route needs a key, and no customer holds the one that was sent
//   404  no route in the configuration in force
//   413  the body is over the limit; has not run
//   429  the customer's quota is used up, with Retry-After
//   502  failed, but may have run on an upstream
//   503  has not run and will not, with Retry-After
//   503  no configuration yet, or the instance is leaving, with Retry-After
//   503  no memory for the body, with Retry-After; has not run
//   504  deadline exceeded, but may have run on an upstream
// A request whose caller has disconnected is sent to no further upstream and
// gets no answer.
#pragma once

#include "laburnumdyke/plugin/customer_status.h"
#include "laburnumdyke/plugin/http_parts.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/upstream_exchange.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

// Limits that every request meets, and that its explanation (see
// route_explanation.h) has to meet too.
struct steered_limits
{
  static constexpr std::chrono::milliseconds kNoDocumentRetry{ 500 };
  // The caller may find an instance that reads the platform; if all wait for
  // it, they retry in no more than this.
  static constexpr std::chrono::milliseconds kStaleCustomersRetry{ 500 };
  // With less time left, no attempt is made: it could not be answered in time.
  static constexpr std::chrono::milliseconds kMinAttemptTime{ 20 };
  static constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
};

// Fields that the dialect reads from a caller's header.
struct caller_request
{
  std::string mId;
  std::string mObject; // object that the request is about; empty: none
  std::string mKey;    // of a customer; empty: none, or not a single one
  std::string mHost;
  // How long the caller waits for an answer, if it says so.
  std::optional<std::chrono::milliseconds> mCallerTimeout;
};

template<class T>
concept steering_dialect = requires(const request_parser::value_type& aHead,
                                    const upstream_head& aAnswer,
                                    const upstream_id& aUpstream,
                                    const customer_id& aCustomer,
                                    std::chrono::milliseconds aRemaining,
                                    const std::string& aId)
{
  {
    T::ReadCaller(aHead)
    } -> std::same_as<caller_request>;
  {
    T::UpstreamHeaders(aUpstream, aRemaining)
    } -> std::same_as<header_list>;
  // Names the customer to the upstream.
  {
    T::CustomerHeaders(aCustomer)
    } -> std::same_as<header_list>;
  // Headers of callers that must not reach upstreams where requests need keys.
  {
    T::CredentialHeaders()
    } -> std::same_as<std::vector<std::string_view>>;
  {
    T::ReadAnswer(aAnswer, aId)
    } -> std::same_as<answer_attributes>;
};

template<class T>
concept attempt_transport = requires(T& aTransport,
                                     http_exchange& aExchange,
                                     const upstream_attempt& aAttempt)
{
  {
    aTransport.Attempt(aExchange, aAttempt)
    } -> std::same_as<asio::awaitable<attempt_outcome>>;
};

// The production transport.
struct upstream_transport
{
  explicit upstream_transport(kernel& aKernel)
    : mTables{ aKernel.Table<connection_pool>(), aKernel.Table<body_table>() }
  {
  }

  asio::awaitable<attempt_outcome> Attempt(http_exchange& aExchange,
                                           const upstream_attempt& aAttempt)
  {
    return AttemptUpstream(mTables, aExchange, aAttempt);
  }

  exchange_tables mTables;
};

// State of a request while it is served.
struct steered_request
{
  caller_request mCaller;
  std::shared_ptr<const route_table> mRoutes;
  const route_spec* mRoute = nullptr;       // of mRoutes
  const customer_spec* mCustomer = nullptr; // of mRoutes; null: none
  bool mIsInQuota = false;                  // counted as admitted
  service_id mService;
  held_body mBody;
  instant mReceived{};
  instant mDeadline{};
  std::vector<upstream_id> mTried{};
  std::uint32_t mRuns = 0; // attempts that may have run
  std::uint32_t mSends = 0;
  bool mMayHaveRun = false;
  bool mTimedOut = false;
};

// Classifies the end of an attempt for the upstream's health. A refusal counts
// as an error only if the upstream reports free slots.
attempt_result
ToAttemptResult(const attempt_outcome& aOutcome);

// Formats aAfter as seconds with three decimals, such as "0.250".
std::string
RetryAfterText(std::chrono::milliseconds aAfter);

// The customer's priority, or else the route's; 0 is the most urgent.
std::uint32_t
PriorityOf(const steered_request& aRequest);

// Formats aValue with two decimals, such as "1.50".
std::string
DecimalText(double aValue);

// Formats a load as "running,waiting,slots", followed by the percentage of the
// usual time that work takes if it was reported; empty if no load was.
std::string
LoadText(const std::optional<reported_load>& aLoad);

template<steering_dialect Dialect, attempt_transport Transport>
class steered_pipeline
{
public:
  steered_pipeline(kernel& aKernel, Transport& aTransport)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mBodies(aKernel.Table<body_table>())
    , mActivity(aKernel.Table<activity_state>())
    , mTransport(aTransport)
  {
  }

  asio::awaitable<void> Serve(http_exchange& aExchange)
  {
    steered_request request;
    request.mReceived = aExchange.mReceived;
    request.mCaller = Dialect::ReadCaller(aExchange.Head());
    dated_routes dated = mTables.DatedRoutes(boot_clock::Now());
    request.mRoutes = dated.mRoutes;
    const route_table* routes = request.mRoutes.get();
    if (routes == nullptr) {
      co_await Refuse(aExchange,
                      request,
                      http::status::service_unavailable,
                      refusal_reason::NoDocument,
                      steered_limits::kNoDocumentRetry);
      co_return;
    }
    request.mRoute =
      routes->Find(request.mCaller.mHost, FromBeast(aExchange.Head().target()));
    if (request.mRoute == nullptr) {
      co_await Refuse(aExchange,
                      request,
                      http::status::not_found,
                      refusal_reason::UnknownService,
                      std::nullopt);
      co_return;
    }
    gate_decision gate = CheckKey(request, dated);
    if (gate.mRefusal != refusal_reason::None) {
      co_await RefuseCustomer(aExchange, request, gate.mRefusal);
      co_return;
    }
    request.mCustomer = gate.mCustomer;
    CountCustomer(request);
    body_read body =
      co_await ReadHeldBody(mBodies, aExchange, routes->Limits().mBodyBytes);
    if (body.mEnd != body_end::Whole) {
      co_await RefuseBody(aExchange, request, body.mEnd);
      co_return;
    }
    request.mBody = std::move(body.mBody);
    request.mDeadline =
      request.mReceived + std::min(request.mCaller.mCallerTimeout.value_or(
                                     request.mRoute->mTimeout),
                                   request.mRoute->mTimeout);
    if (!MayBegin(request, Now())) {
      co_await RefuseLeaving(aExchange, request);
      co_return;
    }
    std::optional<std::chrono::milliseconds> retryAfter = TakeQuota(request);
    if (retryAfter) {
      co_await Refuse(aExchange,
                      request,
                      http::status::too_many_requests,
                      refusal_reason::QuotaExceeded,
                      retryAfter);
      co_return;
    }
    request.mService = mTables.Rotation().With([&](rotation_state& aRotation) {
      return aRotation.Next(*request.mRoute);
    });
    mTables.Budget().With([&](budget_state& aBudget) {
      aBudget.CountRequest(request.mService, Now());
    });
    co_await Run(aExchange, request);
    ReturnQuota(request);
  }

private:
  // The caller may find an instance that reads the platform; if all wait for
  // it, they retry in no more than this.
  static constexpr std::chrono::milliseconds kStaleCustomersRetry{ 500 };
  // Bodies in memory are forwarded or dropped within about a second.
  static constexpr std::chrono::milliseconds kBodyRoomRetry{ 1000 };
  // Sends per request, including those that upstreams refuse.
  static constexpr std::uint32_t kMaxSends = 4;

  static instant Now() { return std::chrono::steady_clock::now(); }

  static std::chrono::milliseconds ToMilliseconds(duration aTime)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
  }

  gate_decision CheckKey(const steered_request& aRequest,
                         const dated_routes& aRoutes) const
  {
    return laburnumdyke::CheckKey(*aRoutes.mRoutes,
                                  *aRequest.mRoute,
                                  aRequest.mCaller.mKey,
                                  aRoutes.mAge,
                                  mTables.MaxKeyAge());
  }

  // Checks the key of a request again, by the routes now in force: it may have
  // been revoked or given to another customer while the request waited.
  refusal_reason RecheckKey(const steered_request& aRequest)
  {
    if (aRequest.mRoutes->Customers() == nullptr) {
      return refusal_reason::None;
    }
    gate_decision gate =
      CheckKey(aRequest, mTables.DatedRoutes(boot_clock::Now()));
    bool isSame = gate.mCustomer != nullptr && aRequest.mCustomer != nullptr &&
                  gate.mCustomer->mName == aRequest.mCustomer->mName;
    if (gate.mRefusal == refusal_reason::None && !isSame &&
        !aRequest.mRoute->mPublic) {
      return refusal_reason::StaleCustomers;
    }
    return gate.mRefusal;
  }

  asio::awaitable<void> RefuseCustomer(http_exchange& aExchange,
                                       const steered_request& aRequest,
                                       refusal_reason aReason)
  {
    bool isUnknown = aReason == refusal_reason::UnknownCustomer;
    return Refuse(aExchange,
                  aRequest,
                  isUnknown ? http::status::unauthorized
                            : http::status::service_unavailable,
                  aReason,
                  isUnknown ? std::nullopt
                            : std::optional<std::chrono::milliseconds>(
                                steered_limits::kStaleCustomersRetry));
  }

  void CountCustomer(const steered_request& aRequest)
  {
    if (aRequest.mCustomer != nullptr) {
      mActivity.With([&](activity_state& aActivity) {
        aActivity.CountRequest(aRequest.mCustomer->mName, Now());
      });
    }
  }

  // Counts the request against its customer's quota. Returns when to come back
  // if the quota is used up.
  std::optional<std::chrono::milliseconds> TakeQuota(steered_request& aRequest)
  {
    if (aRequest.mCustomer == nullptr || aRequest.mRoute->mPublic) {
      return std::nullopt;
    }
    quota_decision decision = mTables.Quota().With([&](quota_state& aQuota) {
      return aQuota.Admit(aRequest.mCustomer->mName, Now());
    });
    aRequest.mIsInQuota = decision.mAdmitted;
    if (decision.mAdmitted) {
      return std::nullopt;
    }
    const quota_spec& quota = aRequest.mCustomer->mQuota;
    mKernel.Log().Info("quota_exceeded",
                       { { "request", aRequest.mCaller.mId },
                         { "customer", aRequest.mCustomer->mName.mValue },
                         { "rate_per_s", DecimalText(quota.mRate) },
                         { "burst", DecimalText(quota.mBurst) },
                         { "demand_per_s", DecimalText(decision.mDemand) },
                         { "limit_per_s", DecimalText(decision.mLimit) },
                         { "share", DecimalText(decision.mShare) } });
    return decision.mRetryAfter;
  }

  // A request that no upstream has run does not count against the quota.
  void ReturnQuota(const steered_request& aRequest)
  {
    if (aRequest.mIsInQuota && !aRequest.mMayHaveRun) {
      mTables.Quota().With([&](quota_state& aQuota) {
        aQuota.Refund(aRequest.mCustomer->mName, Now());
      });
    }
  }

  // Whether a planned stop of the instance leaves time for the request. Also
  // limits its deadline, so that it is answered before the process exits.
  bool MayBegin(steered_request& aRequest, instant aNow)
  {
    return mTables.PlannedStop().With([&](stop_state& aStop) {
      bool mayBegin =
        aStop.MayBegin(aRequest.mReceived, aRequest.mDeadline, aNow);
      aRequest.mDeadline = std::min(aRequest.mDeadline, aStop.LastAnswer());
      return mayBegin;
    });
  }

  // Refuses a request whose body was not read to its end, and closes its
  // connection.
  asio::awaitable<void> RefuseBody(http_exchange& aExchange,
                                   const steered_request& aRequest,
                                   body_end aEnd)
  {
    aExchange.mKeepAlive = false;
    http::status status = http::status::service_unavailable;
    refusal_reason reason = refusal_reason::NoBodyRoom;
    std::optional<std::chrono::milliseconds> retry = kBodyRoomRetry;
    if (aEnd == body_end::TooLarge) {
      status = http::status::payload_too_large;
      reason = refusal_reason::BodyTooLarge;
      retry = std::nullopt;
    } else if (aEnd == body_end::TooSlow) {
      reason = refusal_reason::BodyTooSlow;
    } else if (aEnd == body_end::Broken) {
      status = http::status::bad_request;
      reason = refusal_reason::MalformedRequest;
      retry = std::nullopt;
    }
    return Refuse(aExchange, aRequest, status, reason, retry);
  }

  // Refuses a request for which a planned stop leaves no time. The caller may
  // send it to another instance at once.
  asio::awaitable<void> RefuseLeaving(http_exchange& aExchange,
                                      const steered_request& aRequest)
  {
    aExchange.mKeepAlive = false;
    return Refuse(aExchange,
                  aRequest,
                  http::status::service_unavailable,
                  refusal_reason::Leaving,
                  steered_limits::kMinRetryAfter);
  }

  asio::awaitable<void> Run(http_exchange& aExchange, steered_request& aRequest)
  {
    while (true) {
      if (IsCallerGone(aExchange)) {
        LogCallerGone(aExchange, aRequest);
        co_return;
      }
      instant now = Now();
      if (aRequest.mDeadline - now < steered_limits::kMinAttemptTime) {
        aRequest.mTimedOut = true;
        break;
      }
      refusal_reason reason = RecheckKey(aRequest);
      if (reason != refusal_reason::None) {
        co_await AnswerRevoked(aExchange, aRequest, reason);
        co_return;
      }
      steering_choice choice = Choose(aRequest, now);
      if (!choice.mTarget) {
        co_await AnswerFailure(aExchange, aRequest, choice);
        co_return;
      }
      if (aRequest.mSends > 0 && !MayRetry(aRequest, now)) {
        break;
      }
      attempt_outcome outcome =
        co_await Attempt(aExchange, aRequest, *choice.mTarget);
      bool ended = RecordOutcome(aRequest, outcome);
      if (outcome.mEnd == attempt_ending::CallerGone) {
        LogCallerGone(aExchange, aRequest);
      }
      if (ended) {
        co_return;
      }
    }
    co_await AnswerFailure(aExchange, aRequest, {});
  }

  // Logs that the caller has disconnected. No answer is written.
  void LogCallerGone(http_exchange& aExchange, const steered_request& aRequest)
  {
    aExchange.mKeepAlive = false;
    mKernel.Counters().Add("callers_gone_total",
                           aRequest.mSends == 0 ? "unsent" : "sent");
    mKernel.Log().Info(
      "caller_gone",
      { { "request", aRequest.mCaller.mId },
        { "route", aRequest.mRoute->mName },
        { "sends", std::to_string(aRequest.mSends) },
        { "took_ms",
          std::to_string(
            ToMilliseconds(Now() - aRequest.mReceived).count()) } });
  }

  steering_choice Choose(const steered_request& aRequest, instant aNow)
  {
    steering_request query{ *aRequest.mRoute,         aRequest.mService,
                            aRequest.mCaller.mObject, aRequest.mReceived,
                            aRequest.mDeadline,       aRequest.mTried,
                            aRequest.mCustomer };
    return mTables.Steering().With([&](steering_state& aSteering) {
      steering_choice choice = aSteering.Choose(query, aNow);
      if (choice.mTarget) {
        aSteering.Begin(*choice.mTarget, aNow);
      }
      return choice;
    });
  }

  // Whether the request may be sent again after a failed attempt. Spends one
  // retry of the budget if so.
  bool MayRetry(const steered_request& aRequest, instant aNow)
  {
    bool mayRunAgain = !aRequest.mMayHaveRun || aRequest.mRoute->mIdempotent;
    bool attemptsLeft = aRequest.mRuns < aRequest.mRoute->mMaxAttempts &&
                        aRequest.mSends < kMaxSends;
    if (!mayRunAgain || !attemptsLeft) {
      return false;
    }
    bool inBudget = mTables.Budget().With([&](budget_state& aBudget) {
      return aBudget.Take(aRequest.mService, aNow);
    });
    mKernel.Counters().Add(inBudget ? "repeats_total"
                                    : "repeats_refused_total");
    return inBudget;
  }

  asio::awaitable<attempt_outcome> Attempt(http_exchange& aExchange,
                                           steered_request& aRequest,
                                           const steering_target& aTarget)
  {
    instant begun = Now();
    upstream_attempt attempt;
    attempt.mTo = aTarget.mAddress;
    attempt.mBody = &aRequest.mBody.Bytes();
    attempt.mHeaders = Dialect::UpstreamHeaders(
      aTarget.mId, ToMilliseconds(aRequest.mDeadline - begun));
    if (aRequest.mRoutes->Customers() != nullptr) {
      attempt.mWithheld = Dialect::CredentialHeaders();
    }
    if (aRequest.mCustomer != nullptr) {
      header_list named = Dialect::CustomerHeaders(aRequest.mCustomer->mName);
      attempt.mHeaders.insert(
        attempt.mHeaders.end(), named.begin(), named.end());
    }
    attempt.mRead = [&aRequest](const upstream_head& aHead) {
      return Dialect::ReadAnswer(aHead, aRequest.mCaller.mId);
    };
    attempt.mMaySend = [&]() {
      return mTables.Steering().With(
        [&](steering_state& aSteering) { return aSteering.MaySend(aTarget); });
    };
    attempt.mDeadline = aRequest.mDeadline;
    attempt.mIdempotent = aRequest.mRoute->mIdempotent;
    attempt.mWithholdErrors =
      aRequest.mRoute->mIdempotent &&
      aRequest.mRuns + 1 < aRequest.mRoute->mMaxAttempts;
    attempt_outcome outcome = co_await mTransport.Attempt(aExchange, attempt);
    instant now = Now();
    attempt_report report;
    report.mResult = ToAttemptResult(outcome);
    report.mTook = now - begun;
    report.mBytes = outcome.mBytes;
    report.mLoad = outcome.mLoad;
    report.mQueueFull = outcome.mEnd == attempt_ending::NotRun;
    report.mWrongInstance = outcome.mEnd == attempt_ending::WrongInstance;
    report.mConnect = outcome.mConnect;
    std::optional<speed_notice> notice =
      mTables.Steering().With([&](steering_state& aSteering) {
        return aSteering.End(aTarget, report, now);
      });
    if (notice) {
      LogSpeed(aTarget, *notice);
    }
    if (outcome.mMalformedLoad) {
      mKernel.Counters().Add("load_reports_malformed_total");
    }
    aRequest.mTried.push_back(aTarget.mId);
    mKernel.Counters().Add("attempts_total", ToString(outcome.mEnd));
    if (outcome.mEnd == attempt_ending::Answered) {
      mKernel.Latencies().Record("priority_" +
                                   std::to_string(PriorityOf(aRequest)),
                                 now - aRequest.mReceived);
    }
    LogAttempt(aRequest, aTarget, outcome, now - begun);
    co_return outcome;
  }

  // Records an attempt's outcome. Returns whether the request has ended.
  bool RecordOutcome(steered_request& aRequest, const attempt_outcome& aOutcome)
  {
    bool sent = aOutcome.mEnd != attempt_ending::NotSent &&
                aOutcome.mEnd != attempt_ending::UpstreamLeaving;
    bool refused = aOutcome.mEnd == attempt_ending::NotRun ||
                   aOutcome.mEnd == attempt_ending::WrongInstance;
    aRequest.mSends += sent ? 1 : 0;
    if (sent && !refused) {
      ++aRequest.mRuns;
      aRequest.mMayHaveRun = true;
    }
    aRequest.mTimedOut = aOutcome.mEnd == attempt_ending::TimedOut;
    return aOutcome.mEnd == attempt_ending::Answered ||
           aOutcome.mEnd == attempt_ending::CutShort ||
           aOutcome.mEnd == attempt_ending::CallerGone;
  }

  // Answers a request whose key no longer admits it.
  asio::awaitable<void> AnswerRevoked(http_exchange& aExchange,
                                      const steered_request& aRequest,
                                      refusal_reason aReason)
  {
    return aRequest.mMayHaveRun ? AnswerFailure(aExchange, aRequest, {})
                                : RefuseCustomer(aExchange, aRequest, aReason);
  }

  // Writes the final answer to a request that no upstream has answered.
  asio::awaitable<void> AnswerFailure(http_exchange& aExchange,
                                      const steered_request& aRequest,
                                      const steering_choice& aChoice)
  {
    if (aRequest.mMayHaveRun) {
      co_await Refuse(aExchange,
                      aRequest,
                      aRequest.mTimedOut ? http::status::gateway_timeout
                                         : http::status::bad_gateway,
                      aRequest.mTimedOut ? refusal_reason::UpstreamTimeout
                                         : refusal_reason::UpstreamLost,
                      std::nullopt);
      co_return;
    }
    refusal_reason reason = aChoice.mReason;
    if (reason == refusal_reason::None) {
      reason = aRequest.mTimedOut ? refusal_reason::DeadlineTooClose
                                  : refusal_reason::UpstreamRefused;
    }
    co_await Refuse(
      aExchange,
      aRequest,
      http::status::service_unavailable,
      reason,
      std::max(aChoice.mRetryAfter, steered_limits::kMinRetryAfter));
  }

  asio::awaitable<void> Refuse(
    http_exchange& aExchange,
    const steered_request& aRequest,
    http::status aStatus,
    refusal_reason aReason,
    std::optional<std::chrono::milliseconds> aRetryAfter)
  {
    mKernel.Counters().Add("refused_total", ToString(aReason));
    if (aRequest.mCustomer != nullptr) {
      mActivity.With([&](activity_state& aActivity) {
        aActivity.CountRefusal(aRequest.mCustomer->mName);
      });
    }
    mKernel.Log().Info(
      "request_refused",
      { { "request", aRequest.mCaller.mId },
        { "route", aRequest.mRoute == nullptr ? "" : aRequest.mRoute->mName },
        { "status", std::to_string(static_cast<unsigned>(aStatus)) },
        { "reason", std::string(ToString(aReason)) },
        { "sends", std::to_string(aRequest.mSends) },
        { "took_ms",
          std::to_string(
            ToMilliseconds(Now() - aRequest.mReceived).count()) } });
    string_answer answer(aStatus, 11);
    answer.set(ToBeast(kReasonHeader), ToBeast(ToString(aReason)));
    answer.set(http::field::content_type, "text/plain");
    if (aRetryAfter) {
      answer.set(http::field::retry_after, RetryAfterText(*aRetryAfter));
    }
    answer.body() = std::string(ToString(aReason)) + "\n";
    co_await WriteAnswer(aExchange, std::move(answer));
  }

  void LogAttempt(const steered_request& aRequest,
                  const steering_target& aTarget,
                  const attempt_outcome& aOutcome,
                  duration aTook)
  {
    const std::initializer_list<log_pair> pairs = {
      { "request", aRequest.mCaller.mId },
      { "route", aRequest.mRoute->mName },
      { "upstream", aTarget.mId.mValue },
      { "failure_domain", aTarget.mDomain.mValue },
      { "object", aRequest.mCaller.mObject },
      { "send", std::to_string(aRequest.mTried.size()) },
      { "cold", aTarget.mCold ? "yes" : "no" },
      { "instances", std::to_string(aTarget.mInstances) },
      { "load", LoadText(aOutcome.mLoad) },
      { "end", std::string(ToString(aOutcome.mEnd)) },
      { "status", std::to_string(aOutcome.mStatus) },
      { "expected_wait_ms",
        std::to_string(ToMilliseconds(aTarget.mExpectedWait).count()) },
      { "took_ms", std::to_string(ToMilliseconds(aTook).count()) }
    };
    if (aOutcome.mEnd == attempt_ending::Answered) {
      mKernel.Log().Routine("attempt", pairs);
    } else {
      mKernel.Log().Info("attempt", pairs);
    }
  }

  void LogSpeed(const steering_target& aTarget, const speed_notice& aNotice)
  {
    std::string_view state =
      aNotice.mChange == speed_change::Slow ? "slow" : "usual";
    mKernel.Counters().Add("upstream_speed_changes_total", state);
    mKernel.Log().Info(
      "upstream_speed",
      { { "upstream", aTarget.mId.mValue },
        { "failure_domain", aTarget.mDomain.mValue },
        { "state", std::string(state) },
        { "factor", DecimalText(aNotice.mFactor) },
        { "handled_slots", DecimalText(aNotice.mHandledSlots) } });
  }

  kernel& mKernel;
  steering_tables mTables;
  table<body_table>& mBodies;
  table<activity_state>& mActivity;
  Transport& mTransport;
};

} // namespace laburnumdyke
