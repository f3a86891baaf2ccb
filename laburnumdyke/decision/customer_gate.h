// Decides whether a request's key admits it.
//
// Load pattern: keys are added and revoked while requests wait, are repeated,
// or arrive at instances that cannot read the platform. Ask when a request
// arrives and again before each attempt, with the routes then in force.
//
// Usage:
//   gate_decision decision = CheckKey(routes, route, key, age, maxAge);
//   if (decision.mRefusal != refusal_reason::None) ... refuse the request
#pragma once

#include "laburnumdyke/decision/customer_table.h"
#include "laburnumdyke/decision/route_table.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace laburnumdyke {

struct gate_decision
{
  // None, UnknownCustomer, or StaleCustomers: the key may have been revoked
  // since the routes were known to be the latest.
  refusal_reason mRefusal = refusal_reason::None;
  // Null if the request needs no key and has none. Valid as long as the routes.
  const customer_spec* mCustomer = nullptr;
};

// aAge: since when the routes may be outdated; nullopt if unknown. aMaxAge: up
// to which age keys are accepted; zero: at any age.
gate_decision
CheckKey(const route_table& aRoutes,
         const route_spec& aRoute,
         std::string_view aKey,
         std::optional<std::chrono::milliseconds> aAge,
         std::chrono::milliseconds aMaxAge);

// The same for a request of a known customer, null if there is none, whose key
// isn't at hand.
gate_decision
CheckCustomer(const route_table& aRoutes,
              const route_spec& aRoute,
              const customer_spec* aCustomer,
              std::optional<std::chrono::milliseconds> aAge,
              std::chrono::milliseconds aMaxAge);

} // namespace laburnumdyke
