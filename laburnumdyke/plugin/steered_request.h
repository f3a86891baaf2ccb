// State of a request that is routed by host and path, from its header to its
// answer, and the refusals by which it can end.
//
// Usage:
//   steered_refusal refusal = LeavingRefusal();
//   co_await WriteAnswer(exchange, RefusalAnswer(refusal));
//
// steered_pipeline.h lists the refusals as callers see them.
#pragma once

#include "laburnumdyke/plugin/steering_dialect.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
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
  // Of every refusal by steering; also the delay while the instance leaves.
  static constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
  // Bodies in memory are forwarded or dropped within about a second.
  static constexpr std::chrono::milliseconds kBodyRoomRetry{ 1000 };
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
  std::uint32_t mRuns = 0;  // attempts that may have run
  std::uint32_t mSends = 0; // attempts sent, also refused ones
  bool mMayHaveRun = false; // any attempt may have run
  bool mTimedOut = false;   // the deadline ended it
};

// The customer's priority, or else the route's; 0 is the most urgent.
std::uint32_t
PriorityOf(const steered_request& aRequest);

// The answer to a request that gets none from an upstream.
struct steered_refusal
{
  http::status mStatus = http::status::service_unavailable;
  refusal_reason mReason = refusal_reason::None;
  std::optional<std::chrono::milliseconds> mRetryAfter{};
  bool mClosesConnection = false;
};

// aReason: UnknownCustomer or StaleCustomers.
steered_refusal
CustomerRefusal(refusal_reason aReason);

// Refuses a request whose body was not read to its end; aEnd is not Whole.
steered_refusal
BodyRefusal(body_end aEnd);

// Refuses a request for which a planned stop leaves no time. The caller may
// send it to another instance at once.
steered_refusal
LeavingRefusal();

// The final answer to a request that no upstream has answered. aChoice: the
// choice without a target; {} if the request ended after an attempt, at its
// deadline or at a key check.
steered_refusal
FailureRefusal(const steered_request& aRequest, const steering_choice& aChoice);

string_answer
RefusalAnswer(const steered_refusal& aRefusal);

} // namespace laburnumdyke
