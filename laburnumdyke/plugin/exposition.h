// Counters and latencies in the text exposition format that monitoring
// systems scrape.
#pragma once

#include "laburnumdyke/kernel/counters.h"
#include "laburnumdyke/kernel/latency_table.h"
#include "laburnumdyke/plugin/http_server.h"

#include <string>
#include <vector>

namespace laburnumdyke {

std::string
RenderExposition(const counters::snapshot& aCounters,
                 const std::vector<latency_summary>& aLatencies);

// What an instance's /metrics answers.
string_answer
MetricsAnswer(kernel& aKernel);

} // namespace laburnumdyke
