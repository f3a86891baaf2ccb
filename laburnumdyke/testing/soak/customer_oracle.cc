// A key that is held again after its revocation is taken to be held for good:
// the run never gives a revoked key out again.
#include "laburnumdyke/testing/soak/customer_oracle.h"

#include "laburnumdyke/testing/soak/deployment.h"

#include <array>

namespace laburnumdyke {

namespace {

constexpr double kOvershoot = 1.1;
constexpr double kSlack = 20; // requests

} // namespace

void
customer_oracle::SetQuota(const customer_id& aCustomer, quota_spec aQuota)
{
  mCustomers[aCustomer].mQuota = aQuota;
}

void
customer_oracle::OnKeyHeld(const std::string& aKey)
{
  mRevoked.try_emplace(aKey);
}

void
customer_oracle::OnRevocationAcknowledged(const std::string& aKey)
{
  mRevoked[aKey] = mSimulation.Now();
}

void
customer_oracle::OnRun(std::size_t aEntry,
                       const customer_id& aCustomer,
                       const std::string& aKey)
{
  ++mRuns;
  std::string state = "customer=" + aCustomer.mValue;
  auto held = mRevoked.find(aKey);
  if (held == mRevoked.end()) {
    mOracle.Break(violation_kind::UnknownKeyRan, state);
  } else if (held->second &&
             mSimulation.Now() - *held->second > kRevokeTimeout) {
    std::chrono::milliseconds after =
      std::chrono::duration_cast<std::chrono::milliseconds>(mSimulation.Now() -
                                                            *held->second);
    mOracle.Break(violation_kind::RevokedKeyRan,
                  state +
                    " ms_after_revocation=" + std::to_string(after.count()));
  }
  CheckWindow(aEntry, aCustomer);
}

std::string
customer_oracle::RunsByEntry(const customer_record& aRecord)
{
  std::array<int, kSoakEntries> runs{};
  for (const run& one : aRecord.mRuns) {
    ++runs.at(one.mEntry);
  }
  std::string text;
  for (int count : runs) {
    text += (text.empty() ? "" : ",") + std::to_string(count);
  }
  return text;
}

void
customer_oracle::CheckWindow(std::size_t aEntry, const customer_id& aCustomer)
{
  customer_record& record = mCustomers[aCustomer];
  if (!record.mQuota.IsLimited()) {
    return;
  }
  instant now = mSimulation.Now();
  record.mRuns.push_back({ now, aEntry });
  while (record.mRuns.front().mAt <= now - kWindow) {
    record.mRuns.pop_front();
  }
  double seconds = std::chrono::duration<double>(kWindow).count();
  double bound =
    (record.mQuota.mRate * seconds + record.mQuota.mBurst) * kOvershoot +
    kSlack;
  if (static_cast<double>(record.mRuns.size()) > bound) {
    mOracle.Break(violation_kind::QuotaOvershot,
                  "customer=" + aCustomer.mValue +
                    " runs=" + std::to_string(record.mRuns.size()) + " bound=" +
                    std::to_string(bound) + " by_entry=" + RunsByEntry(record));
  }
}

} // namespace laburnumdyke
