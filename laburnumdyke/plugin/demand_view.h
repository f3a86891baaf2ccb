// The division of services' requests by measured demand, for operators: in the
// explanation of a route and as metrics.
#pragma once

#include "laburnumdyke/decision/choice_explanation.h"
#include "laburnumdyke/kernel/kernel.h"

#include <boost/json/object.hpp>

#include <string>

namespace laburnumdyke {

boost::json::object
DemandJson(const demand_explanation& aDemand);

// Gauges of the busiest services, by service and region, in the Prometheus text
// exposition format. Empty if no service is divided by measured demand.
std::string
RenderDemand(kernel& aKernel, instant aNow);

} // namespace laburnumdyke
