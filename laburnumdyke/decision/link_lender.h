// Lends a failure domain's rate of a link to the domain's entry instances.
//
// Usage, at the instance with the home claim named by LinkClaimName:
//   lenders.SetHomes(document, region, claims, now);
//   grant = lenders.Lend(direction, instance, demand, now);
//
// Grants are by demand, max-min, for kRateLife at a time. A lender that has
// just opened lends nothing until every grant of an earlier one has ended.
//
// Invariant: grants that may be in use never exceed the lendable rate.
#pragma once

#include "laburnumdyke/decision/home_claim.h"
#include "laburnumdyke/decision/link_rate.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

// Lends a domain's rate to its instances.
class rate_lender
{
public:
  // aNoGrantsBefore: until then an earlier lender's grants may be in use.
  void Open(byte_rate aDomainRate, instant aNoGrantsBefore);

  // A new grant replaces the instance's earlier one; as its answer may be
  // lost, the greater of both counts until the earlier one has ended.
  rate_grant Lend(const instance_id& aInstance,
                  byte_rate aDemand,
                  instant aNow);

  // What may be in use at aNow.
  byte_rate Lent(instant aNow) const;
  byte_rate Lendable() const { return mLendable; }
  byte_rate DomainRate() const { return mDomainRate; }

private:
  struct grant
  {
    byte_rate mRate = 0;
    instant mExpiry{};
  };

  struct borrower
  {
    byte_rate mDemand = 0;
    instant mLastRequest{};
    std::vector<grant> mGrants;

    byte_rate Lent(instant aNow) const;
  };

  void DropExpired(instant aNow);
  byte_rate FairShare(byte_rate aDemand) const;

  byte_rate mDomainRate = 0;
  byte_rate mLendable = 0;
  instant mNoGrantsBefore{};
  std::map<instance_id, borrower> mBorrowers;
};

// The upstream that stands for a direction in home claims: whoever is its home
// lends the domain's rate.
upstream_id
LinkClaimName(const link_direction& aDirection);

// Of all directions that leave a region.
std::vector<upstream_id>
LinkClaimNames(const document& aDocument, const region_id& aRegion);

// The lenders that this instance is.
class link_lenders
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Links;

  // Opens a lender for each newly claimed direction that leaves aRegion and
  // drops those whose claim is gone.
  void SetHomes(const document& aDocument,
                const region_id& aRegion,
                const std::vector<home_claim>& aClaims,
                instant aNow);

  // Nothing where this instance is not the lender.
  std::optional<rate_grant> Lend(const link_direction& aDirection,
                                 const instance_id& aInstance,
                                 byte_rate aDemand,
                                 instant aNow);

private:
  std::map<link_direction, rate_lender> mLenders;
};

} // namespace laburnumdyke
