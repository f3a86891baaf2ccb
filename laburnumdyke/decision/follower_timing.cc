// All times are fractions of the bound. With a jitter of a quarter a reader
// reads within 0.69 of it, so an update usually arrives before 0.75, at which a
// follower reads the platform itself. The rest covers that reading and requests
// in transit.
#include "laburnumdyke/decision/follower_timing.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr double kReadFraction = 0.55;
constexpr double kFollowFraction = 0.75;
constexpr std::chrono::milliseconds kMinUpdateTimeout{ 50 };
// So that a reader whose readings are all slow does other work too.
constexpr std::chrono::milliseconds kMinReadPause{ 100 };

std::chrono::milliseconds
FractionOf(std::chrono::milliseconds aTime, double aFraction)
{
  std::chrono::duration<double, std::milli> fraction = aTime * aFraction;
  return std::chrono::duration_cast<std::chrono::milliseconds>(fraction);
}

} // namespace

std::chrono::milliseconds
follower_timing::Age(instant aNow) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                               mKnownAsOf);
}

std::chrono::milliseconds
follower_timing::ReadInterval() const
{
  return FractionOf(mBound, kReadFraction);
}

std::chrono::milliseconds
follower_timing::ReadPause(instant aNow) const
{
  return std::max(kMinReadPause, ReadInterval() - Age(aNow));
}

std::chrono::milliseconds
follower_timing::UpdateTimeout(instant aNow) const
{
  return std::max(kMinUpdateTimeout,
                  FractionOf(mBound, kFollowFraction) - Age(aNow));
}

bool
follower_timing::MayRetryReader(instant aNow) const
{
  return Age(aNow) < ReadInterval();
}

} // namespace laburnumdyke
