// The status of a refusal states whether the request may have run on an
// upstream: with 502 and 504 it may, with any other status it has not.
#include "laburnumdyke/plugin/steered_request.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>

namespace laburnumdyke {

namespace {

// Formats aAfter as seconds with three decimals, such as "0.250".
std::string
RetryAfterText(std::chrono::milliseconds aAfter)
{
  char text[32];
  std::snprintf(
    text, sizeof text, "%.3f", std::chrono::duration<double>(aAfter).count());
  return text;
}

} // namespace

std::uint32_t
PriorityOf(const steered_request& aRequest)
{
  return PriorityOf(*aRequest.mRoute, aRequest.mCustomer);
}

steered_refusal
CustomerRefusal(refusal_reason aReason)
{
  if (aReason == refusal_reason::UnknownCustomer) {
    return { http::status::unauthorized, aReason };
  }
  return { http::status::service_unavailable,
           aReason,
           steered_limits::kStaleCustomersRetry };
}

steered_refusal
BodyRefusal(body_end aEnd)
{
  steered_refusal refusal{ http::status::service_unavailable,
                           refusal_reason::NoBodyRoom,
                           steered_limits::kBodyRoomRetry,
                           true };
  if (aEnd == body_end::TooLarge) {
    refusal.mStatus = http::status::payload_too_large;
    refusal.mReason = refusal_reason::BodyTooLarge;
    refusal.mRetryAfter = std::nullopt;
  } else if (aEnd == body_end::TooSlow) {
    refusal.mReason = refusal_reason::BodyTooSlow;
  } else if (aEnd == body_end::Broken) {
    refusal.mStatus = http::status::bad_request;
    refusal.mReason = refusal_reason::MalformedRequest;
    refusal.mRetryAfter = std::nullopt;
  }
  return refusal;
}

steered_refusal
LeavingRefusal()
{
  return { http::status::service_unavailable,
           refusal_reason::Leaving,
           steered_limits::kMinRetryAfter,
           true };
}

steered_refusal
FailureRefusal(const steered_request& aRequest, const steering_choice& aChoice)
{
  if (aRequest.mMayHaveRun) {
    return aRequest.mTimedOut
             ? steered_refusal{ http::status::gateway_timeout,
                                refusal_reason::UpstreamTimeout }
             : steered_refusal{ http::status::bad_gateway,
                                refusal_reason::UpstreamLost };
  }
  refusal_reason reason = aChoice.mReason;
  if (reason == refusal_reason::None) {
    reason = aRequest.mTimedOut ? refusal_reason::DeadlineTooClose
                                : refusal_reason::UpstreamRefused;
  }
  return { http::status::service_unavailable,
           reason,
           std::max(aChoice.mRetryAfter, steered_limits::kMinRetryAfter) };
}

string_answer
RefusalAnswer(const steered_refusal& aRefusal)
{
  std::string_view reason = ToString(aRefusal.mReason);
  string_answer answer(aRefusal.mStatus, 11);
  answer.set(ToBeast(kReasonHeader), ToBeast(reason));
  answer.set(http::field::content_type, "text/plain");
  if (aRefusal.mRetryAfter) {
    answer.set(http::field::retry_after, RetryAfterText(*aRefusal.mRetryAfter));
  }
  answer.body() = std::string(reason) + "\n";
  return answer;
}

} // namespace laburnumdyke
