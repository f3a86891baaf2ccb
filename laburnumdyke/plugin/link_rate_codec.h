// Encodes and decodes, as JSON, the requests for a share of a link's rate and
// the grants that answer them.
//
// An instance sends its request to the relay address of its failure domain's
// lender. Rates and demands are in bytes per second, lifetimes in milliseconds:
//   POST /v1/link-rate {"from":"leinster","to":"munster",
//                       "instance":"leinster-a-1","demand":1000000}
//   200 {"rate":800000,"life_ms":1900}
#pragma once

#include "laburnumdyke/decision/link_rate.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

inline constexpr std::string_view kLinkRatePath = "/v1/link-rate";
inline constexpr std::size_t kMaxRateMessageBytes = 1024; // bytes

// A message with a larger demand or rate is rejected.
inline constexpr byte_rate kMaxRate = byte_rate(1) << 50U;

struct rate_request
{
  link_direction mDirection;
  instance_id mInstance;
  rate_demand mRateDemand;
};

std::string
EncodeRateRequest(const rate_request& aRequest);

std::string
EncodeRateGrant(const rate_grant& aGrant);

// Both return nullopt if aText is malformed or a value is out of range. A
// lifetime above kGrantLifetime is out of range.
std::optional<rate_request>
DecodeRateRequest(std::string_view aText);

std::optional<rate_grant>
DecodeRateGrant(std::string_view aText);

} // namespace laburnumdyke
