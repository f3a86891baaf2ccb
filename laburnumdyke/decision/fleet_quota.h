// Admits the requests of customers within quotas that bind the whole fleet.
//
// Load pattern: one customer sends many times its usual, through all instances
// at once or through a few of them, and some instances cannot reach the others.
// Each instance knows its own demand at once and that of the others from the
// totals that the collector of its failure domain sends (see customer_usage.h).
// When a customer asks for more than its quota, each instance admits the same
// fraction of its requests: quota divided by demand. What was admitted beyond
// the rate while the totals were on their way is paid back by a fluid token
// bucket, which every instance computes from the same totals.
//
// Demand out of reach (silent instances, a region that is cut off, or all
// others if no totals arrive) keeps its part of the quota: both sides of a cut
// go on with the parts that they had.
//
// Usage:
//   quota.SetCustomers(table.All());
//   quota.SetTotals(totals, now);           // from the collector
//   quota_decision decision = quota.Admit(customer, now);
//   quota.Refund(customer, now);            // admitted, but not run after all
//   quota_preview next = quota.Preview(customer, now); // without an effect
//   usage_list own = quota.Report(now);     // for the collector
#pragma once

#include "laburnumdyke/decision/customer_table.h"
#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/decision/rate_meter.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

struct fleet_quota_options
{
  // What may run in any window beyond rate and burst: a fraction of both, and a
  // number of requests. A quarter of it is used, the rest covers delayed
  // totals.
  double mOvershoot = 0.1;
  double mSlack = 20;
  std::uint64_t mSeed = 1;
};

struct quota_decision
{
  bool mAdmitted = true;
  // Time after which the customer's quota is expected to have room.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // The figures that decided, in requests per second.
  double mDemand = 0; // of the fleet within reach
  double mLimit = 0;
  double mShare = 1; // the part of the quota for what is within reach
};

// How much a customer asks for and gets, in requests per second.
struct quota_usage
{
  double mDemand = 0;
  double mAdmitted = 0;
  // Whether the rates are of the fleet within reach. If not, they are of this
  // instance: there are no fresh totals, or these leave the customer out.
  bool mIsOfFleet = false;
  double mShare = 1; // the part of the quota for what is within reach
};

// What Admit() would return.
struct quota_preview
{
  bool mIsLimited = false; // the customer has a quota
  bool mAdmitted = true;
  double mDemand = 0; // as in quota_decision
  double mLimit = 0;
  // Bounds of the retry delay, which is spread at random; 0 if admitted.
  std::chrono::milliseconds mLeastRetryAfter{ 0 };
  std::chrono::milliseconds mMostRetryAfter{ 0 };
};

class fleet_quota
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Quotas;
  // Customers whose demand is a smaller fraction of their rate are left out of
  // the totals; they are taken to ask for this fraction.
  static constexpr double kListedFraction = 0.7;
  // Without totals for this long, all others count as silent.
  static constexpr std::chrono::milliseconds kTotalsTimeout{ 1500 };
  // Time constant of demand and admissions. Totals take about as long to
  // arrive.
  static constexpr std::chrono::milliseconds kMeterTime{ 400 };

  explicit fleet_quota(fleet_quota_options aOptions = {})
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  // Takes over the quotas of a version; usage so far is kept.
  void SetCustomers(const std::vector<customer_spec>& aCustomers);

  // The number of instances of the fleet that are known so far; 0: none is.
  void SetFleetSize(std::size_t aInstances) { mFleetSize = aInstances; }

  // Takes the totals of the fleet, this instance included.
  void SetTotals(const usage_list& aTotals, instant aNow);

  quota_decision Admit(const customer_id& aCustomer, instant aNow);

  quota_preview Preview(const customer_id& aCustomer, instant aNow) const;

  // nullopt for a customer without a quota.
  std::optional<quota_usage> Usage(const customer_id& aCustomer,
                                   instant aNow) const;

  // Time since the last totals; nullopt before the first.
  std::optional<std::chrono::milliseconds> TotalsAge(instant aNow) const;

  // Takes back an admission that did not run.
  void Refund(const customer_id& aCustomer, instant aNow);

  // Usage at this instance, of customers with a quota.
  usage_list Report(instant aNow);

  // The silent demand in the last totals, for a collector that takes over.
  usage_list SilentUsage() const;

  // Removes the customers from aTotals that need not be listed.
  void RemoveUnlisted(usage_list& aTotals) const;

  // Whether any customer has a quota.
  bool IsActive() const { return !mAccounts.empty(); }

private:
  struct account
  {
    quota_spec mQuota;
    rate_meter mDemand{ kMeterTime };
    rate_meter mAdmitted{ kMeterTime };
    usage_rates mReported;  // at the last report, and in the next totals
    usage_rates mOthers;    // by the last totals
    bool mIsListed = false; // in the last totals
    // Smoothed demand while nobody was silent: at this instance, and at all.
    // The parts of the quota in a cut follow from them.
    double mUsualOwn = 0;
    double mUsualTotal = 0;
    double mTokens = 0; // of the fleet; negative: to be paid back
    double mCredit = 0; // admits a request at 1
    instant mUpdated{};
  };

  // What the quota leaves to the part of the fleet within reach, in requests
  // per second, and what that part asks for.
  struct reachable_load
  {
    double mDemand = 0;
    double mAdmitted = 0;
    double mShare = 1; // of the quota
  };

  // The outcome for a request, and demand beyond the rate, as a fraction of the
  // rate.
  struct quota_verdict
  {
    quota_decision mDecision;
    double mExcess = 0;
  };

  reachable_load ReachableLoad(const account& aAccount, instant aNow) const;
  // The part of the quota for what is within reach.
  double ShareWithSilent(const account& aAccount) const;
  static double ShareAlone(const account& aAccount);
  void LearnUsualDemand(account& aAccount, instant aNow) const;
  void Advance(account& aAccount,
               const reachable_load& aLoad,
               instant aNow) const;
  // Counts a request and decides whether it is admitted.
  quota_verdict Count(account& aAccount, instant aNow) const;
  double RateOf(const account& aAccount) const;
  double BurstOf(const account& aAccount) const;
  bool HasFreshTotals(instant aNow) const;

  fleet_quota_options mOptions;
  std::unordered_map<customer_key, account> mAccounts; // with a quota
  std::optional<instant> mTotalsAt;
  std::size_t mFleetSize = 0;
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
