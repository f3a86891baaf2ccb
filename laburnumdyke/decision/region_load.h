// Keeps the requests in flight in a region within the region's cap.
//
// Usage:
//   load.AddVersion(version, cap, RegionQuotas(document, region), domains,
//                   ranks);
//   load.SetHomes(homes);                               // when claims change
//   load.ProcessReports(reports, maxRequestTime, now);  // on each heartbeat
//   std::optional<quota_unit> unit =
//     load.Admit(service, deadline, now, upstream);
//   ... dispatch, then load.Release(*unit)
//   ... none: refuse the request with refusal_reason::RegionOverCap
//
// The cap is divided into a quota for each of the region's upstreams. The
// division depends on the document alone, and the holder of the home claim on
// an upstream uses its quota. Claims are mutually exclusive whatever the
// instances believe of each other, so no coordination is needed to keep the
// sum within the cap, and in a network partition each failure domain keeps its
// own quotas.
//
// An instance may lend a unit of one service to a request of another, if the
// request ends within the time for which the upstream's next home reserves
// the unit anyway. So short urgent requests borrow from long bulk requests,
// and not the other way; a service keeps the floor of its rank.
//
// A version of the document is settled once every failure domain of the region
// has reported it and all requests that were admitted before have ended. The
// smaller quotas of a new version apply at once, the larger ones when it is
// settled: until then the least quota of the unsettled versions applies. If the
// greatest quotas of these versions together fit into the least of their caps,
// no mixture of versions can exceed it, and the newest version applies at once.
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

// Divides the region's cap among its serving upstreams. A quota is at most the
// upstream's slots; the sum is the lesser of the cap and all slots. As far as
// the cap allows, every service gets a unit in each failure domain where it
// has an upstream.
quota_map
RegionQuotas(const document& aDocument, const region_id& aRegion);

// An upstream whose home this instance is.
struct region_home
{
  // mHeldElsewhere must include units that the previous home may have lent.
  home_claim mClaim;
  service_id mService;
  work_rank mRank = work_rank::Standard;
  // How long the next home reserves the units that this instance may still use.
  std::chrono::milliseconds mHandoverReserve{ 0 };
};

// The document version in force at an instance of the region. An instance must
// stay in the reports until its claims have certainly expired.
struct version_report
{
  instance_id mInstance;
  domain_id mDomain;
  std::uint64_t mVersion = 0;
};

// A permit for one request in flight, taken from an upstream's quota.
struct quota_unit
{
  upstream_id mUpstream;
  bool mLent = false; // to a request of another service
};

class region_load
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Regions;

  // aDomains: the region's failure domains. Versions must be added in
  // increasing order.
  void AddVersion(std::uint64_t aVersion,
                  std::uint32_t aCap,
                  quota_map aQuotas,
                  std::set<domain_id> aDomains,
                  const std::array<rank_spec, kRankCount>& aRanks);

  void SetHomes(const std::vector<region_home>& aHomes);

  // Settles the versions that every failure domain has reported. aReports: of
  // all instances of the region, including this one. aMaxRequestTime: the
  // longest that a request admitted now may be in flight.
  void ProcessReports(const std::vector<version_report>& aReports,
                      std::chrono::milliseconds aMaxRequestTime,
                      instant aNow);

  // Takes a unit for a request to aUpstream, if one is free: preferably one of
  // that upstream, then one of the same service, then a lent one. While a unit
  // of another upstream is in use, it must be reported as one of that
  // upstream's slots in use.
  std::optional<quota_unit> Admit(const service_id& aService,
                                  instant aDeadline,
                                  instant aNow,
                                  const upstream_id& aUpstream = {});
  void Release(const quota_unit& aUnit);

  // The quota that applies under the versions that are not settled.
  std::uint32_t Quota(const upstream_id& aUpstream) const;

  // The newest version added; 0 before the first.
  std::uint64_t NewestVersion() const;

  // Units of the upstream that requests of other services use.
  std::uint32_t LentUnits(const upstream_id& aUpstream) const;

  std::uint32_t InFlight() const;
  std::size_t Versions() const { return mVersions.size(); }

private:
  struct version
  {
    std::uint32_t mCap = 0;
    quota_map mQuotas;
    std::set<domain_id> mDomains;
    std::set<instance_id> mConfirmed;
    std::optional<instant> mConfirmedAt;
  };

  struct service_usage
  {
    std::uint32_t mQuota = 0;
    std::uint32_t mLent = 0;
  };

  std::uint32_t Free(const region_home& aHome, instant aNow) const;
  // Whether every mixture of the versions stays within the cap of each.
  bool DoAllMixturesFit() const;
  bool MayLend(const region_home& aHome) const;
  bool IsConfirmed(version& aVersion,
                   const std::vector<version_report>& aReports) const;

  std::map<std::uint64_t, version> mVersions;
  bool mAllMixturesFit = false; // of mVersions
  std::array<rank_spec, kRankCount> mRanks{};
  std::map<upstream_id, region_home> mHomes;
  std::map<upstream_id, std::uint32_t> mUsed;
  std::map<upstream_id, std::uint32_t> mLent;
};

} // namespace laburnumdyke
