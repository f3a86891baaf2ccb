// Core types shared by all decision modules.
//
// A decision module takes events and the current time, and returns typed
// actions and outcomes. It includes no network, encoding or logging library.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// A point in time on the steady clock of the process; virtual in simulations
// and benchmarks.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::nanoseconds;

// A strongly typed name: names of different kinds do not convert to each other.
template<class Tag>
struct name_of
{
  std::string mValue;
  auto operator<=>(const name_of&) const = default;
};

using instance_id = name_of<struct instance_tag>;
using domain_id = name_of<struct domain_tag>; // failure domain
using region_id = name_of<struct region_tag>;
using service_id = name_of<struct service_tag>;
using upstream_id = name_of<struct upstream_tag>;
using customer_id = name_of<struct customer_tag>;

// Priority classes of requests, highest priority first.
enum class work_rank
{
  Urgent,   // bookings, receipts
  Standard, // job sheets, parcel status
  Bulk,     // reports, scans
};

inline constexpr std::size_t kRankCount = 3;

// The outcome of a request. The set is closed.
enum class outcome_kind
{
  Answered, // the upstream's complete response was forwarded
  NotRun,   // no upstream has started the request, and none will
  Unknown,  // the request may have been executed
};

// Why a request was not executed, or why it is unknown whether it was.
enum class refusal_reason
{
  None,
  MalformedRequest,
  UnknownService,
  NoDocument, // no configuration document in force yet
  DeadlinePassed,
  DeadlineTooClose, // the request would not be served in time
  QueueFull,
  RankOverFloor, // shed to protect the guaranteed minimum of other ranks
  RegionOverCap,
  LinkOverBudget,
  NoUpstream,       // none is live, ramping up or reachable
  LeaseLapsed,      // the instance's lease on the upstream had expired
  StaleAdvert,      // relayed on the basis of an expired credit report
  Leaving,          // the instance is shutting down
  IdentityRequired, // non-idempotent request without an identity
  IdentityExpired,
  IssuerGone,      // the issuing incarnation is not reachable
  InProgress,      // the first attempt is still running
  AlreadyRun,      // finished; its response is no longer available
  UpstreamRefused, // rejected by the upstream before it started the request
  UpstreamConnect,
  UpstreamLost, // connection lost after the request was sent
  UpstreamTimeout,
  RelayConnect,
  RelayLost,
  RetryBudgetSpent,
  CallerGone,
  UnknownCustomer, // no customer holds the request's key
  StaleCustomers,  // the key may have been revoked since the last reading
  QuotaExceeded,   // of the customer, over all instances
  BodyTooLarge,
  BodyTooSlow,    // the caller sent less than the minimum rate
  NoBodyRoom,     // the memory for request bodies is exhausted
  YieldsToOthers, // more urgent requests or other customers go first
  Count,
};

// Why a request was retried.
enum class retry_reason
{
  UpstreamConnect,
  UpstreamRefused,
  UpstreamLost, // idempotent requests only
  RelayRefused,
  RelayConnect,
  Count,
};

std::string_view
ToString(work_rank aRank);
std::string_view
ToString(outcome_kind aKind);
std::string_view
ToString(refusal_reason aReason);
std::string_view
ToString(retry_reason aReason);

std::optional<work_rank>
ParseRank(std::string_view aText);
std::optional<outcome_kind>
ParseOutcome(std::string_view aText);
std::optional<refusal_reason>
ParseRefusal(std::string_view aText);

} // namespace laburnumdyke
