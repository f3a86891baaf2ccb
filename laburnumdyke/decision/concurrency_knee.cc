// Samples are kept in buckets of occupancy. Each boundary of buckets is tested
// as the knee: the means of the logarithms above and below it must differ
// significantly. The most significant boundary is taken. This needs no model of
// how service times grow, and costs a constant time per sample.
#include "laburnumdyke/decision/concurrency_knee.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

// Assumed variance of single samples, as that of few samples may be zero.
constexpr double kPriorVariance = 0.04;

double
Remaining(duration aAge)
{
  double decayTimes =
    std::chrono::duration<double>(aAge) /
    std::chrono::duration<double>(concurrency_knee::kDecayTime);
  return std::exp(-std::max(0.0, decayTimes));
}

} // namespace

void
concurrency_knee::sums::Add(const sums& aOther)
{
  mWeight += aOther.mWeight;
  mValues += aOther.mValues;
  mSquares += aOther.mSquares;
}

double
concurrency_knee::sums::Mean() const
{
  return mValues / mWeight;
}

double
concurrency_knee::sums::SquaredError() const
{
  double variance = std::max(0.0, mSquares / mWeight - Mean() * Mean());
  return (variance + kPriorVariance) / mWeight;
}

void
concurrency_knee::AddSample(double aOccupancy, double aRatio, instant aNow)
{
  double remaining = Remaining(aNow - mUpdated);
  for (sums& bucket : mBuckets) {
    bucket.mWeight *= remaining;
    bucket.mValues *= remaining;
    bucket.mSquares *= remaining;
  }
  double value = std::log(aRatio);
  double position = std::clamp(aOccupancy, 0.0, 1.0) * kBuckets;
  std::size_t index =
    std::min(kBuckets - 1, static_cast<std::size_t>(position));
  mBuckets.at(index).Add({ 1, value, value * value });
  mUpdated = aNow;
  mPart = Part();
}

double
concurrency_knee::Part() const
{
  double part = 1;
  double greatest = kMinStandardErrors;
  sums below;
  for (std::size_t split = 1; split < kBuckets; ++split) {
    below.Add(mBuckets.at(split - 1));
    sums above;
    for (std::size_t i = split; i < kBuckets; ++i) {
      above.Add(mBuckets.at(i));
    }
    if (below.mWeight < kMinSamples || above.mWeight < kMinSamples) {
      continue;
    }
    double difference = above.Mean() - below.Mean();
    double errors =
      difference / std::sqrt(below.SquaredError() + above.SquaredError());
    if (difference >= std::log(kMinSlowdown) && errors > greatest) {
      greatest = errors;
      part = static_cast<double>(split) / kBuckets;
    }
  }
  return std::max(part, kMinPart);
}

double
concurrency_knee::Handled(double aSlots, instant aNow) const
{
  // Without samples the knee fades, so that more load is tried again.
  double part = 1 + (mPart - 1) * Remaining(aNow - mUpdated);
  return std::max(1.0, aSlots * part);
}

} // namespace laburnumdyke
