// The parts of the pipeline that don't depend on the transport.
#include "laburnumdyke/plugin/request_pipeline.h"

#include <random>

namespace laburnumdyke {

namespace {

http::status
StatusOf(const forward_result& aResult)
{
  switch (aResult.mReason) {
    case refusal_reason::MalformedRequest:
    case refusal_reason::IdentityRequired:
      return http::status::bad_request;
    case refusal_reason::UnknownService:
      return http::status::not_found;
    case refusal_reason::InProgress:
    case refusal_reason::AlreadyRun:
    case refusal_reason::IdentityExpired:
      return http::status::conflict;
    case refusal_reason::DeadlinePassed:
    case refusal_reason::UpstreamTimeout:
      return http::status::gateway_timeout;
    default:
      return aResult.mOutcome == outcome_kind::NotRun
               ? http::status::service_unavailable
               : http::status::bad_gateway;
  }
}

// Used if no decision gave a Retry-After. Jittered, so that refused callers
// don't all retry at the same time.
std::chrono::milliseconds
DefaultRetryAfter()
{
  thread_local std::minstd_rand sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int> jitter(1000, 3000);
  return std::chrono::milliseconds(jitter(sRandom));
}

// Retry-After has whole seconds. Rounds up, so that no caller retries early.
std::string
RetryAfter(const forward_result& aResult)
{
  std::chrono::milliseconds wait = aResult.mRetryAfter;
  if (wait <= std::chrono::milliseconds(0)) {
    wait = DefaultRetryAfter();
  }
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

asio::awaitable<void>
WriteOutcome(kernel& aKernel,
             http_exchange& aExchange,
             const forward_result& aResult,
             std::string_view aMessage,
             std::string_view aCredits)
{
  aKernel.Counters().Add("refused_total", ToString(aResult.mReason));
  string_answer answer(StatusOf(aResult), 11);
  answer.set(ToBeast(kOutcomeHeader), ToBeast(ToString(aResult.mOutcome)));
  answer.set(ToBeast(kReasonHeader), ToBeast(ToString(aResult.mReason)));
  answer.set(ToBeast(kInstanceHeader), aKernel.Settings().mInstance);
  answer.set(http::field::content_type, "text/plain");
  if (!aCredits.empty()) {
    answer.set(ToBeast(kCreditsHeader), ToBeast(aCredits));
  }
  if (answer.result() == http::status::service_unavailable) {
    answer.set(http::field::retry_after, RetryAfter(aResult));
  }
  answer.body() = "outcome=" + std::string(ToString(aResult.mOutcome)) +
                  " reason=" + std::string(ToString(aResult.mReason)) + "\n" +
                  std::string(aMessage);
  co_await WriteAnswer(aExchange, std::move(answer));
}

attempt_result
ClassifyAttempt(const forward_result& aResult)
{
  // None of these reasons tells anything about the upstream.
  if (aResult.mReason == refusal_reason::CallerGone ||
      aResult.mReason == refusal_reason::LeaseLapsed ||
      aResult.mReason == refusal_reason::RegionOverCap ||
      aResult.mReason == refusal_reason::LinkOverBudget) {
    return attempt_result::Abandoned;
  }
  switch (aResult.mHealthSignal) {
    case upstream_health_signal::Draining:
      return attempt_result::Draining;
    case upstream_health_signal::Shedding:
      return attempt_result::Shedding;
    case upstream_health_signal::Errored:
      return attempt_result::Errored;
    case upstream_health_signal::None:
      break;
  }
  if (aResult.mOutcome == outcome_kind::Answered) {
    return attempt_result::Answered;
  }
  return aResult.mOutcome == outcome_kind::NotRun ? attempt_result::Refused
                                                  : attempt_result::Failed;
}

bool
MayStillBeRunning(const forward_result& aResult)
{
  return aResult.mOutcome == outcome_kind::Unknown;
}

std::optional<retry_reason>
RetryReason(const forward_result& aResult, bool aRelayed, bool aIdempotent)
{
  if (aResult.mOutcome == outcome_kind::Answered) {
    return std::nullopt;
  }
  if (aResult.mOutcome == outcome_kind::Unknown) {
    bool lost = aResult.mReason == refusal_reason::UpstreamLost ||
                aResult.mReason == refusal_reason::RelayLost;
    return aIdempotent && lost ? std::optional(retry_reason::UpstreamLost)
                               : std::nullopt;
  }
  if (aResult.mReason == refusal_reason::CallerGone) {
    return std::nullopt;
  }
  if (aRelayed) {
    return aResult.mReason == refusal_reason::RelayConnect
             ? retry_reason::RelayConnect
             : retry_reason::RelayRefused;
  }
  switch (aResult.mReason) {
    case refusal_reason::UpstreamConnect:
      return retry_reason::UpstreamConnect;
    case refusal_reason::UpstreamRefused:
      return retry_reason::UpstreamRefused;
    default:
      return std::nullopt;
  }
}

} // namespace laburnumdyke
