// Registration says which instances may exist, heartbeats which are alive. Both
// are needed: rows outlive their instances, and heartbeats go only to instances
// that have registered.
#include "laburnumdyke/decision/fleet_view.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace laburnumdyke {

namespace {

bool
IsOlder(const fleet_member& aOne, const fleet_member& aOther)
{
  return std::tie(aOne.mIncarnation, aOne.mInstance) <
         std::tie(aOther.mIncarnation, aOther.mInstance);
}

} // namespace

void
fleet_view::Put(const fleet_member& aMember)
{
  if (aMember.mInstance == mOptions.mSelf.mInstance) {
    bool isEarlierIncarnation =
      aMember.mIncarnation < mOptions.mSelf.mIncarnation;
    mRegisteredBefore = mRegisteredBefore || isEarlierIncarnation;
    return;
  }
  member_state& state = mMembers[aMember.mInstance];
  if (aMember.mIncarnation > state.mMember.mIncarnation) {
    state = {};
    state.mMember = aMember;
  }
}

void
fleet_view::Remove(const instance_id& aInstance)
{
  mMembers.erase(aInstance);
}

void
fleet_view::CountReading(bool aRegistered)
{
  mReadings += aRegistered ? 1 : 0;
}

void
fleet_view::Replace(const std::vector<fleet_member>& aMembers)
{
  std::set<instance_id> listed;
  for (const fleet_member& member : aMembers) {
    listed.insert(member.mInstance);
    Put(member);
  }
  std::erase_if(mMembers,
                [&](const std::pair<const instance_id, member_state>& aOne) {
                  return listed.count(aOne.first) == 0;
                });
}

// Returns null if the heartbeat is to be ignored. Adds the sender of a full
// heartbeat.
fleet_view::member_state*
fleet_view::FindSender(const fleet_heartbeat& aHeartbeat)
{
  const fleet_member& sender = aHeartbeat.mSender;
  if (sender.mInstance.mValue.empty()) {
    for (std::pair<const instance_id, member_state>& one : mMembers) {
      const fleet_member& member = one.second.mMember;
      if (KeyOf(member.mInstance, member.mIncarnation) ==
          aHeartbeat.mSenderKey) {
        return &one.second;
      }
    }
    return nullptr;
  }
  if (sender.mInstance == mOptions.mSelf.mInstance) {
    return nullptr;
  }
  member_state& state = mMembers[sender.mInstance];
  if (sender.mIncarnation < state.mMember.mIncarnation) {
    return nullptr;
  }
  state.mMember = sender;
  return &state;
}

bool
fleet_view::ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat, instant aNow)
{
  member_state* sender = FindSender(aHeartbeat);
  if (sender == nullptr) {
    return false;
  }
  sender->mHeard = aNow;
  sender->mServing = aHeartbeat.mServing;
  sender->mLeaving = aHeartbeat.mLeaving;
  sender->mControlVersion = aHeartbeat.mControlVersion;
  sender->mSettled = aHeartbeat.mSettled;
  return true;
}

fleet_heartbeat
fleet_view::Heartbeat() const
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender = mOptions.mSelf;
  heartbeat.mServing = IsServing();
  heartbeat.mLeaving = mLeaving;
  heartbeat.mControlVersion = mControlVersion;
  heartbeat.mSettled = mSettled;
  return heartbeat;
}

std::vector<fleet_member>
fleet_view::PeersWithNewerControl(instant aNow) const
{
  std::vector<fleet_member> ahead;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    if (IsLive(one.second, aNow) &&
        one.second.mControlVersion > mControlVersion) {
      ahead.push_back(one.second.mMember);
    }
  }
  return ahead;
}

bool
fleet_view::HasSettledPeer(instant aNow) const
{
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    if (IsLive(one.second, aNow) && one.second.mSettled) {
      return true;
    }
  }
  return false;
}

bool
fleet_view::MayRead(const member_state& aState, instant aNow) const
{
  return aState.mSettled && !aState.mLeaving && IsLive(aState, aNow);
}

std::optional<fleet_member>
fleet_view::Reader(instant aNow) const
{
  std::optional<fleet_member> ofDomain;
  std::optional<fleet_member> ofRegion;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const fleet_member& member = one.second.mMember;
    if (!MayRead(one.second, aNow)) {
      continue;
    }
    bool isNear = member.mDomain == mOptions.mSelf.mDomain;
    std::optional<fleet_member>& oldest = isNear ? ofDomain : ofRegion;
    if (!oldest || IsOlder(member, *oldest)) {
      oldest = member;
    }
  }
  bool selfReads = mSettled && !mLeaving;
  if (!selfReads) {
    return ofDomain ? ofDomain : ofRegion;
  }
  bool isFirst = ofDomain && IsOlder(mOptions.mSelf, *ofDomain);
  return isFirst ? std::nullopt : ofDomain;
}

std::optional<endpoint>
fleet_view::Collector(instant aNow) const
{
  const fleet_member* oldest = mLeaving ? nullptr : &mOptions.mSelf;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const member_state& state = one.second;
    const fleet_member& member = state.mMember;
    bool isCandidate = member.mDomain == mOptions.mSelf.mDomain &&
                       IsLive(state, aNow) && !state.mLeaving;
    if (isCandidate && (oldest == nullptr || IsOlder(member, *oldest))) {
      oldest = &member;
    }
  }
  bool isSelf = oldest == nullptr || oldest == &mOptions.mSelf;
  return isSelf ? std::nullopt : std::optional<endpoint>(oldest->mPeer);
}

std::vector<endpoint>
fleet_view::DomainPeers(instant aNow) const
{
  std::vector<endpoint> peers;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const fleet_member& member = one.second.mMember;
    if (member.mDomain == mOptions.mSelf.mDomain && IsLive(one.second, aNow)) {
      peers.push_back(member.mPeer);
    }
  }
  return peers;
}

std::vector<endpoint>
fleet_view::RemoteContacts(std::uint64_t aTurn) const
{
  std::map<domain_id, std::vector<const fleet_member*>> domains;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const fleet_member& member = one.second.mMember;
    if (member.mDomain != mOptions.mSelf.mDomain) {
      domains[member.mDomain].push_back(&member);
    }
  }
  std::vector<endpoint> contacts;
  for (std::pair<const domain_id, std::vector<const fleet_member*>>& domain :
       domains) {
    std::vector<const fleet_member*>& members = domain.second;
    // The oldest is the collector, unless it is gone.
    auto oldest = std::min_element(
      members.begin(),
      members.end(),
      [](const fleet_member* aOne, const fleet_member* aOther) {
        return IsOlder(*aOne, *aOther);
      });
    contacts.push_back((*oldest)->mPeer);
    members.erase(oldest);
    if (!members.empty()) {
      contacts.push_back(members[aTurn % members.size()]->mPeer);
    }
  }
  return contacts;
}

std::vector<endpoint>
fleet_view::Targets() const
{
  std::vector<endpoint> targets;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    if (one.second.mMember.mRegion == mOptions.mSelf.mRegion) {
      targets.push_back(one.second.mMember.mPeer);
    }
  }
  return targets;
}

bool
fleet_view::IsLive(const member_state& aState, instant aNow) const
{
  return aState.mHeard && aNow - *aState.mHeard < mOptions.mPeerTimeout;
}

std::vector<endpoint>
fleet_view::Answer(const domain_id& aDomain,
                   const region_id& aRegion,
                   instant aNow) const
{
  std::vector<endpoint> near;
  std::vector<endpoint> far;
  if (IsServing()) {
    bool isNear = mOptions.mSelf.mDomain == aDomain;
    (isNear ? near : far).push_back(mOptions.mSelf.mCaller);
  }
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const member_state& state = one.second;
    if (!IsLive(state, aNow) || !state.mServing || state.mLeaving) {
      continue;
    }
    if (state.mMember.mDomain == aDomain) {
      near.push_back(state.mMember.mCaller);
    } else if (state.mMember.mRegion == aRegion ||
               mOptions.mSelf.mRegion != aRegion) {
      far.push_back(state.mMember.mCaller);
    }
  }
  if (near.size() < mOptions.mMinOwnDomain) {
    near.insert(near.end(), far.begin(), far.end());
  }
  if (near.size() > mOptions.mMaxAddresses) {
    near.resize(mOptions.mMaxAddresses);
  }
  return near;
}

std::vector<instance_location>
fleet_view::InstanceLocations() const
{
  std::vector<instance_location> places;
  if (!mRegisteredBefore && mReadings < kMinReadings) {
    return places;
  }
  places.push_back({ mOptions.mSelf.mInstance, mOptions.mSelf.mRegion });
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    places.push_back({ one.first, one.second.mMember.mRegion });
  }
  return places;
}

} // namespace laburnumdyke
