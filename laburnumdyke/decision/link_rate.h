// Rates of the links between regions, and the part of their division that
// follows from the document alone.
//
// Each direction's rate is divided evenly among the failure domains of the
// sending region. Every instance has a small fixed reserve of its domain's
// rate; the rest is lent to instances on demand (link_lender.h).
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

using byte_rate = std::uint64_t; // bytes per second

// Each direction of a link has its own budget, spent by the sending side.
struct link_direction
{
  region_id mFrom;
  region_id mTo;
  auto operator<=>(const link_direction&) const = default;
};

// Time for which a rate is lent, on the lender's clock.
inline constexpr std::chrono::milliseconds kGrantLifetime{ 2000 };
// A grant expires earlier by this margin at its holder than at the lender. It
// is the maximum drift between their clocks within kGrantLifetime.
inline constexpr std::chrono::milliseconds kGrantExpiryMargin{ 100 };
// Interval at which an instance reports its demand to the lender.
inline constexpr std::chrono::milliseconds kRateRequestPeriod{ 500 };

// The percentage of a domain's rate that is never lent, and the maximum number
// of instances in a domain that share it as their reserves.
inline constexpr byte_rate kReservePercent = 20;
inline constexpr byte_rate kMaxInstancesPerDomain = 64;

// Rate of one failure domain of the sending region. Returns nullopt if the
// document declares no links, in which case links are unlimited, and 0 if it
// declares links but none between these two regions.
std::optional<byte_rate>
DomainRate(const document& aDocument, const link_direction& aDirection);

// The reserve of one instance, out of its domain's rate.
byte_rate
ReserveRate(byte_rate aDomainRate);

struct rate_demand
{
  byte_rate mDemand = 0;
};

// A rate lent in addition to the reserve, valid for mLife from the time at
// which the instance sent its request.
struct rate_grant
{
  byte_rate mRate = 0;
  std::chrono::milliseconds mLife{ 0 };
};

} // namespace laburnumdyke
