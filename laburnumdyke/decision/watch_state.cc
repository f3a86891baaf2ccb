// A delta applies only to the version that it starts from, so a reading copied
// from a peer advances the version like a reading by this instance. A restored
// store issues versions again, so it answers a request from a version of an
// earlier era as if it had that version: such a delta is rejected.
#include "laburnumdyke/decision/watch_state.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr int kMaxCountedFailures = 8; // the pause has its maximum by then

} // namespace

std::optional<store_version>
watch_state::After() const
{
  return mNeedsSnapshot ? std::nullopt : std::optional<store_version>(mVersion);
}

bool
watch_state::LearnEra(std::uint64_t aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  mEra = aEra;
  bool hasRead = !mNeedsSnapshot || mVersion != store_version();
  if (!hasRead) {
    return false;
  }
  mNeedsSnapshot = true;
  mAwaitsEra = true;
  return true;
}

// Whether a delta, or the lack of one, refers to a version of the era whose
// readings are applied.
bool
watch_state::IsOfThisState(const reading_head& aHead) const
{
  return aHead.mIsSnapshot || !aHead.mAfter ||
         (aHead.mAfter->mEra == mVersion.mEra && !mAwaitsEra);
}

void
watch_state::Accept(const store_version& aVersion)
{
  mVersion = aVersion;
  mNeedsSnapshot = false;
  mAwaitsEra = false;
}

bool
watch_state::Take(const reading_head& aHead)
{
  if (aHead.mStatus == reading_status::NoAnswer) {
    mFailures = std::min(mFailures + 1, kMaxCountedFailures);
    return false;
  }
  // An answer without an era is of the known one, as if there were no eras.
  std::uint64_t era = aHead.mVersion.mEra == 0 ? mEra : aHead.mVersion.mEra;
  if (era < mEra) {
    return false;
  }
  LearnEra(era);
  mFailures = 0;
  if (!IsOfThisState(aHead)) {
    return false;
  }
  if (aHead.mStatus == reading_status::HistoryLost) {
    mNeedsSnapshot = true;
    return false;
  }
  store_version version(era, aHead.mVersion.mVersion);
  if (version < mVersion) {
    return false;
  }
  Accept(version);
  return true;
}

bool
watch_state::TakeFromPeer(const reading_head& aHead)
{
  if (aHead.mStatus != reading_status::Read || aHead.mVersion.mEra < mEra ||
      aHead.mVersion <= mVersion) {
    return false;
  }
  LearnEra(aHead.mVersion.mEra);
  if (!IsOfThisState(aHead)) {
    return false;
  }
  Accept(aHead.mVersion);
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
