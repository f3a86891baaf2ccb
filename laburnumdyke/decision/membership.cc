// Liveness depends on the receiver's steady clock alone. Incarnations only
// order the processes that have used the same name.
#include "laburnumdyke/decision/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kHintTtl{ 60 };

// Dead peers are kept for so long that late heartbeats of an older incarnation
// are still ignored.
constexpr std::chrono::seconds kDeadRetention{ 60 };

bool
HasSameSlots(const service_credit& aFirst, const service_credit& aSecond)
{
  return aFirst.mService == aSecond.mService && aFirst.mSlots == aSecond.mSlots;
}

std::vector<std::uint32_t>
LoadOf(const std::vector<service_credit>& aCredits)
{
  std::vector<std::uint32_t> load;
  for (const service_credit& credit : aCredits) {
    load.push_back(credit.mFree);
    load.push_back(credit.mWaiting);
  }
  return load;
}

} // namespace

void
membership::Open(member aSelf, std::vector<endpoint> aSeeds)
{
  mSelf = std::move(aSelf);
  mSeeds = std::move(aSeeds);
  mKey = KeyOf(mSelf.mInstance, mSelf.mIncarnation);
  mLease.Open(mSelf.mInstance, mSelf.mIncarnation);
}

void
membership::BeginLeaving(instant aNow)
{
  mSelf.mLeaving = true;
  mLease.Leave(aNow);
}

bool
membership::ReceiveHeartbeat(const heartbeat& aHeartbeat, instant aNow)
{
  std::optional<heartbeat> expanded = ExpandDelta(aHeartbeat);
  if (!expanded) {
    mLease.NoteUnknownSender(aNow);
    return false;
  }
  const member& sender = expanded->mSender;
  if (IsStale(*expanded, aNow)) {
    bool isOtherProcess = sender.mInstance != mSelf.mInstance &&
                          sender.mDomain == mSelf.mDomain &&
                          sender.mIncarnation !=
                            mPeers[sender.mInstance].mLast.mSender.mIncarnation;
    if (isOtherProcess) {
      mLease.NoteStaleIncarnation(aNow);
    }
    return false;
  }
  for (const endpoint& hint : expanded->mKnownPeers) {
    mHints[hint] = aNow;
  }
  if (sender.mDomain == mSelf.mDomain) {
    lease_sender from{ sender.mInstance,
                       sender.mIncarnation,
                       expanded->mSequence,
                       sender.mLeaving };
    mSendNow |= mLease.ReceiveHeartbeat(from, expanded->mLease, aNow);
  }
  Store(std::move(*expanded), aNow);
  return true;
}

void
membership::Store(heartbeat aHeartbeat, instant aNow)
{
  instance_id instance = aHeartbeat.mSender.mInstance;
  member_key key = KeyOf(instance, aHeartbeat.mSender.mIncarnation);
  peer& known = mPeers[instance];
  const member& last = known.mLast.mSender;
  if (last.mIncarnation != aHeartbeat.mSender.mIncarnation) {
    mKeys.erase(KeyOf(instance, last.mIncarnation));
  }
  mKeys[key] = instance;
  known.mAcked = AckedSequence(aHeartbeat);
  known.mHeard = aNow;
  known.mLast = std::move(aHeartbeat);
  known.mLast.mLease = {};
  known.mLast.mKnownPeers.clear();
}

std::optional<heartbeat>
membership::ExpandDelta(const heartbeat& aHeartbeat) const
{
  if (!aHeartbeat.mDeltaSender) {
    return aHeartbeat;
  }
  auto name = mKeys.find(*aHeartbeat.mDeltaSender);
  if (name == mKeys.end() || AckedSequence(aHeartbeat) == 0) {
    return std::nullopt;
  }
  const heartbeat& last = mPeers.at(name->second).mLast;
  bool fits = aHeartbeat.mLoad.empty() ||
              aHeartbeat.mLoad.size() == 2 * last.mCredits.size();
  bool isForgotten = last.mSender.mDomain == mSelf.mDomain &&
                     !mLease.Knows(name->second, last.mSender.mIncarnation);
  if (isForgotten || !fits) {
    return std::nullopt;
  }
  heartbeat full = aHeartbeat;
  full.mDeltaSender.reset();
  full.mSender = last.mSender;
  full.mSender.mLeaving = aHeartbeat.mSender.mLeaving;
  if (aHeartbeat.mSameDocument) {
    full.mVersion = last.mVersion;
    full.mContentHash = last.mContentHash;
  }
  if (aHeartbeat.mSameCredits) {
    full.mCredits = last.mCredits;
    for (std::size_t i = 0; i < full.mLoad.size() / 2; ++i) {
      full.mCredits[i].mFree = full.mLoad[2 * i];
      full.mCredits[i].mWaiting = full.mLoad[2 * i + 1];
    }
  }
  return full;
}

std::uint64_t
membership::AckedSequence(const heartbeat& aHeartbeat) const
{
  for (const lease_ack& ack : aHeartbeat.mLease.mAcks) {
    if (ack.mMember == mKey) {
      return ack.mSequence;
    }
  }
  return 0;
}

bool
membership::IsStale(const heartbeat& aHeartbeat, instant aNow) const
{
  const member& sender = aHeartbeat.mSender;
  if (sender.mInstance == mSelf.mInstance) {
    return true;
  }
  auto found = mPeers.find(sender.mInstance);
  if (found == mPeers.end()) {
    return false;
  }
  const heartbeat& last = found->second.mLast;
  if (sender.mIncarnation == last.mSender.mIncarnation) {
    return aHeartbeat.mSequence <= last.mSequence;
  }
  bool isDead = aNow - found->second.mHeard >= kPeerTimeout;
  return sender.mIncarnation < last.mSender.mIncarnation && !isDead;
}

bool
membership::TakeSendNow()
{
  return std::exchange(mSendNow, false);
}

heartbeat
membership::Compose(instant aNow)
{
  RemoveExpired(aNow);
  heartbeat message;
  message.mSender = mSelf;
  message.mSequence = ++mSequence;
  message.mLease = mLease.Compose(message.mSequence, aNow);
  for (const peer& one : Live(aNow)) {
    message.mKnownPeers.push_back(one.mLast.mSender.mPeer);
  }
  return message;
}

std::vector<addressed_heartbeat>
membership::Address(const heartbeat& aFull, instant aNow)
{
  RecordParts(aFull);
  // Several instances may have used an address in turn; the one heard last has
  // it now.
  std::map<endpoint, const peer*> latestAt;
  for (const std::pair<const instance_id, peer>& entry : mPeers) {
    const peer& one = entry.second;
    if (aNow - one.mHeard < kPeerTimeout) {
      const peer*& known = latestAt[one.mLast.mSender.mPeer];
      bool isLater = known == nullptr || one.mHeard > known->mHeard;
      known = isLater ? &one : known;
    }
  }
  std::vector<addressed_heartbeat> addressed;
  for (const endpoint& target : Targets(aNow)) {
    auto found = latestAt.find(target);
    addressed.push_back({ target,
                          found == latestAt.end()
                            ? aFull
                            : HeartbeatFor(*found->second, aFull) });
  }
  return addressed;
}

void
membership::RecordParts(const heartbeat& aFull)
{
  if (mVersion != aFull.mVersion) {
    mVersion = aFull.mVersion;
    mDocumentSequence = aFull.mSequence;
  }
  bool sameServices = std::equal(mCredits.begin(),
                                 mCredits.end(),
                                 aFull.mCredits.begin(),
                                 aFull.mCredits.end(),
                                 HasSameSlots);
  if (!sameServices) {
    mCreditsSequence = aFull.mSequence;
  }
  if (!sameServices || LoadOf(mCredits) != LoadOf(aFull.mCredits)) {
    mLoadSequence = aFull.mSequence;
    mCredits = aFull.mCredits;
  }
}

heartbeat
membership::HeartbeatFor(const peer& aPeer, const heartbeat& aFull) const
{
  std::optional<lease_message> lease = LeaseFor(aPeer, aFull);
  if (!lease || aPeer.mAcked == 0) {
    heartbeat full = aFull;
    bool isOtherDomain = aPeer.mLast.mSender.mDomain != mSelf.mDomain;
    if (isOtherDomain) {
      full.mLease = std::move(*lease);
    }
    return full;
  }
  heartbeat delta;
  delta.mDeltaSender = mKey;
  delta.mSender.mLeaving = mSelf.mLeaving;
  delta.mSequence = aFull.mSequence;
  delta.mStamp = aFull.mStamp;
  AddParts(delta, aFull, aPeer.mAcked);
  AddKnownPeer(delta, aFull);
  delta.mLease = std::move(*lease);
  return delta;
}

void
membership::AddParts(heartbeat& aDelta,
                     const heartbeat& aFull,
                     std::uint64_t aAcked) const
{
  aDelta.mSameDocument = aAcked >= mDocumentSequence;
  if (!aDelta.mSameDocument) {
    aDelta.mVersion = aFull.mVersion;
    aDelta.mContentHash = aFull.mContentHash;
  }
  aDelta.mSameCredits = aAcked >= mCreditsSequence;
  if (!aDelta.mSameCredits) {
    aDelta.mCredits = aFull.mCredits;
  } else if (aAcked < mLoadSequence) {
    aDelta.mLoad = LoadOf(aFull.mCredits);
  }
}

// Adds one known address in rotation, so that addresses continue to spread long
// after their owners have joined.
void
membership::AddKnownPeer(heartbeat& aDelta, const heartbeat& aFull) const
{
  const std::vector<endpoint>& known = aFull.mKnownPeers;
  if (aFull.mSequence % kKnownAddressEvery == 0 && !known.empty()) {
    std::uint64_t turn = mKey / 2 + aFull.mSequence / kKnownAddressEvery;
    aDelta.mKnownPeers = { known[turn % known.size()] };
  }
}

// Empty if a peer of the own domain needs the full lease message.
std::optional<lease_message>
membership::LeaseFor(const peer& aPeer, const heartbeat& aFull) const
{
  const member& to = aPeer.mLast.mSender;
  if (to.mDomain == mSelf.mDomain) {
    return mLease.MessageFor(
      to.mInstance, aFull.mLease, aFull.mSequence, aPeer.mAcked);
  }
  lease_message acknowledgement;
  acknowledgement.mAcks = { { KeyOf(to.mInstance, to.mIncarnation),
                              aPeer.mLast.mSequence } };
  return acknowledgement;
}

void
membership::AddHints(const std::vector<endpoint>& aListed, instant aNow)
{
  for (const endpoint& listed : aListed) {
    mHints[listed] = aNow;
  }
}

void
membership::RemoveExpired(instant aNow)
{
  std::erase_if(mPeers, [&](const std::pair<const instance_id, peer>& aEntry) {
    return aNow - aEntry.second.mHeard >= kDeadRetention;
  });
  std::erase_if(mKeys,
                [&](const std::pair<const member_key, instance_id>& aEntry) {
                  return mPeers.count(aEntry.second) == 0;
                });
  std::erase_if(mHints, [&](const std::pair<const endpoint, instant>& aEntry) {
    return aNow - aEntry.second >= kHintTtl;
  });
}

std::vector<peer>
membership::Live(instant aNow) const
{
  std::vector<peer> live;
  for (const std::pair<const instance_id, peer>& entry : mPeers) {
    if (aNow - entry.second.mHeard < kPeerTimeout) {
      live.push_back(entry.second);
    }
  }
  return live;
}

std::optional<peer>
membership::Find(const instance_id& aInstance, instant aNow) const
{
  auto found = mPeers.find(aInstance);
  if (found == mPeers.end() || aNow - found->second.mHeard >= kPeerTimeout) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<endpoint>
membership::Targets(instant aNow) const
{
  std::set<endpoint> targets(mSeeds.begin(), mSeeds.end());
  for (const std::pair<const endpoint, instant>& hint : mHints) {
    if (aNow - hint.second < kHintTtl) {
      targets.insert(hint.first);
    }
  }
  for (const peer& one : Live(aNow)) {
    targets.insert(one.mLast.mSender.mPeer);
  }
  targets.erase(mSelf.mPeer);
  return { targets.begin(), targets.end() };
}

} // namespace laburnumdyke
