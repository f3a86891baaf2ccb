// Credits in an answer between entry instances.
//
// Usage, at a home:
//   answer.set(kCreditsHeader, EncodeCredits(admission.Credits(now)));
// and at the instance that relayed:
//   router.UpdateCredits(home, DecodeCredits(header), now);
//
// Form: SERVICE=SLOTS/FREE/WAITING, separated by commas. Text of another form
// gives no credits at all.
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
