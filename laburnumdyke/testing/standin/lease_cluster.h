// Simulates several instances of membership in one process and in virtual time,
// over links that delay, reorder and lose heartbeats, with freezes, kills,
// restarts and planned stops of instances.
//
// An oracle with a global view checks after each event that at most one
// instance may dispatch to an upstream picked at random, and at each dispatch
// that the upstream has no more requests in flight than slots. At most two
// heartbeats in a row are lost on a link, and none takes longer than 300 ms.
#pragma once

#include "laburnumdyke/decision/membership.h"

#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnumdyke {

class lease_cluster
{
public:
  static constexpr std::uint32_t kSlots = 3;
  static constexpr std::size_t kUpstreams = 12;
  // Time from the end of all faults until each upstream has a home: a restart,
  // listening, joining and two heartbeat periods.
  static constexpr std::chrono::milliseconds kRecovery{ 9000 };

  lease_cluster(std::size_t aInstances, std::uint32_t aSeed);

  // Runs the next aEvents events. Returns false if the oracle finds a
  // violation.
  bool Run(std::uint64_t aEvents);

  // Ends all faults and runs for kRecovery. Returns false unless each upstream
  // then has exactly one home.
  bool Recover();

  void SetFaults(bool aFaults) { mFaults = aFaults; }
  // Runs the events of the next aTime. Returns false if the oracle finds a
  // violation.
  bool Advance(duration aTime);
  // Number of instances that may dispatch to the upstream now.
  std::size_t Holders(std::size_t aUpstream);
  void Start(std::size_t aNode);
  void Kill(std::size_t aNode);
  void Freeze(std::size_t aNode, duration aTime);
  void Leave(std::size_t aNode);
  // Drops every heartbeat between the two instances, in both directions.
  void Cut(std::size_t aFirst, std::size_t aSecond);
  void Heal() { mCutLinks.clear(); }

  const std::string& Violation() const { return mViolation; }
  std::uint64_t Events() const { return mEvents; }
  std::uint64_t Dispatched() const { return mDispatched; }
  std::uint64_t Refused() const { return mRefused; }
  // Fraction of the checks at which the upstream had a holder.
  double HeldFraction() const
  {
    return static_cast<double>(mHeld) / static_cast<double>(mChecks);
  }

private:
  struct node
  {
    membership mMembership;
    bool mRunning = false;
    bool mFrozen = false;
    std::uint64_t mIncarnation = 0;
    std::vector<std::function<void()>> mWaiting; // arrived while frozen
  };

  using action = std::function<void()>;
  struct event
  {
    instant mAt;
    std::uint64_t mOrder;
    action mAction;
    bool operator<(const event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  bool Step();
  void After(duration aTime, action aAction);
  // Runs the action now, or at the end of a freeze; drops it if the process has
  // ended.
  void RunInProcess(std::size_t aNode,
                    std::uint64_t aIncarnation,
                    action aAction);
  void SendPeriodically(std::size_t aNode);
  void SendAll(std::size_t aNode);
  void Deliver(std::size_t aNode, const heartbeat& aMessage);
  void Thaw(std::size_t aNode, std::uint64_t aIncarnation);
  void Stop(std::size_t aNode, std::uint64_t aIncarnation);
  void InjectFault();
  void Request();
  void Dispatch(std::size_t aNode, std::size_t aUpstream);
  void CheckSingleHolder(std::size_t aUpstream);
  duration Delay();
  std::vector<endpoint> Seeds() const;
  static std::uint16_t PortOf(std::size_t aNode);
  std::uint64_t RandomBelow(std::uint64_t aLimit) { return mRandom() % aLimit; }
  static upstream_id Upstream(std::size_t aIndex);
  static std::map<upstream_id, upstream_limits> Limits();
  static std::chrono::milliseconds LongestRequest(std::size_t aUpstream);

  static constexpr std::size_t kFirstPort = 7000;

  std::mt19937_64 mRandom;
  std::vector<node> mNodes;
  std::priority_queue<event> mQueue;
  std::map<std::pair<std::size_t, std::size_t>, int> mConsecutiveLosses;
  std::set<std::pair<std::size_t, std::size_t>> mCutLinks;
  std::vector<std::uint32_t> mOccupied;
  instant mNow = instant{} + std::chrono::hours(1);
  std::uint64_t mOrder = 0;
  std::uint64_t mEvents = 0;
  std::uint64_t mNumber = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mHeld = 0;
  std::uint64_t mChecks = 0;
  std::uint64_t mIncarnations = 100;
  bool mFaults = true;
  std::string mViolation;
};

} // namespace laburnumdyke
