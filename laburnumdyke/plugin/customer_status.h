// Status of an instance that routes by host and path, with its customers, and
// their metrics.
//
// Usage:
//   table<activity_state>& activity = kernel.Table<activity_state>();
//   activity.With([&](activity_state& aActivity) { ... count a request });
//   boost::json::object body = HostsStatusJson(kernel, tables, now, bootNow);
//   std::string lines = RenderCustomerMetrics(report);
//
// Size is bounded: the busiest customers have figures of their own, the others
// one line. Neither a key nor a digest of one is shown. Figures of the fleet
// are those within reach; a part of the quota below 1 says that some instances
// are not.
#pragma once

#include "laburnumdyke/decision/customer_activity.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/json.hpp>

#include <string>

namespace laburnumdyke {

struct activity_state : customer_activity
{};

boost::json::object
HostsStatusJson(kernel& aKernel,
                steering_tables& aTables,
                instant aNow,
                boot_instant aBootNow);

// Lines in the text exposition format; empty if no customer has sent a request.
std::string
RenderCustomerMetrics(const activity_report& aReport);

} // namespace laburnumdyke
