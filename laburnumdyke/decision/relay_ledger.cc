// Times of hand-overs in order, so that what an advert covers is found by
// bisection and old ones leave at the front.
#include "laburnumdyke/decision/relay_ledger.h"

#include <algorithm>

namespace laburnumdyke {

void
relay_ledger::Count(const instance_id& aPeer,
                    const service_id& aService,
                    instant aNow)
{
  std::deque<instant>& times = mHandedOver[{ aPeer, aService }];
  while (!times.empty() && aNow - times.front() >= kMemory) {
    times.pop_front();
  }
  times.push_back(aNow);
}

void
relay_ledger::Refused(const instance_id& aPeer, instant aNow)
{
  std::erase_if(mRefused,
                [&](const std::pair<const instance_id, instant>& aEntry) {
                  return aNow - aEntry.second >= kMemory;
                });
  mRefused[aPeer] = aNow;
}

bool
relay_ledger::IsRefusing(const instance_id& aPeer, instant aHeard) const
{
  auto found = mRefused.find(aPeer);
  return found != mRefused.end() && aHeard <= found->second;
}

std::uint32_t
relay_ledger::Spent(const instance_id& aPeer,
                    const service_id& aService,
                    instant aHeard) const
{
  auto found = mHandedOver.find({ aPeer, aService });
  if (found == mHandedOver.end()) {
    return 0;
  }
  const std::deque<instant>& times = found->second;
  auto first =
    std::upper_bound(times.begin(), times.end(), aHeard - kInTransit);
  return static_cast<std::uint32_t>(times.end() - first);
}

} // namespace laburnumdyke
