// The customers of the randomised run: they send requests with good and bad
// keys through all instances or mostly through one, and now and then five times
// as many as usual.
#pragma once

#include "laburnumdyke/testing/soak/entry_customers.h"

#include <array>
#include <cstdint>

namespace laburnumdyke {

struct customer_outcomes
{
  std::uint64_t mRequests = 0;
  std::uint64_t mServed = 0;
  std::uint64_t mOverQuota = 0;
  std::uint64_t mUnknownKey = 0;
  std::uint64_t mStale = 0; // the instance's knowledge was too old
  std::uint64_t mOther = 0; // refused for another reason, or lost
};

class customer_fleet
{
public:
  explicit customer_fleet(soak_world aWorld);

  void Start();

  const std::array<customer_outcomes, kSoakCustomers>& Outcomes() const
  {
    return mOutcomes;
  }

private:
  struct customer_state
  {
    double mFactor = 1; // of the usual demand
    std::size_t mFavourite = 0;
  };

  void NextArrival(std::size_t aCustomer);
  void NextChange(std::size_t aCustomer);
  void Send(const customer_request& aRequest, bool aIsRetry);
  void Count(std::size_t aCustomer, refusal_reason aReason);

  soak_world mWorld;
  std::array<customer_state, kSoakCustomers> mStates{};
  std::array<customer_outcomes, kSoakCustomers> mOutcomes{};
};

} // namespace laburnumdyke
