// Rates of links between regions, and their division by the document alone.
//
// Each direction's rate is divided evenly among the failure domains of the
// sending region; every instance of a domain has a small reserve of it, and
// the rest is lent (link_lender.h).
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

using byte_rate = std::uint64_t; // bytes a second

// Each direction of a link has its own budget, spent by the sending side.
struct link_direction
{
  region_id mFrom;
  region_id mTo;
  auto operator<=>(const link_direction&) const = default;
};

inline constexpr std::chrono::milliseconds kRateLife{ 2000 };
// Clocks may drift apart by so much within kRateLife.
inline constexpr std::chrono::milliseconds kGrantExpiryMargin{ 100 };
inline constexpr std::chrono::milliseconds kAskPeriod{ 500 };

// The part of a domain's rate that is never lent, and the instances of a
// domain that it is enough for.
inline constexpr byte_rate kReservePercent = 20;
inline constexpr byte_rate kMaxInstancesPerDomain = 64;

// The even share of the sending region's domain. Nothing where the document
// has no link section: links are unlimited. Zero where other regions are
// linked but not these two.
std::optional<byte_rate>
DomainRate(const document& aDocument, const link_direction& aDirection);

// An instance's reserve of its domain's rate.
byte_rate
ReserveRate(byte_rate aDomainRate);

struct rate_ask
{
  byte_rate mDemand = 0;
};

// A rate beside the reserve, for mLife from the asking.
struct rate_grant
{
  byte_rate mRate = 0;
  std::chrono::milliseconds mLife{ 0 };
};

} // namespace laburnumdyke
