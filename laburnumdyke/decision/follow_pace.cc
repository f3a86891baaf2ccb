// All times are parts of the bound. With a quarter of jitter a reader reads
// within 0.69 of it, so that news mostly come before 0.75, where a follower
// reads for itself; what is left is for that reading and for requests on their
// way.
#include "laburnumdyke/decision/follow_pace.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr double kReadPart = 0.55;
constexpr double kFollowPart = 0.75;
constexpr std::chrono::milliseconds kLeastFollow{ 50 };

std::chrono::milliseconds
PartOf(std::chrono::milliseconds aTime, double aPart)
{
  std::chrono::duration<double, std::milli> part = aTime * aPart;
  return std::chrono::duration_cast<std::chrono::milliseconds>(part);
}

} // namespace

std::chrono::milliseconds
follow_pace::Age(instant aNow) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mKnown);
}

std::chrono::milliseconds
follow_pace::ReadEvery() const
{
  return PartOf(mBound, kReadPart);
}

std::chrono::milliseconds
follow_pace::MayFollow(instant aNow) const
{
  return std::max(kLeastFollow, PartOf(mBound, kFollowPart) - Age(aNow));
}

bool
follow_pace::MayAskAgain(instant aNow) const
{
  return Age(aNow) < ReadEvery();
}

} // namespace laburnumdyke
