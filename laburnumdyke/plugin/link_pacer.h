// Holds the body of a request or an answer to the byte budget of the link
// between two regions.
//
// Usage:
//   link_pacer pacer(kernel, tables);
//   link_use use{ region, rank, deadline };
//   if (!pacer.CanCarry(use, bytes, now)) ... refuse
//   bool sent = co_await pacer.Pace(use, chunk);
//
// The sending side spends. Waits are on a timer. Headers, and refusals without
// an upstream's body, aren't counted: they are small and bounded by the
// requests in flight.
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace laburnumdyke {

// Where a body goes, and until when.
struct link_use
{
  region_id mTo;
  work_rank mRank = work_rank::Standard;
  instant mDeadline{};
};

class link_pacer
{
public:
  link_pacer(kernel& aKernel, entry_tables& aTables)
    : mKernel(aKernel)
    , mTables(aTables)
  {
  }

  // Whether aBytes can be sent by the deadline as the link is used now;
  // counted where not.
  bool CanCarry(const link_use& aUse, std::uint64_t aBytes, instant aNow);

  // Takes aBytes of the budget, waiting where they aren't there yet. False
  // where the deadline comes first.
  asio::awaitable<bool> Pace(link_use aUse, std::uint64_t aBytes);

private:
  kernel& mKernel;
  entry_tables& mTables;
};

} // namespace laburnumdyke
