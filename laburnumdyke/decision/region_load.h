// Keeps the requests in flight in a region within the region's cap.
//
// Usage:
//   load.Adopt(version, RegionQuotas(document, region), domains);
//   load.SetHomes(homes);                 // whenever the claims change
//   load.Settle(reports, longestHold, now);    // on each heartbeat
//   std::optional<region_unit> unit =
//     load.Admit(service, deadline, now, upstream);
//   ... dispatch, then load.Release(*unit)
//   ... none: refuse the request as region_over_cap
//
// The cap is divided among the region's upstreams by the document alone, and
// an upstream's quota belongs to whoever holds the home claim on it. Claims
// exclude one another whatever the instances believe of each other, so the sum
// needs no agreement, no report and no exchange, and a cut leaves each domain
// its own quotas.
//
// An instance may use the unit of one service for a request of another, if the
// request ends within the time that a successor holds the unit back anyway.
// So short urgent work borrows from long bulk work and not the other way; a
// service keeps the floor of its rank.
//
// A new document's smaller quotas hold at once; larger ones once every failure
// domain of the region has reported that version and what was admitted before
// has ended. Until then the least of the versions counts, unless the greatest
// quotas of all of them fit into the least cap: then no mixture of versions
// exceeds it, and the newest counts.
//
// Invariant: units in use of an upstream never grow beyond its quota.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/home_claim.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnumdyke {

using quota_map = std::map<upstream_id, std::uint32_t>;

// The region's cap divided among its serving upstreams: at most an upstream's
// slots, in sum the lesser of cap and slots. As far as the cap allows, every
// service has a unit in each failure domain where it has an upstream.
quota_map
RegionQuotas(const document& aDocument, const region_id& aRegion);

// An upstream whose home this instance is.
struct region_home
{
  // mHeldElsewhere must count units that the earlier home may have lent.
  home_claim mClaim;
  service_id mService;
  work_rank mRank = work_rank::Standard;
  // How long a successor holds the upstream's units back.
  std::chrono::milliseconds mHold{ 0 };
};

// The version in force at an instance of the region. An instance stays in the
// reports until its claims have lapsed for certain.
struct version_report
{
  instance_id mInstance;
  domain_id mDomain;
  std::uint64_t mVersion = 0;
};

// The right to one request in flight, taken from an upstream's quota.
struct region_unit
{
  upstream_id mUpstream;
  bool mLent = false; // to a request of another service
};

class region_load
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Regions;

  // aDomains: the region's failure domains. Versions come in growing order.
  void Adopt(std::uint64_t aVersion,
             std::uint32_t aCap,
             quota_map aQuotas,
             std::set<domain_id> aDomains,
             const std::array<rank_spec, kRankCount>& aRanks);

  void SetHomes(const std::vector<region_home>& aHomes);

  // aReports: of all instances of the region, this one included. aLongestHold:
  // the longest that a request admitted now may be in flight.
  void Settle(const std::vector<version_report>& aReports,
              std::chrono::milliseconds aLongestHold,
              instant aNow);

  // aUpstream: where the request goes; its own units are taken first, then
  // those of others of the service, then lent ones. A unit of another upstream
  // must be reported with that one's slots in use while it is held.
  std::optional<region_unit> Admit(const service_id& aService,
                                   instant aDeadline,
                                   instant aNow,
                                   const upstream_id& aUpstream = {});
  void Release(const region_unit& aUnit);

  // The quota that every version that has not settled allows.
  std::uint32_t Quota(const upstream_id& aUpstream) const;

  // The newest version adopted; 0 before the first.
  std::uint64_t Newest() const;

  // Units of the upstream that other services use.
  std::uint32_t Lent(const upstream_id& aUpstream) const;

  std::uint32_t InFlight() const;
  std::size_t Versions() const { return mVersions.size(); }

private:
  struct version
  {
    std::uint32_t mCap = 0;
    quota_map mQuotas;
    std::set<domain_id> mDomains;
    std::set<instance_id> mConfirmed;
    std::optional<instant> mAllConfirmed;
  };

  struct service_use
  {
    std::uint32_t mQuota = 0;
    std::uint32_t mLent = 0;
  };

  std::uint32_t Free(const region_home& aHome, instant aNow) const;
  // Whether any mixture of the versions stays within each one's cap.
  bool AnyMixtureFits() const;
  bool MayLend(const region_home& aHome) const;
  bool IsConfirmed(version& aVersion,
                   const std::vector<version_report>& aReports) const;

  std::map<std::uint64_t, version> mVersions;
  bool mAnyMixtureFits = false; // of mVersions
  std::array<rank_spec, kRankCount> mRanks{};
  std::map<upstream_id, region_home> mHomes;
  std::map<upstream_id, std::uint32_t> mUsed;
  std::map<upstream_id, std::uint32_t> mLent;
};

} // namespace laburnumdyke
