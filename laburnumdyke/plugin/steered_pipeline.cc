// The parts of the pipeline that depend on no dialect or transport.
#include "laburnumdyke/plugin/steered_pipeline.h"

namespace laburnumdyke {

namespace {

bool
HasRoom(const std::optional<load_report>& aLoad)
{
  return aLoad && aLoad->mWaiting == 0 && aLoad->mRunning < aLoad->mSlots;
}

} // namespace

attempt_result
ResultOf(const attempt_outcome& aOutcome)
{
  switch (aOutcome.mEnd) {
    case attempt_end::Answered:
      return aOutcome.mStatus >= 500 ? attempt_result::Errored
                            : attempt_result::Answered;
    case attempt_end::Errored:
      return attempt_result::Errored;
    case attempt_end::NotRun:
      return HasRoom(aOutcome.mLoad) ? attempt_result::Errored
                                     : attempt_result::Abandoned;
    case attempt_end::NotSent:
    case attempt_end::Lost:
    case attempt_end::TimedOut:
      return attempt_result::Failed;
    case attempt_end::WrongInstance:
    case attempt_end::CutShort:
    case attempt_end::CallerGone:
      return attempt_result::Abandoned;
  }
  return attempt_result::Abandoned;
}

std::string
RetryAfterText(std::chrono::milliseconds aAfter)
{
  char text[32];
  std::snprintf(text,
                sizeof text,
                "%.3f",
                std::chrono::duration<double>(aAfter).count());
  return text;
}

std::string
LoadText(const std::optional<load_report>& aLoad)
{
  if (!aLoad) {
    return {};
  }
  return std::to_string(aLoad->mRunning) + "," +
         std::to_string(aLoad->mWaiting) + "," + std::to_string(aLoad->mSlots);
}

} // namespace laburnumdyke
