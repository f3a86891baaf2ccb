// How much the customers use, as instances report it to each other.
//
// Instances of a failure domain report to one of them, the collector. It sums
// the reports up, exchanges the sums with the collectors of the other failure
// domains and tells the members the totals of the fleet. Bytes thus grow with
// the active customers and the failure domains, not with pairs of instances.
//
// A reporter that has fallen silent may still be admitting requests out of
// reach. Its last report is kept as silent demand for kSilentRetention, and
// keeps its part of each quota.
//
// Usage, on the collector:
//   collector.ReportInstance(instance, usage, now);
//   collector.ReportDomain(domain, usage, now);    // of another domain
//   usage_list sum = collector.DomainUsage(now);   // for other collectors
//   usage_list totals = collector.FleetUsage(now); // for the members
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

// Hash of a customer's name, in messages.
using customer_key = std::uint64_t;

customer_key
KeyOf(const customer_id& aCustomer);

// Rates of one customer, in requests per second.
struct usage_rates
{
  double mDemand = 0;   // asked for
  double mAdmitted = 0; // admitted of these
  double mSilent = 0;   // asked for at reporters that have fallen silent

  usage_rates& operator+=(const usage_rates& aOther);
};

// Interval of the reports and of the answers to them. A hot customer is noticed
// everywhere after three hops.
inline constexpr std::chrono::milliseconds kUsagePeriod{ 200 };

using usage_list = std::map<customer_key, usage_rates>;

class usage_collector
{
public:
  // A reporter is silent after missing several reports.
  static constexpr std::chrono::milliseconds kSilentAfter{ 1500 };
  // Longer than a lost link or a restart usually lasts.
  static constexpr std::chrono::seconds kSilentRetention{ 30 };

  // Takes over the silent demand that the last totals of an earlier collector
  // had, since silent reporters can't report to this one. It is kept for
  // kSilentRetention, or until a domain reports that has been silent so far.
  void TakeOverSilent(usage_list aSilent, instant aNow);

  // Takes a report of an instance of the own domain, which replaces its last.
  void ReportInstance(const instance_id& aInstance,
                      usage_list aUsage,
                      instant aNow);

  // Takes the sum of another domain, which replaces its last.
  void ReportDomain(const domain_id& aDomain, usage_list aUsage, instant aNow);

  // The sum of the own domain.
  usage_list DomainUsage(instant aNow);

  // The sum of all domains.
  usage_list FleetUsage(instant aNow);

private:
  struct report
  {
    usage_list mUsage;
    instant mReceived{};
  };

  template<class Id>
  static void AddReports(std::map<Id, report>& aReports,
                         usage_list& aSum,
                         instant aNow);

  std::map<instance_id, report> mInstances;
  std::map<domain_id, report> mDomains;
  report mTakenOver; // silent demand alone
};

} // namespace laburnumdyke
