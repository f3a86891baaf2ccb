// Quotas of customers in the load model: each entry instance decides by its own
// fleet_quota, and usage goes through collectors as in the product.
//
// Usage:
//   customer_quotas quotas(world, domains); // the domain of each instance
//   if (!quotas.Admit(instance, customer)) ... refuse
#pragma once

#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/decision/fleet_quota.h"
#include "laburnumdyke/testing/bench/world.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace laburnumdyke::bench {

class customer_quotas
{
public:
  // Does nothing unless the scenario has customers with quotas.
  customer_quotas(world& aWorld, std::vector<domain_id> aDomains);

  bool Admit(std::size_t aInstance, std::size_t aCustomer);

private:
  struct instance
  {
    domain_id mDomain;
    fleet_quota mQuota;
    usage_collector mCollector; // used by the first of each domain
  };

  void Exchange();
  std::size_t CollectorOf(std::size_t aInstance) const;
  void After(std::size_t aFrom,
             std::size_t aTo,
             std::function<void(instance&)> aAction);

  world& mWorld;
  std::deque<instance> mInstances;
};

} // namespace laburnumdyke::bench
