// All metric names have the prefix laburnumdyke_. A counter's reason is its
// only label. Histogram buckets are cumulative, with upper bounds in seconds.
#include "laburnumdyke/plugin/exposition.h"

#include <sstream>

namespace laburnumdyke {

namespace {

void
RenderLatency(const latency_summary& aSummary, std::ostringstream& aOut)
{
  constexpr std::string_view kName = "laburnumdyke_request_seconds";
  std::uint64_t cumulative = 0;
  for (const latency_bucket& bucket : aSummary.mBuckets) {
    cumulative += bucket.mCount;
    bool isOverflow = bucket.mUpperBound == std::chrono::microseconds::max();
    aOut << kName << "_bucket{rank=\"" << aSummary.mLabel << "\",le=\"";
    if (isOverflow) {
      aOut << "+Inf";
    } else {
      aOut << static_cast<double>(bucket.mUpperBound.count()) / 1e6;
    }
    aOut << "\"} " << cumulative << '\n';
  }
  aOut << kName << "_count{rank=\"" << aSummary.mLabel << "\"} "
       << aSummary.mCount << '\n';
}

} // namespace

std::string
RenderExposition(const counters::snapshot& aCounters,
                 const std::vector<latency_summary>& aLatencies)
{
  std::ostringstream out;
  std::string_view lastName;
  for (const std::pair<const counter_key, std::uint64_t>& entry : aCounters) {
    const counter_key& key = entry.first;
    if (key.mName != lastName) {
      out << "# TYPE laburnumdyke_" << key.mName << " counter\n";
      lastName = key.mName;
    }
    out << "laburnumdyke_" << key.mName;
    if (!key.mReason.empty()) {
      out << "{reason=\"" << key.mReason << "\"}";
    }
    out << ' ' << entry.second << '\n';
  }
  if (!aLatencies.empty()) {
    out << "# TYPE laburnumdyke_request_seconds histogram\n";
  }
  for (const latency_summary& summary : aLatencies) {
    RenderLatency(summary, out);
  }
  return out.str();
}

string_answer
MetricsAnswer(kernel& aKernel)
{
  string_answer answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  answer.body() = RenderExposition(aKernel.Counters().Snapshot(),
                                   aKernel.Latencies().Summaries());
  return answer;
}

} // namespace laburnumdyke
