// Highest averages (Webster's method) after one unit for each service and
// failure domain: integral, exact in sum, and a change of one upstream's slots
// moves few units. Ties go by a hash, so that they spread over the domains.
//
// Ways weighed: an equal split over the instances that each instance sees
// overshoots as soon as two views differ; leased shares from a coordinator
// need one more protocol and stop at a cut. docs/DESIGN.md has the figures.
#include "laburnumdyke/decision/region_load.h"

#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <limits>
#include <queue>
#include <tuple>

namespace laburnumdyke {

namespace {

struct quota_candidate
{
  std::uint32_t mSlots;
  std::uint32_t mGiven;
  std::uint64_t mTie;
  upstream_id mUpstream;

  // Whether the other comes first.
  bool operator<(const quota_candidate& aOther) const
  {
    std::uint64_t mine = std::uint64_t{ mSlots } * (2 * aOther.mGiven + 1);
    std::uint64_t other = std::uint64_t{ aOther.mSlots } * (2 * mGiven + 1);
    return mine != other ? mine < other : mTie < aOther.mTie;
  }
};

std::vector<quota_candidate>
Candidates(const document& aDocument, const region_id& aRegion)
{
  std::vector<quota_candidate> candidates;
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_spec& upstream = entry.second;
    if (aDocument.RegionOf(upstream.mDomain) == aRegion &&
        upstream.mState == upstream_state::Serving) {
      std::uint64_t tie = RendezvousWeight(entry.first.mValue, "quota");
      candidates.push_back({ upstream.mSlots, 0, tie, entry.first });
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  return candidates;
}

// Gives the first unit of each service in each domain, urgent services first.
void
GiveFirstUnits(const document& aDocument,
               std::vector<quota_candidate>& aCandidates,
               std::uint32_t& aLeft)
{
  std::set<std::pair<domain_id, service_id>> given;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    for (quota_candidate& one : aCandidates) {
      const upstream_spec& upstream = aDocument.mUpstreams.at(one.mUpstream);
      work_rank own = aDocument.mServices.at(upstream.mService).mRank;
      bool isFirst = own == static_cast<work_rank>(rank) && aLeft > 0 &&
                     one.mSlots > 0 &&
                     given.emplace(upstream.mDomain, upstream.mService).second;
      if (isFirst) {
        one.mGiven = 1;
        --aLeft;
      }
    }
  }
}

std::uint32_t
Count(const std::map<upstream_id, std::uint32_t>& aCounts,
      const upstream_id& aUpstream)
{
  auto found = aCounts.find(aUpstream);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

quota_map
RegionQuotas(const document& aDocument, const region_id& aRegion)
{
  auto region = aDocument.mRegions.find(aRegion);
  std::uint32_t left =
    region == aDocument.mRegions.end() ? 0 : region->second.mCap;
  std::vector<quota_candidate> candidates = Candidates(aDocument, aRegion);
  GiveFirstUnits(aDocument, candidates, left);
  quota_map quotas;
  std::priority_queue<quota_candidate> queue;
  for (const quota_candidate& one : candidates) {
    quotas[one.mUpstream] = one.mGiven;
    if (one.mGiven < one.mSlots) {
      queue.push(one);
    }
  }
  for (; left > 0 && !queue.empty(); --left) {
    quota_candidate next = queue.top();
    queue.pop();
    quotas[next.mUpstream] = ++next.mGiven;
    if (next.mGiven < next.mSlots) {
      queue.push(next);
    }
  }
  return quotas;
}

void
region_load::Adopt(std::uint64_t aVersion,
                   std::uint32_t aCap,
                   quota_map aQuotas,
                   std::set<domain_id> aDomains,
                   const std::array<rank_spec, kRankCount>& aRanks)
{
  CheckInvariant(mVersions.empty() || mVersions.rbegin()->first < aVersion,
                 "region_version_back",
                 [&]() { return "version=" + std::to_string(aVersion); });
  mVersions[aVersion] = {
    aCap, std::move(aQuotas), std::move(aDomains), {}, {}
  };
  mAnyMixtureFits = AnyMixtureFits();
  mRanks = aRanks;
}

void
region_load::SetHomes(const std::vector<region_home>& aHomes)
{
  mHomes.clear();
  for (const region_home& home : aHomes) {
    mHomes[home.mClaim.mUpstream] = home;
  }
}

// An instance that skipped a version never confirms it; a later version that
// it does confirm settles both.
bool
region_load::IsConfirmed(version& aVersion,
                         const std::vector<version_report>& aReports) const
{
  std::set<domain_id> missing;
  for (const std::pair<const std::uint64_t, version>& each : mVersions) {
    missing.insert(each.second.mDomains.begin(), each.second.mDomains.end());
  }
  for (const version_report& report : aReports) {
    if (aVersion.mConfirmed.count(report.mInstance) == 0) {
      return false;
    }
    missing.erase(report.mDomain);
  }
  return missing.empty();
}

void
region_load::Settle(const std::vector<version_report>& aReports,
                    std::chrono::milliseconds aLongestHold,
                    instant aNow)
{
  std::uint64_t settled = 0;
  for (std::pair<const std::uint64_t, version>& each : mVersions) {
    for (const version_report& report : aReports) {
      if (report.mVersion == each.first) {
        each.second.mConfirmed.insert(report.mInstance);
      }
    }
    if (!each.second.mAllConfirmed && IsConfirmed(each.second, aReports)) {
      each.second.mAllConfirmed = aNow;
    }
    if (each.second.mAllConfirmed &&
        aNow >= *each.second.mAllConfirmed + aLongestHold) {
      settled = each.first;
    }
  }
  mVersions.erase(mVersions.begin(), mVersions.lower_bound(settled));
  mAnyMixtureFits = AnyMixtureFits();
}

// Each instance uses the newest quotas that it knows, or less. Every version
// in use anywhere is unsettled at the instance with the newest of those that
// go by this rule, so the sum over instances stays below the greatest quotas
// that are summed here.
bool
region_load::AnyMixtureFits() const
{
  quota_map greatest;
  std::uint32_t cap = std::numeric_limits<std::uint32_t>::max();
  for (const std::pair<const std::uint64_t, version>& each : mVersions) {
    cap = std::min(cap, each.second.mCap);
    for (const quota_map::value_type& quota : each.second.mQuotas) {
      std::uint32_t& most = greatest[quota.first];
      most = std::max(most, quota.second);
    }
  }
  std::uint64_t sum = 0;
  for (const quota_map::value_type& quota : greatest) {
    sum += quota.second;
  }
  return sum <= cap;
}

std::uint32_t
region_load::Quota(const upstream_id& aUpstream) const
{
  if (mAnyMixtureFits && !mVersions.empty()) {
    return Count(mVersions.rbegin()->second.mQuotas, aUpstream);
  }
  std::optional<std::uint32_t> least;
  for (const std::pair<const std::uint64_t, version>& each : mVersions) {
    std::uint32_t quota = Count(each.second.mQuotas, aUpstream);
    least = std::min(least.value_or(quota), quota);
  }
  return least.value_or(0);
}

std::uint32_t
region_load::Free(const region_home& aHome, instant aNow) const
{
  const home_claim& claim = aHome.mClaim;
  std::uint32_t used = Count(mUsed, claim.mUpstream);
  if (aNow < claim.mHeldUntil) {
    used += claim.mHeldElsewhere;
  }
  std::uint32_t quota = Quota(claim.mUpstream);
  return quota - std::min(quota, used);
}

// The floor of the rank, rounded up, stays with the service.
bool
region_load::MayLend(const region_home& aHome) const
{
  service_use use;
  for (const std::pair<const upstream_id, region_home>& home : mHomes) {
    if (home.second.mService == aHome.mService) {
      use.mQuota += Quota(home.first);
      use.mLent += Count(mLent, home.first);
    }
  }
  std::uint32_t floor =
    mRanks.at(static_cast<std::size_t>(aHome.mRank)).mFloorPercent;
  std::uint32_t kept = std::max(1u, (use.mQuota * floor + 99) / 100);
  return use.mLent + kept < use.mQuota;
}

std::optional<region_unit>
region_load::Admit(const service_id& aService,
                   instant aDeadline,
                   instant aNow,
                   const upstream_id& aUpstream)
{
  const region_home* best = nullptr;
  bool isBestOwn = false;
  std::tuple<bool, bool, std::uint32_t> bestOrder;
  for (const std::pair<const upstream_id, region_home>& entry : mHomes) {
    const region_home& home = entry.second;
    bool isOwn = home.mService == aService;
    std::uint32_t free = Free(home, aNow);
    std::tuple<bool, bool, std::uint32_t> order(
      entry.first == aUpstream, isOwn, free);
    if (free > 0 && aDeadline <= aNow + home.mHold && order > bestOrder &&
        (isOwn || MayLend(home))) {
      best = &home;
      isBestOwn = isOwn;
      bestOrder = order;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const upstream_id& upstream = best->mClaim.mUpstream;
  std::uint32_t used = ++mUsed[upstream];
  if (!isBestOwn) {
    ++mLent[upstream];
  }
  CheckInvariant(used <= Quota(upstream), "region_over_cap", [&]() {
    return "upstream=" + upstream.mValue + " used=" + std::to_string(used) +
           " quota=" + std::to_string(Quota(upstream));
  });
  return region_unit{ upstream, !isBestOwn };
}

void
region_load::Release(const region_unit& aUnit)
{
  auto used = mUsed.find(aUnit.mUpstream);
  CheckInvariant(used != mUsed.end(), "region_unit_released_twice", [&]() {
    return "upstream=" + aUnit.mUpstream.mValue;
  });
  if (--used->second == 0) {
    mUsed.erase(used);
  }
  if (aUnit.mLent && --mLent[aUnit.mUpstream] == 0) {
    mLent.erase(aUnit.mUpstream);
  }
}

std::uint64_t
region_load::Newest() const
{
  return mVersions.empty() ? 0 : mVersions.rbegin()->first;
}

std::uint32_t
region_load::Lent(const upstream_id& aUpstream) const
{
  return Count(mLent, aUpstream);
}

std::uint32_t
region_load::InFlight() const
{
  std::uint32_t sum = 0;
  for (const std::pair<const upstream_id, std::uint32_t>& used : mUsed) {
    sum += used.second;
  }
  return sum;
}

} // namespace laburnumdyke
