// Requests that are lost with their instance have no outcome of their own.
#include "laburnumdyke/testing/soak/customer_fleet.h"

#include "laburnumdyke/testing/soak/entry_instance.h"

#include <utility>

namespace laburnumdyke {

namespace {

constexpr double kUsualFraction = 0.6; // of the rate of the quota
constexpr double kUnlimitedRate = 10;  // of a customer without a quota
constexpr double kHotFactor = 5;
constexpr double kHot = 0.3;
constexpr double kThroughFavourite = 0.5;
constexpr double kComesBack = 0.5;
constexpr std::chrono::seconds kChangeLeast{ 2 };
constexpr std::chrono::seconds kChangeMost{ 8 };

} // namespace

customer_fleet::customer_fleet(soak_world aWorld)
  : mWorld(aWorld)
{
}

void
customer_fleet::Start()
{
  for (std::size_t i = 0; i < kSoakCustomers; ++i) {
    NextArrival(i);
    NextChange(i);
  }
}

void
customer_fleet::NextChange(std::size_t aCustomer)
{
  simulation& sim = mWorld.mSimulation;
  sim.AtWorld(sim.Between(kChangeLeast, kChangeMost),
              event_kind::Caller,
              [this, aCustomer] {
                customer_state& state = mStates.at(aCustomer);
                state.mFactor =
                  mWorld.mSimulation.Chance(kHot) ? kHotFactor : 1;
                state.mFavourite = mWorld.mSimulation.Index(kSoakEntries);
                NextChange(aCustomer);
              });
}

void
customer_fleet::NextArrival(std::size_t aCustomer)
{
  const quota_spec& quota = mWorld.mCustomerStore.Quota(aCustomer);
  double usual =
    quota.IsLimited() ? quota.mRate * kUsualFraction : kUnlimitedRate;
  std::chrono::duration<double> gap(1 /
                                    (usual * mStates.at(aCustomer).mFactor));
  mWorld.mSimulation.AtWorld(
    mWorld.mSimulation.Exponential(std::chrono::duration_cast<duration>(gap)),
    event_kind::Caller,
    [this, aCustomer] {
      Send({ aCustomer, mWorld.mCustomerStore.SomeKeyOf(aCustomer) }, false);
      NextArrival(aCustomer);
    });
}

void
customer_fleet::Send(const customer_request& aRequest, bool aIsRetry)
{
  simulation& sim = mWorld.mSimulation;
  std::size_t customer = aRequest.mCustomer;
  ++mOutcomes.at(customer).mRequests;
  std::size_t entry = sim.Chance(kThroughFavourite)
                        ? mStates.at(customer).mFavourite
                        : sim.Index(kSoakEntries);
  if (!sim.Process(entry).mRunning) {
    entry = (entry + 1) % kSoakEntries;
  }
  soak_world world = mWorld;
  sim.AtProcess(
    { entry, 0 },
    mWorld.mNetwork.Delay(0, 0),
    event_kind::Caller,
    [this, world, entry, aRequest, aIsRetry] {
      world.mEntries.at(entry)->Customers().Receive(
        aRequest, [this, aRequest, aIsRetry](const customer_answer& aAnswer) {
          Count(aRequest.mCustomer, aAnswer.mRefusal);
          bool comesBack = aAnswer.mRefusal == refusal_reason::QuotaExceeded &&
                           !aIsRetry && mWorld.mSimulation.Chance(kComesBack);
          if (comesBack) {
            mWorld.mSimulation.AtWorld(
              aAnswer.mRetryAfter, event_kind::Caller, [this, aRequest] {
                Send(aRequest, true);
              });
          }
        });
    });
}

void
customer_fleet::Count(std::size_t aCustomer, refusal_reason aReason)
{
  customer_outcomes& outcomes = mOutcomes.at(aCustomer);
  switch (aReason) {
    case refusal_reason::None:
      ++outcomes.mServed;
      return;
    case refusal_reason::QuotaExceeded:
      ++outcomes.mOverQuota;
      return;
    case refusal_reason::UnknownCustomer:
      ++outcomes.mUnknownKey;
      return;
    case refusal_reason::StaleCustomers:
      ++outcomes.mStale;
      return;
    default:
      ++outcomes.mOther;
      return;
  }
}

} // namespace laburnumdyke
