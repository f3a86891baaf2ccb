// References are checked first, one field at a time. Limits span several fields
// and assume that all references are valid; their messages state the figures
// that were compared.
#include "laburnumdyke/decision/document.h"

#include <algorithm>
#include <set>

namespace laburnumdyke {

namespace {

struct service_slots
{
  std::uint64_t mServing = 0; // of upstreams that are not leaving
  std::uint64_t mTotal = 0;
};

// Slots by region and service.
using slot_table = std::map<std::pair<region_id, service_id>, service_slots>;

class fault_list
{
public:
  void Add(std::string aField, std::string aExpected)
  {
    mFaults.push_back({ 0, std::move(aField), std::move(aExpected) });
  }

  // Passes over an empty name: the parser has reported it.
  template<class Map, class Name>
  void RequireDeclared(const Map& aDeclared,
                       const Name& aName,
                       std::string aField,
                       std::string_view aKind)
  {
    if (!aName.mValue.empty() && aDeclared.count(aName) == 0) {
      Add(std::move(aField),
          "the name of a declared " + std::string(aKind) + " instead of \"" +
            aName.mValue + "\"");
    }
  }

  std::vector<text_fault> Release() { return std::move(mFaults); }

private:
  std::vector<text_fault> mFaults;
};

std::string
FormatCount(std::uint64_t aCount)
{
  return std::to_string(aCount);
}

void
CheckUpstreams(const document& aDocument, fault_list& aFaults)
{
  std::map<endpoint, upstream_id> addressOwners;
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_id& id = entry.first;
    const upstream_spec& upstream = entry.second;
    std::string section = "upstream " + id.mValue;
    aFaults.RequireDeclared(
      aDocument.mServices, upstream.mService, section + ".service", "service");
    aFaults.RequireDeclared(aDocument.mDomains,
                            upstream.mDomain,
                            section + ".failure_domain",
                            "failure domain");
    auto owner = addressOwners.emplace(upstream.mAddress, id).first;
    if (owner->second != id && upstream.mAddress.mPort != 0) {
      aFaults.Add(section + ".address",
                  "an address that no other upstream has (" +
                    upstream.mAddress.Text() + " is also that of " +
                    owner->second.mValue + ")");
    }
  }
}

void
CheckLinks(const document& aDocument, fault_list& aFaults)
{
  std::map<std::pair<region_id, region_id>, std::string> pairs;
  for (const link_map::value_type& entry : aDocument.mLinks) {
    const std::string& name = entry.first;
    const link_spec& link = entry.second;
    std::string field = "link " + name + ".between";
    aFaults.RequireDeclared(aDocument.mRegions, link.mFirst, field, "region");
    aFaults.RequireDeclared(aDocument.mRegions, link.mSecond, field, "region");
    auto other =
      pairs.emplace(std::make_pair(link.mFirst, link.mSecond), name).first;
    if (other->second != name && !link.mFirst.mValue.empty()) {
      aFaults.Add(field,
                  "a pair of regions that no other link joins (link " +
                    other->second + " does)");
    }
  }
}

void
CheckShifts(const document& aDocument, fault_list& aFaults)
{
  for (const shift_map::value_type& entry : aDocument.mShifts) {
    const std::string& name = entry.first;
    const shift_spec& shift = entry.second;
    std::string section = "shift " + name;
    aFaults.RequireDeclared(
      aDocument.mServices, shift.mService, section + ".service", "service");
    aFaults.RequireDeclared(
      aDocument.mRegions, shift.mFrom, section + ".from", "region");
    aFaults.RequireDeclared(
      aDocument.mRegions, shift.mTo, section + ".to", "region");
    if (!shift.mTo.mValue.empty() && shift.mTo == shift.mFrom) {
      aFaults.Add(section + ".to", "a region other than the one shifted from");
    }
  }
}

// Regions without a failure domain, and services without an upstream.
void
CheckUnreferenced(const document& aDocument, fault_list& aFaults)
{
  std::set<region_id> regions;
  std::set<service_id> services;
  for (const domain_map::value_type& entry : aDocument.mDomains) {
    const domain_spec& domain = entry.second;
    regions.insert(domain.mRegion);
  }
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_spec& upstream = entry.second;
    services.insert(upstream.mService);
  }
  for (const region_map::value_type& entry : aDocument.mRegions) {
    const region_id& id = entry.first;
    if (regions.count(id) == 0) {
      aFaults.Add("region " + id.mValue, "a failure domain in the region");
    }
  }
  for (const service_map::value_type& entry : aDocument.mServices) {
    const service_id& id = entry.first;
    if (services.count(id) == 0) {
      aFaults.Add("service " + id.mValue, "an upstream of the service");
    }
  }
  if (aDocument.mRegions.empty()) {
    aFaults.Add("region", "at least one region");
  }
  if (aDocument.mServices.empty()) {
    aFaults.Add("service", "at least one service");
  }
}

slot_table
CountSlots(const document& aDocument)
{
  slot_table slots;
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_spec& upstream = entry.second;
    region_id region = aDocument.mDomains.at(upstream.mDomain).mRegion;
    service_slots& counted = slots[{ region, upstream.mService }];
    counted.mTotal += upstream.mSlots;
    if (upstream.mState == upstream_state::Serving) {
      counted.mServing += upstream.mSlots;
    }
  }
  return slots;
}

service_slots
SlotsAt(const slot_table& aSlots,
        const region_id& aRegion,
        const service_id& aService)
{
  auto found = aSlots.find({ aRegion, aService });
  return found == aSlots.end() ? service_slots{} : found->second;
}

void
CheckConnections(const document& aDocument, fault_list& aFaults)
{
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_id& id = entry.first;
    const upstream_spec& upstream = entry.second;
    if (upstream.mConnections < upstream.mSlots) {
      aFaults.Add("upstream " + id.mValue + ".connections",
                  "at least one connection for each of the " +
                    FormatCount(upstream.mSlots) + " slots instead of " +
                    FormatCount(upstream.mConnections));
    }
  }
}

void
CheckFloors(const document& aDocument, fault_list& aFaults)
{
  std::uint64_t sum = 0;
  std::size_t last = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    sum += aDocument.mRanks.at(i).mFloorPercent;
    last = aDocument.mRanks.at(i).mFloorPercent > 0 ? i : last;
  }
  if (sum > 100) {
    std::string rank(ToString(static_cast<work_rank>(last)));
    aFaults.Add("rank " + rank + ".floor",
                "floors of all ranks that sum to at most 100 percent instead "
                "of " +
                  FormatCount(sum));
  }
}

// Slots of leaving upstreams count too, so that an upstream can be drained
// without lowering the region's cap.
void
CheckCaps(const document& aDocument,
          const slot_table& aSlots,
          fault_list& aFaults)
{
  std::map<region_id, std::uint64_t> total;
  for (const slot_table::value_type& entry : aSlots) {
    total[entry.first.first] += entry.second.mTotal;
  }
  for (const region_map::value_type& entry : aDocument.mRegions) {
    const region_id& id = entry.first;
    const region_spec& region = entry.second;
    if (region.mCap > total[id]) {
      aFaults.Add("region " + id.mValue + ".cap",
                  "at most the " + FormatCount(total[id]) +
                    " slots of the region's upstreams instead of " +
                    FormatCount(region.mCap));
    }
  }
}

// Returns the regions that requests from aFrom can reach, with aFrom itself. A
// document that declares no links places no restriction; otherwise only regions
// joined by a link reach each other.
std::set<region_id>
ReachableFrom(const document& aDocument, const region_id& aFrom)
{
  std::set<region_id> reachable = { aFrom };
  for (const link_map::value_type& entry : aDocument.mLinks) {
    const link_spec& link = entry.second;
    if (link.mFirst == aFrom) {
      reachable.insert(link.mSecond);
    } else if (link.mSecond == aFrom) {
      reachable.insert(link.mFirst);
    }
  }
  if (aDocument.mLinks.empty()) {
    for (const region_map::value_type& entry : aDocument.mRegions) {
      const region_id& id = entry.first;
      reachable.insert(id);
    }
  }
  return reachable;
}

// Returns the field to blame where no upstream of the service is serving in the
// reachable regions: the state of the first leaving upstream of the service
// there, else the service itself.
std::string
UnreachableServiceField(const document& aDocument,
                        const std::set<region_id>& aReachable,
                        const service_id& aService)
{
  for (const upstream_map::value_type& entry : aDocument.mUpstreams) {
    const upstream_id& id = entry.first;
    const upstream_spec& upstream = entry.second;
    if (upstream.mService == aService &&
        upstream.mState == upstream_state::Leaving &&
        aReachable.count(aDocument.mDomains.at(upstream.mDomain).mRegion) > 0) {
      return "upstream " + id.mValue + ".state";
    }
  }
  return "service " + aService.mValue;
}

// Every region must reach a serving upstream of every service.
void
CheckReachability(const document& aDocument,
                  const slot_table& aSlots,
                  fault_list& aFaults)
{
  for (const region_map::value_type& entry : aDocument.mRegions) {
    const region_id& region = entry.first;
    std::set<region_id> reachable = ReachableFrom(aDocument, region);
    for (const service_map::value_type& serviceEntry : aDocument.mServices) {
      const service_id& service = serviceEntry.first;
      service_slots sum;
      for (const region_id& other : reachable) {
        service_slots slots = SlotsAt(aSlots, other, service);
        sum.mServing += slots.mServing;
        sum.mTotal += slots.mTotal;
      }
      if (sum.mServing == 0) {
        aFaults.Add(UnreachableServiceField(aDocument, reachable, service),
                    "a serving upstream of " + service.mValue +
                      " within reach of region " + region.mValue + " (0 of " +
                      FormatCount(sum.mTotal) + " slots are serving)");
      }
    }
  }
}

// Adds up all shifts of a service out of a region, and into a region, as if
// each were complete: shares may reach 100 percent, and the slots moved must
// fit the serving slots of the service and the cap of the target region.
void
CheckShiftCapacity(const document& aDocument,
                   const slot_table& aSlots,
                   fault_list& aFaults)
{
  std::map<std::pair<region_id, service_id>, std::uint64_t> outgoingShares;
  std::map<std::pair<region_id, service_id>, std::uint64_t> incomingSlots;
  for (const shift_map::value_type& entry : aDocument.mShifts) {
    const std::string& name = entry.first;
    const shift_spec& shift = entry.second;
    std::string section = "shift " + name;
    std::uint64_t& share = outgoingShares[{ shift.mFrom, shift.mService }];
    share += shift.mSharePercent;
    if (share > 100) {
      aFaults.Add(section + ".share",
                  "shares of " + shift.mService.mValue + " from region " +
                    shift.mFrom.mValue +
                    " that sum to at most 100 percent instead of " +
                    FormatCount(share));
    }
    std::uint64_t from = SlotsAt(aSlots, shift.mFrom, shift.mService).mTotal;
    service_slots to = SlotsAt(aSlots, shift.mTo, shift.mService);
    std::uint64_t& moved = incomingSlots[{ shift.mTo, shift.mService }];
    moved += (from * shift.mSharePercent + 99) / 100;
    if (moved > to.mServing) {
      aFaults.Add(section + ".share",
                  "at most the " + FormatCount(to.mServing) +
                    " serving slots of " + shift.mService.mValue +
                    " in region " + shift.mTo.mValue + " instead of the " +
                    FormatCount(moved) + " that move there");
    }
    std::uint64_t cap = aDocument.mRegions.at(shift.mTo).mCap;
    if (moved + to.mServing > cap) {
      aFaults.Add(section + ".share",
                  "at most the cap of region " + shift.mTo.mValue + ", " +
                    FormatCount(cap) + " requests in flight, instead of " +
                    FormatCount(moved) + " moved above its own " +
                    FormatCount(to.mServing) + " of " + shift.mService.mValue);
    }
  }
}

} // namespace

std::vector<text_fault>
ValidateReferences(const document& aDocument)
{
  fault_list faults;
  for (const domain_map::value_type& entry : aDocument.mDomains) {
    const domain_id& id = entry.first;
    const domain_spec& domain = entry.second;
    faults.RequireDeclared(aDocument.mRegions,
                           domain.mRegion,
                           "failure_domain " + id.mValue + ".region",
                           "region");
  }
  CheckUpstreams(aDocument, faults);
  CheckLinks(aDocument, faults);
  CheckShifts(aDocument, faults);
  for (const block_map::value_type& entry : aDocument.mBlocks) {
    const domain_id& domain = entry.first;
    faults.RequireDeclared(
      aDocument.mDomains, domain, "blocks." + domain.mValue, "failure domain");
  }
  CheckUnreferenced(aDocument, faults);
  return faults.Release();
}

std::vector<text_fault>
ValidateLimits(const document& aDocument)
{
  fault_list faults;
  slot_table slots = CountSlots(aDocument);
  CheckConnections(aDocument, faults);
  CheckFloors(aDocument, faults);
  CheckCaps(aDocument, slots, faults);
  CheckReachability(aDocument, slots, faults);
  CheckShiftCapacity(aDocument, slots, faults);
  return faults.Release();
}

} // namespace laburnumdyke
