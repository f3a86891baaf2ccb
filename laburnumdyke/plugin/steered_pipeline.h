// Serves one request that is routed by host and path: finds the route, reads
// the body, chooses upstreams, makes attempts and writes the final answer.
//
// steering_dialect.h describes the dialect and the transport, steered_checks.h
// the checks that a request passes, steered_log.h its log and metric lines.
//
// Usage:
//   steered_pipeline<my_dialect, upstream_transport> pipeline(
//     kernel, transport);
//   co_await pipeline.Serve(exchange);
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
//   503  the body arrived too slowly; the connection is closed
//   504  deadline exceeded, but may have run on an upstream
// A request whose caller has disconnected is sent to no further upstream and
// gets no answer.
#pragma once

#include "laburnumdyke/plugin/http_parts.h"
#include "laburnumdyke/plugin/steered_checks.h"
#include "laburnumdyke/plugin/steered_log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace laburnumdyke {

// What steering learns from an attempt that took aTook.
attempt_report
ToAttemptReport(const attempt_outcome& aOutcome, duration aTook);

// Records an attempt's outcome. Returns whether the request has ended.
bool
RecordOutcome(steered_request& aRequest, const attempt_outcome& aOutcome);

template<steering_dialect Dialect, attempt_transport Transport>
class steered_pipeline
{
public:
  steered_pipeline(kernel& aKernel, Transport& aTransport)
    : mTables(aKernel)
    , mBodies(aKernel.Table<body_table>())
    , mTransport(aTransport)
    , mChecks(aKernel)
    , mLog(aKernel)
  {
  }

  asio::awaitable<void> Serve(http_exchange& aExchange)
  {
    held_head head(mBodies);
    steered_request request;
    request.mReceived = aExchange.mReceived;
    request.mCaller = Dialect::ReadCaller(aExchange.Head());
    std::optional<steered_refusal> refusal = mChecks.FindRoute(
      request, FromBeast(aExchange.Head().target()), boot_clock::Now());
    if (!refusal && !head.Take(aExchange)) {
      refusal = BodyRefusal(body_end::NoRoom);
    }
    if (!refusal) {
      mLog.CustomerIdentified(request, Now());
      refusal = co_await ReadBody(aExchange, request);
    }
    if (!refusal) {
      refusal = mChecks.Admit(request, Now());
    }
    if (refusal) {
      co_await Refuse(aExchange, request, *refusal);
      co_return;
    }
    request.mService = mTables.Rotation().With([&](rotation_state& aRotation) {
      return aRotation.Next(*request.mRoute);
    });
    mTables.Budget().With([&](budget_state& aBudget) {
      aBudget.CountRequest(request.mService, Now());
    });
    co_await Run(aExchange, request);
    mChecks.ReturnQuota(request, Now());
  }

private:
  // Sends per request, including those that upstreams refuse.
  static constexpr std::uint32_t kMaxSends = 4;

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<std::optional<steered_refusal>> ReadBody(
    http_exchange& aExchange,
    steered_request& aRequest)
  {
    body_read body = co_await ReadHeldBody(
      mBodies, aExchange, aRequest.mRoutes->Limits().mBodyBytes);
    if (body.mEnd != body_end::Whole) {
      co_return BodyRefusal(body.mEnd);
    }
    aRequest.mBody = std::move(body.mBody);
    co_return std::nullopt;
  }

  asio::awaitable<void> Run(http_exchange& aExchange, steered_request& aRequest)
  {
    while (true) {
      if (IsCallerGone(aExchange)) {
        EndCallerGone(aExchange, aRequest);
        co_return;
      }
      instant now = Now();
      if (aRequest.mDeadline - now < steered_limits::kMinAttemptTime) {
        aRequest.mTimedOut = true;
        break;
      }
      std::optional<steered_refusal> revoked =
        mChecks.RecheckKey(aRequest, boot_clock::Now());
      if (revoked) {
        co_await Refuse(aExchange,
                        aRequest,
                        aRequest.mMayHaveRun ? FailureRefusal(aRequest, {})
                                             : *revoked);
        co_return;
      }
      steering_choice choice = Choose(aRequest, now);
      if (!choice.mTarget) {
        co_await Refuse(aExchange, aRequest, FailureRefusal(aRequest, choice));
        co_return;
      }
      if (aRequest.mSends > 0 && !MayRetry(aRequest, now)) {
        break;
      }
      attempt_outcome outcome =
        co_await Attempt(aExchange, aRequest, *choice.mTarget);
      bool ended = RecordOutcome(aRequest, outcome);
      if (outcome.mEnd == attempt_ending::CallerGone) {
        EndCallerGone(aExchange, aRequest);
      }
      if (ended) {
        co_return;
      }
    }
    co_await Refuse(aExchange, aRequest, FailureRefusal(aRequest, {}));
  }

  // Ends a request whose caller has disconnected. No answer is written.
  void EndCallerGone(http_exchange& aExchange, const steered_request& aRequest)
  {
    aExchange.mKeepAlive = false;
    mLog.CallerGone(aRequest, Now());
  }

  steering_choice Choose(const steered_request& aRequest, instant aNow)
  {
    steering_request query{ *aRequest.mRoute,         aRequest.mService,
                            aRequest.mCaller.mObject, aRequest.mReceived,
                            aRequest.mDeadline,       aRequest.mTried,
                            aRequest.mCustomer };
    steering_choice choice =
      mTables.Steering().With([&](steering_state& aSteering) {
        steering_choice chosen = aSteering.Choose(query, aNow);
        if (chosen.mTarget) {
          aSteering.Begin(*chosen.mTarget, aNow);
        }
        return chosen;
      });
    mLog.Chosen(aRequest, choice);
    return choice;
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
    mLog.RetryDecided(inBudget);
    return inBudget;
  }

  asio::awaitable<attempt_outcome> Attempt(http_exchange& aExchange,
                                           steered_request& aRequest,
                                           const steering_target& aTarget)
  {
    instant begun = Now();
    upstream_attempt attempt = ToAttempt(aRequest, aTarget, begun);
    attempt_outcome outcome = co_await mTransport.Attempt(aExchange, attempt);
    instant now = Now();
    attempt_report report = ToAttemptReport(outcome, now - begun);
    std::vector<restart_report> restarts;
    std::optional<speed_notice> notice =
      mTables.Steering().With([&](steering_state& aSteering) {
        std::optional<speed_notice> changed =
          aSteering.End(aTarget, report, now);
        restarts = aSteering.TakeRestartReports();
        return changed;
      });
    if (notice) {
      mLog.SpeedChanged(aTarget, *notice);
    }
    if (!restarts.empty()) {
      mTables.Restarts().With(
        [&](restart_outbox& aOutbox) { aOutbox.Add(restarts); });
    }
    aRequest.mTried.push_back(aTarget.mId);
    mLog.AttemptEnded(aRequest, aTarget, outcome, now - begun, now);
    co_return outcome;
  }

  // The result refers to aRequest and aTarget.
  upstream_attempt ToAttempt(const steered_request& aRequest,
                             const steering_target& aTarget,
                             instant aNow)
  {
    upstream_attempt attempt;
    attempt.mTo = aTarget.mAddress;
    attempt.mBody = &aRequest.mBody.Bytes();
    attempt.mHeaders = Dialect::UpstreamHeaders(
      aTarget.mId,
      std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.mDeadline -
                                                            aNow));
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
    attempt.mMaySend = [this, &aTarget]() {
      return mTables.Steering().With([&](steering_state& aSteering) {
        return aSteering.MaySend(aTarget, Now());
      });
    };
    attempt.mDeadline = aRequest.mDeadline;
    attempt.mIdempotent = aRequest.mRoute->mIdempotent;
    attempt.mWithholdErrors =
      aRequest.mRoute->mIdempotent &&
      aRequest.mRuns + 1 < aRequest.mRoute->mMaxAttempts;
    return attempt;
  }

  asio::awaitable<void> Refuse(http_exchange& aExchange,
                               const steered_request& aRequest,
                               const steered_refusal& aRefusal)
  {
    if (aRefusal.mClosesConnection) {
      aExchange.mKeepAlive = false;
    }
    mLog.Refused(aRequest, aRefusal, Now());
    co_await WriteAnswer(aExchange, RefusalAnswer(aRefusal));
  }

  steering_tables mTables;
  table<body_table>& mBodies;
  Transport& mTransport;
  steered_checks mChecks;
  steered_log mLog;
};

} // namespace laburnumdyke
