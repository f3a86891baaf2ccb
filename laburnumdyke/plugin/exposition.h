// Counters and latencies in the Prometheus text exposition format.
#pragma once

#include "laburnumdyke/kernel/counters.h"
#include "laburnumdyke/kernel/latency_table.h"
#include "laburnumdyke/plugin/http_server.h"

#include <string>
#include <vector>

namespace laburnumdyke {

// The body: counters, then one latency histogram per label.
std::string
RenderExposition(const counters::snapshot& aCounters,
                 const std::vector<latency_summary>& aLatencies);

// The answer of an instance to GET /metrics.
string_answer
MetricsAnswer(kernel& aKernel);

} // namespace laburnumdyke
