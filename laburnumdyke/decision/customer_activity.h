// Counts the requests and refusals of customers at this instance.
//
// Load pattern: thousands of customers, of which some are busy at any time, and
// metrics whose number must not grow with them. Only the kNamed busiest
// customers have figures of their own; all others are counted together.
//
// Usage:
//   activity.CountRequest(customer, now);
//   activity.CountRefusal(customer);      // of a counted request
//   activity_report report = activity.Report(now);
//
// The sums of all figures only grow. A customer that gives its place to a
// busier one has its figures added to the others, and starts from zero if it
// is among the busiest again.
#pragma once

#include "laburnumdyke/decision/rate_meter.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

struct customer_counts
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRefusals = 0;

  customer_counts& operator+=(const customer_counts& aOther);
};

struct named_activity
{
  customer_id mCustomer;
  double mRate = 0; // requests per second
  customer_counts mCounts;
};

struct activity_report
{
  std::vector<named_activity> mNamed; // the busiest first
  customer_counts mOthers;
};

class customer_activity
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Quotas;
  static constexpr std::size_t kNamed = 20;
  static constexpr std::chrono::seconds kMeterTime{ 30 };
  static constexpr std::chrono::seconds kRankInterval{ 10 };
  // How much busier a customer must be to take the place of another, so that
  // customers of about the same rate don't take turns.
  static constexpr double kReplaceFactor = 1.5;

  void CountRequest(const customer_id& aCustomer, instant aNow);
  void CountRefusal(const customer_id& aCustomer);

  // Requests per second of a customer.
  double RateOf(const customer_id& aCustomer, instant aNow) const;

  activity_report Report(instant aNow) const;

private:
  struct record
  {
    rate_meter mRate{ kMeterTime };
    bool mIsNamed = false;
    customer_counts mCounts; // while it is named
  };

  using record_entry = std::pair<const customer_id, record>;

  record& Find(const customer_id& aCustomer);
  customer_counts& CountsOf(record& aRecord);
  void Rank(instant aNow);
  void Forget(instant aNow);
  void Replace(record& aOld, record& aNew);

  std::map<customer_id, record> mRecords;
  std::size_t mNamedCount = 0;
  customer_counts mOthers;
  std::optional<instant> mRanked;
};

} // namespace laburnumdyke
