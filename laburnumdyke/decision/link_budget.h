// Byte budgets for the links between regions, shared by the entry instances
// that send over them.
//
// Usage, at each instance:
//   budget.Configure(document, region, now);
//   link_answer answer = budget.Take(direction, rank, bytes, now);
//   ... send answer.mGranted bytes; ask for the rest after answer.mAskAgain
//   budget.CanCarry(direction, rank, bytes, deadline, now); // before a relay
//   rate_ask ask = budget.Ask(direction, now);     // every kAskPeriod
//   budget.Granted(direction, grant, askedAt, now);    // the lender's answer
//   // at the lender (link_lender.h):
//   grant = lenders.Lend(direction, instance, ask.mDemand, now);
//
// Division: each direction's rate is divided evenly among the failure domains
// of the sending region, by the document alone. In a domain each instance has
// a small reserve, and one of them, chosen by a home claim, lends the rest by
// demand for kRateLife at a time. A grant ends on the holder's own clock,
// counted from the asking, before it ends at the lender, so the sum of rates
// stays within the link whoever freezes and whichever message is lost. Without
// a lender an instance goes on with its reserve.
//
// Ranks: every rank has its floor of the rate; what the floors leave, or don't
// use, goes to the most urgent rank that wants it.
//
// A relay that the link can't carry by its deadline is refused before a byte
// is sent. A direction that has just come into use is judged by the domain's
// rate, until the lender has had the time to answer.
//
// Invariant: bytes granted never exceed the rate's integral over time.
#pragma once

#include "laburnumdyke/decision/link_rate.h"
#include "laburnumdyke/decision/rank_buckets.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <map>
#include <vector>

namespace laburnumdyke {

// All directions that leave this instance's region.
class link_budget
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Links;

  void Configure(const document& aDocument,
                 const region_id& aRegion,
                 instant aNow);

  link_answer Take(const link_direction& aDirection,
                   work_rank aRank,
                   std::uint64_t aBytes,
                   instant aNow);

  // Whether aBytes could be sent by the deadline if nobody else of the rank
  // sent any. Counts as wanted what can't be, so that a larger rate is asked
  // for.
  bool CanCarry(const link_direction& aDirection,
                work_rank aRank,
                std::uint64_t aBytes,
                instant aDeadline,
                instant aNow);

  // The rate that this instance has wanted since the last asking, with room to
  // grow.
  rate_ask Ask(const link_direction& aDirection, instant aNow);

  // aRequestedAt: when the question was sent, on this instance's clock. Late
  // and overtaken answers have no effect.
  void Granted(const link_direction& aDirection,
               const rate_grant& aGrant,
               instant aRequestedAt,
               instant aNow);

  // The reserve and what is lent to this instance at aNow.
  byte_rate Rate(const link_direction& aDirection, instant aNow) const;

  std::vector<link_direction> Directions() const;

private:
  struct direction_state
  {
    byte_rate mDomainRate = 0;
    byte_rate mReserve = 0;
    byte_rate mLent = 0;
    instant mLentUntil{};
    instant mRequestedAt{}; // of the grant in use
    std::uint64_t mDemandBytes = 0;
    instant mDemandSince{};
    std::optional<instant> mActiveSince; // nothing while idle
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
