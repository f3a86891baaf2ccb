// The number of requests that an upstream runs at once before it slows down.
//
// Load pattern: some upstreams slow down long before their slots are full. An
// instance sees an upstream less than once a second, and single service times
// vary by a factor of two or more, so the slots count as usable until the
// samples show otherwise.
//
// Usage:
//   knee.AddSample(running / slots, ratio, now);
//   double usable = knee.Handled(slots, now);
#pragma once

#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace laburnumdyke {

class concurrency_knee
{
public:
  // Time constant with which samples lose their weight.
  static constexpr std::chrono::seconds kDecayTime{ 60 };
  // Fewer slots than this part are never assumed, so that a wrong knee costs
  // at most half of an upstream.
  static constexpr double kMinPart = 0.5;
  // Samples that must remain on each side of a knee.
  static constexpr double kMinSamples = 5;
  // Service times above a knee, relative to those below it; smaller ones can
  // follow from which objects happened to be requested.
  static constexpr double kMinSlowdown = 1.3;
  // Distance of the two means in standard errors. Larger than for a single
  // test, since every possible knee is tested.
  static constexpr double kMinStandardErrors = 3;

  // aOccupancy: part of the slots that was in use; aRatio: service time
  // relative to the usual one.
  void AddSample(double aOccupancy, double aRatio, instant aNow);

  // The number of slots, up to aSlots, that the upstream handles well.
  double Handled(double aSlots, instant aNow) const;

private:
  static constexpr std::size_t kBuckets = 8;

  // Decayed sums over samples; values are logarithms of ratios.
  struct sums
  {
    double mWeight = 0;
    double mValues = 0;
    double mSquares = 0;

    void Add(const sums& aOther);
    double Mean() const;
    double SquaredError() const; // of the mean
  };

  double Part() const;

  std::array<sums, kBuckets> mBuckets{}; // by occupancy
  instant mUpdated{};
  double mPart = 1; // as of mUpdated
};

} // namespace laburnumdyke
