// Each shared table is copied under its own lock, one at a time, so the parts
// of a status_view are not one atomic snapshot. Headroom is summed from the
// adverts that decisions use.
#include "laburnumdyke/plugin/console_status.h"

#include <map>

namespace laburnumdyke {

namespace {

void
AddCredits(const region_id& aRegion,
           const std::vector<service_credit>& aCredits,
           std::map<region_id, region_view>& aRegions)
{
  region_view& region = aRegions[aRegion];
  for (const service_credit& credit : aCredits) {
    region.mSlots += credit.mSlots;
    region.mFree += credit.mFree;
  }
}

std::vector<region_view>
CollectRegions(const status_view& aView,
               const document* aDocument,
               const std::vector<peer>& aPeers)
{
  std::map<region_id, region_view> regions;
  AddCredits(aView.mSelf.mMember.mRegion, aView.mCredits, regions);
  for (const peer& one : aPeers) {
    AddCredits(one.mLast.mSender.mRegion, one.mLast.mCredits, regions);
  }
  if (aDocument != nullptr) {
    for (const region_map::value_type& entry : aDocument->mRegions) {
      regions[entry.first].mCap = entry.second.mCap;
    }
  }
  std::vector<region_view> list;
  using region_entry = std::map<region_id, region_view>::value_type;
  for (region_entry& entry : regions) {
    entry.second.mRegion = entry.first;
    list.push_back(std::move(entry.second));
  }
  return list;
}

std::vector<refusal_view>
CollectRefusals(const counters::snapshot& aCounters)
{
  std::vector<refusal_view> refusals;
  for (const counters::snapshot::value_type& entry : aCounters) {
    if (entry.first.mName.find("refused") != std::string::npos) {
      refusals.push_back({ entry.first, entry.second });
    }
  }
  return refusals;
}

std::vector<drain_view>
CollectDrains(const document& aDocument)
{
  std::vector<drain_view> drains;
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    if (entry.second.mState == upstream_state::Leaving) {
      drains.push_back({ entry.first, entry.second });
    }
  }
  return drains;
}

boost::json::object
InstanceJson(const instance_view& aInstance)
{
  boost::json::object json;
  json["instance"] = aInstance.mMember.mInstance.mValue;
  json["failure_domain"] = aInstance.mMember.mDomain.mValue;
  json["region"] = aInstance.mMember.mRegion.mValue;
  json["version"] = aInstance.mVersion;
  json["leaving"] = aInstance.mMember.mLeaving;
  return json;
}

boost::json::array
CreditsJson(const std::vector<service_credit>& aCredits)
{
  boost::json::array json;
  for (const service_credit& credit : aCredits) {
    boost::json::object one;
    one["service"] = credit.mService.mValue;
    one["slots"] = credit.mSlots;
    one["free"] = credit.mFree;
    json.push_back(std::move(one));
  }
  return json;
}

boost::json::array
RanksJson(const std::vector<latency_summary>& aRanks)
{
  boost::json::array json;
  for (const latency_summary& rank : aRanks) {
    boost::json::object one;
    one["rank"] = rank.mLabel;
    one["answered"] = rank.mCount;
    one["median_us"] = rank.mMedian.count();
    one["p99_us"] = rank.mP99.count();
    json.push_back(std::move(one));
  }
  return json;
}

boost::json::array
RefusalsJson(const std::vector<refusal_view>& aRefusals)
{
  boost::json::array json;
  for (const refusal_view& refusal : aRefusals) {
    boost::json::object one;
    one["counter"] = refusal.mKey.mName;
    one["reason"] = refusal.mKey.mReason;
    one["count"] = refusal.mCount;
    json.push_back(std::move(one));
  }
  return json;
}

boost::json::array
RegionsJson(const std::vector<region_view>& aRegions)
{
  boost::json::array json;
  for (const region_view& region : aRegions) {
    boost::json::object one;
    one["region"] = region.mRegion.mValue;
    one["cap"] = region.mCap;
    one["slots"] = region.mSlots;
    one["free"] = region.mFree;
    json.push_back(std::move(one));
  }
  return json;
}

boost::json::array
DrainsJson(const status_view& aView)
{
  boost::json::array json;
  for (const drain_view& drain : aView.mDrains) {
    boost::json::object one;
    one["leaving"] = "upstream " + drain.mUpstream.mValue;
    one["failure_domain"] = drain.mSpec.mDomain.mValue;
    json.push_back(std::move(one));
  }
  std::vector<instance_view> instances = aView.mPeers;
  instances.push_back(aView.mSelf);
  for (const instance_view& instance : instances) {
    if (instance.mMember.mLeaving) {
      boost::json::object one;
      one["leaving"] = "instance " + instance.mMember.mInstance.mValue;
      one["failure_domain"] = instance.mMember.mDomain.mValue;
      json.push_back(std::move(one));
    }
  }
  return json;
}

} // namespace

status_view
CollectStatus(kernel& aKernel, entry_tables& aTables, instant aNow)
{
  status_view view;
  std::shared_ptr<const document> inForce;
  aTables.DocumentState().With([&](document_state& aState) {
    view.mSelf.mVersion = aState.Version();
    view.mSelf.mContentHash = aState.ContentHash();
    inForce = aState.Document();
  });
  view.mSelf.mMember = aTables.Self();
  aTables.Admission().With([&](admission& aAdmission) {
    view.mInFlight = aAdmission.InFlight();
    view.mQueued = aAdmission.Queued();
    view.mCredits = aAdmission.Credits(aNow);
  });
  std::vector<peer> peers = aTables.LivePeers(aNow);
  for (const peer& one : peers) {
    view.mPeers.push_back(
      { one.mLast.mSender, one.mLast.mVersion, one.mLast.mContentHash });
  }
  view.mRanks = aKernel.Latencies().Summaries();
  view.mRefusals = CollectRefusals(aKernel.Counters().Snapshot());
  view.mRegions = CollectRegions(view, inForce.get(), peers);
  if (inForce) {
    view.mDrains = CollectDrains(*inForce);
  }
  return view;
}

boost::json::object
StatusJson(const status_view& aView)
{
  boost::json::object json = InstanceJson(aView.mSelf);
  json["content_hash"] = aView.mSelf.mContentHash;
  json["in_flight"] = aView.mInFlight;
  json["queued"] = aView.mQueued;
  json["credits"] = CreditsJson(aView.mCredits);
  json["regions"] = RegionsJson(aView.mRegions);
  json["ranks"] = RanksJson(aView.mRanks);
  json["refusals"] = RefusalsJson(aView.mRefusals);
  json["drains"] = DrainsJson(aView);
  boost::json::array peers;
  for (const instance_view& instance : aView.mPeers) {
    peers.push_back(InstanceJson(instance));
  }
  json["peers"] = std::move(peers);
  return json;
}

} // namespace laburnumdyke
