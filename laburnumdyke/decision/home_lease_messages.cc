// The lease messages between the instances of a failure domain. Compose makes
// the full message once for each heartbeat; MessageFor reduces it to what the
// receiving peer does not know yet.
#include "laburnumdyke/decision/home_lease.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

using std::chrono::milliseconds;

milliseconds
RoundUp(duration aTime)
{
  return std::chrono::ceil<milliseconds>(aTime);
}

} // namespace

lease_message
home_lease::Compose(std::uint64_t aSequence, instant aNow)
{
  CheckForPause(aNow);
  Update(aNow);
  RemoveExpired(aNow);
  lease_message message;
  message.mEligible = Eligible(aNow);
  if (message.mEligible && mEligibleSequence == 0) {
    mEligibleSequence = aSequence;
  }
  mSent.push_back({ aSequence, aNow });
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    message.mAcks.push_back({ one.second.mKey, one.second.mHeardSequence });
  }
  if (mSentHomes != mHomes) {
    mSentHomes = mHomes;
    mHoldingsSequence = aSequence;
  }
  AddAsked(message, aNow);
  AddReports(message, aNow);
  AddSilent(message, aNow);
  return message;
}

// Omits reports of held upstreams once the peer has acknowledged that this
// instance holds them; no peer needs their number of requests in flight. A peer
// becomes the home either after this instance has reported that it no longer
// holds the upstream, and that report has the number, or after this instance
// has fallen silent, and then all slots count as held.
std::optional<lease_message>
home_lease::MessageFor(const instance_id& aPeer,
                       const lease_message& aFull,
                       std::uint64_t aSequence,
                       std::uint64_t aAcked) const
{
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  const domain_peer& peer = found->second;
  lease_message part;
  part.mEligible = aFull.mEligible;
  part.mSameHoldings = aAcked >= mHoldingsSequence;
  part.mAsked = aFull.mAsked;
  part.mSilent = aFull.mSilent;
  for (const upstream_report& report : aFull.mReports) {
    if (!part.mSameHoldings || !report.mHolding) {
      part.mReports.push_back(report);
    }
  }
  part.mAcks.push_back({ peer.mKey, peer.mHeardSequence });
  AddIndirectAcks(part, aFull, aSequence);
  AddAnswers(part, peer.mAsked);
  return part;
}

void
home_lease::AddAsked(lease_message& aMessage, instant aNow) const
{
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    const domain_peer& peer = one.second;
    if (!peer.mLeaving && aNow - peer.mHeard >= kAskAfter) {
      std::uint64_t known =
        std::max(peer.mHeardSequence, peer.mIndirectSequence);
      aMessage.mAsked.push_back({ peer.mKey, known });
    }
  }
}

// Adds the next kIndirectAcks of all acknowledgements in rotation. Instances
// start the rotation at different positions, so that in most periods some
// instance reports that it has heard a given peer.
void
home_lease::AddIndirectAcks(lease_message& aMessage,
                            const lease_message& aFull,
                            std::uint64_t aSequence) const
{
  const std::vector<lease_ack>& all = aFull.mAcks;
  member_key to = aMessage.mAcks.front().mMember;
  bool fits = all.size() <= kIndirectAcks + 1;
  std::size_t count = fits ? all.size() : kIndirectAcks;
  std::size_t first =
    fits ? 0 : (mKey % all.size() + aSequence * kIndirectAcks) % all.size();
  for (std::size_t i = 0; i < count; ++i) {
    const lease_ack& ack = all[(first + i) % all.size()];
    if (ack.mMember != to) {
      aMessage.mAcks.push_back(ack);
    }
  }
}

void
home_lease::AddAnswers(lease_message& aMessage,
                       const std::vector<lease_ack>& aAsked) const
{
  for (const lease_ack& asked : aAsked) {
    const domain_peer* peer = FindByKey(asked.mMember);
    if (peer != nullptr && peer->mHeardSequence > asked.mSequence) {
      aMessage.mAcks.push_back({ asked.mMember, peer->mHeardSequence });
    }
  }
}

void
home_lease::AddReports(lease_message& aMessage, instant aNow) const
{
  std::set<upstream_id> upstreams = mDispatched.BusyUpstreams();
  upstreams.merge(mLoans.BusyUpstreams());
  upstreams.insert(mHomes.begin(), mHomes.end());
  for (const std::pair<const upstream_id, instant>& one : mAllHeldUntil) {
    upstreams.insert(one.first);
  }
  for (const upstream_id& upstream : upstreams) {
    held_slots silent = HeldBySilent(upstream, aNow);
    std::uint32_t inFlight =
      mDispatched.InFlight(upstream) + mLoans.InFlight(upstream);
    upstream_report report;
    report.mUpstream = upstream;
    report.mHolding = mHomes.count(upstream) != 0;
    report.mOccupied = inFlight + silent.mOccupied;
    instant until = silent.mUntil;
    if (inFlight != 0) {
      until = std::max({ until,
                         mDispatched.LatestDeadline(upstream),
                         mLoans.LatestDeadline(upstream) });
    }
    report.mBusyFor = RoundUp(std::max(until - aNow, duration(0)));
    aMessage.mReports.push_back(report);
  }
}

void
home_lease::AddSilent(lease_message& aMessage, instant aNow) const
{
  auto add = [&](const instance_id& aInstance,
                 std::uint64_t aIncarnation,
                 instant aHeard) {
    if (aMessage.mSilent.size() < kMaxSilentReports) {
      milliseconds age =
        std::chrono::floor<milliseconds>(std::max(aNow - aHeard, duration(0)));
      aMessage.mSilent.push_back({ aInstance, aIncarnation, age });
    }
  };
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    const domain_peer& peer = one.second;
    if (!peer.mLeaving && aNow - peer.mHeard >= kAckRequiredFor) {
      add(one.first,
          peer.mIncarnation,
          std::max(peer.mHeard, peer.mIndirectlyHeard));
    }
  }
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    if (one.second.mEligible) {
      add(one.first.first, one.first.second, one.second.mHeard);
    }
  }
}

home_lease::domain_peer*
home_lease::FindByKey(member_key aKey)
{
  for (std::pair<const instance_id, domain_peer>& one : mPeers) {
    if (one.second.mKey == aKey) {
      return &one.second;
    }
  }
  return nullptr;
}

const home_lease::domain_peer*
home_lease::FindByKey(member_key aKey) const
{
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    if (one.second.mKey == aKey) {
      return &one.second;
    }
  }
  return nullptr;
}

void
home_lease::ApplyReports(domain_peer& aPeer,
                         const lease_message& aMessage,
                         instant aNow)
{
  aPeer.mHeldSlots.clear();
  if (!aMessage.mSameHoldings) {
    aPeer.mHolds.clear();
  }
  for (const upstream_report& report : aMessage.mReports) {
    if (report.mOccupied != 0) {
      aPeer.mHeldSlots[report.mUpstream] = { report.mOccupied,
                                             aNow + report.mBusyFor };
    }
    if (report.mHolding) {
      aPeer.mHolds.insert(report.mUpstream);
    }
  }
  for (const upstream_id& held : aPeer.mHolds) {
    mLastHeld[held] = aNow;
  }
}

void
home_lease::ApplyAcks(domain_peer& aPeer,
                      const lease_message& aMessage,
                      instant aNow)
{
  for (const lease_ack& ack : aMessage.mAcks) {
    if (ack.mMember == mKey) {
      aPeer.mAckedSequence = std::max(aPeer.mAckedSequence, ack.mSequence);
      continue;
    }
    domain_peer* heardByPeer = FindByKey(ack.mMember);
    bool isLater = heardByPeer != nullptr && heardByPeer != &aPeer &&
                   ack.mSequence > std::max(heardByPeer->mIndirectSequence,
                                            heardByPeer->mHeardSequence);
    if (isLater) {
      heardByPeer->mIndirectSequence = ack.mSequence;
      heardByPeer->mIndirectlyHeard = aNow;
    }
  }
}

void
home_lease::ApplySilent(const lease_message& aMessage, instant aNow)
{
  for (const silent_report& report : aMessage.mSilent) {
    incarnation_key key{ report.mInstance, report.mIncarnation };
    instant heard = aNow - report.mAge;
    auto known = mPeers.find(report.mInstance);
    bool isKnown = known != mPeers.end() &&
                   known->second.mIncarnation == report.mIncarnation;
    bool isSelf =
      report.mInstance == mSelf && report.mIncarnation == mIncarnation;
    if (isKnown || isSelf || report.mAge >= SilentRetention()) {
      continue;
    }
    silent_incarnation& silent = mSilentIncarnations[key];
    silent.mHeard = std::max(silent.mHeard, heard);
  }
}

} // namespace laburnumdyke
