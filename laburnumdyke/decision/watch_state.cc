// A delta applies only to the version that it starts from, so a reading copied
// from a peer advances the version like a reading by this instance.
#include "laburnumdyke/decision/watch_state.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr int kMaxCountedFailures = 8; // the pause has its maximum by then

} // namespace

std::optional<std::uint64_t>
watch_state::After() const
{
  return mNeedsSnapshot ? std::nullopt : std::optional<std::uint64_t>(mVersion);
}

bool
watch_state::Take(const reading_head& aHead)
{
  if (aHead.mStatus == reading_status::NoAnswer) {
    mFailures = std::min(mFailures + 1, kMaxCountedFailures);
    return false;
  }
  mFailures = 0;
  if (aHead.mStatus == reading_status::HistoryLost) {
    mNeedsSnapshot = true;
    return false;
  }
  if (aHead.mVersion < mVersion) {
    return false;
  }
  mVersion = aHead.mVersion;
  mNeedsSnapshot = false;
  return true;
}

bool
watch_state::TakeFromPeer(const reading_head& aHead)
{
  if (aHead.mStatus != reading_status::Read || aHead.mVersion <= mVersion) {
    return false;
  }
  mVersion = aHead.mVersion;
  mNeedsSnapshot = false;
  return true;
}

std::chrono::milliseconds
watch_state::RetryPause() const
{
  std::chrono::milliseconds pause = kFirstRetryPause;
  for (int i = 1; i < mFailures; ++i) {
    pause *= 2;
  }
  return std::min(pause, kMaxRetryPause);
}

std::optional<bool>
watch_state::TakeOutageChange()
{
  if (IsLost() == mReportedLost) {
    return std::nullopt;
  }
  mReportedLost = IsLost();
  return mReportedLost;
}

std::set<domain_id>
ApplyEvacuations(const std::set<domain_id>& aBefore,
                 const control_reading& aReading)
{
  std::set<domain_id> evacuated =
    aReading.mHead.mIsSnapshot ? std::set<domain_id>() : aBefore;
  for (const domain_id& domain : aReading.mReturned) {
    evacuated.erase(domain);
  }
  evacuated.insert(aReading.mEvacuated.begin(), aReading.mEvacuated.end());
  return evacuated;
}

} // namespace laburnumdyke
