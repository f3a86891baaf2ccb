// Parts of the pipeline that do not depend on the dialect or the transport.
#include "laburnumdyke/plugin/steered_pipeline.h"

namespace laburnumdyke {

namespace {

bool
HasFreeSlot(const std::optional<reported_load>& aLoad)
{
  return aLoad && aLoad->mWaiting == 0 && aLoad->mRunning < aLoad->mSlots;
}

// Classifies the end of an attempt for the upstream's health. A refusal counts
// as an error only if the upstream reports free slots.
attempt_result
ToAttemptResult(const attempt_outcome& aOutcome)
{
  switch (aOutcome.mEnd) {
    case attempt_ending::Answered:
      return aOutcome.mStatus >= 500 ? attempt_result::Errored
                                     : attempt_result::Answered;
    case attempt_ending::Errored:
      return attempt_result::Errored;
    case attempt_ending::NotRun:
      return HasFreeSlot(aOutcome.mLoad) ? attempt_result::Errored
                                         : attempt_result::Abandoned;
    case attempt_ending::NotSent:
    case attempt_ending::Lost:
    case attempt_ending::Garbled:
    case attempt_ending::TimedOut:
      return attempt_result::Failed;
    case attempt_ending::UpstreamLeaving:
    case attempt_ending::WrongInstance:
    case attempt_ending::CutShort:
    case attempt_ending::CallerGone:
      return attempt_result::Abandoned;
  }
  return attempt_result::Abandoned;
}

} // namespace

attempt_report
ToAttemptReport(const attempt_outcome& aOutcome, duration aTook)
{
  attempt_report report;
  report.mResult = ToAttemptResult(aOutcome);
  report.mTook = aTook;
  report.mBytes = aOutcome.mBytes;
  report.mLoad = aOutcome.mLoad;
  report.mQueueFull = aOutcome.mEnd == attempt_ending::NotRun;
  report.mWrongInstance = aOutcome.mEnd == attempt_ending::WrongInstance;
  report.mConnect = aOutcome.mConnect;
  report.mConnectFailure = aOutcome.mConnectFailure;
  return report;
}

bool
RecordOutcome(steered_request& aRequest, const attempt_outcome& aOutcome)
{
  bool sent = aOutcome.mEnd != attempt_ending::NotSent &&
              aOutcome.mEnd != attempt_ending::UpstreamLeaving;
  bool refused = aOutcome.mEnd == attempt_ending::NotRun ||
                 aOutcome.mEnd == attempt_ending::WrongInstance;
  aRequest.mSends += sent ? 1 : 0;
  if (sent && !refused) {
    ++aRequest.mRuns;
    aRequest.mMayHaveRun = true;
  }
  aRequest.mTimedOut = aOutcome.mEnd == attempt_ending::TimedOut;
  return aOutcome.mEnd == attempt_ending::Answered ||
         aOutcome.mEnd == attempt_ending::CutShort ||
         aOutcome.mEnd == attempt_ending::CallerGone;
}

} // namespace laburnumdyke
