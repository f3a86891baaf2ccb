// The times of relays are kept sorted, so that the relays since a credit are
// found by binary search and old ones are removed at the front. Every
// kRetention, a pass over the tables, linear in their size, removes the entries
// of peers that are gone.
#include "laburnumdyke/decision/relay_ledger.h"

#include <algorithm>

namespace laburnumdyke {

void
relay_ledger::RecordRelay(const instance_id& aPeer,
                          const service_id& aService,
                          instant aNow)
{
  Expire(aNow);
  std::deque<instant>& times = mRelays[{ aPeer, aService }];
  while (!times.empty() && aNow - times.front() >= kRetention) {
    times.pop_front();
  }
  times.push_back(aNow);
}

void
relay_ledger::RecordRefusal(const instance_id& aPeer, instant aNow)
{
  std::erase_if(mRefusals,
                [&](const std::pair<const instance_id, instant>& aEntry) {
                  return aNow - aEntry.second >= kRetention;
                });
  mRefusals[aPeer] = aNow;
}

bool
relay_ledger::HasRefusedSince(const instance_id& aPeer,
                              instant aAdvertTime) const
{
  auto found = mRefusals.find(aPeer);
  return found != mRefusals.end() && aAdvertTime <= found->second;
}

void
relay_ledger::RecordCredits(const instance_id& aPeer,
                            const std::vector<service_credit>& aCredits,
                            instant aNow)
{
  Expire(aNow);
  for (const service_credit& credit : aCredits) {
    mCredits[{ aPeer, credit.mService }] = { credit, aNow };
  }
}

std::optional<received_credit>
relay_ledger::ReceivedCredit(const instance_id& aPeer,
                             const service_id& aService) const
{
  auto found = mCredits.find({ aPeer, aService });
  return found == mCredits.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t
relay_ledger::RelaysSince(const instance_id& aPeer,
                          const service_id& aService,
                          instant aSince) const
{
  auto found = mRelays.find({ aPeer, aService });
  if (found == mRelays.end()) {
    return 0;
  }
  const std::deque<instant>& times = found->second;
  auto first = std::upper_bound(times.begin(), times.end(), aSince);
  return static_cast<std::uint32_t>(times.end() - first);
}

instant
relay_ledger::LastRelay(const instance_id& aPeer,
                        const service_id& aService) const
{
  auto found = mRelays.find({ aPeer, aService });
  return found == mRelays.end() ? instant() : found->second.back();
}

void
relay_ledger::Expire(instant aNow)
{
  if (aNow - mLastExpiry < kRetention) {
    return;
  }
  mLastExpiry = aNow;
  std::erase_if(mRelays, [&](const auto& aEntry) {
    return aNow - aEntry.second.back() >= kRetention;
  });
  std::erase_if(mCredits, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeard >= kRetention;
  });
}

} // namespace laburnumdyke
