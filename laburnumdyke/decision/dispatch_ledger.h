// Requests that this entry instance has in flight, by upstream.
//
// Usage:
//   ledger.Begin(number, upstream, deadline);
//   ...
//   ledger.End(number);
//
// A number must not be begun again while it is in flight. Ending an unknown
// number does nothing.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstdint>
#include <map>
#include <set>

namespace laburnumdyke {

class dispatch_ledger
{
public:
  void Begin(std::uint64_t aNumber,
             const upstream_id& aUpstream,
             instant aDeadline);
  void End(std::uint64_t aNumber);

  std::uint32_t InFlight(const upstream_id& aUpstream) const;

  // The latest deadline of the requests in flight at an upstream; the epoch if
  // there are none.
  instant LatestDeadline(const upstream_id& aUpstream) const;

  // Upstreams with at least one request in flight.
  std::set<upstream_id> BusyUpstreams() const;

private:
  struct entry
  {
    upstream_id mUpstream;
    instant mDeadline{};
  };

  std::map<std::uint64_t, entry> mEntries;
  std::map<upstream_id, std::multiset<instant>> mDeadlines;
};

} // namespace laburnumdyke
