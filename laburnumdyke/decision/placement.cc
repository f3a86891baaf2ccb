// Uses rendezvous hashing over the instances of a tier rather than a Maglev
// table: with 3 to 8 instances per failure domain a lookup can hash each of
// them, and no table has to be rebuilt when the fleet changes.
#include "laburnumdyke/decision/placement.h"

#include "laburnumdyke/decision/routing.h"

namespace laburnumdyke {

namespace {

// Prefix lengths of the groups in which larger blocks are shifted.
constexpr std::uint8_t kV4GroupBits = 96 + 24;
constexpr std::uint8_t kV6GroupBits = 48;

// If more than 1 / kRebuildDivisor of the blocks change, rebuilding the table
// is cheaper than updating it.
constexpr std::size_t kRebuildDivisor = 8;

template<class Rooms, class Key>
std::optional<service_capacity>
Find(const Rooms& aRooms, const Key& aKey)
{
  auto found = aRooms.find(aKey);
  if (found == aRooms.end()) {
    return std::nullopt;
  }
  return found->second;
}

client_prefix
DefaultGroup(const address_bytes& aClient)
{
  static constexpr address_bytes kMapped = { 0, 0, 0, 0, 0,    0,
                                             0, 0, 0, 0, 0xff, 0xff };
  bool isV4 =
    std::equal(kMapped.begin(), kMapped.begin() + 12, aClient.begin());
  client_prefix group{ aClient, isV4 ? kV4GroupBits : kV6GroupBits };
  for (std::size_t i = group.mLength / 8; i < group.mAddress.size(); ++i) {
    group.mAddress.at(i) = 0;
  }
  return group;
}

// Counts the changes without listing them: a list of millions of changes takes
// more memory than the table.
std::size_t
CountChanges(const block_map& aFrom, const block_map& aTo)
{
  std::size_t count = 0;
  auto add = [&count](const domain_id&, const client_prefix&) { ++count; };
  VisitRemovedBlocks(aFrom, aTo, add);
  VisitRemovedBlocks(aTo, aFrom, add);
  return count;
}

} // namespace

report_rooms::report_rooms(const placement_view& aView,
                           const std::vector<service_credit>& aOwnCredits,
                           instant aNow)
{
  Add(aView.mSelf, aOwnCredits);
  for (const peer& one : aView.mLivePeers) {
    if (aNow - one.mHeard < kAdvertMaxAge && !one.mLast.mSender.mLeaving) {
      Add(one.mLast.mSender, one.mLast.mCredits);
    }
  }
}

void
report_rooms::Add(const member& aMember,
                  const std::vector<service_credit>& aCredits)
{
  for (const service_credit& credit : aCredits) {
    service_capacity& inRegion =
      mByRegion[{ aMember.mRegion, credit.mService }];
    inRegion.mSlots += credit.mSlots;
    inRegion.mFree += credit.mFree;
    service_capacity& inDomain =
      mByDomain[{ aMember.mDomain, credit.mService }];
    inDomain.mSlots += credit.mSlots;
    inDomain.mFree += credit.mFree;
  }
}

std::optional<service_capacity>
report_rooms::CapacityIn(const region_id& aRegion,
                         const service_id& aService) const
{
  return Find(mByRegion, std::make_pair(aRegion, aService));
}

std::optional<service_capacity>
report_rooms::RoomAt(const domain_id& aDomain, const service_id& aService) const
{
  return Find(mByDomain, std::make_pair(aDomain, aService));
}

std::set<region_id>
LiveRegions(const member& aSelf, const std::vector<peer>& aLivePeers)
{
  std::set<region_id> live;
  if (!aSelf.mLeaving) {
    live.insert(aSelf.mRegion);
  }
  for (const peer& one : aLivePeers) {
    if (!one.mLast.mSender.mLeaving && HasDocument(one)) {
      live.insert(one.mLast.mSender.mRegion);
    }
  }
  return live;
}

client_location
LocateClient(const placement_view& aView, const address_bytes& aClient)
{
  client_prefix group = DefaultGroup(aClient);
  std::optional<block_match> match = aView.mBlocks.Find(aClient);
  if (!match) {
    return { aView.mSelf.mDomain, group };
  }
  bool isSmaller = match->mPrefix.mLength > group.mLength;
  return { match->mDomain, isSmaller ? match->mPrefix : group };
}

block_table
UpdateBlocks(const block_table& aTable,
             const document* aFrom,
             const document& aTo)
{
  if (aFrom == nullptr) {
    return block_table::Build(aTo.mBlocks);
  }
  std::size_t changes = CountChanges(aFrom->mBlocks, aTo.mBlocks);
  if (changes > aTable.Size() / kRebuildDivisor) {
    return block_table::Build(aTo.mBlocks);
  }
  return aTable.With(DiffBlocks(aFrom->mBlocks, aTo.mBlocks));
}

} // namespace laburnumdyke
