// Attempts that were answered are written as routine lines, all others as
// information.
#include "laburnumdyke/plugin/steered_log.h"

#include <algorithm>
#include <cstdio>
#include <initializer_list>
#include <optional>
#include <string>

namespace laburnumdyke {

namespace {

// The counters by priority have no more labels than this; less urgent requests
// share the last.
constexpr std::uint32_t kLastPriority = 15;

std::string
MillisecondsText(duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

// Formats aValue with two decimals, such as "1.50".
std::string
DecimalText(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", aValue);
  return text;
}

// Formats a load as "running,waiting,slots", followed by the percentage of the
// usual time that work takes if it was reported; empty if no load was.
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

} // namespace

void
steered_log::CustomerIdentified(const steered_request& aRequest,
                                instant aNow) const
{
  if (aRequest.mCustomer != nullptr) {
    mActivity.With([&](activity_state& aActivity) {
      aActivity.CountRequest(aRequest.mCustomer->mName, aNow);
    });
  }
}

void
steered_log::Refused(const steered_request& aRequest,
                     const steered_refusal& aRefusal,
                     instant aNow) const
{
  mKernel.Counters().Add("refused_total", ToString(aRefusal.mReason));
  if (aRequest.mCustomer != nullptr) {
    mActivity.With([&](activity_state& aActivity) {
      aActivity.CountRefusal(aRequest.mCustomer->mName);
    });
  }
  mKernel.Log().Info(
    "request_refused",
    { { "request", aRequest.mCaller.mId },
      { "route", aRequest.mRoute == nullptr ? "" : aRequest.mRoute->mName },
      { "status", std::to_string(static_cast<unsigned>(aRefusal.mStatus)) },
      { "reason", std::string(ToString(aRefusal.mReason)) },
      { "sends", std::to_string(aRequest.mSends) },
      { "took_ms", MillisecondsText(aNow - aRequest.mReceived) } });
}

void
steered_log::QuotaExceeded(const steered_request& aRequest,
                           const quota_decision& aDecision) const
{
  const quota_spec& quota = aRequest.mCustomer->mQuota;
  mKernel.Log().Info("quota_exceeded",
                     { { "request", aRequest.mCaller.mId },
                       { "customer", aRequest.mCustomer->mName.mValue },
                       { "rate_per_s", DecimalText(quota.mRate) },
                       { "burst", DecimalText(quota.mBurst) },
                       { "demand_per_s", DecimalText(aDecision.mDemand) },
                       { "limit_per_s", DecimalText(aDecision.mLimit) },
                       { "share", DecimalText(aDecision.mShare) } });
}

void
steered_log::CallerGone(const steered_request& aRequest, instant aNow) const
{
  mKernel.Counters().Add("callers_gone_total",
                         aRequest.mSends == 0 ? "unsent" : "sent");
  mKernel.Log().Info(
    "caller_gone",
    { { "request", aRequest.mCaller.mId },
      { "route", aRequest.mRoute->mName },
      { "sends", std::to_string(aRequest.mSends) },
      { "took_ms", MillisecondsText(aNow - aRequest.mReceived) } });
}

void
steered_log::Chosen(const steered_request& aRequest,
                    const steering_choice& aChoice) const
{
  if (aRequest.mTried.empty()) {
    std::uint32_t priority = std::min(PriorityOf(aRequest), kLastPriority);
    mKernel.Counters().Add(aChoice.mTarget ? "chosen_by_priority_total"
                                           : "refused_by_priority_total",
                           "priority_" + std::to_string(priority));
  }
  if (aChoice.mContention) {
    bool begun = *aChoice.mContention == contention_change::Begun;
    std::string_view state = begun ? "begun" : "ceased";
    mKernel.Counters().Add("contention_changes_total", state);
    mKernel.Log().Info("contention",
                       { { "service", aRequest.mService.mValue },
                         { "state", std::string(state) } });
  }
}

void
steered_log::RetryDecided(bool aInBudget) const
{
  mKernel.Counters().Add(aInBudget ? "repeats_total" : "repeats_refused_total");
}

void
steered_log::AttemptEnded(const steered_request& aRequest,
                          const steering_target& aTarget,
                          const attempt_outcome& aOutcome,
                          duration aTook,
                          instant aNow) const
{
  bool isAnswered = aOutcome.mEnd == attempt_ending::Answered;
  if (aOutcome.mMalformedLoad) {
    mKernel.Counters().Add("load_reports_malformed_total");
  }
  mKernel.Counters().Add("attempts_total", ToString(aOutcome.mEnd));
  if (isAnswered) {
    mKernel.Latencies().Record("priority_" +
                                 std::to_string(PriorityOf(aRequest)),
                               aNow - aRequest.mReceived);
  }
  const std::initializer_list<log_pair> pairs = {
    { "request", aRequest.mCaller.mId },
    { "route", aRequest.mRoute->mName },
    { "upstream", aTarget.mId.mValue },
    { "failure_domain", aTarget.mDomain.mValue },
    { "object", aRequest.mCaller.mObject },
    { "send", std::to_string(aRequest.mTried.size()) },
    { "cold", aTarget.mCold ? "yes" : "no" },
    { "instances", std::to_string(aTarget.mInstances) },
    { "load", LoadText(aOutcome.mLoad) },
    { "end", std::string(ToString(aOutcome.mEnd)) },
    { "connect", std::string(ToString(aOutcome.mConnectFailure)) },
    { "status", std::to_string(aOutcome.mStatus) },
    { "expected_wait_ms", MillisecondsText(aTarget.mExpectedWait) },
    { "took_ms", MillisecondsText(aTook) }
  };
  if (isAnswered) {
    mKernel.Log().Routine("attempt", pairs);
  } else {
    mKernel.Log().Info("attempt", pairs);
  }
}

void
steered_log::SpeedChanged(const steering_target& aTarget,
                          const speed_notice& aNotice) const
{
  std::string_view state =
    aNotice.mChange == speed_change::Slow ? "slow" : "usual";
  mKernel.Counters().Add("upstream_speed_changes_total", state);
  mKernel.Log().Info(
    "upstream_speed",
    { { "upstream", aTarget.mId.mValue },
      { "failure_domain", aTarget.mDomain.mValue },
      { "state", std::string(state) },
      { "factor", DecimalText(aNotice.mFactor) },
      { "handled_slots", DecimalText(aNotice.mHandledSlots) } });
}

} // namespace laburnumdyke
