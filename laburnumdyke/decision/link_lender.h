// Lends a failure domain's rate of a link to the domain's entry instances.
//
// Usage, at the instance that holds the home claim named by LinkClaimName:
//   lenders.SetHomes(document, region, claims, now);
//   grant = lenders.Lend(direction, instance, demand, now);
//
// Grants follow demand by max-min fairness and last kGrantLifetime. A new
// lender lends nothing until every grant of an earlier lender has expired.
//
// Invariant: the sum of unexpired grants never exceeds the lendable rate.
#pragma once

#include "laburnumdyke/decision/home_claim.h"
#include "laburnumdyke/decision/link_rate.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

// Lends one direction's rate to the instances of the domain.
class rate_lender
{
public:
  // aNoGrantsBefore: when the last grant of an earlier lender expires.
  void Open(byte_rate aDomainRate, instant aNoGrantsBefore);

  // Returns a grant that replaces the instance's earlier one. As the response
  // may be lost, the greatest unexpired grant of an instance counts as lent.
  rate_grant Lend(const instance_id& aInstance,
                  byte_rate aDemand,
                  instant aNow);

  // The sum of the rates that may be in use at aNow.
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

// Name that represents a direction in home claims. The instance that holds the
// claim is the lender of the domain's rate.
upstream_id
LinkClaimName(const link_direction& aDirection);

// The names for all linked directions from a region.
std::vector<upstream_id>
LinkClaimNames(const document& aDocument, const region_id& aRegion);

// The lenders of all directions that this instance lends.
class link_lenders
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Links;

  // Opens a lender for each newly claimed direction from aRegion and removes
  // the lenders whose claim is no longer held.
  void SetHomes(const document& aDocument,
                const region_id& aRegion,
                const std::vector<home_claim>& aClaims,
                instant aNow);

  // Returns nullopt if this instance is not the lender.
  std::optional<rate_grant> Lend(const link_direction& aDirection,
                                 const instance_id& aInstance,
                                 byte_rate aDemand,
                                 instant aNow);

private:
  std::map<link_direction, rate_lender> mLenders;
};

} // namespace laburnumdyke
