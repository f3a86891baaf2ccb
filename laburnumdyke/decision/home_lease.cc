// Pairwise agreement in place of a quorum: a domain of two must go on when
// one of them dies, so no majority can be asked for. Each event first drops
// what has lapsed under the old state, then takes the event in, then works
// the homes out anew; this costs (upstreams x eligible peers) hashes, and only
// where the eligible peers or the upstreams have changed.
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

// Counts as all slots of an upstream that the document no longer declares.
constexpr std::uint32_t kAllSlots = 1U << 16U;

// Assumed before the document gives the longest request.
constexpr milliseconds kUnknownLongest{ 60000 };

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
  Observe(aNow);
  mLeaving = true;
  mEligibleFrom = 0;
  DropHomes();
}

bool
home_lease::Hear(const lease_sender& aSender,
                 const lease_message& aMessage,
                 instant aNow)
{
  Observe(aNow);
  Settle(aNow);
  auto found = mPeers.find(aSender.mInstance);
  bool isNew = found == mPeers.end();
  if (!isNew && found->second.mIncarnation != aSender.mIncarnation) {
    Retire(found->first, found->second);
    mPeers.erase(found);
    isNew = true;
  }
  mGhosts.erase({ aSender.mInstance, aSender.mIncarnation });
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
  TakeReports(peer, aMessage, aNow);
  TakeAcks(peer, aMessage, aNow);
  TakeSilent(aMessage, aNow);
  Settle(aNow);
  return changed;
}

void
home_lease::NoteIgnored(instant aNow)
{
  Observe(aNow);
  mIgnored = aNow;
}

void
home_lease::NoteStranger(instant aNow)
{
  Observe(aNow);
  mStranger = aNow;
}

lease_message
home_lease::Compose(std::uint64_t aSequence, instant aNow)
{
  Observe(aNow);
  Settle(aNow);
  ForgetExpired(aNow);
  lease_message message;
  message.mEligible = Eligible(aNow);
  if (message.mEligible && mEligibleFrom == 0) {
    mEligibleFrom = aSequence;
  }
  mSent.push_back({ aSequence, aNow });
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    message.mAcks.push_back({ one.second.mKey, one.second.mHeardSequence });
  }
  if (mToldHomes != mHomes) {
    mToldHomes = mHomes;
    mHoldingsFrom = aSequence;
  }
  AddAsked(message, aNow);
  AddReports(message, aNow);
  AddSilent(message, aNow);
  return message;
}

// Of an upstream that this instance holds no peer needs the number in flight:
// another becomes its home only once this one has said that it doesn't hold
// it any more, and that message has the number, or once this one is silent,
// and then all slots count as held.
std::optional<lease_message>
home_lease::AddressTo(const instance_id& aPeer,
                      const lease_message& aWhole,
                      std::uint64_t aSequence,
                      std::uint64_t aAcked) const
{
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  const domain_peer& peer = found->second;
  lease_message part;
  part.mEligible = aWhole.mEligible;
  part.mSameHoldings = aAcked >= mHoldingsFrom;
  part.mAsked = aWhole.mAsked;
  part.mSilent = aWhole.mSilent;
  for (const upstream_report& report : aWhole.mReports) {
    if (!part.mSameHoldings || !report.mHolding) {
      part.mReports.push_back(report);
    }
  }
  part.mAcks.push_back({ peer.mKey, peer.mHeardSequence });
  AddVouched(part, aWhole, aSequence);
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
    if (!peer.mLeaving && aNow - peer.mHeard >= kAsk) {
      std::uint64_t known =
        std::max(peer.mHeardSequence, peer.mVouchedSequence);
      aMessage.mAsked.push_back({ peer.mKey, known });
    }
  }
}

// The next few of all, in turn; each instance begins elsewhere, so that a peer
// is vouched for by some instance in most periods.
void
home_lease::AddVouched(lease_message& aMessage,
                       const lease_message& aWhole,
                       std::uint64_t aSequence) const
{
  const std::vector<lease_ack>& all = aWhole.mAcks;
  member_key to = aMessage.mAcks.front().mMember;
  bool fits = all.size() <= kVouched + 1;
  std::size_t count = fits ? all.size() : kVouched;
  std::size_t first =
    fits ? 0 : (mKey % all.size() + aSequence * kVouched) % all.size();
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
home_lease::Claims(const std::map<upstream_id, upstream_terms>& aUpstreams,
                   instant aNow)
{
  Observe(aNow);
  Settle(aNow);
  mTerms = aUpstreams;
  mRivals.reset();
  Settle(aNow);
  std::vector<home_claim> claims;
  for (const upstream_id& home : mHomes) {
    residual held = HeldElsewhere(home, aNow);
    claims.push_back({ home, held.mOccupied, held.mUntil });
  }
  return claims;
}

bool
home_lease::MayDispatch(const upstream_id& aUpstream, instant aNow)
{
  Observe(aNow);
  Settle(aNow);
  if (mHomes.count(aUpstream) != 0) {
    mLastReason = lease_refusal::None;
    return true;
  }
  if (!Eligible(aNow) || mEligibleFrom == 0) {
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
  const upstream_terms& terms = mTerms[aUpstream];
  if (aDeadline - aNow > terms.mLongest) {
    return Refuse(lease_refusal::DeadlineTooFar);
  }
  std::uint32_t used =
    mDispatched.InFlight(aUpstream) + HeldElsewhere(aUpstream, aNow).mOccupied;
  if (used >= terms.mSlots) {
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
  for (const instance_id& rival : Rivals(aNow)) {
    if (!home || Outranks(rival, *home, aUpstream.mValue)) {
      home = rival;
    }
  }
  return home;
}

// Finds a pause of the process before anything else is decided.
void
home_lease::Observe(instant aNow)
{
  bool paused = mStarted && aNow - mObserved > kPause;
  if (!mStarted) {
    mBorn = aNow;
  }
  if (!mStarted || paused) {
    DropHomes();
    mStarted = true;
    mListening = aNow;
    mEligibleFrom = 0;
    mJoined = false;
  }
  mObserved = std::max(mObserved, aNow);
}

void
home_lease::Settle(instant aNow)
{
  BurySilent(aNow);
  bool acknowledged = !mLeaving && mEligibleFrom != 0 && Acknowledged(aNow);
  if (!acknowledged || !(mJoined || MayJoin(aNow))) {
    DropHomes();
    mJoined = false;
    return;
  }
  mJoined = true;
  SettleHomes(aNow);
  mSettled = aNow;
}

void
home_lease::SettleHomes(instant aNow)
{
  std::vector<instance_id> rivals = Rivals(aNow);
  if (mRivals == rivals) {
    return;
  }
  std::set<upstream_id> homes;
  for (const std::pair<const upstream_id, upstream_terms>& one : mTerms) {
    bool outranked =
      std::any_of(rivals.begin(), rivals.end(), [&](const instance_id& aRival) {
        return Outranks(aRival, mSelf, one.first.mValue);
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
  mRivals = std::move(rivals);
}

bool
home_lease::MayJoin(instant aNow) const
{
  bool heeded = !mIgnored || aNow - *mIgnored >= kDrop;
  return heeded && (!mStranger || aNow - *mStranger >= kTakeover);
}

bool
home_lease::Eligible(instant aNow) const
{
  return mStarted && !mLeaving && aNow - mListening >= kTakeover;
}

bool
home_lease::IsAlive(const domain_peer& aPeer, instant aNow) const
{
  instant since = std::max({ aPeer.mHeard, aPeer.mVouched, mListening });
  return aNow - since < kTakeover;
}

// Joining asks every instance that may be alive, since it may hold what this
// one is about to. Holding asks no longer than kDrop, so that a peer's death
// doesn't interrupt it.
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
  return mayBecomeHome && aNow - std::max(aPeer.mHeard, mListening) < kDrop;
}

bool
home_lease::HasAcknowledged(const domain_peer& aPeer, instant aNow) const
{
  if (aPeer.mAckedSequence < mEligibleFrom) {
    return false;
  }
  auto sent =
    std::find_if(mSent.begin(), mSent.end(), [&](const sent_heartbeat& aSent) {
      return aSent.mSequence == aPeer.mAckedSequence;
    });
  return sent != mSent.end() && aNow - sent->mAt < kLease;
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

// Instances that may be the home of an upstream that they rank first for.
std::vector<instance_id>
home_lease::Rivals(instant aNow) const
{
  std::vector<instance_id> rivals;
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    if (one.second.mEligible && IsAlive(one.second, aNow)) {
      rivals.push_back(one.first);
    }
  }
  for (const std::pair<const ghost_key, ghost>& one : mGhosts) {
    bool mayStillHold =
      one.second.mEligible && aNow - one.second.mHeard < kTakeover;
    if (mayStillHold && one.first.first != mSelf) {
      rivals.push_back(one.first.first);
    }
  }
  return rivals;
}

// A silent instance may have filled all slots, unless another was the home
// after the silent one could no longer dispatch. Where no instance is known to
// have been the home, one that was killed before this one started may have.
void
home_lease::Acquire(const upstream_id& aUpstream, instant aNow)
{
  duration longest = mTerms[aUpstream].mLongest;
  bool isUnknown = mLastHeld.count(aUpstream) == 0;
  if (isUnknown && mBorn + longest > aNow) {
    mCaptured[aUpstream] = mBorn + longest;
  }
  instant lastHeld = mLastHeld[aUpstream];
  for (const std::pair<const ghost_key, ghost>& one : mGhosts) {
    const ghost& silent = one.second;
    instant until = silent.mHeard + kLease + longest;
    bool mayHaveFilled =
      silent.mEligible && until > aNow && lastHeld < silent.mHeard + kTakeover;
    if (mayHaveFilled) {
      instant& captured = mCaptured[aUpstream];
      captured = std::max(captured, until);
    }
  }
}

void
home_lease::DropHomes()
{
  for (const upstream_id& home : mHomes) {
    mLastHeld[home] = mSettled;
  }
  mHomes.clear();
  mRivals.reset();
}

void
home_lease::TakeReports(domain_peer& aPeer,
                        const lease_message& aMessage,
                        instant aNow)
{
  aPeer.mResiduals.clear();
  if (!aMessage.mSameHoldings) {
    aPeer.mHolds.clear();
  }
  for (const upstream_report& report : aMessage.mReports) {
    if (report.mOccupied != 0) {
      aPeer.mResiduals[report.mUpstream] = { report.mOccupied,
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
home_lease::TakeAcks(domain_peer& aPeer,
                     const lease_message& aMessage,
                     instant aNow)
{
  for (const lease_ack& ack : aMessage.mAcks) {
    if (ack.mMember == mKey) {
      aPeer.mAckedSequence = std::max(aPeer.mAckedSequence, ack.mSequence);
      continue;
    }
    domain_peer* vouched = FindByKey(ack.mMember);
    bool isNews = vouched != nullptr && vouched != &aPeer &&
                  ack.mSequence > std::max(vouched->mVouchedSequence,
                                           vouched->mHeardSequence);
    if (isNews) {
      vouched->mVouchedSequence = ack.mSequence;
      vouched->mVouched = aNow;
    }
  }
}

void
home_lease::TakeSilent(const lease_message& aMessage, instant aNow)
{
  for (const silent_report& report : aMessage.mSilent) {
    ghost_key key{ report.mInstance, report.mIncarnation };
    instant heard = aNow - report.mAge;
    auto known = mPeers.find(report.mInstance);
    bool isKnown = known != mPeers.end() &&
                   known->second.mIncarnation == report.mIncarnation;
    bool isSelf =
      report.mInstance == mSelf && report.mIncarnation == mIncarnation;
    if (isKnown || isSelf || report.mAge >= GhostLife()) {
      continue;
    }
    ghost& silent = mGhosts[key];
    silent.mHeard = std::max(silent.mHeard, heard);
  }
}

void
home_lease::Retire(const instance_id& aInstance, const domain_peer& aPeer)
{
  ghost& silent = mGhosts[{ aInstance, aPeer.mIncarnation }];
  silent.mHeard = std::max(aPeer.mHeard, aPeer.mVouched);
  silent.mEligible = !aPeer.mLeaving;
  silent.mResiduals = aPeer.mResiduals;
}

void
home_lease::BurySilent(instant aNow)
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
home_lease::ForgetExpired(instant aNow)
{
  while (!mSent.empty() && aNow - mSent.front().mAt >= kLease) {
    mSent.pop_front();
  }
  milliseconds life = GhostLife();
  std::erase_if(mGhosts, [&](const std::pair<const ghost_key, ghost>& aEntry) {
    return aNow - aEntry.second.mHeard >= life;
  });
  std::erase_if(mCaptured,
                [&](const std::pair<const upstream_id, instant>& aEntry) {
                  return aEntry.second <= aNow;
                });
}

void
home_lease::AddReports(lease_message& aMessage, instant aNow) const
{
  std::set<upstream_id> upstreams = mDispatched.Busy();
  upstreams.merge(mLoans.Busy());
  upstreams.insert(mHomes.begin(), mHomes.end());
  for (const std::pair<const upstream_id, instant>& one : mCaptured) {
    upstreams.insert(one.first);
  }
  for (const upstream_id& upstream : upstreams) {
    residual silent = HeldBySilent(upstream, aNow);
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
    if (aMessage.mSilent.size() < kMostSilent) {
      milliseconds age =
        std::chrono::floor<milliseconds>(std::max(aNow - aHeard, duration(0)));
      aMessage.mSilent.push_back({ aInstance, aIncarnation, age });
    }
  };
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    const domain_peer& peer = one.second;
    if (!peer.mLeaving && aNow - peer.mHeard >= kDrop) {
      add(one.first, peer.mIncarnation, std::max(peer.mHeard, peer.mVouched));
    }
  }
  for (const std::pair<const ghost_key, ghost>& one : mGhosts) {
    if (one.second.mEligible) {
      add(one.first.first, one.first.second, one.second.mHeard);
    }
  }
}

std::chrono::milliseconds
home_lease::GhostLife() const
{
  milliseconds longest = mTerms.empty() ? kUnknownLongest : milliseconds(0);
  for (const std::pair<const upstream_id, upstream_terms>& one : mTerms) {
    longest = std::max(longest, one.second.mLongest);
  }
  return kTakeover + longest;
}

// What instances that are gone may have in flight.
home_lease::residual
home_lease::HeldBySilent(const upstream_id& aUpstream, instant aNow) const
{
  residual held;
  for (const std::pair<const ghost_key, ghost>& one : mGhosts) {
    auto found = one.second.mResiduals.find(aUpstream);
    if (found != one.second.mResiduals.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto captured = mCaptured.find(aUpstream);
  if (captured != mCaptured.end() && captured->second > aNow) {
    auto terms = mTerms.find(aUpstream);
    held.mOccupied = terms == mTerms.end() ? kAllSlots : terms->second.mSlots;
    held.mUntil = std::max(held.mUntil, captured->second);
  }
  return held;
}

home_lease::residual
home_lease::HeldElsewhere(const upstream_id& aUpstream, instant aNow) const
{
  residual held = HeldBySilent(aUpstream, aNow);
  for (const std::pair<const instance_id, domain_peer>& one : mPeers) {
    auto found = one.second.mResiduals.find(aUpstream);
    if (found != one.second.mResiduals.end() && found->second.mUntil > aNow) {
      held.mOccupied += found->second.mOccupied;
      held.mUntil = std::max(held.mUntil, found->second.mUntil);
    }
  }
  auto terms = mTerms.find(aUpstream);
  if (terms != mTerms.end()) {
    held.mOccupied = std::min(held.mOccupied, terms->second.mSlots);
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
