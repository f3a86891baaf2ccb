// Acquires the bytes that are available and retries when the budget says that
// more will be. The budget decides the order among ranks, so no queue is needed
// here.
#include "laburnumdyke/plugin/link_pacer.h"

#include "laburnumdyke/plugin/sleep.h"

namespace laburnumdyke {

bool
link_pacer::CanCarry(const link_transfer& aTransfer,
                     std::uint64_t aBytes,
                     instant aNow)
{
  bool canCarry = mTables.CanCarry(
    aTransfer.mTo, aTransfer.mRank, aBytes, aTransfer.mDeadline, aNow);
  if (!canCarry) {
    mKernel.Counters().Add("link_refused_total", ToString(aTransfer.mRank));
  }
  return canCarry;
}

asio::awaitable<bool>
link_pacer::Pace(link_transfer aTransfer, std::uint64_t aBytes)
{
  std::uint64_t remaining = aBytes;
  while (remaining > 0) {
    instant now = std::chrono::steady_clock::now();
    link_take_result taken =
      mTables.TakeLink(aTransfer.mTo, aTransfer.mRank, remaining, now);
    remaining -= taken.mGranted;
    if (remaining == 0) {
      break;
    }
    instant retryAt = now + taken.mRetryAfter;
    if (retryAt >= aTransfer.mDeadline) {
      mKernel.Counters().Add("link_cut_total", ToString(aTransfer.mRank));
      co_return false;
    }
    mKernel.Counters().Add("link_wait_total", ToString(aTransfer.mRank));
    co_await SleepUntil(retryAt);
  }
  mKernel.Counters().Add("link_bytes_total", ToString(aTransfer.mRank), aBytes);
  co_return true;
}

} // namespace laburnumdyke
