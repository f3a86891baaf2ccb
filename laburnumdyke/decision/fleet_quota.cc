// The fraction to admit is (rate + tokens / kPayBackTime) / demand, all of the
// part of the fleet within reach. Tokens are rate minus admissions, integrated,
// and bounded by the burst. Requests are thinned out by error diffusion, so an
// instance with one request in a while admits its fair part too.
#include "laburnumdyke/decision/fleet_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace laburnumdyke {

namespace {

// A surplus or deficit of tokens is used up within about this time.
constexpr double kPayBackTime = 1.0; // seconds
// Age of the totals: what others admit meanwhile is not counted yet.
constexpr double kTotalsDelay = 0.5; // seconds
// The largest deficit, in seconds of the rate.
constexpr double kMaxDeficit = 5.0;
// Of overshoot and slack; the rest is for what runs before totals arrive.
constexpr double kUsedFraction = 0.25;
constexpr double kMinReported = 0.02;  // requests per second
constexpr double kMinRetryAfter = 0.2; // seconds
constexpr double kMaxRetryAfter = 5.0; // seconds
// Time constant of the usual demand: longer than it takes to notice a cut.
constexpr std::chrono::seconds kUsualTime{ 5 };
// Silent demand must be less than the usual total by this factor to be taken as
// a part of it.
constexpr double kUsualMargin = 1.2;
// Factors of the retry delay.
constexpr double kLeastSpread = 0.5;
constexpr double kMostSpread = 1.5;

// Requests refused in one time constant come back spread over the time in which
// the rate admits them.
std::chrono::milliseconds
RetryAfter(double aExcess, double aSpread)
{
  double after = std::clamp(aExcess * aSpread, kMinRetryAfter, kMaxRetryAfter);
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::lround(after * 1000)));
}

} // namespace

void
fleet_quota::SetCustomers(const std::vector<customer_spec>& aCustomers)
{
  std::unordered_map<customer_key, account> accounts;
  std::uniform_real_distribution<double> anyCredit(0, 1);
  for (const customer_spec& customer : aCustomers) {
    if (!customer.mQuota.IsLimited()) {
      continue;
    }
    customer_key key = KeyOf(customer.mName);
    auto known = mAccounts.find(key);
    account one;
    if (known != mAccounts.end()) {
      one = known->second;
    }
    one.mQuota = customer.mQuota;
    if (known == mAccounts.end()) {
      // No burst at first, which each instance that starts would grant.
      one.mTokens = mOptions.mSlack * kUsedFraction;
      one.mCredit = anyCredit(mRandom);
    }
    one.mTokens = std::min(one.mTokens, BurstOf(one));
    accounts.emplace(key, one);
  }
  mAccounts = std::move(accounts);
}

double
fleet_quota::RateOf(const account& aAccount) const
{
  return aAccount.mQuota.mRate * (1 + mOptions.mOvershoot * kUsedFraction);
}

double
fleet_quota::BurstOf(const account& aAccount) const
{
  return aAccount.mQuota.mBurst + mOptions.mSlack * kUsedFraction;
}

bool
fleet_quota::HasFreshTotals(instant aNow) const
{
  return mTotalsAt && aNow - *mTotalsAt <= kTotalsTimeout;
}

fleet_quota::reachable_load
fleet_quota::ReachableLoad(const account& aAccount, instant aNow) const
{
  const usage_rates& others = aAccount.mOthers;
  reachable_load load;
  load.mDemand = aAccount.mDemand.At(aNow);
  load.mAdmitted = aAccount.mAdmitted.At(aNow);
  if (HasFreshTotals(aNow)) {
    load.mDemand += others.mDemand;
    load.mAdmitted += others.mAdmitted;
    load.mShare = ShareWithSilent(aAccount);
  } else if (mTotalsAt) {
    load.mShare = ShareAlone(aAccount);
  } else if (mFleetSize > 1) {
    // Before the first totals, the others are taken to do as this one does.
    double fleet = static_cast<double>(mFleetSize);
    load.mDemand *= fleet;
    load.mAdmitted *= fleet;
  }
  return load;
}

double
fleet_quota::ShareWithSilent(const account& aAccount) const
{
  double silent = aAccount.mOthers.mSilent;
  if (silent <= 0) {
    return 1;
  }
  // Demand that grew here since the contact was lost takes nothing from those
  // out of reach, who may see the same growth. Silent demand above the usual
  // had grown before, and then so had that within reach.
  if (aAccount.mUsualTotal > silent * kUsualMargin) {
    return 1 - silent / aAccount.mUsualTotal;
  }
  double reachable = std::max(
    aAccount.mReported.mDemand + aAccount.mOthers.mDemand, kMinReported);
  return reachable / (reachable + silent);
}

double
fleet_quota::ShareAlone(const account& aAccount)
{
  double total = std::max(aAccount.mUsualTotal, kMinReported);
  return std::clamp(aAccount.mUsualOwn, kMinReported, total) / total;
}

void
fleet_quota::LearnUsualDemand(account& aAccount, instant aNow) const
{
  // Once a part of the fleet is silent, demand that grows here must take
  // nothing from the quota of that part.
  if (aAccount.mOthers.mSilent > 0) {
    return;
  }
  std::chrono::duration<double> elapsed =
    mTotalsAt ? std::max(duration(0), duration(aNow - *mTotalsAt))
              : duration(kUsualTime);
  double weight =
    1 - std::exp(-elapsed / std::chrono::duration<double>(kUsualTime));
  double own = aAccount.mReported.mDemand;
  double total = own + aAccount.mOthers.mDemand;
  aAccount.mUsualOwn += (own - aAccount.mUsualOwn) * weight;
  aAccount.mUsualTotal += (total - aAccount.mUsualTotal) * weight;
}

void
fleet_quota::Advance(account& aAccount,
                     const reachable_load& aLoad,
                     instant aNow) const
{
  std::chrono::duration<double> elapsed =
    std::max(duration(0), duration(aNow - aAccount.mUpdated));
  double seconds = aAccount.mUpdated == instant{} ? 0 : elapsed.count();
  aAccount.mUpdated = std::max(aAccount.mUpdated, aNow);
  double rate = RateOf(aAccount) * aLoad.mShare;
  aAccount.mTokens =
    std::clamp(aAccount.mTokens + (rate - aLoad.mAdmitted) * seconds,
               -kMaxDeficit * rate,
               BurstOf(aAccount) * aLoad.mShare);
}

void
fleet_quota::SetTotals(const usage_list& aTotals, instant aNow)
{
  for (std::pair<const customer_key, account>& one : mAccounts) {
    account& known = one.second;
    Advance(known, ReachableLoad(known, aNow), aNow);
    auto listed = aTotals.find(one.first);
    usage_rates& others = known.mOthers;
    known.mIsListed = listed != aTotals.end();
    if (listed == aTotals.end()) {
      others = { known.mQuota.mRate * kListedFraction, 0, 0 };
      others.mAdmitted = others.mDemand;
    } else {
      others = listed->second;
    }
    others.mDemand = std::max(0.0, others.mDemand - known.mReported.mDemand);
    others.mAdmitted =
      std::max(0.0, others.mAdmitted - known.mReported.mAdmitted);
    LearnUsualDemand(known, aNow);
  }
  mTotalsAt = aNow;
}

fleet_quota::quota_verdict
fleet_quota::Count(account& aAccount, instant aNow) const
{
  aAccount.mDemand.Add(aNow);
  reachable_load load = ReachableLoad(aAccount, aNow);
  Advance(aAccount, load, aNow);
  quota_verdict verdict;
  quota_decision& decision = verdict.mDecision;
  decision.mDemand = load.mDemand;
  decision.mShare = load.mShare;
  double rate = RateOf(aAccount) * load.mShare;
  double unreported = std::max(0.0, load.mAdmitted - rate) * kTotalsDelay;
  decision.mLimit =
    std::max(0.0, rate + (aAccount.mTokens - unreported) / kPayBackTime);
  double fraction = std::min(1.0, decision.mLimit / load.mDemand);
  aAccount.mCredit = std::min(aAccount.mCredit + fraction, 2.0);
  decision.mAdmitted = aAccount.mCredit >= 1 || fraction >= 1;
  if (decision.mAdmitted) {
    aAccount.mCredit = std::max(0.0, aAccount.mCredit - 1);
    aAccount.mAdmitted.Add(aNow);
  }
  verdict.mExcess = std::max(load.mDemand / rate - 1, 0.0);
  return verdict;
}

quota_decision
fleet_quota::Admit(const customer_id& aCustomer, instant aNow)
{
  auto found = mAccounts.find(KeyOf(aCustomer));
  if (found == mAccounts.end()) {
    return {};
  }
  quota_verdict verdict = Count(found->second, aNow);
  if (!verdict.mDecision.mAdmitted) {
    std::uniform_real_distribution<double> spread(kLeastSpread, kMostSpread);
    verdict.mDecision.mRetryAfter =
      RetryAfter(verdict.mExcess, spread(mRandom));
  }
  return verdict.mDecision;
}

quota_preview
fleet_quota::Preview(const customer_id& aCustomer, instant aNow) const
{
  auto found = mAccounts.find(KeyOf(aCustomer));
  if (found == mAccounts.end()) {
    return {};
  }
  account copy = found->second;
  quota_verdict verdict = Count(copy, aNow);
  const quota_decision& decision = verdict.mDecision;
  quota_preview preview{
    true, decision.mAdmitted, decision.mDemand, decision.mLimit, {}, {}
  };
  if (!decision.mAdmitted) {
    preview.mLeastRetryAfter = RetryAfter(verdict.mExcess, kLeastSpread);
    preview.mMostRetryAfter = RetryAfter(verdict.mExcess, kMostSpread);
  }
  return preview;
}

std::optional<quota_usage>
fleet_quota::Usage(const customer_id& aCustomer, instant aNow) const
{
  auto found = mAccounts.find(KeyOf(aCustomer));
  if (found == mAccounts.end()) {
    return std::nullopt;
  }
  const account& known = found->second;
  reachable_load load = ReachableLoad(known, aNow);
  if (known.mIsListed && HasFreshTotals(aNow)) {
    return quota_usage{ load.mDemand, load.mAdmitted, true, load.mShare };
  }
  return quota_usage{
    known.mDemand.At(aNow), known.mAdmitted.At(aNow), false, load.mShare
  };
}

std::optional<std::chrono::milliseconds>
fleet_quota::TotalsAge(instant aNow) const
{
  if (!mTotalsAt) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(duration(0), duration(aNow - *mTotalsAt)));
}

void
fleet_quota::Refund(const customer_id& aCustomer, instant aNow)
{
  auto found = mAccounts.find(KeyOf(aCustomer));
  if (found != mAccounts.end()) {
    found->second.mAdmitted.Add(aNow, -1);
  }
}

usage_list
fleet_quota::Report(instant aNow)
{
  usage_list report;
  for (std::pair<const customer_key, account>& one : mAccounts) {
    account& known = one.second;
    known.mReported = { known.mDemand.At(aNow), known.mAdmitted.At(aNow), 0 };
    if (known.mReported.mDemand < kMinReported) {
      known.mReported = {};
    } else {
      report.emplace(one.first, known.mReported);
    }
  }
  return report;
}

usage_list
fleet_quota::SilentUsage() const
{
  usage_list silent;
  for (const std::pair<const customer_key, account>& one : mAccounts) {
    if (one.second.mOthers.mSilent > 0) {
      silent[one.first].mSilent = one.second.mOthers.mSilent;
    }
  }
  return silent;
}

void
fleet_quota::RemoveUnlisted(usage_list& aTotals) const
{
  std::erase_if(aTotals,
                [&](const std::pair<const customer_key, usage_rates>& aOne) {
                  auto known = mAccounts.find(aOne.first);
                  const usage_rates& rates = aOne.second;
                  return known == mAccounts.end() ||
                         rates.mDemand + rates.mSilent <
                           known->second.mQuota.mRate * kListedFraction;
                });
}

} // namespace laburnumdyke
