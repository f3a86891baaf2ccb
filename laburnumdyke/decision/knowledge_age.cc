// Of all answers only the one with the closest bound is kept. Clock drift
// loosens its bound over time, so that a later answer replaces it.
#include "laburnumdyke/decision/knowledge_age.h"

#include <algorithm>

namespace laburnumdyke {

platform_time
knowledge_age::LatestPlatformTime(const stamped_answer& aAnswer,
                                  boot_instant aNow)
{
  std::chrono::duration<double, std::milli> elapsed = aNow - aAnswer.mSent;
  return aAnswer.mStamp + std::chrono::ceil<std::chrono::milliseconds>(
                            elapsed * (1 + kMaxClockDrift));
}

void
knowledge_age::RecordAnswer(boot_instant aSent, platform_time aStamp)
{
  bool isCloser = !mAnswer || (aSent >= mAnswer->mSent &&
                               aStamp <= LatestPlatformTime(*mAnswer, aSent));
  if (isCloser) {
    mAnswer = stamped_answer{ aSent, aStamp };
  }
}

void
knowledge_age::RecordVersion(std::uint64_t aVersion)
{
  mLatestVersion = std::max(mLatestVersion, aVersion);
}

void
knowledge_age::RecordCurrent(std::uint64_t aInForce, platform_time aAsOf)
{
  if (!IsOutdated(aInForce)) {
    mCurrentAsOf = std::max(mCurrentAsOf.value_or(aAsOf), aAsOf);
  }
}

bool
knowledge_age::IsOutdated(std::uint64_t aInForce) const
{
  return aInForce < mLatestVersion;
}

void
knowledge_age::Reset()
{
  mAnswer.reset();
  mCurrentAsOf.reset();
}

std::optional<std::chrono::milliseconds>
knowledge_age::At(boot_instant aNow) const
{
  if (!mAnswer || !mCurrentAsOf) {
    return std::nullopt;
  }
  return std::max(std::chrono::milliseconds(0),
                  LatestPlatformTime(*mAnswer, aNow) - *mCurrentAsOf);
}

} // namespace laburnumdyke
