// Pairwise acknowledgements instead of a quorum: a domain of two instances must
// continue when one of them dies, so a majority can't be required. Each event
// first expires what has lapsed in the old state, then applies the event, then
// recomputes the homes. This costs (upstreams x eligible peers) hashes, and is
// done only if the eligible peers or the upstreams have changed.
#include "laburnumdyke/decision/home_lease.h"

#include <algorithm>
#include <array>

namespace laburnumdyke {

namespace {

constexpr std::array<std::string_view, 6> kRefusalNames = {
  "none",       "not_home",         "not_yet_eligible", "not_acknowledged",
  "slots_held", "deadline_too_far",
};

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

bool
home_lease::Knows(const instance_id& aInstance,
                  std::uint64_t aIncarnation) const
{
  auto found = mPeers.find(aInstance);
  return found != mPeers.end() && found->second.mIncarnation == aIncarnation;
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

void
home_lease::ReleaseHomes()
{
  for (const upstream_id& home : mHomes) {
    mLastHeld[home] = mHomesConfirmed;
  }
  mHomes.clear();
  mOtherCandidates.reset();
}

bool
home_lease::Refuse(lease_refusal aReason)
{
  mLastReason = aReason;
  return false;
}

} // namespace laburnumdyke
