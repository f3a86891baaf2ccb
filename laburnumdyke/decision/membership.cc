// Liveness is judged by the receiver's steady clock alone; incarnations only
// order the processes that have had one name.
#include "laburnumdyke/decision/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kHintLife{ 60 };

// Dead peers are remembered for so long, so that late heartbeats of an older
// incarnation stay ignored.
constexpr std::chrono::seconds kMemory{ 60 };

bool
IsSameService(const service_credit& aFirst, const service_credit& aSecond)
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
membership::Hear(const heartbeat& aHeartbeat, instant aNow)
{
  std::optional<heartbeat> completed = Completed(aHeartbeat);
  if (!completed) {
    mLease.NoteStranger(aNow);
    return false;
  }
  const member& sender = completed->mSender;
  if (IsStale(*completed, aNow)) {
    bool isOther = sender.mInstance != mSelf.mInstance &&
                   sender.mDomain == mSelf.mDomain &&
                   sender.mIncarnation !=
                     mPeers[sender.mInstance].mLast.mSender.mIncarnation;
    if (isOther) {
      mLease.NoteIgnored(aNow);
    }
    return false;
  }
  for (const endpoint& hint : completed->mKnownPeers) {
    mHints[hint] = aNow;
  }
  if (sender.mDomain == mSelf.mDomain) {
    lease_sender from{ sender.mInstance,
                       sender.mIncarnation,
                       completed->mSequence,
                       sender.mLeaving };
    mAnswerNow |= mLease.Hear(from, completed->mLease, aNow);
  }
  Remember(std::move(*completed), aNow);
  return true;
}

void
membership::Remember(heartbeat aHeartbeat, instant aNow)
{
  instance_id instance = aHeartbeat.mSender.mInstance;
  member_key key = KeyOf(instance, aHeartbeat.mSender.mIncarnation);
  peer& known = mPeers[instance];
  const member& last = known.mLast.mSender;
  if (last.mIncarnation != aHeartbeat.mSender.mIncarnation) {
    mKeys.erase(KeyOf(instance, last.mIncarnation));
  }
  mKeys[key] = instance;
  known.mAcked = AckedBy(aHeartbeat);
  known.mHeard = aNow;
  known.mLast = std::move(aHeartbeat);
  known.mLast.mLease = {};
  known.mLast.mKnownPeers.clear();
}

std::optional<heartbeat>
membership::Completed(const heartbeat& aHeartbeat) const
{
  if (!aHeartbeat.mBriefSender) {
    return aHeartbeat;
  }
  auto name = mKeys.find(*aHeartbeat.mBriefSender);
  if (name == mKeys.end() || AckedBy(aHeartbeat) == 0) {
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
  heartbeat whole = aHeartbeat;
  whole.mBriefSender.reset();
  whole.mSender = last.mSender;
  whole.mSender.mLeaving = aHeartbeat.mSender.mLeaving;
  if (aHeartbeat.mSameDocument) {
    whole.mVersion = last.mVersion;
    whole.mContentHash = last.mContentHash;
  }
  if (aHeartbeat.mSameCredits) {
    whole.mCredits = last.mCredits;
    for (std::size_t i = 0; i < whole.mLoad.size() / 2; ++i) {
      whole.mCredits[i].mFree = whole.mLoad[2 * i];
      whole.mCredits[i].mWaiting = whole.mLoad[2 * i + 1];
    }
  }
  return whole;
}

std::uint64_t
membership::AckedBy(const heartbeat& aHeartbeat) const
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
  bool isDead = aNow - found->second.mHeard >= kSilence;
  return sender.mIncarnation < last.mSender.mIncarnation && !isDead;
}

bool
membership::TakeAnswerNow()
{
  return std::exchange(mAnswerNow, false);
}

heartbeat
membership::Compose(instant aNow)
{
  ForgetDead(aNow);
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
membership::Address(const heartbeat& aWhole, instant aNow)
{
  NoteParts(aWhole);
  // An address may have had several instances; the latest heard has it now.
  std::map<endpoint, const peer*> atAddress;
  for (const std::pair<const instance_id, peer>& entry : mPeers) {
    const peer& one = entry.second;
    if (aNow - one.mHeard < kSilence) {
      const peer*& known = atAddress[one.mLast.mSender.mPeer];
      bool isLater = known == nullptr || one.mHeard > known->mHeard;
      known = isLater ? &one : known;
    }
  }
  std::vector<addressed_heartbeat> addressed;
  for (const endpoint& target : Targets(aNow)) {
    auto found = atAddress.find(target);
    addressed.push_back({ target,
                          found == atAddress.end()
                            ? aWhole
                            : AddressTo(*found->second, aWhole) });
  }
  return addressed;
}

void
membership::NoteParts(const heartbeat& aWhole)
{
  if (mVersion != aWhole.mVersion) {
    mVersion = aWhole.mVersion;
    mDocumentFrom = aWhole.mSequence;
  }
  bool sameServices = std::equal(mCredits.begin(),
                                 mCredits.end(),
                                 aWhole.mCredits.begin(),
                                 aWhole.mCredits.end(),
                                 IsSameService);
  if (!sameServices) {
    mCreditsFrom = aWhole.mSequence;
  }
  if (!sameServices || LoadOf(mCredits) != LoadOf(aWhole.mCredits)) {
    mLoadFrom = aWhole.mSequence;
    mCredits = aWhole.mCredits;
  }
}

heartbeat
membership::AddressTo(const peer& aPeer, const heartbeat& aWhole) const
{
  std::optional<lease_message> lease = LeaseFor(aPeer, aWhole);
  if (!lease || aPeer.mAcked == 0) {
    heartbeat whole = aWhole;
    bool isOther = aPeer.mLast.mSender.mDomain != mSelf.mDomain;
    if (isOther) {
      whole.mLease = std::move(*lease);
    }
    return whole;
  }
  heartbeat brief;
  brief.mBriefSender = mKey;
  brief.mSender.mLeaving = mSelf.mLeaving;
  brief.mSequence = aWhole.mSequence;
  brief.mStamp = aWhole.mStamp;
  AddParts(brief, aWhole, aPeer.mAcked);
  AddKnownPeer(brief, aWhole);
  brief.mLease = std::move(*lease);
  return brief;
}

void
membership::AddParts(heartbeat& aBrief,
                     const heartbeat& aWhole,
                     std::uint64_t aAcked) const
{
  aBrief.mSameDocument = aAcked >= mDocumentFrom;
  if (!aBrief.mSameDocument) {
    aBrief.mVersion = aWhole.mVersion;
    aBrief.mContentHash = aWhole.mContentHash;
  }
  aBrief.mSameCredits = aAcked >= mCreditsFrom;
  if (!aBrief.mSameCredits) {
    aBrief.mCredits = aWhole.mCredits;
  } else if (aAcked < mLoadFrom) {
    aBrief.mLoad = LoadOf(aWhole.mCredits);
  }
}

// One in turn, so that addresses spread long after their owners have joined.
void
membership::AddKnownPeer(heartbeat& aBrief, const heartbeat& aWhole) const
{
  const std::vector<endpoint>& known = aWhole.mKnownPeers;
  if (aWhole.mSequence % kKnownEvery == 0 && !known.empty()) {
    std::uint64_t turn = mKey / 2 + aWhole.mSequence / kKnownEvery;
    aBrief.mKnownPeers = { known[turn % known.size()] };
  }
}

// Nothing where a peer of the own domain needs all of it.
std::optional<lease_message>
membership::LeaseFor(const peer& aPeer, const heartbeat& aWhole) const
{
  const member& to = aPeer.mLast.mSender;
  if (to.mDomain == mSelf.mDomain) {
    return mLease.AddressTo(
      to.mInstance, aWhole.mLease, aWhole.mSequence, aPeer.mAcked);
  }
  lease_message acknowledgement;
  acknowledgement.mAcks = { { KeyOf(to.mInstance, to.mIncarnation),
                              aPeer.mLast.mSequence } };
  return acknowledgement;
}

void
membership::Hint(const std::vector<endpoint>& aListed, instant aNow)
{
  for (const endpoint& listed : aListed) {
    mHints[listed] = aNow;
  }
}

void
membership::ForgetDead(instant aNow)
{
  std::erase_if(mPeers, [&](const std::pair<const instance_id, peer>& aEntry) {
    return aNow - aEntry.second.mHeard >= kMemory;
  });
  std::erase_if(mKeys,
                [&](const std::pair<const member_key, instance_id>& aEntry) {
                  return mPeers.count(aEntry.second) == 0;
                });
  std::erase_if(mHints, [&](const std::pair<const endpoint, instant>& aEntry) {
    return aNow - aEntry.second >= kHintLife;
  });
}

std::vector<peer>
membership::Live(instant aNow) const
{
  std::vector<peer> live;
  for (const std::pair<const instance_id, peer>& entry : mPeers) {
    if (aNow - entry.second.mHeard < kSilence) {
      live.push_back(entry.second);
    }
  }
  return live;
}

std::optional<peer>
membership::Find(const instance_id& aInstance, instant aNow) const
{
  auto found = mPeers.find(aInstance);
  if (found == mPeers.end() || aNow - found->second.mHeard >= kSilence) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<endpoint>
membership::Targets(instant aNow) const
{
  std::set<endpoint> targets(mSeeds.begin(), mSeeds.end());
  for (const std::pair<const endpoint, instant>& hint : mHints) {
    if (aNow - hint.second < kHintLife) {
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
