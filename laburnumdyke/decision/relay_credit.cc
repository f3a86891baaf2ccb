// The count starts anew with each advert, which has seen the requests handed
// over before it but for those still on the way.
#include "laburnumdyke/decision/relay_credit.h"

#include <algorithm>

namespace laburnumdyke {

std::vector<peer>
relay_credit::Adjust(const std::vector<peer>& aPeers)
{
  std::vector<peer> adjusted = aPeers;
  for (peer& one : adjusted) {
    const heartbeat& advert = one.mLast;
    handed& count = mHanded[advert.mSender.mInstance];
    if (count.mIncarnation != advert.mSender.mIncarnation ||
        count.mSequence != advert.mSequence) {
      count = { advert.mSender.mIncarnation, advert.mSequence, {} };
    }
    for (service_credit& credit : one.mLast.mCredits) {
      auto found = count.mRequests.find(credit.mService);
      if (found != count.mRequests.end()) {
        credit.mFree -= std::min(credit.mFree, found->second);
      }
    }
  }
  if (!adjusted.empty()) {
    std::size_t first = mTurn++ % adjusted.size();
    std::rotate(adjusted.begin(),
                adjusted.begin() + static_cast<std::ptrdiff_t>(first),
                adjusted.end());
  }
  return adjusted;
}

void
relay_credit::CountRelay(const instance_id& aInstance,
                         const service_id& aService)
{
  ++mHanded[aInstance].mRequests[aService];
}

} // namespace laburnumdyke
