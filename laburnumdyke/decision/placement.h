// Placement: selects the entry instances that a client should use for a
// service.
//
// Usage:
//   placement_view view{ document, blocks, self, livePeers };
//   report_rooms rooms(view, ownCredits, now);
//   placement_answer answer = PlaceClient(view, service, client, rooms,
//                                         shifts, now, wallNow);
//   ... answer.mChoices in order, to be used for answer.mTtl
//   ... or answer.mReason where there are none
//
// A client stays within the region of its block unless a shift moves it: an
// answer that also listed other regions would let callers move on their own,
// beyond the cap of any shift. Within the region the order is: the block's own
// failure domain while it has room (free slots) or has no fresh report, domains
// with room, the own domain, the others. Instances within a tier are ordered by
// rendezvous weight for the client, so that a change of the fleet moves as few
// clients as possible. Leaving and dead instances are left out at once.
#pragma once

#include "laburnumdyke/decision/block_table.h"
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/shift.h"

#include <memory>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kMaxChoices = 4;

struct entry_choice
{
  instance_id mInstance;
  endpoint mCaller;
  domain_id mDomain;
};

struct placement_view
{
  const document& mDocument;
  const block_table& mBlocks;
  const member& mSelf;
  const std::vector<peer>& mLivePeers;
};

struct placement_answer
{
  std::vector<entry_choice> mChoices; // at most kMaxChoices, best first
  std::chrono::milliseconds mTtl{ 0 };
  refusal_reason mReason = refusal_reason::None; // set if there are no choices
};

// region_capacity_source that also gives the room of a failure domain.
template<class T>
concept placement_rooms = region_capacity_source<T> &&
  requires(const T& aRooms,
           const domain_id& aDomain,
           const service_id& aService)
{
  {
    aRooms.RoomAt(aDomain, aService)
    } -> std::same_as<std::optional<service_capacity>>;
};

// Room as reported by the credits in heartbeats, summed over live instances.
class report_rooms
{
public:
  report_rooms(const placement_view& aView,
               const std::vector<service_credit>& aOwnCredits,
               instant aNow);

  std::optional<service_capacity> CapacityIn(const region_id& aRegion,
                                             const service_id& aService) const;
  std::optional<service_capacity> RoomAt(const domain_id& aDomain,
                                         const service_id& aService) const;

private:
  void Add(const member& aMember, const std::vector<service_credit>& aCredits);

  std::map<std::pair<region_id, service_id>, service_capacity> mByRegion;
  std::map<std::pair<domain_id, service_id>, service_capacity> mByDomain;
};

static_assert(placement_rooms<report_rooms>);

// Whether a peer has a document in force; without one it refuses all requests.
inline bool
HasDocument(const peer& aPeer)
{
  return aPeer.mLast.mVersion > 0;
}

// Regions with a live entry instance that has a document and is not leaving.
std::set<region_id>
LiveRegions(const member& aSelf, const std::vector<peer>& aLivePeers);

// The location attributed to a client by its address.
struct client_location
{
  domain_id mDomain; // of the matching block, else of this instance
  // Clients that a shift moves together: the matching block, or the client's
  // /24 (IPv4) or /48 (IPv6) if that is smaller.
  client_prefix mGroup;
};

client_location
LocateClient(const placement_view& aView, const address_bytes& aClient);

// Preference of an instance's failure domain for a client, most preferred
// first.
enum class placement_tier
{
  OwnDomain,
  WithRoom,
  OwnDomainFull,
  WithoutRoom,
};

// Returns the live instances of a region in order of preference, at most
// kMaxChoices. aTierOf returns the tier of a failure domain.
template<class TierOf>
std::vector<entry_choice>
OrderEntries(const placement_view& aView,
             const region_id& aRegion,
             const address_bytes& aClient,
             const service_id& aService,
             TierOf&& aTierOf)
{
  struct candidate
  {
    placement_tier mTier;
    std::uint64_t mWeight; // rendezvous weight; greater is preferred
    const member* mMember;
  };
  std::string key(aClient.begin(), aClient.end());
  key += aService.mValue;
  std::vector<candidate> candidates;
  auto consider = [&](const member& aMember) {
    if (!aMember.mLeaving && aMember.mRegion == aRegion) {
      candidates.push_back({ aTierOf(aMember.mDomain),
                             RendezvousWeight(aMember.mInstance.mValue, key),
                             &aMember });
    }
  };
  consider(aView.mSelf);
  for (const peer& one : aView.mLivePeers) {
    if (HasDocument(one)) {
      consider(one.mLast.mSender);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const candidate& aLeft, const candidate& aRight) {
              return aLeft.mTier != aRight.mTier
                       ? aLeft.mTier < aRight.mTier
                       : aLeft.mWeight > aRight.mWeight;
            });
  candidates.resize(std::min(candidates.size(), kMaxChoices));
  std::vector<entry_choice> choices;
  for (const candidate& one : candidates) {
    choices.push_back(
      { one.mMember->mInstance, one.mMember->mCaller, one.mMember->mDomain });
  }
  return choices;
}

// Places a client. aService must be declared in the document. Records the
// answer in aShifts.
template<placement_rooms Rooms>
placement_answer
PlaceClient(const placement_view& aView,
            const service_id& aService,
            const address_bytes& aClient,
            const Rooms& aRooms,
            traffic_shifts& aShifts,
            instant aNow,
            wall_time aWallNow)
{
  client_location place = LocateClient(aView, aClient);
  region_id home =
    aView.mDocument.RegionOf(place.mDomain).value_or(aView.mSelf.mRegion);
  shift_query question{ aService, home, place.mGroup };
  shift_decision shift =
    aShifts.Decide(aView.mDocument, question, aRooms, aNow, aWallNow);
  placement_answer answer;
  if (!shift.mRegion) {
    answer.mReason = shift.mReason;
    return answer;
  }
  answer.mChoices = OrderEntries(
    aView, *shift.mRegion, aClient, aService, [&](const domain_id& aDomain) {
      std::optional<service_capacity> room = aRooms.RoomAt(aDomain, aService);
      bool hasRoom = room && room->mFree > 0;
      if (aDomain == place.mDomain) {
        return !room || hasRoom ? placement_tier::OwnDomain
                                : placement_tier::OwnDomainFull;
      }
      return hasRoom ? placement_tier::WithRoom : placement_tier::WithoutRoom;
    });
  if (answer.mChoices.empty()) {
    answer.mReason = refusal_reason::NoUpstream;
    return answer;
  }
  answer.mTtl = aView.mDocument.mServices.at(aService).mLookupTtl;
  if (shift.mRamping) {
    answer.mTtl = std::min(answer.mTtl, kRampLookupTtl);
  }
  aShifts.Record(question, shift, answer.mTtl, aNow);
  return answer;
}

// The block table of the document in force, as a shared table: readers copy it;
// a writer builds the next one without the lock and then installs it with Put.
class placement_state
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Placement;

  const block_table& Blocks() const { return mBlocks; }
  std::shared_ptr<const document> Source() const { return mSource; }

  void Put(block_table aBlocks, std::shared_ptr<const document> aSource)
  {
    mBlocks = std::move(aBlocks);
    mSource = std::move(aSource);
  }

private:
  block_table mBlocks;
  std::shared_ptr<const document> mSource; // null until the first Put
};

// Returns the block table of aTo. Updates aTable, the table of aFrom, if there
// are few changes, and builds a new one otherwise. aFrom may be null.
block_table
UpdateBlocks(const block_table& aTable,
             const document* aFrom,
             const document& aTo);

} // namespace laburnumdyke
