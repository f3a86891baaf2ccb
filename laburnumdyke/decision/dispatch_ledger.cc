// The deadlines of each upstream are kept sorted, so that each heartbeat can
// read the latest one. Begin and End take time logarithmic in the number of
// requests in flight.
#include "laburnumdyke/decision/dispatch_ledger.h"

#include "laburnumdyke/kernel/invariant.h"

namespace laburnumdyke {

void
dispatch_ledger::Begin(std::uint64_t aNumber,
                       const upstream_id& aUpstream,
                       instant aDeadline)
{
  bool isNew = mEntries.emplace(aNumber, entry{ aUpstream, aDeadline }).second;
  CheckInvariant(isNew, "dispatched_twice", [&]() {
    return "number=" + std::to_string(aNumber);
  });
  mDeadlines[aUpstream].insert(aDeadline);
}

void
dispatch_ledger::End(std::uint64_t aNumber)
{
  auto found = mEntries.find(aNumber);
  if (found == mEntries.end()) {
    return;
  }
  auto deadlines = mDeadlines.find(found->second.mUpstream);
  deadlines->second.erase(deadlines->second.find(found->second.mDeadline));
  if (deadlines->second.empty()) {
    mDeadlines.erase(deadlines);
  }
  mEntries.erase(found);
}

std::uint32_t
dispatch_ledger::InFlight(const upstream_id& aUpstream) const
{
  auto found = mDeadlines.find(aUpstream);
  return found == mDeadlines.end()
           ? 0
           : static_cast<std::uint32_t>(found->second.size());
}

instant
dispatch_ledger::LatestDeadline(const upstream_id& aUpstream) const
{
  auto found = mDeadlines.find(aUpstream);
  return found == mDeadlines.end() ? instant{} : *found->second.rbegin();
}

std::set<upstream_id>
dispatch_ledger::BusyUpstreams() const
{
  std::set<upstream_id> busy;
  for (const std::pair<const upstream_id, std::multiset<instant>>& upstream :
       mDeadlines) {
    busy.insert(upstream.first);
  }
  return busy;
}

} // namespace laburnumdyke
