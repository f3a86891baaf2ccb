// Age is checked before the key: a key that is unknown here may have been added
// since.
#include "laburnumdyke/decision/customer_gate.h"

namespace laburnumdyke {

gate_decision
CheckKey(const route_table& aRoutes,
         const route_spec& aRoute,
         std::string_view aKey,
         std::optional<std::chrono::milliseconds> aAge,
         std::chrono::milliseconds aMaxAge)
{
  const customer_table* customers = aRoutes.Customers();
  return CheckCustomer(aRoutes,
                       aRoute,
                       customers == nullptr ? nullptr : customers->Find(aKey),
                       aAge,
                       aMaxAge);
}

gate_decision
CheckCustomer(const route_table& aRoutes,
              const route_spec& aRoute,
              const customer_spec* aCustomer,
              std::optional<std::chrono::milliseconds> aAge,
              std::chrono::milliseconds aMaxAge)
{
  if (aRoutes.Customers() == nullptr) {
    return {};
  }
  if (aRoute.mPublic) {
    return { refusal_reason::None, aCustomer };
  }
  bool isLimited = aMaxAge > std::chrono::milliseconds(0);
  if (isLimited && (!aAge || *aAge > aMaxAge)) {
    return { refusal_reason::StaleCustomers, nullptr };
  }
  if (aCustomer == nullptr) {
    return { refusal_reason::UnknownCustomer, nullptr };
  }
  return { refusal_reason::None, aCustomer };
}

} // namespace laburnumdyke
