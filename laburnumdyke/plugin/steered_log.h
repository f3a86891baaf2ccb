// Log and metric lines of a request that is routed by host and path.
//
// Usage:
//   steered_log log(kernel);
//   log.Refused(request, refusal, now);
//
// There is one line for each attempt and each refusal. No line contains the key
// of a customer.
#pragma once

#include "laburnumdyke/plugin/customer_status.h"
#include "laburnumdyke/plugin/steered_request.h"

namespace laburnumdyke {

class steered_log
{
public:
  explicit steered_log(kernel& aKernel)
    : mKernel(aKernel)
    , mActivity(aKernel.Table<activity_state>())
  {
  }

  // Counts a request by its customer, if it has one.
  void CustomerIdentified(const steered_request& aRequest, instant aNow) const;

  void Refused(const steered_request& aRequest,
               const steered_refusal& aRefusal,
               instant aNow) const;

  // The figures that decided the refusal.
  void QuotaExceeded(const steered_request& aRequest,
                     const quota_decision& aDecision) const;

  // The caller has disconnected; no answer is written.
  void CallerGone(const steered_request& aRequest, instant aNow) const;

  // Counts the first choice for a request by its priority, and logs that
  // contention for its service has begun or ceased.
  void Chosen(const steered_request& aRequest,
              const steering_choice& aChoice) const;

  // A further attempt was asked of the budget of retries.
  void RetryDecided(bool aInBudget) const;

  // A completed attempt that took aTook.
  void AttemptEnded(const steered_request& aRequest,
                    const steering_target& aTarget,
                    const attempt_outcome& aOutcome,
                    duration aTook,
                    instant aNow) const;

  void SpeedChanged(const steering_target& aTarget,
                    const speed_notice& aNotice) const;

private:
  kernel& mKernel;
  table<activity_state>& mActivity; // requests and refusals by customer
};

} // namespace laburnumdyke
