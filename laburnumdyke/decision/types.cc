// Each array lists the names in the order of the enumerators. Parsing is a
// linear search, which is faster than a map at these sizes.
#include "laburnumdyke/decision/types.h"

#include <array>

namespace laburnumdyke {

namespace {

constexpr std::array<std::string_view, kRankCount> kRankNames = { "urgent",
                                                                  "standard",
                                                                  "bulk" };

constexpr std::array<std::string_view, 3> kOutcomeNames = { "answered",
                                                            "not-run",
                                                            "unknown" };

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(refusal_reason::Count)>
  kRefusalNames = {
    "none",
    "malformed_request",
    "unknown_service",
    "no_document",
    "deadline_passed",
    "deadline_too_close",
    "queue_full",
    "rank_over_floor",
    "region_over_cap",
    "link_over_budget",
    "no_upstream",
    "lease_lapsed",
    "stale_advert",
    "leaving",
    "identity_required",
    "identity_expired",
    "issuer_gone",
    "in_progress",
    "already_run",
    "upstream_refused",
    "upstream_connect",
    "upstream_lost",
    "upstream_timeout",
    "relay_connect",
    "relay_lost",
    "retry_budget_spent",
    "caller_gone",
    "unknown_customer",
    "stale_customers",
    "quota_exceeded",
    "body_too_large",
    "body_too_slow",
    "no_body_room",
    "yields_to_others",
  };

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(retry_reason::Count)>
  kRetryNames = {
    "upstream_connect", "upstream_refused", "upstream_lost",
    "relay_refused",    "relay_connect",
  };

template<class Enum, std::size_t Size>
std::optional<Enum>
Find(const std::array<std::string_view, Size>& aNames, std::string_view aText)
{
  for (std::size_t i = 0; i < Size; ++i) {
    if (aNames[i] == aText) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToString(work_rank aRank)
{
  return kRankNames.at(static_cast<std::size_t>(aRank));
}

std::string_view
ToString(outcome_kind aKind)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aKind));
}

std::string_view
ToString(refusal_reason aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
ToString(retry_reason aReason)
{
  return kRetryNames.at(static_cast<std::size_t>(aReason));
}

std::optional<work_rank>
ParseRank(std::string_view aText)
{
  return Find<work_rank>(kRankNames, aText);
}

std::optional<outcome_kind>
ParseOutcome(std::string_view aText)
{
  return Find<outcome_kind>(kOutcomeNames, aText);
}

std::optional<refusal_reason>
ParseRefusal(std::string_view aText)
{
  return Find<refusal_reason>(kRefusalNames, aText);
}

} // namespace laburnumdyke
