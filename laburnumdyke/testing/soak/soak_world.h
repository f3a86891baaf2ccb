// What the parts of the randomised run share.
#pragma once

#include "laburnumdyke/testing/soak/customer_store.h"
#include "laburnumdyke/testing/soak/network.h"
#include "laburnumdyke/testing/soak/upstream_mock.h"

#include <array>
#include <deque>
#include <memory>

namespace laburnumdyke {

class entry_instance;

// A fault that is planted in all instances, to test the oracle of customers.
enum class customer_fault
{
  None,
  AcceptsUnknownKeys, // takes the caller's word for who it is
  IgnoresAge,         // accepts keys however old the configuration is
  IgnoresOthers,      // takes itself for the whole fleet in quotas
};

struct soak_world
{
  simulation& mSimulation;
  oracle& mOracle;
  network& mNetwork;
  platform_mock& mPlatform;
  std::deque<upstream_mock>& mUpstreams;
  // Null while no process runs at the address.
  std::array<std::unique_ptr<entry_instance>, kSoakEntries>& mEntries;
  customer_oracle& mCustomerOracle;
  customer_store& mCustomerStore;
  customer_fault mCustomerFault = customer_fault::None;
};

} // namespace laburnumdyke
