// Registration says which instances may exist, heartbeats which are alive. Both
// are needed: rows outlive their instances, and heartbeats go only to instances
// that have registered.
//
// A backup may list instances that have withdrawn since, and no owner is left
// to delete their rows. They are known by the removal of their rows and by
// their last heartbeats, and the oldest instance of their region deletes the
// rows.
#include "laburnumdyke/decision/fleet_view.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

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
  mWithdrawn.erase(aMember.mInstance);
  member_state& state = mMembers[aMember.mInstance];
  if (aMember.mIncarnation > state.mMember.mIncarnation) {
    state = {};
    state.mMember = aMember;
  }
  state.mIsUnlisted = false;
}

void
fleet_view::Remove(const instance_id& aInstance)
{
  auto withdrawn = mWithdrawn.find(aInstance);
  if (withdrawn != mWithdrawn.end()) {
    withdrawn->second.mIsListed = false;
  }
  auto found = mMembers.find(aInstance);
  if (found != mMembers.end()) {
    mWithdrawn[aInstance] = { found->second.mMember, std::nullopt, false };
    mMembers.erase(found);
  }
}

bool
fleet_view::IsWithdrawn(const fleet_member& aMember) const
{
  auto withdrawn = mWithdrawn.find(aMember.mInstance);
  return withdrawn != mWithdrawn.end() &&
         aMember.mIncarnation <= withdrawn->second.mMember.mIncarnation;
}

bool
fleet_view::HasLeft(const member_state& aState, instant aNow) const
{
  return aState.mLeaving && !IsLive(aState, aNow);
}

void
fleet_view::ReplaceRestored(const std::vector<fleet_member>& aMembers,
                            instant aNow)
{
  mRestored = true;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    const member_state& state = it->second;
    if (HasLeft(state, aNow)) {
      mWithdrawn[it->first] = { state.mMember, std::nullopt, false };
      it = mMembers.erase(it);
    } else {
      it->second.mIsUnlisted = true;
      ++it;
    }
  }
  for (const fleet_member& member : aMembers) {
    if (IsWithdrawn(member)) {
      mWithdrawn[member.mInstance].mIsListed = true;
    } else {
      Put(member);
    }
  }
  Expire(aNow);
}

void
fleet_view::Expire(instant aNow)
{
  std::erase_if(mMembers,
                [&](const std::pair<const instance_id, member_state>& aOne) {
                  return aOne.second.mIsUnlisted && !IsLive(aOne.second, aNow);
                });
  for (std::pair<const instance_id, withdrawn_state>& one : mWithdrawn) {
    one.second.mSince = one.second.mSince.value_or(aNow);
  }
  std::erase_if(mWithdrawn,
                [&](const std::pair<const instance_id, withdrawn_state>& aOne) {
                  return !aOne.second.mIsListed &&
                         aNow - *aOne.second.mSince >= mOptions.mWithdrawnTime;
                });
}

bool
fleet_view::IsOldestOfRegion(instant aNow) const
{
  if (mLeaving) {
    return false;
  }
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const member_state& state = one.second;
    if (state.mMember.mRegion == mOptions.mSelf.mRegion && !state.mLeaving &&
        IsLive(state, aNow) && IsOlder(state.mMember, mOptions.mSelf)) {
      return false;
    }
  }
  return true;
}

std::vector<instance_id>
fleet_view::RowsToDelete(instant aNow) const
{
  std::vector<instance_id> rows;
  if (!mRestored || !IsOldestOfRegion(aNow)) {
    return rows;
  }
  const region_id& region = mOptions.mSelf.mRegion;
  for (const std::pair<const instance_id, withdrawn_state>& one : mWithdrawn) {
    if (one.second.mIsListed && one.second.mMember.mRegion == region) {
      rows.push_back(one.first);
    }
  }
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    if (one.second.mMember.mRegion == region && HasLeft(one.second, aNow)) {
      rows.push_back(one.first);
    }
  }
  return rows;
}

void
fleet_view::NoteEra(std::uint64_t aEra)
{
  if (aEra > mEra) {
    mEra = aEra;
    mIsEraToAnnounce = true;
  }
}

bool
fleet_view::TakeEraToAnnounce()
{
  return std::exchange(mIsEraToAnnounce, false);
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
    auto withdrawn = mWithdrawn.find(member.mInstance);
    bool isStillWithdrawn = withdrawn != mWithdrawn.end() &&
                            withdrawn->second.mIsListed && IsWithdrawn(member);
    if (!isStillWithdrawn) {
      Put(member);
    }
  }
  RemoveUnlisted(listed);
}

void
fleet_view::RemoveUnlisted(const std::set<instance_id>& aListed)
{
  std::vector<instance_id> unlisted;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    if (aListed.count(one.first) == 0) {
      unlisted.push_back(one.first);
    }
  }
  for (const std::pair<const instance_id, withdrawn_state>& one : mWithdrawn) {
    if (aListed.count(one.first) == 0) {
      unlisted.push_back(one.first);
    }
  }
  for (const instance_id& instance : unlisted) {
    Remove(instance);
  }
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
  sender->mDocumentVersion = aHeartbeat.mDocumentVersion;
  mEra = std::max(mEra, aHeartbeat.mControlVersion.mEra);
  return true;
}

fleet_heartbeat
fleet_view::Heartbeat() const
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender = mOptions.mSelf;
  heartbeat.mServing = IsServing();
  heartbeat.mLeaving = mLeaving;
  heartbeat.mControlVersion =
    mControlVersion.mEra == mEra ? mControlVersion : store_version(mEra, 0);
  heartbeat.mSettled = mSettled;
  heartbeat.mDocumentVersion = mEra == 0 ? 0 : mDocumentVersion;
  return heartbeat;
}

std::vector<fleet_member>
fleet_view::PeersWithNewerControl(instant aNow) const
{
  std::vector<fleet_member> ahead;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const member_state& state = one.second;
    bool isAhead = state.mControlVersion.mVersion != 0 &&
                   state.mControlVersion > mControlVersion;
    bool hasNewerDocument = state.mDocumentVersion > mDocumentVersion;
    if (IsLive(state, aNow) && (isAhead || hasNewerDocument)) {
      ahead.push_back(one.second.mMember);
    }
  }
  return ahead;
}

std::optional<fleet_member>
fleet_view::PeerWithNewerDocument(std::uint64_t aVersion, instant aNow) const
{
  std::optional<fleet_member> newest;
  for (const std::pair<const instance_id, member_state>& one : mMembers) {
    const member_state& state = one.second;
    if (IsLive(state, aNow) && state.mDocumentVersion > aVersion) {
      aVersion = state.mDocumentVersion;
      newest = state.mMember;
    }
  }
  return newest;
}

bool
fleet_view::HasReportedDocument(instant aNow) const
{
  return std::any_of(
    mMembers.begin(),
    mMembers.end(),
    [&](const std::pair<const instance_id, member_state>& aOne) {
      return IsLive(aOne.second, aNow) && aOne.second.mDocumentVersion > 0;
    });
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
