// Metrics have the busiest services only, so that their number is bounded.
#include "laburnumdyke/plugin/demand_view.h"

#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/json/array.hpp>

#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxServices = 20; // in metrics

double
Rounded(double aValue)
{
  constexpr double kScale = 1000;
  return std::round(aValue * kScale) / kScale;
}

std::string
Escaped(const std::string& aLabel)
{
  std::string escaped;
  for (char each : aLabel) {
    if (each == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += each == '"' || each == '\\' ? "\\" : "";
    escaped += each;
  }
  return escaped;
}

using described_service = std::pair<service_id, demand_explanation>;

// aValueOf returns the value of a region.
template<class ValueOf>
void
RenderGauge(std::string_view aName,
            const std::vector<described_service>& aServices,
            ValueOf aValueOf,
            std::ostringstream& aOut)
{
  aOut << "# TYPE laburnumdyke_" << aName << " gauge\n";
  for (const described_service& service : aServices) {
    for (const explained_region& region : service.second.mRegions) {
      aOut << "laburnumdyke_" << aName << "{service=\""
           << Escaped(service.first.mValue) << "\",region=\""
           << Escaped(region.mRegion.mValue) << "\"} "
           << Rounded(aValueOf(service.second, region)) << '\n';
    }
  }
}

} // namespace

boost::json::object
DemandJson(const demand_explanation& aDemand)
{
  boost::json::object json;
  json["by"] = aDemand.mAge ? "demand" : "instances";
  if (aDemand.mAge) {
    json["age_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(*aDemand.mAge)
        .count();
  }
  json["own_per_s"] = Rounded(aDemand.mOwnRate);
  boost::json::array regions;
  for (const explained_region& each : aDemand.mRegions) {
    boost::json::object region;
    region["region"] = each.mRegion.mValue;
    region[aDemand.mAge ? "demand_per_s" : "instances"] = Rounded(each.mDemand);
    region["slots"] = each.mSlots;
    region["share"] = Rounded(each.mShare);
    regions.push_back(std::move(region));
  }
  json["regions"] = std::move(regions);
  return json;
}

std::string
RenderDemand(kernel& aKernel, instant aNow)
{
  std::vector<described_service> services =
    aKernel.Table<steering_state>().With([&](steering_state& aSteering) {
      return aSteering.DescribeDemand(kMaxServices, aNow);
    });
  if (services.empty()) {
    return {};
  }
  std::ostringstream out;
  RenderGauge(
    "service_demand_per_second",
    services,
    [](const demand_explanation& aDemand, const explained_region& aRegion) {
      return aDemand.mAge ? aRegion.mDemand : 0;
    },
    out);
  RenderGauge(
    "service_region_share",
    services,
    [](const demand_explanation&, const explained_region& aRegion) {
      return aRegion.mShare;
    },
    out);
  return out.str();
}

} // namespace laburnumdyke
