// Takes what there is and comes back when the budget says that there is more:
// the order among ranks is the budget's, so no queue is kept here.
#include "laburnumdyke/plugin/link_pacer.h"

#include "laburnumdyke/plugin/sleep.h"

namespace laburnumdyke {

bool
link_pacer::CanCarry(const link_use& aUse, std::uint64_t aBytes, instant aNow)
{
  bool can =
    mTables.CanCarry(aUse.mTo, aUse.mRank, aBytes, aUse.mDeadline, aNow);
  if (!can) {
    mKernel.Counters().Add("link_refused_total", ToString(aUse.mRank));
  }
  return can;
}

asio::awaitable<bool>
link_pacer::Pace(link_use aUse, std::uint64_t aBytes)
{
  std::uint64_t left = aBytes;
  while (left > 0) {
    instant now = std::chrono::steady_clock::now();
    link_take_result answer = mTables.TakeLink(aUse.mTo, aUse.mRank, left, now);
    left -= answer.mGranted;
    if (left == 0) {
      break;
    }
    instant again = now + answer.mRetryAfter;
    if (again >= aUse.mDeadline) {
      mKernel.Counters().Add("link_cut_total", ToString(aUse.mRank));
      co_return false;
    }
    mKernel.Counters().Add("link_wait_total", ToString(aUse.mRank));
    co_await SleepUntil(again);
  }
  mKernel.Counters().Add("link_bytes_total", ToString(aUse.mRank), aBytes);
  co_return true;
}

} // namespace laburnumdyke
