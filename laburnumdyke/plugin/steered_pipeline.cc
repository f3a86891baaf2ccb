// Parts of the pipeline that do not depend on the dialect or the transport.
#include "laburnumdyke/plugin/steered_pipeline.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// The counters by priority have no more labels than this; less urgent requests
// share the last.
constexpr std::uint32_t kLastPriority = 15;

bool
HasFreeSlot(const std::optional<reported_load>& aLoad)
{
  return aLoad && aLoad->mWaiting == 0 && aLoad->mRunning < aLoad->mSlots;
}

} // namespace

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

std::string
RetryAfterText(std::chrono::milliseconds aAfter)
{
  char text[32];
  std::snprintf(
    text, sizeof text, "%.3f", std::chrono::duration<double>(aAfter).count());
  return text;
}

std::string
DecimalText(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", aValue);
  return text;
}

std::uint32_t
PriorityOf(const steered_request& aRequest)
{
  std::uint32_t priority = aRequest.mRoute->mPriority;
  return aRequest.mCustomer == nullptr
           ? priority
           : aRequest.mCustomer->mPriority.value_or(priority);
}

void
RecordChoice(kernel& aKernel,
             const steered_request& aRequest,
             const steering_choice& aChoice)
{
  if (aRequest.mTried.empty()) {
    std::uint32_t priority = std::min(PriorityOf(aRequest), kLastPriority);
    aKernel.Counters().Add(aChoice.mTarget ? "chosen_by_priority_total"
                                           : "refused_by_priority_total",
                           "priority_" + std::to_string(priority));
  }
  if (aChoice.mContention) {
    bool begun = *aChoice.mContention == contention_change::Begun;
    std::string_view state = begun ? "begun" : "ceased";
    aKernel.Counters().Add("contention_changes_total", state);
    aKernel.Log().Info("contention",
                       { { "service", aRequest.mService.mValue },
                         { "state", std::string(state) } });
  }
}

std::string
LoadText(const std::optional<reported_load>& aLoad)
{
  if (!aLoad) {
    return {};
  }
  std::string text = std::to_string(aLoad->mRunning) + "," +
                     std::to_string(aLoad->mWaiting) + "," +
                     std::to_string(aLoad->mSlots);
  return aLoad->mWorkPercent ? text + "," + std::to_string(*aLoad->mWorkPercent)
                             : text;
}

} // namespace laburnumdyke
