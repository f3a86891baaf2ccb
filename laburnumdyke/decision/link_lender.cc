// The division must be safe without consensus among instances. If each instance
// computed its share from the demands it knows of, the sum would exceed the
// limit whenever two views differ; an even split among all instances would
// waste the rate of idle ones. Time-limited grants avoid both; docs/DESIGN.md
// has the measurements.
#include "laburnumdyke/decision/link_lender.h"

#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

void
rate_lender::Open(byte_rate aDomainRate, instant aNoGrantsBefore)
{
  mDomainRate = aDomainRate;
  mLendable = aDomainRate - aDomainRate * kReservePercent / 100;
  mNoGrantsBefore = aNoGrantsBefore;
  mBorrowers.clear();
}

byte_rate
rate_lender::borrower::Lent(instant aNow) const
{
  byte_rate greatest = 0;
  for (const grant& one : mGrants) {
    if (one.mExpiry > aNow) {
      greatest = std::max(greatest, one.mRate);
    }
  }
  return greatest;
}

byte_rate
rate_lender::Lent(instant aNow) const
{
  byte_rate sum = 0;
  for (const std::pair<const instance_id, borrower>& entry : mBorrowers) {
    sum += entry.second.Lent(aNow);
  }
  return sum;
}

void
rate_lender::DropExpired(instant aNow)
{
  for (std::pair<const instance_id, borrower>& entry : mBorrowers) {
    std::erase_if(entry.second.mGrants,
                  [&](const grant& aGrant) { return aGrant.mExpiry <= aNow; });
  }
  std::erase_if(mBorrowers,
                [&](const std::pair<const instance_id, borrower>& aEntry) {
                  return aEntry.second.mGrants.empty() &&
                         aNow - aEntry.second.mLastRequest >= kGrantLifetime;
                });
}

// Max-min fairness: demands below the even share are met in full, and the
// others share the rest evenly.
byte_rate
rate_lender::FairShare(byte_rate aDemand) const
{
  std::vector<byte_rate> demands;
  for (const std::pair<const instance_id, borrower>& entry : mBorrowers) {
    demands.push_back(entry.second.mDemand);
  }
  std::sort(demands.begin(), demands.end());
  byte_rate left = mLendable;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    byte_rate even = left / (demands.size() - i);
    if (demands[i] >= even) {
      return std::min(aDemand, even);
    }
    left -= demands[i];
  }
  return aDemand;
}

rate_grant
rate_lender::Lend(const instance_id& aInstance, byte_rate aDemand, instant aNow)
{
  if (aNow < mNoGrantsBefore) {
    return {};
  }
  DropExpired(aNow);
  borrower& requester = mBorrowers[aInstance];
  requester.mDemand = aDemand;
  requester.mLastRequest = aNow;
  byte_rate others = Lent(aNow) - requester.Lent(aNow);
  byte_rate rate = std::min(FairShare(aDemand), mLendable - others);
  requester.mGrants.push_back({ rate, aNow + kGrantLifetime });
  byte_rate lent = Lent(aNow);
  CheckInvariant(lent <= mLendable, "link_rate_lent_twice", [&]() {
    return "lent=" + std::to_string(lent) +
           " lendable=" + std::to_string(mLendable);
  });
  return { rate, kGrantLifetime - kGrantExpiryMargin };
}

// Uses a hash, because two region names together may exceed the maximum length
// of a name, and heartbeats carry only names.
upstream_id
LinkClaimName(const link_direction& aDirection)
{
  std::uint64_t hash =
    RendezvousWeight(aDirection.mFrom.mValue, aDirection.mTo.mValue);
  return { "link-" + std::to_string(hash) };
}

std::vector<upstream_id>
LinkClaimNames(const document& aDocument, const region_id& aRegion)
{
  std::vector<upstream_id> names;
  for (const region_map::value_type& region : aDocument.mRegions) {
    link_direction direction{ aRegion, region.first };
    bool isLinked = DomainRate(aDocument, direction).value_or(0) > 0;
    if (isLinked && region.first != aRegion) {
      names.push_back(LinkClaimName(direction));
    }
  }
  return names;
}

// A change of the rate reopens the lender, so that grants of the old rate have
// expired before any of the new rate is lent.
void
link_lenders::SetHomes(const document& aDocument,
                       const region_id& aRegion,
                       const std::vector<home_claim>& aClaims,
                       instant aNow)
{
  std::map<link_direction, rate_lender> lenders;
  for (const region_map::value_type& region : aDocument.mRegions) {
    link_direction direction{ aRegion, region.first };
    byte_rate rate = DomainRate(aDocument, direction).value_or(0);
    upstream_id name = LinkClaimName(direction);
    bool isClaimed = std::any_of(
      aClaims.begin(), aClaims.end(), [&](const home_claim& aClaim) {
        return aClaim.mUpstream == name;
      });
    if (rate == 0 || !isClaimed) {
      continue;
    }
    auto previous = mLenders.find(direction);
    if (previous != mLenders.end() && previous->second.DomainRate() == rate) {
      lenders[direction] = std::move(previous->second);
    } else {
      lenders[direction].Open(rate, aNow + kGrantLifetime);
    }
  }
  mLenders = std::move(lenders);
}

std::optional<rate_grant>
link_lenders::Lend(const link_direction& aDirection,
                   const instance_id& aInstance,
                   byte_rate aDemand,
                   instant aNow)
{
  auto found = mLenders.find(aDirection);
  if (found == mLenders.end()) {
    return std::nullopt;
  }
  return found->second.Lend(aInstance, aDemand, aNow);
}

} // namespace laburnumdyke
