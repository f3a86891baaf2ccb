// Each check that fails ends the request. The quota comes last, so that a
// request that is refused for another reason does not count against it.
#include "laburnumdyke/plugin/steered_checks.h"

#include <algorithm>

namespace laburnumdyke {

steered_checks::steered_checks(kernel& aKernel)
  : mTables(aKernel)
  , mLog(aKernel)
{
}

std::optional<steered_refusal>
steered_checks::FindRoute(steered_request& aRequest,
                          std::string_view aTarget,
                          boot_instant aNow)
{
  dated_routes dated = mTables.DatedRoutes(aNow);
  aRequest.mRoutes = dated.mRoutes;
  if (aRequest.mRoutes == nullptr) {
    return steered_refusal{ http::status::service_unavailable,
                            refusal_reason::NoDocument,
                            steered_limits::kNoDocumentRetry };
  }
  aRequest.mRoute = aRequest.mRoutes->Find(aRequest.mCaller.mHost, aTarget);
  if (aRequest.mRoute == nullptr) {
    return steered_refusal{ http::status::not_found,
                            refusal_reason::UnknownService };
  }
  gate_decision gate = CheckKey(aRequest, dated);
  if (gate.mRefusal != refusal_reason::None) {
    return CustomerRefusal(gate.mRefusal);
  }
  aRequest.mCustomer = gate.mCustomer;
  std::chrono::milliseconds timeout = aRequest.mRoute->mTimeout;
  aRequest.mDeadline =
    aRequest.mReceived +
    std::min(aRequest.mCaller.mCallerTimeout.value_or(timeout), timeout);
  return std::nullopt;
}

std::optional<steered_refusal>
steered_checks::Admit(steered_request& aRequest, instant aNow)
{
  if (!MayBegin(aRequest, aNow)) {
    return LeavingRefusal();
  }
  // Limited last, so that a stop that begins after MayBegin limits it too.
  LimitDeadline(aRequest);
  return TakeQuota(aRequest, aNow);
}

std::optional<steered_refusal>
steered_checks::RecheckKey(const steered_request& aRequest, boot_instant aNow)
{
  if (aRequest.mRoutes->Customers() == nullptr) {
    return std::nullopt;
  }
  gate_decision gate = CheckKey(aRequest, mTables.DatedRoutes(aNow));
  if (gate.mRefusal != refusal_reason::None) {
    return CustomerRefusal(gate.mRefusal);
  }
  bool isSame = gate.mCustomer != nullptr && aRequest.mCustomer != nullptr &&
                gate.mCustomer->mName == aRequest.mCustomer->mName;
  if (!isSame && !aRequest.mRoute->mPublic) {
    return CustomerRefusal(refusal_reason::StaleCustomers);
  }
  return std::nullopt;
}

void
steered_checks::ReturnQuota(const steered_request& aRequest, instant aNow)
{
  if (aRequest.mIsInQuota && !aRequest.mMayHaveRun) {
    mTables.Quota().With([&](quota_state& aQuota) {
      aQuota.Refund(aRequest.mCustomer->mName, aNow);
    });
  }
}

gate_decision
steered_checks::CheckKey(const steered_request& aRequest,
                         const dated_routes& aRoutes) const
{
  return laburnumdyke::CheckKey(*aRoutes.mRoutes,
                                *aRequest.mRoute,
                                aRequest.mCaller.mKey,
                                aRoutes.mAge,
                                mTables.MaxKeyAge());
}

bool
steered_checks::MayBegin(const steered_request& aRequest, instant aNow)
{
  return mTables.PlannedStop().With([&](const stop_state& aStop) {
    return aStop.MayBegin(aRequest.mReceived, aRequest.mDeadline, aNow);
  });
}

void
steered_checks::LimitDeadline(steered_request& aRequest)
{
  instant lastAnswer = mTables.PlannedStop().With(
    [](const stop_state& aStop) { return aStop.LastAnswer(); });
  aRequest.mDeadline = std::min(aRequest.mDeadline, lastAnswer);
}

std::optional<steered_refusal>
steered_checks::TakeQuota(steered_request& aRequest, instant aNow)
{
  if (aRequest.mCustomer == nullptr || aRequest.mRoute->mPublic) {
    return std::nullopt;
  }
  quota_decision decision = mTables.Quota().With([&](quota_state& aQuota) {
    return aQuota.Admit(aRequest.mCustomer->mName, aNow);
  });
  aRequest.mIsInQuota = decision.mAdmitted;
  if (decision.mAdmitted) {
    return std::nullopt;
  }
  mLog.QuotaExceeded(aRequest, decision);
  return steered_refusal{ http::status::too_many_requests,
                          refusal_reason::QuotaExceeded,
                          decision.mRetryAfter };
}

} // namespace laburnumdyke
