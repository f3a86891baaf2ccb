// What one instance has learned of the speed of one upstream: its service time
// relative to the usual one of a route, how noisy its machine is now, and the
// load that it handles well.
//
// Load pattern: the upstreams of a service differ in speed by a small factor,
// share their machines with other programs, and may be several times slower for
// seconds. Each instance sees an upstream less than once a second, in a report
// that may be a momentary sample of a value that changes many times a second.
//
// All values are factors of a time; 1 is usual. The expected factor is the
// product of two parts:
//   base   the upstream's mean, decaying over a minute to that of its service
//   noise  the deviation from this mean now, decaying within seconds
//
// Usage:
//   speed.Report(*load.mWorkPercent, now);          // of each answer
//   speed.AddSample({ ratio, true, running, slots }, service, now);
//   double factor = speed.Factor(service.Mean(), now);
//   double slots = speed.HandledSlots(entry.mSlots, now);
#pragma once

#include "laburnumdyke/decision/concurrency_knee.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

// The mean factor of a service's upstreams, as this instance uses them. It is
// what an upstream without samples is assumed to have.
class service_speed
{
public:
  double Mean() const;
  void AddSample(double aRatio);

private:
  double mMean = 0; // of logarithms
};

// One answer's service time.
struct speed_sample
{
  double mRatio = 1; // to the usual one of the route and the kind of object
  // Whether the object was certainly cached; otherwise its kind is a guess
  // from the service time.
  bool mIsCertain = false;
  std::optional<double> mRunning; // requests at the upstream, if reported
  double mSlots = 1;
};

enum class speed_change
{
  Slow,  // the factor has reached upstream_speed::kSlowFactor
  Usual, // it has returned
};

class upstream_speed
{
public:
  // Time constant of the decay of the base to the mean of the service.
  static constexpr std::chrono::seconds kBaseDecayTime{ 60 };
  // Time constant of the weight of single values of the noise: a few answers of
  // an upstream at the usual rates.
  static constexpr std::chrono::milliseconds kNoiseDecayTime{ 3000 };
  // After this time without a value the noise is unknown, and taken as usual.
  static constexpr std::chrono::seconds kNoiseLifetime{ 8 };
  // An upstream that reports its noise is known as such for this time.
  static constexpr std::chrono::seconds kReportingTime{ 60 };
  // From kSlowFactor on an upstream counts as slow, until kUsualFactor. The
  // distance keeps a value close to one bound from alternating.
  static constexpr double kSlowFactor = 1.5;
  static constexpr double kUsualFactor = 1.25;
  // Time between two changes that are announced; limits log lines.
  static constexpr std::chrono::seconds kMinChangeTime{ 10 };
  // All instances of a region together send a slow upstream one request in this
  // time, whatever they expect of it, so that its recovery is noticed.
  static constexpr std::chrono::milliseconds kProbeSpacing{ 1000 };
  // Bounds of one instance's own time between probes; the upper one is that of
  // what it knows.
  static constexpr std::chrono::seconds kMinProbeTime{ 2 };
  static constexpr std::chrono::seconds kMaxProbeTime{ 60 };

  // aSpread, 0 to 1, differs among instances. It spreads their responses to
  // the same observation, so that they do not all move at once.
  explicit upstream_speed(double aSpread = 1)
    : mSpread(aSpread)
  {
  }

  // Records the reported time that work currently takes, in percent.
  void Report(std::uint32_t aPercent, instant aNow);
  // Records the start of a request.
  void RecordSend(instant aNow) { mLastSent = aNow; }
  // Records an answer; call it after Report.
  void AddSample(const speed_sample& aSample,
                 service_speed& aService,
                 instant aNow);

  // Whether the upstream reports how long work takes.
  bool IsReporting(instant aNow) const;

  // The expected service time, relative to the usual one. aMean: of the
  // service.
  double Factor(double aMean, instant aNow) const;

  // The part of the factor that changes slowly, which all instances learn
  // alike.
  double Base(double aMean, instant aNow) const;

  // The deviation from the upstream's own mean: as expected from all that is
  // known, and by its reports alone. The latter does not depend on which kind
  // of object a service time was attributed to.
  double Noise(instant aNow) const { return std::exp(NoiseOf(mNoise, aNow)); }
  double ReportedNoise(instant aNow) const
  {
    return std::exp(NoiseOf(mReportedNoise, aNow));
  }

  // The number of slots, up to aSlots, that it handles well.
  double HandledSlots(double aSlots, instant aNow) const;

  // Whether a slow upstream should get a request to see if it has recovered.
  // aSenders: instances of the region, including this one.
  bool IsProbeDue(double aMean, std::size_t aSenders, instant aNow) const;

  // Returns a change between slow and usual that has not been returned yet.
  std::optional<speed_change> TakeChange(double aMean, instant aNow);

private:
  // A mean of logarithms whose values lose weight with time. aPrior is the
  // weight that draws the mean towards aUsual, relative to a new value.
  class fading_mean
  {
  public:
    void Add(double aValue, double aWeight, duration aDecayTime, instant aNow);
    double Mean(double aUsual,
                double aPrior,
                duration aDecayTime,
                instant aNow) const;
    duration Age(instant aNow) const { return aNow - mUpdated; }

  private:
    double mSum = 0;
    double mWeight = 0;
    instant mUpdated{};
  };

  static double NoiseOf(const fading_mean& aMean, instant aNow);
  double LogBase(double aLogMean, instant aNow) const;
  double ReportMean(instant aNow) const;

  double mSpread;
  // Logarithms, as sums and means of them give a single outlier little weight.
  fading_mean mBase;
  fading_mean mReports;
  instant mReported{};
  bool mHasReport = false;
  fading_mean mNoise;
  fading_mean mReportedNoise;
  concurrency_knee mKnee;
  instant mLastSent{};
  bool mIsSlow = false; // as last announced
  instant mChanged{};
};

} // namespace laburnumdyke
