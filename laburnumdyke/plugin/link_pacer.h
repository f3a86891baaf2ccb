// Paces the bodies of requests and answers to the byte budget of the link
// between two regions.
//
// Usage:
//   link_pacer pacer(kernel, tables);
//   link_transfer transfer{ region, rank, deadline };
//   if (!pacer.CanCarry(transfer, bytes, now)) ... refuse the request
//   bool sent = co_await pacer.Pace(transfer, chunkBytes);
//
// The sending side consumes the budget. Waiting uses a timer and blocks no
// thread. Headers, and refusals without an upstream's body, are not counted:
// they are small and their number is bounded by the requests in flight.
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace laburnumdyke {

// The destination, rank and deadline of one body.
struct link_transfer
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

  // Whether aBytes can be sent by the deadline at the link's current use. If
  // not, counts the refusal under link_refused_total.
  bool CanCarry(const link_transfer& aTransfer,
                std::uint64_t aBytes,
                instant aNow);

  // Acquires aBytes of the budget, waiting until they are available. Returns
  // false, and counts it under link_cut_total, if the deadline would pass
  // first.
  asio::awaitable<bool> Pace(link_transfer aTransfer, std::uint64_t aBytes);

private:
  kernel& mKernel;
  entry_tables& mTables;
};

} // namespace laburnumdyke
