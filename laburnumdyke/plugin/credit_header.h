// Encodes the credits that an entry instance sends with an answer to a peer.
//
// Usage, at the home:
//   answer.set(kCreditsHeader, EncodeCredits(admission.Credits(now)));
// and at the instance that relayed the request:
//   router.UpdateCredits(home, DecodeCredits(header), now);
//
// Format: SERVICE=SLOTS/FREE/WAITING, separated by commas. Malformed text
// yields no credits at all.
#pragma once

#include "laburnumdyke/decision/admission.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

inline constexpr std::string_view kCreditsHeader = "Laburnumdyke-Credits";

std::string
EncodeCredits(const std::vector<service_credit>& aCredits);

std::vector<service_credit>
DecodeCredits(std::string_view aText);

} // namespace laburnumdyke
