// Computes, by service, how the requests of a region are to be divided among
// regions: by measured demand, or by the number of instances while the demand
// of the whole fleet is not known.
//
// Load pattern: a region is cut off, an instance has just started, or others
// are of a version that reports no demand. Sums that lack a region would take
// it for idle, so the count of instances is used for all regions as soon as one
// is missing. The shares that follow the division (region_shares.h) change at a
// bounded rate in this case too.
//
// Usage:
//   division.SetFleet(instances);       // by region
//   division.SetTotals(totals, now);    // of the whole fleet
//   region_capacities capacities = division.Capacities(service, slots, now);
//   region_division target = Divide(capacities, ownRegion);
#pragma once

#include "laburnumdyke/decision/region_balance.h"
#include "laburnumdyke/decision/region_shares.h"
#include "laburnumdyke/decision/service_demand.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace laburnumdyke {

using region_capacities = std::map<region_id, region_capacity>;

// Divides the requests of aOwn such that all regions have the same utilisation
// and no region both sends and receives.
region_division
Divide(const region_capacities& aCapacities, const region_id& aOwn);

// The greatest rate of the last kHold.
class held_peak
{
public:
  // Longer than a wave of demand. A division that follows a wave costs more
  // than it brings: each object that moves is slow at its new place, and the
  // sums lag behind the wave.
  static constexpr std::chrono::seconds kHold{ 45 };

  void Add(double aRate, instant aNow);
  double At(instant aNow) const;

private:
  // Rates are kept by intervals of this length.
  static constexpr std::chrono::seconds kInterval{ 5 };

  struct interval
  {
    instant mEnd{};
    double mPeak = 0;
  };

  std::deque<interval> mIntervals;
};

class demand_division
{
public:
  // Sums are used for so long: several reports may be lost.
  static constexpr std::chrono::seconds kMaxAge{ 8 };
  // Part of the instances of each region whose reports a sum must contain.
  static constexpr double kMinReporters = 0.6;

  // Sets the instances of each region, this one included.
  void SetFleet(std::map<region_id, std::size_t> aInstances);
  void SetTotals(demand_totals aTotals, instant aNow);

  // Slots and demand of each region. Demand is in requests per second (the
  // greatest of about the last held_peak::kHold) if the demand of all regions
  // is known. Otherwise it is the number of instances, of which only the ratio
  // is used. A region without instances has demand 0.
  region_capacities Capacities(const service_id& aService,
                               const std::map<region_id, double>& aSlots,
                               instant aNow) const;

  // Whether the sums contain the service.
  bool Knows(service_key aService, instant aNow) const;

  // Age of the sums; nullopt if there are none that can be used.
  std::optional<duration> Age(instant aNow) const;

private:
  using region_peaks = std::map<region_id, held_peak>;

  // Requests per second; nullopt unless the demand of all regions is known.
  std::optional<std::map<region_id, double>> Measured(
    const service_id& aService,
    instant aNow) const;

  // The first rates of a service are joined with the count of instances, so
  // that a wave that has not been seen whole is not followed.
  void AddPeaks(service_key aService,
                const std::map<region_id, double>& aRates,
                instant aNow);

  std::map<region_id, std::size_t> mInstances;
  demand_totals mTotals;
  std::optional<instant> mReceived;
  std::map<service_key, region_peaks> mPeaks;
};

} // namespace laburnumdyke
