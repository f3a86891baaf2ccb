// Divides the requests of services among regions by measured demand, for one
// instance: it measures what is asked for, takes the sums of the fleet, and
// keeps the shares of regions by service.
//
// Usage:
//   steering.Count(service, now);                  // of each new request
//   demand_list report = steering.Report(now);     // for the collector
//   steering.SetTotals(totals, now);               // from the collector
//   demand_view view = steering.Prepare(service, slots, now);
//   std::optional<region_id> chosen = view.mShares.Decide(offers, now);
//
// Preview() and Describe() have no effect on later choices.
#pragma once

#include "laburnumdyke/decision/choice_explanation.h"
#include "laburnumdyke/decision/demand_division.h"
#include "laburnumdyke/decision/region_balance.h"
#include "laburnumdyke/decision/region_shares.h"
#include "laburnumdyke/decision/service_demand.h"

#include <cstddef>
#include <map>
#include <vector>

namespace laburnumdyke {

using region_slots = std::map<region_id, double>; // of a service's upstreams

// A service's shares, and the balance that their division makes.
struct demand_view
{
  region_shares& mShares;
  region_balance mBalance;
};

struct demand_preview
{
  region_shares mShares;
  region_balance mBalance;
};

class demand_steering
{
public:
  demand_steering(region_spillover_options aOptions, region_id aOwn)
    : mOptions(aOptions)
    , mOwn(std::move(aOwn))
  {
  }

  // Sets the instances of each region. aIsFirst: they were unknown before, and
  // so was the demand for which initial shares were set.
  void SetFleet(const std::map<region_id, std::size_t>& aInstances,
                bool aIsFirst);
  void SetTotals(demand_totals aTotals, instant aNow);

  void Count(const service_id& aService, instant aNow);

  // What is asked for at this instance, of the services that are divided by
  // measured demand here or at another instance.
  demand_list Report(instant aNow) const;

  demand_view Prepare(const service_id& aService,
                      const region_slots& aSlots,
                      instant aNow);
  demand_preview Preview(const service_id& aService,
                         const region_slots& aSlots,
                         instant aNow) const;
  // Call it if the service is not divided by measured demand.
  void Drop(const service_id& aService) { mShares.erase(aService); }

  demand_explanation Describe(const service_id& aService,
                              const region_slots& aSlots,
                              instant aNow) const;

  // The services that are divided here, the busiest first; at most aLimit.
  std::vector<service_id> Busiest(std::size_t aLimit, instant aNow) const;

private:
  region_spillover_options mOptions;
  region_id mOwn;
  demand_meter mMeter;
  demand_division mDivision;
  std::map<service_id, region_shares> mShares;
};

} // namespace laburnumdyke
