// Times of hand-overs in order, so that what a credit covers is found by
// bisection and old ones leave at the front. A sweep each kMemory keeps peers
// that have gone from filling the tables; its cost is linear in them.
#include "laburnumdyke/decision/relay_ledger.h"

#include <algorithm>

namespace laburnumdyke {

void
relay_ledger::Count(const instance_id& aPeer,
                    const service_id& aService,
                    instant aNow)
{
  Forget(aNow);
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

void
relay_ledger::Hear(const instance_id& aPeer,
                   const std::vector<service_credit>& aCredits,
                   instant aNow)
{
  Forget(aNow);
  for (const service_credit& credit : aCredits) {
    mHeard[{ aPeer, credit.mService }] = { credit, aNow };
  }
}

std::optional<heard_credit>
relay_ledger::Heard(const instance_id& aPeer, const service_id& aService) const
{
  auto found = mHeard.find({ aPeer, aService });
  return found == mHeard.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t
relay_ledger::Spent(const instance_id& aPeer,
                    const service_id& aService,
                    instant aCounted) const
{
  auto found = mHandedOver.find({ aPeer, aService });
  if (found == mHandedOver.end()) {
    return 0;
  }
  const std::deque<instant>& times = found->second;
  auto first = std::upper_bound(times.begin(), times.end(), aCounted);
  return static_cast<std::uint32_t>(times.end() - first);
}

instant
relay_ledger::LastHandOver(const instance_id& aPeer,
                           const service_id& aService) const
{
  auto found = mHandedOver.find({ aPeer, aService });
  return found == mHandedOver.end() ? instant() : found->second.back();
}

void
relay_ledger::Forget(instant aNow)
{
  if (aNow - mForgotten < kMemory) {
    return;
  }
  mForgotten = aNow;
  std::erase_if(mHandedOver, [&](const auto& aEntry) {
    return aNow - aEntry.second.back() >= kMemory;
  });
  std::erase_if(mHeard, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeard >= kMemory;
  });
}

} // namespace laburnumdyke
