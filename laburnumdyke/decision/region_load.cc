// Quotas are divided by the highest averages method with Webster's divisors,
// after one unit for each service and failure domain. The quotas are whole
// numbers with an exact sum, and a change of one upstream's slots moves few
// units. Ties are broken by a hash, so that they spread over the domains.
//
// Alternatives: an equal split over the instances that each instance sees
// exceeds the cap as soon as two views differ; shares leased from a
// coordinator need one more protocol and fail in a network partition.
// docs/DESIGN.md has the figures.
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
  std::uint32_t mAssigned;
  std::uint64_t mTieBreaker;
  upstream_id mUpstream;

  // Orders by priority: whether aOther gets the next unit before this one.
  bool operator<(const quota_candidate& aOther) const
  {
    std::uint64_t ownScore =
      std::uint64_t{ mSlots } * (2 * aOther.mAssigned + 1);
    std::uint64_t otherScore =
      std::uint64_t{ aOther.mSlots } * (2 * mAssigned + 1);
    return ownScore != otherScore ? ownScore < otherScore
                                  : mTieBreaker < aOther.mTieBreaker;
  }
};

std::vector<quota_candidate>
CollectCandidates(const document& aDocument, const region_id& aRegion)
{
  std::vector<quota_candidate> candidates;
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_spec& upstream = entry.second;
    if (aDocument.RegionOf(upstream.mDomain) == aRegion &&
        upstream.mState == upstream_state::Serving) {
      std::uint64_t tieBreaker = RendezvousWeight(entry.first.mValue, "quota");
      candidates.push_back({ upstream.mSlots, 0, tieBreaker, entry.first });
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  return candidates;
}

// Assigns one unit to each service in each failure domain, in the order of
// rank, most urgent first.
void
AssignFirstUnits(const document& aDocument,
                 std::vector<quota_candidate>& aCandidates,
                 std::uint32_t& aLeft)
{
  std::set<std::pair<domain_id, service_id>> assigned;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    for (quota_candidate& candidate : aCandidates) {
      const upstream_spec& upstream =
        aDocument.mUpstreams.at(candidate.mUpstream);
      work_rank own = aDocument.mServices.at(upstream.mService).mRank;
      bool isFirst =
        own == static_cast<work_rank>(rank) && aLeft > 0 &&
        candidate.mSlots > 0 &&
        assigned.emplace(upstream.mDomain, upstream.mService).second;
      if (isFirst) {
        candidate.mAssigned = 1;
        --aLeft;
      }
    }
  }
}

std::uint32_t
CountOf(const std::map<upstream_id, std::uint32_t>& aCounts,
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
  std::vector<quota_candidate> candidates =
    CollectCandidates(aDocument, aRegion);
  AssignFirstUnits(aDocument, candidates, left);
  quota_map quotas;
  std::priority_queue<quota_candidate> queue;
  for (const quota_candidate& candidate : candidates) {
    quotas[candidate.mUpstream] = candidate.mAssigned;
    if (candidate.mAssigned < candidate.mSlots) {
      queue.push(candidate);
    }
  }
  for (; left > 0 && !queue.empty(); --left) {
    quota_candidate next = queue.top();
    queue.pop();
    quotas[next.mUpstream] = ++next.mAssigned;
    if (next.mAssigned < next.mSlots) {
      queue.push(next);
    }
  }
  return quotas;
}

void
region_load::AddVersion(std::uint64_t aVersion,
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
  mAllMixturesFit = DoAllMixturesFit();
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

// An instance that skipped a version never confirms it; that version is settled
// along with a later one that the instance confirms.
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
region_load::ProcessReports(const std::vector<version_report>& aReports,
                            std::chrono::milliseconds aMaxRequestTime,
                            instant aNow)
{
  std::uint64_t settled = 0;
  for (std::pair<const std::uint64_t, version>& each : mVersions) {
    for (const version_report& report : aReports) {
      if (report.mVersion == each.first) {
        each.second.mConfirmed.insert(report.mInstance);
      }
    }
    if (!each.second.mConfirmedAt && IsConfirmed(each.second, aReports)) {
      each.second.mConfirmedAt = aNow;
    }
    if (each.second.mConfirmedAt &&
        aNow >= *each.second.mConfirmedAt + aMaxRequestTime) {
      settled = each.first;
    }
  }
  mVersions.erase(mVersions.begin(), mVersions.lower_bound(settled));
  mAllMixturesFit = DoAllMixturesFit();
}

// Each instance uses the newest quotas that it knows, or smaller ones. Of the
// instances for which this returns true, consider the one with the newest
// version: every version in use at any instance is unsettled there. So the sum
// of quotas over all instances is at most the sum computed here.
bool
region_load::DoAllMixturesFit() const
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
  if (mAllMixturesFit && !mVersions.empty()) {
    return CountOf(mVersions.rbegin()->second.mQuotas, aUpstream);
  }
  std::optional<std::uint32_t> least;
  for (const std::pair<const std::uint64_t, version>& each : mVersions) {
    std::uint32_t quota = CountOf(each.second.mQuotas, aUpstream);
    least = std::min(least.value_or(quota), quota);
  }
  return least.value_or(0);
}

std::uint32_t
region_load::Free(const region_home& aHome, instant aNow) const
{
  const home_claim& claim = aHome.mClaim;
  std::uint32_t used = CountOf(mUsed, claim.mUpstream);
  if (aNow < claim.mHeldUntil) {
    used += claim.mHeldElsewhere;
  }
  std::uint32_t quota = Quota(claim.mUpstream);
  return quota - std::min(quota, used);
}

// The service keeps its rank's floor, rounded up, and at least one unit.
bool
region_load::MayLend(const region_home& aHome) const
{
  service_usage usage;
  for (const std::pair<const upstream_id, region_home>& home : mHomes) {
    if (home.second.mService == aHome.mService) {
      usage.mQuota += Quota(home.first);
      usage.mLent += CountOf(mLent, home.first);
    }
  }
  std::uint32_t floor =
    mRanks.at(static_cast<std::size_t>(aHome.mRank)).mFloorPercent;
  std::uint32_t reserved = std::max(1u, (usage.mQuota * floor + 99) / 100);
  return usage.mLent + reserved < usage.mQuota;
}

std::optional<quota_unit>
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
    if (free > 0 && aDeadline <= aNow + home.mHandoverReserve &&
        order > bestOrder && (isOwn || MayLend(home))) {
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
  return quota_unit{ upstream, !isBestOwn };
}

void
region_load::Release(const quota_unit& aUnit)
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
region_load::NewestVersion() const
{
  return mVersions.empty() ? 0 : mVersions.rbegin()->first;
}

std::uint32_t
region_load::LentUnits(const upstream_id& aUpstream) const
{
  return CountOf(mLent, aUpstream);
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
