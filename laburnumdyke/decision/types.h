// Core types that every decision shares.
//
// Decisions take events and the present time, and return typed actions and
// outcomes. They include no network, encoding or log library.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// Time on the process's own steady clock; virtual in benchmarks.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::nanoseconds;

// A name that can't be mixed up with a name of another kind.
template<class Tag>
struct name_of
{
  std::string mValue;
  auto operator<=>(const name_of&) const = default;
};

using instance_id = name_of<struct instance_tag>;
using domain_id = name_of<struct domain_tag>; // a failure domain
using region_id = name_of<struct region_tag>;
using service_id = name_of<struct service_tag>;
using upstream_id = name_of<struct upstream_tag>;

// Ranks of work, most urgent first.
enum class work_rank
{
  Urgent,   // bookings, receipts
  Standard, // job sheets, parcel status
  Bulk,     // reports, scans
};

inline constexpr std::size_t kRankCount = 3;

// What became of a request. The set is closed.
enum class outcome_kind
{
  Answered, // the upstream's whole answer was passed on
  NotRun,   // no upstream has begun, or will begin, the work
  Unknown,  // the work may have run
};

// Why a request was not run, or why it is unknown whether it was.
enum class refusal_reason
{
  None,
  MalformedRequest,
  UnknownService,
  NoDocument, // no configuration in force yet
  DeadlinePassed,
  DeadlineTooClose, // would not be served in time
  QueueFull,
  RankOverFloor, // shed to keep the floor of other ranks
  RegionOverCap,
  LinkOverBudget,
  NoUpstream,       // none live, in ramp-up or reachable
  LeaseLapsed,      // the holder's right to dispatch had lapsed
  StaleAdvert,      // a relay acted on credit that had expired
  Leaving,          // planned stop
  IdentityRequired, // non-idempotent without a ticket
  IdentityExpired,
  IssuerGone,      // the issuer's incarnation is not reachable
  InProgress,      // the first attempt is still running
  AlreadyRun,      // finished; its answer is no longer kept
  UpstreamRefused, // refused by the upstream before any work
  UpstreamConnect,
  UpstreamLost, // connection lost after sending
  UpstreamTimeout,
  RelayConnect,
  RelayLost,
  RetryBudgetSpent,
  CallerGone,
  Count,
};

// Why another attempt was made.
enum class retry_reason
{
  UpstreamConnect,
  UpstreamRefused,
  UpstreamLost, // idempotent requests alone
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
