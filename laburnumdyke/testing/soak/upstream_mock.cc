// No queue and no slots of its own: more work than its slots runs as well, and
// the oracle sees it.
#include "laburnumdyke/testing/soak/upstream_mock.h"

#include "laburnumdyke/testing/soak/deployment.h"

#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kMeanService{ 90 };
constexpr std::chrono::milliseconds kLeastService{ 10 };
constexpr std::chrono::seconds kColdFor{ 5 };
constexpr double kShed = 0.005;
constexpr double kLoseAnswer = 0.005;
constexpr double kLoadMissing = 0.05;
constexpr double kLoadLies = 0.02; // of the work in progress
constexpr std::chrono::seconds kLongestLoadLag{ 5 };
constexpr double kStuck = 0.01; // answers late, past most deadlines

} // namespace

upstream_mock::upstream_mock(simulation& aSimulation,
                             oracle& aOracle,
                             std::size_t aIndex)
  : mSimulation(aSimulation)
  , mOracle(aOracle)
  , mIndex(aIndex)
{
}

duration
upstream_mock::ServiceTime()
{
  duration time = kLeastService + mSimulation.Exponential(kMeanService);
  if (mSimulation.Now() < mWarmAt || mSlow) {
    time *= 3;
  }
  if (mSimulation.Chance(kStuck)) {
    time +=
      mSimulation.Between(std::chrono::seconds(1), std::chrono::seconds(6));
  }
  return time;
}

void
upstream_mock::Arrive(const upstream_work& aWork, upstream_callback aAnswer)
{
  if (!mUp) {
    aAnswer({ upstream_reply::Lost });
    return;
  }
  mOracle.OnWork(mIndex, aWork.mFrom);
  if (mLeaving) {
    aAnswer({ upstream_reply::Draining });
    return;
  }
  if (mSimulation.Chance(kShed)) {
    aAnswer({ upstream_reply::Refused });
    return;
  }
  std::uint64_t number = ++mLastRun;
  mOracle.OnRun(mIndex, kSoakSlots, number, aWork.mTag, aWork.mDeadline);
  mRuns.emplace(number, run{ aWork, std::move(aAnswer) });
  upstream_reply reply = mSimulation.Chance(kLoseAnswer)
                           ? upstream_reply::Lost
                           : upstream_reply::Answered;
  mSimulation.AtWorld(ServiceTime(),
                      event_kind::Upstream,
                      [this, number, reply] { End(number, reply); });
}

std::optional<upstream_load>
upstream_mock::Load()
{
  if (!mUp || mSimulation.Chance(kLoadMissing)) {
    return std::nullopt;
  }
  duration lag =
    mSimulation.Between(std::chrono::microseconds(0), kLongestLoadLag);
  upstream_load load;
  bool beforeTurn = mSimulation.Now() - lag < mTurned;
  load.mDraining = beforeTurn ? !mLeaving : mLeaving;
  load.mBusy = mSimulation.Chance(kLoadLies)
                 ? 0
                 : static_cast<std::uint32_t>(mRuns.size());
  return load;
}

void
upstream_mock::End(std::uint64_t aRun, upstream_reply aReply)
{
  auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return;
  }
  run ended = std::move(found->second);
  mRuns.erase(found);
  mOracle.OnRunEnd(mIndex, aRun);
  std::uint64_t answerOf =
    aReply == upstream_reply::Answered ? ended.mWork.mTag.mRequest : 0;
  ended.mAnswer({ aReply, answerOf });
}

void
upstream_mock::Close(process_address aFrom, std::uint64_t aConnection)
{
  for (auto it = mRuns.begin(); it != mRuns.end();) {
    const upstream_work& work = it->second.mWork;
    bool ends = work.mCancel && work.mConnection == aConnection &&
                work.mFrom.mIndex == aFrom.mIndex &&
                work.mFrom.mIncarnation == aFrom.mIncarnation;
    if (ends) {
      mOracle.OnRunEnd(mIndex, it->first);
    }
    it = ends ? mRuns.erase(it) : std::next(it);
  }
}

void
upstream_mock::Crash()
{
  mUp = false;
  std::map<std::uint64_t, run> lost = std::exchange(mRuns, {});
  for (std::pair<const std::uint64_t, run>& one : lost) {
    mOracle.OnRunEnd(mIndex, one.first);
    one.second.mAnswer({ upstream_reply::Lost });
  }
}

void
upstream_mock::Restart()
{
  mUp = true;
  mWarmAt = mSimulation.Now() + kColdFor;
}

void
upstream_mock::Leave()
{
  mLeaving = true;
  mTurned = mSimulation.Now();
}

void
upstream_mock::Return()
{
  mLeaving = false;
  mTurned = mSimulation.Now();
  mOracle.OnServingAgain(mIndex);
  mWarmAt = mSimulation.Now() + kColdFor;
}

} // namespace laburnumdyke
