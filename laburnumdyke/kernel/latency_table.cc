// A regular axis with a logarithmic transform: 70 buckets cover seven decades
// with a constant relative error of 26 %, in less than 1 KiB per label.
#include "laburnumdyke/kernel/latency_table.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <map>

namespace laburnumdyke {

namespace {

namespace histogram = boost::histogram;

constexpr double kLowestMicros = 10;
constexpr double kHighestMicros = 1e8;
constexpr unsigned kBucketCount = 70;

using log_axis =
  histogram::axis::regular<double, histogram::axis::transform::log>;
using latency_histogram = histogram::histogram<std::tuple<log_axis>>;

std::chrono::microseconds
Quantile(const latency_summary& aSummary, double aQuantile)
{
  double target = aQuantile * static_cast<double>(aSummary.mCount);
  std::uint64_t cumulative = 0;
  for (const latency_bucket& bucket : aSummary.mBuckets) {
    cumulative += bucket.mCount;
    if (static_cast<double>(cumulative) >= target) {
      return bucket.mUpperBound;
    }
  }
  return std::chrono::microseconds::max();
}

latency_summary
Summarize(const std::string& aLabel, const latency_histogram& aHistogram)
{
  latency_summary summary;
  summary.mLabel = aLabel;
  for (int i = -1; i <= static_cast<int>(kBucketCount); ++i) {
    double upper = aHistogram.axis(0).bin(i).upper();
    latency_bucket bucket{ std::isfinite(upper)
                             ? std::chrono::microseconds(std::llround(upper))
                             : std::chrono::microseconds::max(),
                           static_cast<std::uint64_t>(aHistogram.at(i)) };
    summary.mCount += bucket.mCount;
    summary.mBuckets.push_back(bucket);
  }
  summary.mMedian = Quantile(summary, 0.5);
  summary.mP99 = Quantile(summary, 0.99);
  summary.mP999 = Quantile(summary, 0.999);
  return summary;
}

} // namespace

struct latency_table::state
{
  std::map<std::string, latency_histogram> mByLabel;
};

latency_table::latency_table()
  : mState(std::make_unique<state>())
{
}

latency_table::~latency_table() = default;

void
latency_table::Record(std::string_view aLabel,
                      std::chrono::nanoseconds aLatency)
{
  std::string label(aLabel);
  double micros = static_cast<double>(aLatency.count()) / 1000.0;
  mState.With([&](std::unique_ptr<state>& aState) {
    std::map<std::string, latency_histogram>::iterator found =
      aState->mByLabel.find(label);
    if (found == aState->mByLabel.end()) {
      latency_histogram empty = histogram::make_histogram(
        log_axis(kBucketCount, kLowestMicros, kHighestMicros));
      found = aState->mByLabel.emplace(label, std::move(empty)).first;
    }
    found->second(micros);
  });
}

std::vector<latency_summary>
latency_table::Summaries()
{
  return mState.With([](std::unique_ptr<state>& aState) {
    std::vector<latency_summary> summaries;
    for (const std::pair<const std::string, latency_histogram>& entry :
         aState->mByLabel) {
      summaries.push_back(Summarize(entry.first, entry.second));
    }
    return summaries;
  });
}

} // namespace laburnumdyke
