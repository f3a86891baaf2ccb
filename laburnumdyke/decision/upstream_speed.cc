// Exponential means of logarithms. The noise is a mean of its values that is
// drawn towards 1 by a fixed weight, so that one momentary value counts for
// less than several that agree. A value is the report relative to the mean of
// the reports, and the service time relative to the base. The base follows
// service times in bounded steps; see docs/design/learned-speed.md for what
// else was considered.
#include "laburnumdyke/decision/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace laburnumdyke {

namespace {

constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 20;
// Weight of one sample in the mean of a service: some hundred answers.
constexpr double kServiceWeight = 0.01;
// Weight of a sample whose kind of object is a guess.
constexpr double kGuessWeight = 0.2;
// Largest distance from the base that one sample counts with: a factor of 2.
const double kMaxStep = std::log(2.0);
// Weight of the mean of the service in the base, relative to a new sample.
constexpr double kBasePrior = 1;
// Weight that draws the noise towards 1, relative to a value of this moment.
constexpr double kNoisePrior = 0.5;
// The instance that responds least uses this power of the factor.
constexpr double kMinResponse = 0.75;

double
Remaining(duration aAge, duration aDecayTime)
{
  double decayTimes = std::chrono::duration<double>(aAge) /
                      std::chrono::duration<double>(aDecayTime);
  return std::exp(-std::max(0.0, decayTimes));
}

// A deviation from a mean, limited so that a single sample moves it little.
double
Bounded(double aDeviation)
{
  return std::clamp(aDeviation, -kMaxStep, kMaxStep);
}

double
LogFactor(double aFactor)
{
  return std::log(std::clamp(aFactor, kMinFactor, kMaxFactor));
}

} // namespace

double
service_speed::Mean() const
{
  return std::exp(mMean);
}

void
service_speed::AddSample(double aRatio)
{
  mMean += (LogFactor(aRatio) - mMean) * kServiceWeight;
}

bool
upstream_speed::IsReporting(instant aNow) const
{
  return mHasReport && aNow - mReported < kReportingTime;
}

double
upstream_speed::ReportMean(instant aNow) const
{
  return mReports.Mean(0, kBasePrior, kBaseDecayTime, aNow);
}

void
upstream_speed::Report(std::uint32_t aPercent, instant aNow)
{
  double value = LogFactor(aPercent / 100.0);
  double mean = ReportMean(aNow);
  mNoise.Add(value - mean, 1, kNoiseDecayTime, aNow);
  mReportedNoise.Add(value - mean, 1, kNoiseDecayTime, aNow);
  mReports.Add(mean + Bounded(value - mean), 1, kBaseDecayTime, aNow);
  mReported = aNow;
  mHasReport = true;
}

void
upstream_speed::fading_mean::Add(double aValue,
                                 double aWeight,
                                 duration aDecayTime,
                                 instant aNow)
{
  double remaining = Remaining(Age(aNow), aDecayTime);
  mSum = mSum * remaining + aValue * aWeight;
  mWeight = mWeight * remaining + aWeight;
  mUpdated = aNow;
}

double
upstream_speed::fading_mean::Mean(double aUsual,
                                  double aPrior,
                                  duration aDecayTime,
                                  instant aNow) const
{
  double remaining = Remaining(Age(aNow), aDecayTime);
  return (mSum * remaining + aUsual * aPrior) / (mWeight * remaining + aPrior);
}

double
upstream_speed::NoiseOf(const fading_mean& aMean, instant aNow)
{
  bool isKnown = aMean.Age(aNow) < kNoiseLifetime;
  return isKnown ? aMean.Mean(0, kNoisePrior, kNoiseDecayTime, aNow) : 0;
}

double
upstream_speed::LogBase(double aLogMean, instant aNow) const
{
  return mBase.Mean(aLogMean, kBasePrior, kBaseDecayTime, aNow);
}

void
upstream_speed::AddSample(const speed_sample& aSample,
                          service_speed& aService,
                          instant aNow)
{
  double logMean = std::log(aService.Mean());
  speed_sample unloaded = aSample;
  if (aSample.mRunning) {
    double handled = HandledSlots(aSample.mSlots, aNow);
    mKnee.AddSample(*aSample.mRunning / std::max(1.0, aSample.mSlots),
                    std::clamp(aSample.mRatio, kMinFactor, kMaxFactor),
                    aNow);
    // Above the knee the requests share what the upstream can do.
    unloaded.mRatio /=
      std::max(1.0, std::min(*aSample.mRunning, aSample.mSlots) / handled);
  }
  double base = LogBase(logMean, aNow);
  double deviation = LogFactor(unloaded.mRatio) - base;
  double weight = aSample.mIsCertain ? 1 : kGuessWeight;
  mNoise.Add(deviation, weight, kNoiseDecayTime, aNow);
  mBase.Add(base + Bounded(deviation), weight, kBaseDecayTime, aNow);
  aService.AddSample(unloaded.mRatio);
}

double
upstream_speed::Base(double aMean, instant aNow) const
{
  return std::exp(LogBase(std::log(aMean), aNow));
}

double
upstream_speed::Factor(double aMean, instant aNow) const
{
  double response = kMinResponse + (1 - kMinResponse) * mSpread;
  double expected = LogBase(std::log(aMean), aNow) + NoiseOf(mNoise, aNow);
  return std::clamp(std::exp(expected * response), kMinFactor, kMaxFactor);
}

double
upstream_speed::HandledSlots(double aSlots, instant aNow) const
{
  return mKnee.Handled(aSlots, aNow);
}

bool
upstream_speed::IsProbeDue(double aMean,
                           std::size_t aSenders,
                           instant aNow) const
{
  if (Factor(aMean, aNow) < kSlowFactor) {
    return false;
  }
  duration own = std::clamp<duration>(
    kProbeSpacing * aSenders, kMinProbeTime, kMaxProbeTime);
  // From half as long to one and a half times, so that instances alternate.
  std::chrono::duration<double> spread = own * (0.5 + mSpread);
  return aNow - mLastSent >= spread;
}

std::optional<speed_change>
upstream_speed::TakeChange(double aMean, instant aNow)
{
  double factor = Factor(aMean, aNow);
  bool isSlow = mIsSlow ? factor > kUsualFactor : factor >= kSlowFactor;
  bool isTooSoon = mChanged != instant() && aNow - mChanged < kMinChangeTime;
  if (isSlow == mIsSlow || isTooSoon) {
    return std::nullopt;
  }
  mIsSlow = isSlow;
  mChanged = aNow;
  return isSlow ? speed_change::Slow : speed_change::Usual;
}

} // namespace laburnumdyke
