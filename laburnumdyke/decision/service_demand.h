// How much is asked for of each service in each region.
//
// Load pattern: callers move between regions and demand comes in waves, so the
// number of instances of a region says little about its demand. Each instance
// counts the requests that ask for a service. The instances of a failure domain
// report to one of them, the collector, as customer_usage.h describes for
// customers. Members get the rates by service and region, so the bytes grow
// with services and failure domains, not with pairs of instances.
//
// Reports are rates, so that a lost message or a restarted reporter needs no
// correction. They have the number of instances that they sum up, so that a
// receiver can account for those that are missing.
//
// Requests that are refused count too, and callers that return after a refusal
// count again. A caller returns once, so demand is at most twice what callers
// ask for, and only the ratio between regions is used.
//
// Usage:
//   meter.Count(service, now);                        // of each new request
//   collector.ReportInstance(self, meter.Report(now), now);
//   collector.ReportDomain(domain, report, now);      // of another domain
//   demand_report sum = collector.DomainDemand(now);  // for other collectors
//   demand_totals totals = collector.FleetDemand(now); // for the members
#pragma once

#include "laburnumdyke/decision/rate_meter.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace laburnumdyke {

// Hash of a service's name, in messages.
using service_key = std::uint64_t;

service_key
KeyOf(const service_id& aService);

// Interval of the reports.
inline constexpr std::chrono::milliseconds kDemandPeriod{ 1000 };
// Members get the totals once in this many periods (a count), because the
// totals are most of the bytes that a collector sends.
inline constexpr std::uint64_t kPeriodsPerTotals = 2;

// Requests per second by service.
using demand_list = std::map<service_key, double>;

struct demand_report
{
  std::uint32_t mReporters = 0; // instances that it sums up
  demand_list mDemand;
};

using demand_totals = std::map<region_id, demand_report>;

// What is asked for at one instance.
class demand_meter
{
public:
  // Long enough to smooth the arrivals at an instance, short compared with a
  // wave of demand.
  static constexpr std::chrono::seconds kTimeConstant{ 3 };

  void Count(const service_id& aService, instant aNow);
  // Requests per second of all services with at least kMinRate (0.01).
  demand_list Report(instant aNow) const;
  double Rate(const service_id& aService, instant aNow) const;

private:
  std::map<service_key, rate_meter> mRates;
};

class demand_collector
{
public:
  // A reporter is dropped after missing several reports.
  static constexpr std::chrono::milliseconds kSilentAfter{ 3500 };

  // Takes a report of an instance of the own domain, which replaces its last.
  void ReportInstance(const instance_id& aInstance,
                      demand_list aDemand,
                      instant aNow);

  // Takes the sum of another domain, which replaces its last.
  void ReportDomain(const domain_id& aDomain,
                    const region_id& aRegion,
                    demand_report aDemand,
                    instant aNow);

  // The sum of the own domain.
  demand_report DomainDemand(instant aNow);

  // The sums of all regions. aOwn: the region of the own domain.
  demand_totals FleetDemand(const region_id& aOwn, instant aNow);

private:
  struct instance_state
  {
    demand_list mDemand;
    instant mReceived{};
  };

  struct domain_state
  {
    region_id mRegion;
    demand_report mReport;
    instant mReceived{};
  };

  std::map<instance_id, instance_state> mInstances;
  std::map<domain_id, domain_state> mDomains;
};

} // namespace laburnumdyke
