// The bytes are counted for the whole request and up front, rather than as
// they come: a request that is let in must not fail halfway for want of
// memory.
#include "laburnumdyke/plugin/instance_entry.h"

#include <algorithm>

namespace laburnumdyke {

// A stream buffer for each direction, and what is kept of the request's body
// for another attempt.
std::uint64_t
HeldBytes(const http_exchange& aExchange)
{
  std::uint64_t kept = 0;
  if (!aExchange.mParser.is_done()) {
    kept = std::min<std::uint64_t>(
      aExchange.mParser.content_length().value_or(kReplayableBody),
      kReplayableBody);
  }
  return 2 * kStreamBuffer + kept;
}

instance_entry::instance_entry(table<admission>& aAdmission,
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

instance_entry::~instance_entry()
{
  if (mReason == refusal_reason::None) {
    mAdmission.With(
      [&](admission& aTable) { aTable.Limit().Leave(mRank, mBytes); });
  }
}

} // namespace laburnumdyke
