// What must always hold of customers' requests, recounted from what runs. It
// knows nothing of the decisions.
//
// Usage: each On... is called as the event happens; violations go to the
// oracle of the run.
//
// Checked: no request runs with a key that no configuration held; none runs
// with a key later than kRevokeTimeout after the store acknowledged that the
// key was revoked; in no window of 5 s do more requests of a customer run than
// (rate x 5 + burst) x 1.1 + 20.
#pragma once

#include "laburnumdyke/decision/customer_table.h"
#include "laburnumdyke/testing/soak/oracle.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace laburnumdyke {

class customer_oracle
{
public:
  // The setting [bounds] revoke_timeout of the run's instances.
  static constexpr std::chrono::seconds kRevokeTimeout{ 5 };
  static constexpr std::chrono::seconds kWindow{ 5 };

  customer_oracle(simulation& aSimulation, oracle& aOracle)
    : mSimulation(aSimulation)
    , mOracle(aOracle)
  {
  }

  void SetQuota(const customer_id& aCustomer, quota_spec aQuota);

  // A configuration that holds the key took effect in the store.
  void OnKeyHeld(const std::string& aKey);
  // The store acknowledged a configuration that no longer holds the key.
  void OnRevocationAcknowledged(const std::string& aKey);

  // A request that an entry instance admitted runs at an upstream.
  void OnRun(std::size_t aEntry,
             const customer_id& aCustomer,
             const std::string& aKey);

  std::uint64_t Runs() const { return mRuns; }

private:
  struct run
  {
    instant mAt{};
    std::size_t mEntry = 0;
  };

  struct customer_record
  {
    quota_spec mQuota;
    std::deque<run> mRuns; // of the last window
  };

  void CheckWindow(std::size_t aEntry, const customer_id& aCustomer);
  // The number of runs by entry instance, such as "3,0,2".
  static std::string RunsByEntry(const customer_record& aRecord);

  simulation& mSimulation;
  oracle& mOracle;
  std::map<customer_id, customer_record> mCustomers;
  std::map<std::string, std::optional<instant>> mRevoked; // by held key
  std::uint64_t mRuns = 0;
};

} // namespace laburnumdyke
