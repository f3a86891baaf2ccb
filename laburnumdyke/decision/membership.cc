// Full mesh at today's size: 25 instances at 2 Hz. Liveness is judged by the
// receiver's clock alone.
#include "laburnumdyke/decision/membership.h"

#include <xxhash.h>

#include <set>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kHintLife{ 60 };

} // namespace

std::uint64_t
RendezvousWeight(std::string_view aCandidate, std::string_view aKey)
{
  std::uint64_t seed = XXH3_64bits(aCandidate.data(), aCandidate.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

void
membership::Open(member aSelf, std::vector<endpoint> aSeeds)
{
  mSelf = std::move(aSelf);
  mSeeds = std::move(aSeeds);
}

bool
membership::Hear(const heartbeat& aHeartbeat, instant aNow)
{
  const member& sender = aHeartbeat.mSender;
  if (sender.mInstance == mSelf.mInstance) {
    return false;
  }
  auto found = mPeers.find(sender.mInstance);
  if (found != mPeers.end()) {
    const heartbeat& last = found->second.mLast;
    bool older = sender.mIncarnation < last.mSender.mIncarnation ||
                 (sender.mIncarnation == last.mSender.mIncarnation &&
                  aHeartbeat.mSequence <= last.mSequence);
    if (older) {
      return false;
    }
  }
  mPeers[sender.mInstance] = { aHeartbeat, aNow };
  for (const endpoint& hint : aHeartbeat.mKnownPeers) {
    mHints[hint] = aNow;
  }
  return true;
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

std::optional<instance_id>
membership::HomeOf(const upstream_id& aUpstream, instant aNow) const
{
  std::optional<instance_id> home;
  std::uint64_t best = 0;
  auto consider = [&](const member& aCandidate) {
    if (aCandidate.mLeaving || aCandidate.mDomain != mSelf.mDomain) {
      return;
    }
    std::uint64_t weight =
      RendezvousWeight(aCandidate.mInstance.mValue, aUpstream.mValue);
    if (!home || weight > best) {
      home = aCandidate.mInstance;
      best = weight;
    }
  };
  consider(mSelf);
  for (const peer& one : Live(aNow)) {
    consider(one.mLast.mSender);
  }
  return home;
}

} // namespace laburnumdyke
