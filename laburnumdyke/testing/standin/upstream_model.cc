// Load reports lag by keeping each change of state for kMaxLoadLag: a report
// is the last change at or before the moment asked for. A periodic sampler
// would need a timer and would miss what happens between samples.
#include "laburnumdyke/testing/standin/upstream_model.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>

namespace laburnumdyke {

std::string_view
ToString(upstream_refusal aRefusal)
{
  switch (aRefusal) {
    case upstream_refusal::Shedding:
      return "shedding";
    case upstream_refusal::Draining:
      return "draining";
    case upstream_refusal::Deadline:
      return "deadline";
    case upstream_refusal::Count:
      break;
  }
  return "unknown";
}

upstream_model::upstream_model(upstream_model_options aOptions, instant aNow)
  : mOptions(std::move(aOptions))
  , mStart(aNow)
{
  Record(aNow);
}

std::optional<upstream_refusal>
upstream_model::Arrive(instant aNow,
                       std::optional<std::chrono::milliseconds> aRemaining)
{
  bool full = mBusy >= mOptions.mSlots;
  mCounters.mOvershot += full ? 1 : 0;
  std::optional<upstream_refusal> refused;
  if (aRemaining && aRemaining->count() <= 0) {
    refused = upstream_refusal::Deadline;
  } else if (mFaults.mDraining) {
    refused = upstream_refusal::Draining;
  } else if (full) {
    refused = upstream_refusal::Shedding;
  }
  if (refused) {
    mCounters.mRefused[static_cast<std::size_t>(*refused)]++;
    return refused;
  }
  mBusy++;
  mCounters.mMaxBusy = std::max(mCounters.mMaxBusy, mBusy);
  Record(aNow);
  return std::nullopt;
}

void
upstream_model::Begin(instant aNow, const std::string& aId)
{
  mCounters.mRuns++;
  mLastRun = aNow;
  if (!aId.empty()) {
    mCounters.mRunsById[aId]++;
  }
}

void
upstream_model::Release(instant aNow, work_end aEnd)
{
  CheckInvariant(mBusy > 0, "slot_released_twice", "busy=0");
  mBusy--;
  mCounters.mCancelled += aEnd == work_end::Cancelled ? 1 : 0;
  mCounters.mDeadlineStopped += aEnd == work_end::DeadlineStopped ? 1 : 0;
  mCounters.mLostAnswers += aEnd == work_end::AnswerLost ? 1 : 0;
  Record(aNow);
}

void
upstream_model::ReleaseUnrun(instant aNow, upstream_refusal aReason)
{
  mCounters.mRefused[static_cast<std::size_t>(aReason)]++;
  Release(aNow, work_end::Finished);
}

duration
upstream_model::ServiceTime(instant aNow,
                            std::chrono::milliseconds aAsked) const
{
  if (!Cold(aNow)) {
    return aAsked;
  }
  double cold = 1.0 - std::chrono::duration<double>(aNow - mStart) /
                        std::chrono::duration<double>(mOptions.mWarmUp);
  double factor = 1.0 + (mOptions.mColdFactor - 1.0) * cold;
  return std::chrono::duration_cast<duration>(aAsked * factor);
}

void
upstream_model::SetConnections(instant aNow, std::size_t aConnections)
{
  mConnections = aConnections;
  Record(aNow);
}

void
upstream_model::SetFaults(instant aNow, const upstream_faults& aFaults)
{
  mFaults = aFaults;
  Record(aNow);
}

bool
upstream_model::TakeLostAnswer()
{
  if (mFaults.mLoseAnswers == 0) {
    return false;
  }
  mFaults.mLoseAnswers--;
  return true;
}

load_report
upstream_model::Load(instant aNow) const
{
  if (mFaults.mLoadLies) {
    return { 0, 0, "serving" };
  }
  instant moment = aNow - mFaults.mLoadLag;
  auto after = std::upper_bound(mHistory.begin(),
                                mHistory.end(),
                                moment,
                                [](instant aMoment, const sample& aSample) {
                                  return aMoment < aSample.mSince;
                                });
  const sample& seen = after == mHistory.begin() ? *after : *(after - 1);
  std::string_view state = Cold(moment) ? "cold" : "serving";
  return { seen.mBusy,
           seen.mConnections,
           seen.mDraining ? std::string_view("draining") : state };
}

std::optional<std::chrono::milliseconds>
upstream_model::LastRunAge(instant aNow) const
{
  if (!mLastRun) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                               *mLastRun);
}

bool
upstream_model::Cold(instant aNow) const
{
  return aNow - mStart < mOptions.mWarmUp;
}

void
upstream_model::Record(instant aNow)
{
  mHistory.push_back({ aNow, mBusy, mConnections, mFaults.mDraining });
  while (mHistory.size() > 1 && mHistory[1].mSince + kMaxLoadLag < aNow) {
    mHistory.pop_front();
  }
}

} // namespace laburnumdyke
