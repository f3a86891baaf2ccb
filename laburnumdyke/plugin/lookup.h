// Answers look-ups: which entry instances a caller should connect to.
//
// Errors are answers with a JSON body that holds "error" and "reason".
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_server.h"

namespace laburnumdyke {

inline constexpr std::string_view kLookupPath = "/v1/lookup?";

// aTarget: "/v1/lookup?service=S&client=IP", in any order of parameters.
string_answer
AnswerLookup(kernel& aKernel,
             entry_tables& aTables,
             std::string_view aTarget,
             instant aNow);

// Issues an identity for one request that must run at most once.
string_answer
AnswerIdentity(entry_tables& aTables, instant aNow);

// Returns the value of a query parameter; nullopt if it is missing.
std::optional<std::string_view>
QueryParameter(std::string_view aTarget, std::string_view aName);

} // namespace laburnumdyke
