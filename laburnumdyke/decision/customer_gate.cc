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
  if (customers == nullptr) {
    return {};
  }
  const customer_spec* customer = customers->Find(aKey);
  if (aRoute.mPublic) {
    return { refusal_reason::None, customer };
  }
  bool isLimited = aMaxAge > std::chrono::milliseconds(0);
  if (isLimited && (!aAge || *aAge > aMaxAge)) {
    return { refusal_reason::StaleCustomers, nullptr };
  }
  if (customer == nullptr) {
    return { refusal_reason::UnknownCustomer, nullptr };
  }
  return { refusal_reason::None, customer };
}

} // namespace laburnumdyke
