// Locks are held one at a time, so the answer may mix states that are a few
// microseconds apart.
#include "laburnumdyke/plugin/customer_status.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

constexpr std::size_t kShownCustomers = customer_activity::kNamed;
constexpr std::string_view kOthersLabel = "other";

struct shown_customer
{
  const customer_spec* mSpec = nullptr;
  std::optional<quota_usage> mUsage; // if it has a quota
  double mRate = 0;                  // requests per second at this instance

  double Demand() const { return mUsage ? mUsage->mDemand : mRate; }
};

double
Rounded(double aValue)
{
  return std::round(aValue * 100) / 100;
}

// Null if there is no time.
boost::json::value
MillisecondsJson(const std::optional<std::chrono::milliseconds>& aTime)
{
  return aTime ? boost::json::value(aTime->count()) : boost::json::value();
}

std::string
HomesText(const customer_spec& aSpec)
{
  std::string text;
  for (const region_id& home : aSpec.mHomes) {
    text += (text.empty() ? "" : ", ") + home.mValue;
  }
  return text.empty() ? "all" : text;
}

boost::json::object
CustomerJson(const shown_customer& aShown)
{
  const customer_spec& spec = *aShown.mSpec;
  boost::json::object row;
  row["customer"] = spec.mName.mValue;
  if (spec.mQuota.IsLimited()) {
    row["rate_per_s"] = spec.mQuota.mRate;
    row["burst"] = spec.mQuota.mBurst;
  }
  row["demand_per_s"] = Rounded(aShown.Demand());
  if (aShown.mUsage) {
    row["admitted_per_s"] = Rounded(aShown.mUsage->mAdmitted);
    row["quota_share"] = Rounded(aShown.mUsage->mShare);
  }
  bool isOfFleet = aShown.mUsage && aShown.mUsage->mIsOfFleet;
  row["figures_of"] = isOfFleet ? "fleet" : "instance";
  if (spec.mPriority) {
    row["priority"] = *spec.mPriority;
  }
  row["home_regions"] = HomesText(spec);
  return row;
}

std::vector<shown_customer>
CollectCustomers(kernel& aKernel,
                 steering_tables& aTables,
                 const customer_table& aCustomers,
                 instant aNow)
{
  std::vector<shown_customer> shown;
  for (const customer_spec& spec : aCustomers.All()) {
    shown.push_back({ &spec, std::nullopt, 0 });
  }
  aTables.Quota().With([&](quota_state& aQuota) {
    for (shown_customer& one : shown) {
      one.mUsage = aQuota.Usage(one.mSpec->mName, aNow);
    }
  });
  aKernel.Table<activity_state>().With([&](activity_state& aActivity) {
    for (shown_customer& one : shown) {
      one.mRate = aActivity.RateOf(one.mSpec->mName, aNow);
    }
  });
  std::stable_sort(
    shown.begin(),
    shown.end(),
    [](const shown_customer& aOne, const shown_customer& aOther) {
      return aOne.Demand() > aOther.Demand();
    });
  return shown;
}

void
AddCustomers(boost::json::object& aStatus,
             const std::vector<shown_customer>& aCustomers)
{
  boost::json::array busiest;
  double others = 0;
  for (std::size_t i = 0; i < aCustomers.size(); ++i) {
    if (i < kShownCustomers) {
      busiest.push_back(CustomerJson(aCustomers[i]));
    } else {
      others += aCustomers[i].Demand();
    }
  }
  aStatus["customers"] = aCustomers.size();
  aStatus["busiest_customers"] = std::move(busiest);
  if (aCustomers.size() > kShownCustomers) {
    boost::json::object rest;
    rest["customers"] = aCustomers.size() - kShownCustomers;
    rest["demand_per_s"] = Rounded(others);
    aStatus["other_customers"] = std::move(rest);
  }
}

// Quotes a label value of the text exposition format.
std::string
LabelValue(std::string_view aText)
{
  std::string quoted = "\"";
  for (char one : aText) {
    if (one == '\n') {
      quoted += "\\n";
      continue;
    }
    if (one == '"' || one == '\\') {
      quoted += '\\';
    }
    quoted += one;
  }
  return quoted + "\"";
}

void
RenderCounter(std::ostringstream& aOut,
              std::string_view aName,
              const activity_report& aReport,
              std::uint64_t customer_counts::*aCount)
{
  aOut << "# TYPE laburnumdyke_" << aName << " counter\n";
  std::uint64_t others = aReport.mOthers.*aCount;
  for (const named_activity& one : aReport.mNamed) {
    if (one.mCustomer.mValue == kOthersLabel) {
      others += one.mCounts.*aCount; // a series may occur only once
      continue;
    }
    aOut << "laburnumdyke_" << aName
         << "{customer=" << LabelValue(one.mCustomer.mValue) << "} "
         << one.mCounts.*aCount << '\n';
  }
  aOut << "laburnumdyke_" << aName << "{customer=\"" << kOthersLabel << "\"} "
       << others << '\n';
}

} // namespace

boost::json::object
HostsStatusJson(kernel& aKernel,
                steering_tables& aTables,
                instant aNow,
                boot_instant aBootNow)
{
  const settings& settings = aKernel.Settings();
  boost::json::object status;
  status["instance"] = settings.mInstance;
  status["region"] = settings.mRegion;
  status["failure_domain"] = settings.mFailureDomain;
  aTables.Fleet().With([&](fleet_state& aFleet) {
    status["serving"] = aFleet.IsServing();
    status["instances_known"] = aFleet.KnownInstanceCount();
  });
  dated_routes dated = aTables.DatedRoutes(aBootNow);
  if (!dated.mRoutes) {
    status["configuration_version"] = nullptr;
    return status;
  }
  status["configuration_version"] = dated.mRoutes->Version();
  status["configuration_outdated"] = dated.mIsOutdated;
  status["routes"] = dated.mRoutes->Size();
  const customer_table* customers = dated.mRoutes->Customers();
  if (customers == nullptr) {
    return status;
  }
  std::chrono::milliseconds maxAge = aTables.MaxKeyAge();
  bool isLimited = maxAge > std::chrono::milliseconds(0);
  status["knowledge_age_ms"] = MillisecondsJson(dated.mAge);
  status["max_knowledge_age_ms"] =
    isLimited ? boost::json::value(maxAge.count()) : boost::json::value();
  status["accepts_keys"] = !isLimited || (dated.mAge && *dated.mAge <= maxAge);
  status["fleet_usage_age_ms"] = MillisecondsJson(aTables.Quota().With(
    [&](quota_state& aQuota) { return aQuota.TotalsAge(aNow); }));
  AddCustomers(status, CollectCustomers(aKernel, aTables, *customers, aNow));
  return status;
}

std::string
RenderCustomerMetrics(const activity_report& aReport)
{
  if (aReport.mNamed.empty()) {
    return {};
  }
  std::ostringstream out;
  RenderCounter(
    out, "customer_requests_total", aReport, &customer_counts::mRequests);
  RenderCounter(
    out, "customer_refusals_total", aReport, &customer_counts::mRefusals);
  return out.str();
}

} // namespace laburnumdyke
