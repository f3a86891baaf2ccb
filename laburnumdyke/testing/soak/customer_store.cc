// A change takes effect in the store at once and is acknowledged after the
// platform's delay. Each customer's next key is made in advance, so that
// callers can use it too early.
#include "laburnumdyke/testing/soak/customer_store.h"

#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kMeanPause{ 2 };
constexpr platform_time kClockStart{ 77000 };
constexpr std::size_t kKeysPerCustomer = 2;
constexpr std::size_t kRevokedKept = 2;
constexpr double kRevokedKey = 0.1; // of the keys that callers use
constexpr double kEarlyKey = 0.02;
constexpr double kMadeUpKey = 0.02;

// Rates and bursts, from a customer of few requests to one of many.
constexpr quota_spec kQuotas[kSoakCustomers] = { { 4, 4 },
                                                 { 10, 20 },
                                                 { 20, 20 },
                                                 { 40, 80 },
                                                 {} };

} // namespace

customer_store::customer_store(simulation& aSimulation,
                               customer_oracle& aOracle,
                               platform_mock& aPlatform)
  : mSimulation(aSimulation)
  , mOracle(aOracle)
  , mPlatform(aPlatform)
  , mRevoked(kSoakCustomers)
{
  for (std::size_t i = 0; i < kSoakCustomers; ++i) {
    customer_spec customer;
    customer.mName.mValue = "customer-" + std::to_string(i);
    customer.mQuota = kQuotas[i];
    for (std::size_t key = 0; key < kKeysPerCustomer; ++key) {
      customer.mKeys.push_back(NewKey());
    }
    mOracle.SetQuota(customer.mName, customer.mQuota);
    mCustomers.push_back(std::move(customer));
    mNextKeys.push_back(NewKey());
  }
  PutInForce();
}

void
customer_store::Start()
{
  NextChange();
}

std::string
customer_store::NewKey()
{
  return "key-" + std::to_string(++mKeys);
}

void
customer_store::PutInForce()
{
  routing_document document;
  document.mVersion = ++mVersion;
  route_spec route;
  route.mHost = "soak.example";
  route.mPrefix = "/";
  document.mRoutes = { route };
  document.mCustomers = mCustomers;
  for (const customer_spec& one : mCustomers) {
    for (const std::string& key : one.mKeys) {
      mOracle.OnKeyHeld(key);
    }
  }
  mRoutes =
    std::make_shared<const route_table>(std::move(document), mRoutes.get());
}

void
customer_store::NextChange()
{
  mSimulation.AtWorld(
    mSimulation.Exponential(kMeanPause), event_kind::Operator, [this] {
      if (!mPlatform.IsInOutage()) {
        Change();
      }
      NextChange();
    });
}

void
customer_store::Change()
{
  std::size_t index = mSimulation.Index(kSoakCustomers);
  std::vector<std::string>& keys = mCustomers[index].mKeys;
  std::string revoked =
    std::exchange(keys[mSimulation.Index(keys.size())],
                  std::exchange(mNextKeys[index], NewKey()));
  std::vector<std::string>& old = mRevoked[index];
  old.push_back(revoked);
  if (old.size() > kRevokedKept) {
    old.erase(old.begin());
  }
  PutInForce();
  mSimulation.AtWorld(mPlatform.Delay(), event_kind::Platform, [this, revoked] {
    mOracle.OnRevocationAcknowledged(revoked);
  });
}

std::optional<stamped_routes>
customer_store::Read() const
{
  if (mPlatform.IsInOutage()) {
    return std::nullopt;
  }
  platform_time sinceStart = std::chrono::duration_cast<platform_time>(
    mSimulation.Now().time_since_epoch());
  return stamped_routes{ mRoutes, kClockStart + sinceStart };
}

std::string
customer_store::SomeKeyOf(std::size_t aCustomer)
{
  const std::vector<std::string>& old = mRevoked[aCustomer];
  if (!old.empty() && mSimulation.Chance(kRevokedKey)) {
    return old[mSimulation.Index(old.size())];
  }
  if (mSimulation.Chance(kEarlyKey)) {
    return mNextKeys[aCustomer];
  }
  if (mSimulation.Chance(kMadeUpKey)) {
    return "made-up-" + std::to_string(mSimulation.Index(1000));
  }
  const std::vector<std::string>& keys = mCustomers[aCustomer].mKeys;
  return keys[mSimulation.Index(keys.size())];
}

} // namespace laburnumdyke
