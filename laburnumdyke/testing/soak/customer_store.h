// The store's configuration of customers in the randomised run, and the
// operators who change it: keys are added, revoked, and replaced.
//
// Usage:
//   customer_store store(simulation, oracle, platform);
//   store.Start();                     // operators begin to change keys
//   store.Read();                      // the latest configuration, stamped
//   store.KeyOf(customer);             // a key that the customer may use
//
// The store shares its faults with the platform of the run, except for stale
// reads: a stamp says that the configuration was the latest at it.
#pragma once

#include "laburnumdyke/decision/knowledge_age.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/testing/soak/customer_oracle.h"
#include "laburnumdyke/testing/soak/platform_mock.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kSoakCustomers = 5;

// An answer of the store.
struct stamped_routes
{
  std::shared_ptr<const route_table> mRoutes;
  platform_time mStamp{ 0 }; // on the store's clock
};

class customer_store
{
public:
  customer_store(simulation& aSimulation,
                 customer_oracle& aOracle,
                 platform_mock& aPlatform);

  void Start();

  // Nothing in an outage.
  std::optional<stamped_routes> Read() const;

  // A key as a caller of the customer may have it: in force, revoked lately,
  // not in force yet, or made up.
  std::string SomeKeyOf(std::size_t aCustomer);

  const customer_id& Name(std::size_t aCustomer) const
  {
    return mCustomers.at(aCustomer).mName;
  }
  const quota_spec& Quota(std::size_t aCustomer) const
  {
    return mCustomers.at(aCustomer).mQuota;
  }

private:
  void NextChange();
  void Change();
  void PutInForce();
  std::string NewKey();

  simulation& mSimulation;
  customer_oracle& mOracle;
  platform_mock& mPlatform;
  std::vector<customer_spec> mCustomers;
  std::vector<std::vector<std::string>> mRevoked; // by customer, latest last
  std::vector<std::string> mNextKeys;             // by customer
  std::shared_ptr<const route_table> mRoutes;
  std::uint64_t mVersion = 0;
  std::uint64_t mKeys = 0;
};

} // namespace laburnumdyke
