// Byte budgets for the links between regions, divided among the entry instances
// that send over them.
//
// Usage, at each instance:
//   budget.Configure(document, region, now);
//   link_take_result answer = budget.Take(direction, rank, bytes, now);
//   ... send answer.mGranted bytes; retry for the rest after answer.mRetryAfter
//   budget.CanCarry(direction, rank, bytes, deadline, now); // before a relay
//   rate_demand ask = budget.Ask(direction, now); // every kRateRequestPeriod
//   // when the lender has responded:
//   budget.ApplyGrant(direction, grant, requestedAt, now);
//   // at the lender (link_lender.h):
//   grant = lenders.Lend(direction, instance, ask.mDemand, now);
//
// Division: each direction's rate is divided evenly among the failure domains
// of the sending region, from the document alone. Within a domain each instance
// has a small reserve, and one instance, the holder of a home claim, lends the
// rest by demand for kGrantLifetime at a time. A grant expires on its holder's
// clock, counted from the sending of the request, before it expires at the
// lender. The sum of rates therefore never exceeds the link's rate, even when
// processes are suspended or messages are lost. Without a lender an instance
// falls back to its reserve.
//
// Ranks: every rank has a guaranteed minimum of the rate, its floor. What the
// floors leave over or do not use goes to the most urgent rank with demand.
//
// A relay that the link cannot carry by its deadline is refused before any byte
// is sent. For a direction that has just become active this decision uses the
// domain's rate, until the lender has had time to respond.
//
// Invariant: the bytes granted never exceed the integral of the rate over time.
#pragma once

#include "laburnumdyke/decision/link_rate.h"
#include "laburnumdyke/decision/rank_buckets.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <map>
#include <vector>

namespace laburnumdyke {

// Budgets of all directions from this instance's region.
class link_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Links;

  void Configure(const document& aDocument,
                 const region_id& aRegion,
                 instant aNow);

  link_take_result Take(const link_direction& aDirection,
                        work_rank aRank,
                        std::uint64_t aBytes,
                        instant aNow);

  // Whether aBytes could be sent by the deadline if no other traffic of the
  // same rank was sent. If not, the bytes count as demand, so that the next
  // request to the lender asks for a higher rate.
  bool CanCarry(const link_direction& aDirection,
                work_rank aRank,
                std::uint64_t aBytes,
                instant aDeadline,
                instant aNow);

  // Returns the demand since the last call as a rate, with headroom for growth,
  // and resets it.
  rate_demand Ask(const link_direction& aDirection, instant aNow);

  // Applies the lender's response. aRequestedAt: when the request was sent, on
  // this instance's clock. Has no effect if the grant has expired, or if the
  // response to this or a later request was applied before.
  void ApplyGrant(const link_direction& aDirection,
                  const rate_grant& aGrant,
                  instant aRequestedAt,
                  instant aNow);

  // The reserve plus the rate lent to this instance at aNow.
  byte_rate Rate(const link_direction& aDirection, instant aNow) const;

  std::vector<link_direction> Directions() const;

private:
  struct direction_state
  {
    byte_rate mDomainRate = 0;
    byte_rate mReserve = 0;
    byte_rate mLent = 0;
    instant mLentUntil{};
    instant mRequestedAt{}; // of the current grant
    std::uint64_t mDemandBytes = 0;
    instant mDemandSince{};
    std::optional<instant> mActiveSince; // nullopt while idle
    rank_buckets<> mBuckets;

    byte_rate Rate(instant aNow) const;
    byte_rate ExpectedRate(instant aNow) const;
    void RecordDemand(std::uint64_t aBytes, instant aNow);
    void ExpireGrant(instant aNow);
  };

  bool mUnlimited = true;
  std::map<link_direction, direction_state> mStates;
};

} // namespace laburnumdyke
