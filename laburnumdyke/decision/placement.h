// Placement: which entry instances a client should use for a service.
//
// Usage:
//   placement_view view{ document, blocks, self, livePeers };
//   report_rooms rooms(view, ownCredits, now);
//   placement_answer answer = PlaceClient(view, service, client, rooms,
//                                         shifts, now, civilNow);
//   ... answer.mChoices in order, to be used for answer.mLife
//   ... or answer.mReason where there are none
//
// A client stays within the region of its block unless a shift moves it: a
// list that also named other regions would let callers move on their own,
// past the cap of any shift. Within the region the order is: the block's own
// failure domain while it has room or no report of it is fresh, domains with
// room, the own domain, the others. Instances of one step are ordered by
// rendezvous weight of the client, so that a change moves only what it must.
// Leaving and dead instances are left out at once.
#pragma once

#include "laburnumdyke/decision/block_table.h"
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/shift.h"

#include <memory>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kMostChoices = 4;

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
  std::vector<entry_choice> mChoices; // at most kMostChoices, best first
  std::chrono::milliseconds mLife{ 0 };
  refusal_reason mReason = refusal_reason::None; // where there are no choices
};

// As region_rooms, also by failure domain.
template<class T>
concept placement_rooms = region_rooms<T> &&
  requires(const T& aRooms,
           const domain_id& aDomain,
           const service_id& aService)
{
  {
    aRooms.RoomAt(aDomain, aService)
    } -> std::same_as<std::optional<service_room>>;
};

// Room as the heartbeats' credits report it, summed over live instances.
class report_rooms
{
public:
  report_rooms(const placement_view& aView,
               const std::vector<service_credit>& aOwnCredits,
               instant aNow);

  std::optional<service_room> RoomIn(const region_id& aRegion,
                                     const service_id& aService) const;
  std::optional<service_room> RoomAt(const domain_id& aDomain,
                                     const service_id& aService) const;

private:
  void Add(const member& aMember, const std::vector<service_credit>& aCredits);

  std::map<std::pair<region_id, service_id>, service_room> mByRegion;
  std::map<std::pair<domain_id, service_id>, service_room> mByDomain;
};

static_assert(placement_rooms<report_rooms>);

// Whether a peer has a document in force; until then it refuses every request.
inline bool
HasDocument(const peer& aPeer)
{
  return aPeer.mLast.mVersion > 0;
}

// Regions with a live entry instance that has a document and isn't leaving.
std::set<region_id>
LiveRegions(const member& aSelf, const std::vector<peer>& aLivePeers);

// Where a client belongs.
struct client_place
{
  domain_id mDomain; // of the matching block, else of the instance asked
  // What moves as one: the matching block, or the client's /24 or /48 where
  // that is smaller.
  client_prefix mGroup;
};

client_place
PlaceOf(const placement_view& aView, const address_bytes& aClient);

// How far an instance's domain is from the client's, nearest first.
enum class placement_step
{
  OwnDomain,
  WithRoom,
  OwnDomainFull,
  WithoutRoom,
};

// The live instances of a region in order. aStepOf gives a domain's step.
template<class StepOf>
std::vector<entry_choice>
OrderEntries(const placement_view& aView,
             const region_id& aRegion,
             const address_bytes& aClient,
             const service_id& aService,
             StepOf&& aStepOf)
{
  struct candidate
  {
    placement_step mStep;
    std::uint64_t mWeight; // greater is better
    const member* mMember;
  };
  std::string key(aClient.begin(), aClient.end());
  key += aService.mValue;
  std::vector<candidate> candidates;
  auto consider = [&](const member& aMember) {
    if (!aMember.mLeaving && aMember.mRegion == aRegion) {
      candidates.push_back({ aStepOf(aMember.mDomain),
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
              return aLeft.mStep != aRight.mStep
                       ? aLeft.mStep < aRight.mStep
                       : aLeft.mWeight > aRight.mWeight;
            });
  candidates.resize(std::min(candidates.size(), kMostChoices));
  std::vector<entry_choice> choices;
  for (const candidate& one : candidates) {
    choices.push_back(
      { one.mMember->mInstance, one.mMember->mCaller, one.mMember->mDomain });
  }
  return choices;
}

// aService must be declared. Counts the answer in aShifts.
template<placement_rooms Rooms>
placement_answer
PlaceClient(const placement_view& aView,
            const service_id& aService,
            const address_bytes& aClient,
            const Rooms& aRooms,
            traffic_shifts& aShifts,
            instant aNow,
            civil_time aCivilNow)
{
  client_place place = PlaceOf(aView, aClient);
  region_id home =
    aView.mDocument.RegionOf(place.mDomain).value_or(aView.mSelf.mRegion);
  shift_question question{ aService, home, place.mGroup };
  shift_decision shift =
    aShifts.Decide(aView.mDocument, question, aRooms, aNow, aCivilNow);
  placement_answer answer;
  if (!shift.mRegion) {
    answer.mReason = shift.mReason;
    return answer;
  }
  answer.mChoices = OrderEntries(
    aView, *shift.mRegion, aClient, aService, [&](const domain_id& aDomain) {
      std::optional<service_room> room = aRooms.RoomAt(aDomain, aService);
      bool hasRoom = room && room->mFree > 0;
      if (aDomain == place.mDomain) {
        return !room || hasRoom ? placement_step::OwnDomain
                                : placement_step::OwnDomainFull;
      }
      return hasRoom ? placement_step::WithRoom : placement_step::WithoutRoom;
    });
  if (answer.mChoices.empty()) {
    answer.mReason = refusal_reason::NoUpstream;
    return answer;
  }
  answer.mLife = aView.mDocument.mServices.at(aService).mAnswerLife;
  if (shift.mRamping) {
    answer.mLife = std::min(answer.mLife, kRampAnswerLife);
  }
  aShifts.Record(question, shift, answer.mLife, aNow);
  return answer;
}

// The block table of the document in force, as a shared table: readers copy
// it, a writer makes the next one without the lock and puts it in place.
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
  std::shared_ptr<const document> mSource; // null until the first
};

// The table for aTo, made from that of aFrom where little differs. aFrom may
// be null.
block_table
UpdateBlocks(const block_table& aTable,
             const document* aFrom,
             const document& aTo);

} // namespace laburnumdyke
