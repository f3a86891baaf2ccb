// Discrete-event simulation: a queue of events ordered by virtual time. Events
// at the same time keep their order, so that a run is reproducible by its seed.
#include "laburnumdyke/testing/standin/lease_cluster.h"

namespace laburnumdyke {

using std::chrono::milliseconds;

lease_cluster::lease_cluster(std::size_t aInstances, std::uint32_t aSeed)
  : mRandom(aSeed)
  , mNodes(aInstances)
  , mOccupied(kUpstreams, 0)
{
  for (std::size_t i = 0; i < aInstances; ++i) {
    Start(i);
  }
  After(milliseconds(1), [this]() { Request(); });
  After(milliseconds(5000), [this]() { InjectFault(); });
}

bool
lease_cluster::Run(std::uint64_t aEvents)
{
  std::uint64_t end = mEvents + aEvents;
  while (mEvents < end && Step()) {
  }
  return mViolation.empty();
}

bool
lease_cluster::Advance(duration aTime)
{
  instant end = mNow + aTime;
  while (mQueue.top().mAt <= end && Step()) {
  }
  mNow = end;
  return mViolation.empty();
}

bool
lease_cluster::Recover()
{
  mFaults = false;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mFrozen) {
      Thaw(i, mNodes[i].mIncarnation);
    }
    if (!mNodes[i].mRunning) {
      Start(i);
    }
  }
  // A leaving instance stops only when its last request may have ended.
  Advance(milliseconds(10000));
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!mNodes[i].mRunning) {
      Start(i);
    }
  }
  Advance(kRecovery);
  for (std::size_t i = 0; i < kUpstreams && mViolation.empty(); ++i) {
    if (Holders(i) != 1) {
      mViolation = "upstream=" + std::to_string(i) +
                   " holders=" + std::to_string(Holders(i)) + " after recovery";
    }
  }
  mFaults = true;
  return mViolation.empty();
}

std::size_t
lease_cluster::Holders(std::size_t aUpstream)
{
  std::size_t holders = 0;
  for (node& one : mNodes) {
    if (one.mRunning && !one.mFrozen &&
        one.mMembership.Lease().MayDispatch(Upstream(aUpstream), mNow)) {
      ++holders;
    }
  }
  return holders;
}

void
lease_cluster::Start(std::size_t aNode)
{
  node& one = mNodes[aNode];
  one.mMembership = membership();
  one.mRunning = true;
  one.mFrozen = false;
  one.mWaiting.clear();
  // In one start of ten, the clock that gives incarnations has been set back.
  // The counter in the low digits keeps incarnations distinct.
  one.mIncarnation = ++mIncarnations + (RandomBelow(10) == 0 ? 0 : 1000000);
  member self;
  self.mInstance.mValue = "node-" + std::to_string(aNode);
  self.mIncarnation = one.mIncarnation;
  self.mDomain.mValue = "domain";
  self.mPeer = { "127.0.0.1", PortOf(aNode) };
  one.mMembership.Open(self, Seeds());
  SendPeriodically(aNode);
}

void
lease_cluster::Kill(std::size_t aNode)
{
  mNodes[aNode].mRunning = false;
}

void
lease_cluster::Freeze(std::size_t aNode, duration aTime)
{
  mNodes[aNode].mFrozen = true;
  std::uint64_t incarnation = mNodes[aNode].mIncarnation;
  After(aTime, [=, this]() { Thaw(aNode, incarnation); });
}

void
lease_cluster::Thaw(std::size_t aNode, std::uint64_t aIncarnation)
{
  node& one = mNodes[aNode];
  if (!one.mFrozen || one.mIncarnation != aIncarnation || !one.mRunning) {
    return;
  }
  one.mFrozen = false;
  // The process continues with dispatches before it handles anything else.
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    CheckSingleHolder(i);
    Dispatch(aNode, i);
  }
  std::vector<action> waiting = std::move(one.mWaiting);
  one.mWaiting.clear();
  for (const action& late : waiting) {
    late();
  }
}

void
lease_cluster::Leave(std::size_t aNode)
{
  node& one = mNodes[aNode];
  one.mMembership.BeginLeaving(mNow);
  std::uint64_t incarnation = one.mIncarnation;
  for (int i = 0; i < 3; ++i) {
    After(milliseconds(50 * i), [=, this]() {
      RunInProcess(aNode, incarnation, [=, this]() { SendAll(aNode); });
    });
  }
  After(milliseconds(6000), [=, this]() { Stop(aNode, incarnation); });
}

void
lease_cluster::Stop(std::size_t aNode, std::uint64_t aIncarnation)
{
  if (mNodes[aNode].mIncarnation == aIncarnation) {
    mNodes[aNode].mRunning = false;
  }
}

bool
lease_cluster::Step()
{
  event next = mQueue.top();
  mQueue.pop();
  mNow = next.mAt;
  next.mAction();
  ++mEvents;
  CheckSingleHolder(RandomBelow(kUpstreams));
  return mViolation.empty();
}

void
lease_cluster::After(duration aTime, action aAction)
{
  mQueue.push({ mNow + aTime, ++mOrder, std::move(aAction) });
}

void
lease_cluster::RunInProcess(std::size_t aNode,
                            std::uint64_t aIncarnation,
                            action aAction)
{
  node& one = mNodes[aNode];
  if (!one.mRunning || one.mIncarnation != aIncarnation) {
    return;
  }
  if (one.mFrozen) {
    one.mWaiting.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void
lease_cluster::SendPeriodically(std::size_t aNode)
{
  SendAll(aNode);
  std::uint64_t incarnation = mNodes[aNode].mIncarnation;
  duration wait = home_lease::kPeriod + milliseconds(RandomBelow(20));
  After(wait, [=, this]() {
    RunInProcess(aNode, incarnation, [=, this]() { SendPeriodically(aNode); });
  });
}

void
lease_cluster::SendAll(std::size_t aNode)
{
  membership& own = mNodes[aNode].mMembership;
  own.Lease().UpdateClaims(Limits(), mNow);
  for (const addressed_heartbeat& one : own.Address(own.Compose(mNow), mNow)) {
    std::size_t to = one.mTarget.mPort - kFirstPort;
    if (mCutLinks.count({ aNode, to }) != 0) {
      continue;
    }
    int& consecutiveLosses = mConsecutiveLosses[{ aNode, to }];
    if (mFaults && consecutiveLosses < 2 && RandomBelow(5) == 0) {
      ++consecutiveLosses;
      continue;
    }
    consecutiveLosses = 0;
    After(Delay(), [=, this, message = one.mMessage]() {
      RunInProcess(
        to, mNodes[to].mIncarnation, [=, this]() { Deliver(to, message); });
    });
  }
}

void
lease_cluster::Deliver(std::size_t aNode, const heartbeat& aMessage)
{
  membership& own = mNodes[aNode].mMembership;
  own.ReceiveHeartbeat(aMessage, mNow);
  if (own.TakeSendNow()) {
    SendAll(aNode);
  }
}

void
lease_cluster::InjectFault()
{
  After(milliseconds(500 + RandomBelow(6000)), [this]() { InjectFault(); });
  std::size_t victim = RandomBelow(mNodes.size());
  node& one = mNodes[victim];
  if (!mFaults || one.mFrozen) {
    return;
  }
  if (!one.mRunning) {
    Start(victim);
    return;
  }
  switch (RandomBelow(5)) {
    case 0:
      Kill(victim);
      if (RandomBelow(2) == 0) {
        Start(victim);
      }
      break;
    case 1:
      Leave(victim);
      break;
    case 2:
      Freeze(victim, milliseconds(RandomBelow(1500)));
      break;
    default:
      Freeze(victim, milliseconds(1000 + RandomBelow(5000)));
      break;
  }
}

void
lease_cluster::Request()
{
  After(milliseconds(1 + RandomBelow(60)), [this]() { Request(); });
  std::size_t upstream = RandomBelow(kUpstreams);
  std::size_t first = RandomBelow(mNodes.size());
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    std::size_t to = (first + i) % mNodes.size();
    if (mNodes[to].mRunning && !mNodes[to].mFrozen) {
      Dispatch(to, upstream);
    }
  }
}

void
lease_cluster::Dispatch(std::size_t aNode, std::size_t aUpstream)
{
  std::uint64_t number = ++mNumber;
  duration timeLeft =
    milliseconds(RandomBelow(LongestRequest(aUpstream).count() + 1));
  home_lease& lease = mNodes[aNode].mMembership.Lease();
  if (!lease.BeginDispatch(
        Upstream(aUpstream), number, mNow + timeLeft, mNow)) {
    mRefused += lease.LastReason() == lease_refusal::SlotsHeld ? 1 : 0;
    return;
  }
  ++mDispatched;
  ++mOccupied[aUpstream];
  if (mOccupied[aUpstream] > kSlots) {
    mViolation = "upstream=" + std::to_string(aUpstream) +
                 " in_flight=" + std::to_string(mOccupied[aUpstream]);
  }
  duration work = RandomBelow(2) == 0 ? timeLeft : timeLeft / 10;
  std::uint64_t incarnation = mNodes[aNode].mIncarnation;
  After(work, [=, this]() {
    --mOccupied[aUpstream];
    RunInProcess(aNode, incarnation, [=, this]() {
      mNodes[aNode].mMembership.Lease().EndDispatch(number);
    });
  });
}

void
lease_cluster::CheckSingleHolder(std::size_t aUpstream)
{
  std::size_t holders = Holders(aUpstream);
  ++mChecks;
  mHeld += holders != 0 ? 1 : 0;
  if (holders > 1) {
    mViolation = "upstream=" + std::to_string(aUpstream) +
                 " holders=" + std::to_string(holders);
  }
}

duration
lease_cluster::Delay()
{
  bool slow = RandomBelow(20) == 0;
  return std::chrono::microseconds(200 + RandomBelow(slow ? 299800 : 5000));
}

void
lease_cluster::Cut(std::size_t aFirst, std::size_t aSecond)
{
  mCutLinks.insert({ aFirst, aSecond });
  mCutLinks.insert({ aSecond, aFirst });
}

std::vector<endpoint>
lease_cluster::Seeds() const
{
  std::vector<endpoint> seeds;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    seeds.push_back({ "127.0.0.1", PortOf(i) });
  }
  return seeds;
}

std::uint16_t
lease_cluster::PortOf(std::size_t aNode)
{
  return static_cast<std::uint16_t>(kFirstPort + aNode);
}

upstream_id
lease_cluster::Upstream(std::size_t aIndex)
{
  return { "upstream-" + std::to_string(aIndex) };
}

std::map<upstream_id, upstream_limits>
lease_cluster::Limits()
{
  std::map<upstream_id, upstream_limits> limits;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    limits[Upstream(i)] = { kSlots, LongestRequest(i) };
  }
  return limits;
}

milliseconds
lease_cluster::LongestRequest(std::size_t aUpstream)
{
  return aUpstream % 2 == 0 ? milliseconds(2000) : milliseconds(5000);
}

} // namespace laburnumdyke
