// The question for a rate of a link, and its answer, as JSON.
//
// An instance asks the lender of its failure domain on the relay address:
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
inline constexpr std::size_t kLongestRateMessage = 1024; // bytes

// A demand or rate above this is no message of ours.
inline constexpr byte_rate kMostRate = byte_rate(1) << 50U;

struct rate_question
{
  link_direction mDirection;
  instance_id mInstance;
  rate_demand mAsk;
};

std::string
EncodeRateQuestion(const rate_question& aQuestion);

std::string
EncodeRateGrant(const rate_grant& aGrant);

// Nothing where the text is malformed.
std::optional<rate_question>
DecodeRateQuestion(std::string_view aText);

std::optional<rate_grant>
DecodeRateGrant(std::string_view aText);

} // namespace laburnumdyke
