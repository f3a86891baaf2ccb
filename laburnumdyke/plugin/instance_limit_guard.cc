// Memory is reserved for the whole request in advance, rather than as bytes
// arrive: an admitted request must not fail halfway because memory runs out.
#include "laburnumdyke/plugin/instance_limit_guard.h"

#include <algorithm>

namespace laburnumdyke {

// One stream buffer per direction, and the part of the request's body that is
// kept for a retry.
std::uint64_t
MaxBufferedBytes(const http_exchange& aExchange)
{
  std::uint64_t kept = 0;
  if (!aExchange.mParser.is_done()) {
    kept = std::min<std::uint64_t>(
      aExchange.mParser.content_length().value_or(kReplayableBody),
      kReplayableBody);
  }
  return 2 * kStreamBuffer + kept;
}

instance_limit_guard::instance_limit_guard(table<admission>& aAdmission,
                                           work_rank aRank,
                                           std::uint64_t aBytes,
                                           instant aNow)
  : mAdmission(aAdmission)
  , mRank(aRank)
  , mBytes(aBytes)
{
  mAdmission.With([&](admission& aTable) {
    mReason = aTable.Limit().Enter(mRank, mBytes, aNow);
    if (mReason != refusal_reason::None) {
      mRetryAfter = aTable.Limit().RetryAfter();
    }
  });
}

instance_limit_guard::~instance_limit_guard()
{
  if (mReason == refusal_reason::None) {
    mAdmission.With(
      [&](admission& aTable) { aTable.Limit().Leave(mRank, mBytes); });
  }
}

} // namespace laburnumdyke
