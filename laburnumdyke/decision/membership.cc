// Liveness is judged by the receiver's steady clock alone; incarnations only
// order the processes that have had one name.
#include "laburnumdyke/decision/membership.h"

#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kHintLife{ 60 };

// Dead peers are remembered for so long, so that late heartbeats of an older
// incarnation stay ignored.
constexpr std::chrono::seconds kMemory{ 60 };

} // namespace

void
membership::Open(member aSelf, std::vector<endpoint> aSeeds)
{
  mSelf = std::move(aSelf);
  mSeeds = std::move(aSeeds);
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
  const member& sender = aHeartbeat.mSender;
  if (IsStale(aHeartbeat, aNow)) {
    return false;
  }
  mPeers[sender.mInstance] = { aHeartbeat, aNow };
  for (const endpoint& hint : aHeartbeat.mKnownPeers) {
    mHints[hint] = aNow;
  }
  if (sender.mDomain == mSelf.mDomain) {
    lease_sender from{ sender.mInstance,
                       sender.mIncarnation,
                       aHeartbeat.mSequence,
                       sender.mLeaving };
    mAnswerNow |= mLease.Hear(from, aHeartbeat.mLease, aNow);
  }
  return true;
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
