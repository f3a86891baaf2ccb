// Brings the shared tables in line with the document in force and the
// membership view. The upstreams that this instance holds are determined first;
// the region's quotas, the link budgets and admission follow from them.
#include "laburnumdyke/plugin/entry_tables.h"

#include <algorithm>
#include <map>
#include <utility>

namespace laburnumdyke {

namespace {

// A claim on a link is the right to lend its rate; it has no request slots.
constexpr std::uint32_t kNoSlots = 0;

upstream_limits
LimitsOf(const document& aDocument, const upstream_spec& aUpstream)
{
  auto service = aDocument.mServices.find(aUpstream.mService);
  std::chrono::milliseconds longest(0);
  if (service != aDocument.mServices.end()) {
    longest = service->second.mDeadline;
  }
  return { aUpstream.mSlots, longest };
}

std::chrono::milliseconds
LongestDeadline(const document& aDocument)
{
  std::chrono::milliseconds longest{ 0 };
  for (const service_map::value_type& service : aDocument.mServices) {
    longest = std::max(longest, service.second.mDeadline);
  }
  return longest;
}

std::set<domain_id>
DomainsOf(const document& aDocument, const region_id& aRegion)
{
  std::set<domain_id> domains;
  for (const domain_map::value_type& domain : aDocument.mDomains) {
    if (domain.second.mRegion == aRegion) {
      domains.insert(domain.first);
    }
  }
  return domains;
}

std::vector<region_home>
RegionHomes(const document& aDocument, const std::vector<home_claim>& aClaims)
{
  std::vector<region_home> homes;
  for (const home_claim& claim : aClaims) {
    auto upstream = aDocument.mUpstreams.find(claim.mUpstream);
    if (upstream != aDocument.mUpstreams.end()) {
      const service_id& service = upstream->second.mService;
      const service_spec& spec = aDocument.mServices.at(service);
      homes.push_back({ claim, service, spec.mRank, spec.mDeadline });
    }
  }
  return homes;
}

} // namespace

void
entry_tables::RefreshHomes(instant aNow)
{
  std::shared_ptr<const document> document = Document();
  if (!document) {
    return;
  }
  RefreshBlocks(document);
  RefreshShifts(*document, aNow);
  member self = Self();
  std::map<upstream_id, upstream_limits> limits;
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       document->mUpstreams) {
    if (entry.second.mDomain == self.mDomain) {
      limits[entry.first] = LimitsOf(*document, entry.second);
    }
  }
  for (const upstream_id& link : LinkClaimNames(*document, self.mRegion)) {
    limits[link] = { kNoSlots, kGrantLifetime };
  }
  std::vector<home_claim> claims =
    mMembership.With([&](membership& aMembership) {
      return aMembership.Lease().UpdateClaims(limits, aNow);
    });
  RefreshRegionLoad(claims, aNow);
  RefreshLinks(claims, aNow);
  std::vector<home_claim> open =
    ExcludeLeavingUpstreams(*document, std::move(claims), aNow);
  admission_changes changes = mAdmission.With([&](admission& aAdmission) {
    return aAdmission.Configure(*document, open, aNow);
  });
  mWaiters->Deliver(changes);
}

// The table is built without holding the lock. If another thread has replaced
// it meanwhile, the result is discarded.
void
entry_tables::RefreshBlocks(const std::shared_ptr<const document>& aDocument)
{
  std::shared_ptr<const document> source;
  block_table blocks;
  mPlacement.With([&](placement_state& aState) {
    source = aState.Source();
    blocks = aState.Blocks();
  });
  if (source == aDocument) {
    return;
  }
  block_table next = UpdateBlocks(blocks, source.get(), *aDocument);
  mPlacement.With([&](placement_state& aState) {
    if (aState.Source() == source) {
      aState.Put(std::move(next), aDocument);
    }
  });
}

void
entry_tables::RefreshShifts(const document& aDocument, instant aNow)
{
  member self = Self();
  std::vector<peer> peers = LivePeers(aNow);
  std::set<region_id> live = LiveRegions(self, peers);
  mShifts.With(
    [&](traffic_shifts& aShifts) { aShifts.Observe(aDocument, live, aNow); });
}

void
entry_tables::RefreshRegionLoad(const std::vector<home_claim>& aClaims,
                                instant aNow)
{
  std::uint64_t version = 0;
  std::shared_ptr<const document> document;
  mDocumentState.With([&](document_state& aState) {
    version = aState.Version();
    document = aState.Document();
  });
  if (!document) {
    return;
  }
  member self = Self();
  std::vector<version_report> reports{
    { self.mInstance, self.mDomain, version }
  };
  for (const peer& one : LivePeers(aNow)) {
    const member& sender = one.mLast.mSender;
    if (sender.mRegion == self.mRegion) {
      reports.push_back(
        { sender.mInstance, sender.mDomain, one.mLast.mVersion });
    }
  }
  mRegionLoad.With([&](region_load& aLoad) {
    if (aLoad.NewestVersion() < version) {
      auto region = document->mRegions.find(self.mRegion);
      aLoad.AddVersion(version,
                       region == document->mRegions.end() ? 0
                                                          : region->second.mCap,
                       RegionQuotas(*document, self.mRegion),
                       DomainsOf(*document, self.mRegion),
                       document->mRanks);
    }
    aLoad.SetHomes(RegionHomes(*document, aClaims));
    aLoad.ProcessReports(reports, LongestDeadline(*document), aNow);
  });
}

void
entry_tables::RefreshLinks(const std::vector<home_claim>& aClaims, instant aNow)
{
  std::shared_ptr<const document> document = Document();
  if (!document) {
    return;
  }
  region_id region = Self().mRegion;
  mLinks.With(
    [&](link_budget& aLinks) { aLinks.Configure(*document, region, aNow); });
  mLinkLenders.With([&](link_lenders& aLenders) {
    aLenders.SetHomes(*document, region, aClaims, aNow);
  });
}

std::vector<home_claim>
entry_tables::ExcludeLeavingUpstreams(const document& aDocument,
                                      std::vector<home_claim> aClaims,
                                      instant aNow)
{
  mInstanceList.With([&](instance_list& aList) {
    std::erase_if(aClaims, [&](const home_claim& aClaim) {
      auto found = aDocument.mUpstreams.find(aClaim.mUpstream);
      return found != aDocument.mUpstreams.end() &&
             aList.IsLeaving(found->second.mAddress, aNow);
    });
  });
  return aClaims;
}

} // namespace laburnumdyke
