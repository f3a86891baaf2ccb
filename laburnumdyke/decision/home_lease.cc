// Pairwise acknowledgements instead of a quorum: a domain of two instances must
// continue when one of them dies, so a majority can't be required. Each event
// first expires what has lapsed in the old state, then applies the event, then
// recomputes the homes. This costs (upstreams x eligible peers) hashes, and is
// done only if the eligible peers or the upstreams have changed.
#include "laburnumdyke/decision/home_lease.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <array>

namespace laburnumdyke {

namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 6> kRefusalNames = {
  "none",       "not_home",         "not_yet_eligible", "not_acknowledged",
  "slots_held", "deadline_too_far",
};

// Stands for all slots of an upstream that the document no longer declares.
constexpr std::uint32_t kAllSlots = 1U << 16U;

// Used until the document gives the longest request.
constexpr milliseconds kDefaultLongest{ 60000 };

milliseconds
RoundUp(duration aTime)
{
  return std::chrono::ceil<milliseconds>(aTime);
}

} // namespace

std::string_view
ToString(lease_refusal aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

void
home_lease::Open(instance_id aSelf, std::uint64_t aIncarnation)
{
  mSelf = std::move(aSelf);
  mIncarnation = aIncarnation;
  mKey = KeyOf(mSelf, mIncarnation);
}

void
home_lease::Leave(instant aNow)
{
  CheckForPause(aNow);
  mLeaving = true;
  mEligibleSequence = 0;
  ReleaseHomes();
}

bool
home_lease::ReceiveHeartbeat(const lease_sender& aSender,
                             const lease_message& aMessage,
                             instant aNow)
{
  CheckForPause(aNow);
  Update(aNow);
  auto found = mPeers.find(aSender.mInstance);
  bool isNew = found == mPeers.end();
  if (!isNew && found->second.mIncarnation != aSender.mIncarnation) {
    Retire(found->first, found->second);
    mPeers.erase(found);
    isNew = true;
  }
  mSilentIncarnations.erase({ aSender.mInstance, aSender.mIncarnation });
  domain_peer& peer = mPeers[aSender.mInstance];
  bool changed = isNew || peer.mEligible != aMessage.mEligible ||
                 peer.mLeaving != aSender.mLeaving;
  if (isNew) {
    peer.mKey = KeyOf(aSender.mInstance, aSender.mIncarnation);
  }
  peer.mIncarnation = aSender.mIncarnation;
  peer.mHeardSequence = aSender.mSequence;
  peer.mHeard = aNow;
  peer.mEligible = aMessage.mEligible;
  peer.mLeaving = aSender.mLeaving;
  peer.mAsked = aMessage.mAsked;
  ApplyReports(peer, aMessage, aNow);
  ApplyAcks(peer, aMessage, aNow);
  ApplySilent(aMessage, aNow);
  Update(aNow);
  return changed;
}

void
home_lease::NoteStaleIncarnation(instant aNow)
{
  CheckForPause(aNow);
  mStaleHeard = aNow;
}

void
home_lease::NoteUnknownSender(instant aNow)
{
  CheckForPause(aNow);
  mUnknownHeard = aNow;
}

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

bool
home_lease::Knows(const instance_id& aInstance,
                  std::uint64_t aIncarnation) const
{
  auto found = mPeers.find(aInstance);
  return found != mPeers.end() && found->second.mIncarnation == aIncarnation;
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

std::vector<home_claim>
home_lease::UpdateClaims(
  const std::map<upstream_id, upstream_limits>& aUpstreams,
  instant aNow)
{
  CheckForPause(aNow);
  Update(aNow);
  mLimits = aUpstreams;
  mOtherCandidates.reset();
  Update(aNow);
  std::vector<home_claim> claims;
  for (const upstream_id& home : mHomes) {
    held_slots held = HeldElsewhere(home, aNow);
    claims.push_back({ home, held.mOccupied, held.mUntil });
  }
  return claims;
}

bool
home_lease::MayDispatch(const upstream_id& aUpstream, instant aNow)
{
  CheckForPause(aNow);
  Update(aNow);
  if (mHomes.count(aUpstream) != 0) {
    mLastReason = lease_refusal::None;
    return true;
  }
  if (!Eligible(aNow) || mEligibleSequence == 0) {
    return Refuse(lease_refusal::NotYetEligible);
  }
  return Refuse(mJoined ? lease_refusal::NotHome
                        : lease_refusal::NotAcknowledged);
}

bool
home_lease::BeginDispatch(const upstream_id& aUpstream,
                          std::uint64_t aNumber,
                          instant aDeadline,
                          instant aNow)
{
  if (!MayDispatch(aUpstream, aNow)) {
    return false;
  }
  const upstream_limits& limits = mLimits[aUpstream];
  if (aDeadline - aNow > limits.mLongestRequest) {
    return Refuse(lease_refusal::DeadlineTooFar);
  }
  std::uint32_t used =
    mDispatched.InFlight(aUpstream) + HeldElsewhere(aUpstream, aNow).mOccupied;
  if (used >= limits.mSlots) {
    return Refuse(lease_refusal::SlotsHeld);
  }
  mDispatched.Begin(aNumber, aUpstream, aDeadline);
  return true;
}

bool
home_lease::BeginLoan(const upstream_id& aUpstream,
                      std::uint64_t aNumber,
                      instant aDeadline,
                      instant aNow)
{
  bool held = MayDispatch(aUpstream, aNow);
  if (held) {
    mLoans.Begin(aNumber, aUpstream, aDeadline);
  }
  return held;
}

std::optional<instance_id>
home_lease::HomeOf(const upstream_id& aUpstream, instant aNow) const
{
  std::optional<instance_id> home;
  if (Eligible(aNow)) {
    home = mSelf;
  }
  for (const instance_id& candidate : OtherCandidates(aNow)) {
    if (!home || Outranks(candidate, *home, aUpstream.mValue)) {
      home = candidate;
    }
  }
  return home;
}

// Runs before any decision. After a pause of the process, releases all homes
// and starts to listen again.
void
home_lease::CheckForPause(instant aNow)
{
  bool paused = mStarted && aNow - mLastCall > kMaxCallGap;
  if (!mStarted) {
    mFirstCall = aNow;
  }
  if (!mStarted || paused) {
    ReleaseHomes();
    mStarted = true;
    mListeningSince = aNow;
    mEligibleSequence = 0;
    mJoined = false;
  }
  mLastCall = std::max(mLastCall, aNow);
}

void
home_lease::Update(instant aNow)
{
  RetireSilent(aNow);
  bool acknowledged = !mLeaving && mEligibleSequence != 0 && Acknowledged(aNow);
  if (!acknowledged || !(mJoined || MayJoin(aNow))) {
    ReleaseHomes();
    mJoined = false;
    return;
  }
  mJoined = true;
  UpdateHomes(aNow);
  mHomesConfirmed = aNow;
}

void
home_lease::UpdateHomes(instant aNow)
{
  std::vector<instance_id> candidates = OtherCandidates(aNow);
  if (mOtherCandidates == candidates) {
    return;
  }
  std::set<upstream_id> homes;
  for (const std::pair<const upstream_id, upstream_limits>& one : mLimits) {
    bool outranked = std::any_of(
      candidates.begin(), candidates.end(), [&](const instance_id& aCandidate) {
        return Outranks(aCandidate, mSelf, one.first.mValue);
      });
    if (!outranked) {
      homes.insert(one.first);
    }
  }
  for (const upstream_id& home : homes) {
    if (mHomes.count(home) == 0) {
      Acquire(home, aNow);
    }
  }
  for (const upstream_id& held : mHomes) {
    mLastHeld[held] = aNow;
  }
  mHomes = std::move(homes);
  mOtherCandidates = std::move(candidates);
}

bool
home_lease::MayJoin(instant aNow) const
{
  bool noRecentStale = !mStaleHeard || aNow - *mStaleHeard >= kAckRequiredFor;
  return noRecentStale &&
         (!mUnknownHeard || aNow - *mUnknownHeard >= kTakeoverDelay);
}

bool
home_lease::Eligible(instant aNow) const
{
  return mStarted && !mLeaving && aNow - mListeningSince >= kTakeoverDelay;
}

bool
home_lease::IsAlive(const domain_peer& aPeer, instant aNow) const
{
  instant since =
    std::max({ aPeer.mHeard, aPeer.mIndirectlyHeard, mListeningSince });
  return aNow - since < kTakeoverDelay;
}

// Joining requires an acknowledgement of every instance that may be alive,
// since each may hold an upstream that this one would become the home of.
// Holding requires none of a peer that has been silent for kAckRequiredFor, so
// that the death of a peer does not interrupt it.
bool
home_lease::IsRequired(const domain_peer& aPeer, instant aNow) const
{
  if (aPeer.mLeaving) {
    return false;
  }
  if (!mJoined) {
    return IsAlive(aPeer, aNow);
  }
  bool mayBecomeHome = aPeer.mEligible || aPeer.mAckedSequence != 0;
  return mayBecomeHome &&
         aNow - std::max(aPeer.mHeard, mListeningSince) < kAckRequiredFor;
}

bool
home_lease::HasAcknowledged(const domain_peer& aPeer, instant aNow) const
{
  if (aPeer.mAckedSequence < mEligibleSequence) {
    return false;
  }
  auto sent =
    std::find_if(mSent.begin(), mSent.end(), [&](const sent_heartbeat& aSent) {
      return aSent.mSequence == aPeer.mAckedSequence;
    });
  return sent != mSent.end() && aNow - sent->mAt < kLeaseDuration;
}

bool
home_lease::Acknowledged(instant aNow) const
{
  return std::all_of(
    mPeers.begin(),
    mPeers.end(),
    [&](const std::pair<const instance_id, domain_peer>& aEntry) {
      return !IsRequired(aEntry.second, aNow) ||
             HasAcknowledged(aEntry.second, aNow);
    });
}

// The other instances that may be the home of an upstream: eligible peers, and
// silent incarnations that may still hold a lease.
std::vector<instance_id>
home_lease::OtherCandidates(instant aNow) const
{
  std::vector<instance_id> candidates;
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    if (one.second.mEligible && IsAlive(one.second, aNow)) {
      candidates.push_back(one.first);
    }
  }
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    bool mayStillHold =
      one.second.mEligible && aNow - one.second.mHeard < kTakeoverDelay;
    if (mayStillHold && one.first.first != mSelf) {
      candidates.push_back(one.first.first);
    }
  }
  return candidates;
}

// Counts all slots as held if a silent instance may have filled them, that is,
// unless another instance was the home after the silent one could no longer
// dispatch. If no instance is known to have been the home, one that was killed
// before this one started may have filled them.
void
home_lease::Acquire(const upstream_id& aUpstream, instant aNow)
{
  duration longest = mLimits[aUpstream].mLongestRequest;
  bool lastHomeUnknown = mLastHeld.count(aUpstream) == 0;
  if (lastHomeUnknown && mFirstCall + longest > aNow) {
    mAllHeldUntil[aUpstream] = mFirstCall + longest;
  }
  instant lastHeld = mLastHeld[aUpstream];
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    const silent_incarnation& silent = one.second;
    instant until = silent.mHeard + kLeaseDuration + longest;
    bool mayHaveFilled = silent.mEligible && until > aNow &&
                         lastHeld < silent.mHeard + kTakeoverDelay;
    if (mayHaveFilled) {
      instant& allHeldUntil = mAllHeldUntil[aUpstream];
      allHeldUntil = std::max(allHeldUntil, until);
    }
  }
}

void
home_lease::ReleaseHomes()
{
  for (const upstream_id& home : mHomes) {
    mLastHeld[home] = mHomesConfirmed;
  }
  mHomes.clear();
  mOtherCandidates.reset();
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

void
home_lease::Retire(const instance_id& aInstance, const domain_peer& aPeer)
{
  silent_incarnation& silent =
    mSilentIncarnations[{ aInstance, aPeer.mIncarnation }];
  silent.mHeard = std::max(aPeer.mHeard, aPeer.mIndirectlyHeard);
  silent.mEligible = !aPeer.mLeaving;
  silent.mHeldSlots = aPeer.mHeldSlots;
}

void
home_lease::RetireSilent(instant aNow)
{
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    bool alive = IsAlive(it->second, aNow);
    if (!alive) {
      Retire(it->first, it->second);
    }
    it = alive ? std::next(it) : mPeers.erase(it);
  }
}

void
home_lease::RemoveExpired(instant aNow)
{
  while (!mSent.empty() && aNow - mSent.front().mAt >= kLeaseDuration) {
    mSent.pop_front();
  }
  milliseconds life = SilentRetention();
  std::erase_if(
    mSilentIncarnations,
    [&](const std::pair<const incarnation_key, silent_incarnation>& aEntry) {
      return aNow - aEntry.second.mHeard >= life;
    });
  std::erase_if(mAllHeldUntil,
                [&](const std::pair<const upstream_id, instant>& aEntry) {
                  return aEntry.second <= aNow;
                });
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

std::chrono::milliseconds
home_lease::SilentRetention() const
{
  milliseconds longest = mLimits.empty() ? kDefaultLongest : milliseconds(0);
  for (const std::pair<const upstream_id, upstream_limits>& one : mLimits) {
    longest = std::max(longest, one.second.mLongestRequest);
  }
  return kTakeoverDelay + longest;
}

// Slots that requests of silent incarnations may occupy.
home_lease::held_slots
home_lease::HeldBySilent(const upstream_id& aUpstream, instant aNow) const
{
  held_slots held;
  for (const std::pair<const incarnation_key, silent_incarnation>& one :
       mSilentIncarnations) {
    auto found = one.second.mHeldSlots.find(aUpstream);
    if (found != one.second.mHeldSlots.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto allHeld = mAllHeldUntil.find(aUpstream);
  if (allHeld != mAllHeldUntil.end() && allHeld->second > aNow) {
    auto limits = mLimits.find(aUpstream);
    held.mOccupied =
      limits == mLimits.end() ? kAllSlots : limits->second.mSlots;
    held.mUntil = std::max(held.mUntil, allHeld->second);
  }
  return held;
}

home_lease::held_slots
home_lease::HeldElsewhere(const upstream_id& aUpstream, instant aNow) const
{
  held_slots held = HeldBySilent(aUpstream, aNow);
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    auto found = one.second.mHeldSlots.find(aUpstream);
    if (found != one.second.mHeldSlots.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto limits = mLimits.find(aUpstream);
  if (limits != mLimits.end()) {
    held.mOccupied = std::min(held.mOccupied, limits->second.mSlots);
  }
  return held;
}

bool
home_lease::Refuse(lease_refusal aReason)
{
  mLastReason = aReason;
  return false;
}

} // namespace laburnumdyke
