// A sum is scaled up by the instances that it lacks, so that one that has just
// started or doesn't report does not make its region look idle.
#include "laburnumdyke/decision/demand_division.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

// Requests per second of the fleet below which the shares of regions are too
// uncertain to act on.
constexpr double kMinFleetRate = 1;
// Part of a region's fair demand that counts as spare at least.
constexpr double kMinSpare = 0.05;

} // namespace

region_division
Divide(const region_capacities& aCapacities, const region_id& aOwn)
{
  double slots = 0;
  double demand = 0;
  for (const region_capacities::value_type& each : aCapacities) {
    slots += each.second.mSlots;
    demand += each.second.mDemand;
  }
  region_division division;
  if (slots <= 0) {
    return division;
  }
  double spareSum = 0;
  for (const region_capacities::value_type& each : aCapacities) {
    double fair = each.second.mSlots / slots * demand;
    double surplus = each.second.mDemand - fair;
    if (each.first == aOwn) {
      division.mAway = surplus > 0 ? surplus / each.second.mDemand : 0;
    } else if (each.second.mSlots > 0) {
      // Requests that leave because of the load go to regions with spare slots.
      double spare = std::max(-surplus, kMinSpare * fair);
      division.mReceivers[each.first] = spare;
      spareSum += spare;
    }
  }
  for (share_map::value_type& receiver : division.mReceivers) {
    receiver.second = spareSum > 0 ? receiver.second / spareSum
                                   : 1.0 / division.mReceivers.size();
  }
  division.mAway = division.mReceivers.empty() ? 0 : division.mAway;
  return division;
}

void
held_peak::Add(double aRate, instant aNow)
{
  if (mIntervals.empty() || aNow >= mIntervals.back().mEnd) {
    mIntervals.push_back({ aNow + kInterval, aRate });
  }
  interval& last = mIntervals.back();
  last.mPeak = std::max(last.mPeak, aRate);
  std::erase_if(mIntervals,
                [&](const interval& aOne) { return aOne.mEnd + kHold < aNow; });
}

double
held_peak::At(instant aNow) const
{
  double peak = 0;
  for (const interval& each : mIntervals) {
    peak = each.mEnd + kHold >= aNow ? std::max(peak, each.mPeak) : peak;
  }
  return peak;
}

void
demand_division::SetFleet(std::map<region_id, std::size_t> aInstances)
{
  mInstances = std::move(aInstances);
}

void
demand_division::SetTotals(demand_totals aTotals, instant aNow)
{
  mTotals = std::move(aTotals);
  mReceived = aNow;
  if (!Age(aNow)) {
    return;
  }
  std::map<service_key, std::map<region_id, double>> rates;
  for (const std::pair<const region_id, std::size_t>& region : mInstances) {
    const demand_report& report = mTotals.at(region.first);
    double missing =
      std::max(1.0, static_cast<double>(region.second) / report.mReporters);
    for (const demand_list::value_type& each : report.mDemand) {
      rates[each.first][region.first] = each.second * missing;
    }
  }
  std::erase_if(mPeaks,
                [&](const std::pair<const service_key, region_peaks>& aOne) {
                  return rates.count(aOne.first) == 0;
                });
  for (const std::pair<const service_key, std::map<region_id, double>>&
         service : rates) {
    AddPeaks(service.first, service.second, aNow);
  }
}

void
demand_division::AddPeaks(service_key aService,
                          const std::map<region_id, double>& aRates,
                          instant aNow)
{
  bool isNew = mPeaks.count(aService) == 0;
  region_peaks& peaks = mPeaks[aService];
  double sum = 0;
  double instances = 0;
  for (const std::pair<const region_id, double>& rate : aRates) {
    peaks[rate.first].Add(rate.second, aNow);
    sum += rate.second;
  }
  for (const std::pair<const region_id, std::size_t>& region : mInstances) {
    instances += static_cast<double>(region.second);
  }
  for (const std::pair<const region_id, std::size_t>& region : mInstances) {
    if (isNew) {
      double part = static_cast<double>(region.second) / instances;
      peaks[region.first].Add(sum * part, aNow);
    }
  }
}

bool
demand_division::Knows(service_key aService, instant aNow) const
{
  bool isFresh = mReceived && aNow - *mReceived <= kMaxAge;
  return isFresh &&
         std::any_of(mTotals.begin(),
                     mTotals.end(),
                     [&](const demand_totals::value_type& aRegion) {
                       return aRegion.second.mDemand.count(aService) > 0;
                     });
}

std::optional<duration>
demand_division::Age(instant aNow) const
{
  if (!mReceived || aNow - *mReceived > kMaxAge || mInstances.empty()) {
    return std::nullopt;
  }
  for (const std::pair<const region_id, std::size_t>& region : mInstances) {
    auto found = mTotals.find(region.first);
    double reporters = found == mTotals.end() ? 0 : found->second.mReporters;
    if (reporters < kMinReporters * static_cast<double>(region.second)) {
      return std::nullopt;
    }
  }
  return aNow - *mReceived;
}

std::optional<std::map<region_id, double>>
demand_division::Measured(const service_id& aService, instant aNow) const
{
  if (!Age(aNow)) {
    return std::nullopt;
  }
  auto peaks = mPeaks.find(KeyOf(aService));
  if (peaks == mPeaks.end()) {
    return std::nullopt;
  }
  std::map<region_id, double> rates;
  double sum = 0;
  for (const std::pair<const region_id, held_peak>& region : peaks->second) {
    double rate = region.second.At(aNow);
    rates[region.first] = rate;
    sum += rate;
  }
  return sum < kMinFleetRate ? std::nullopt : std::optional(std::move(rates));
}

region_capacities
demand_division::Capacities(const service_id& aService,
                            const std::map<region_id, double>& aSlots,
                            instant aNow) const
{
  region_capacities capacities;
  std::optional<std::map<region_id, double>> measured =
    Measured(aService, aNow);
  for (const std::pair<const region_id, std::size_t>& region : mInstances) {
    capacities[region.first].mDemand =
      measured ? (*measured)[region.first] : static_cast<double>(region.second);
  }
  for (const std::pair<const region_id, double>& slots : aSlots) {
    capacities[slots.first].mSlots = slots.second;
  }
  return capacities;
}

} // namespace laburnumdyke
