// The steps are those of steered_pipeline::Serve and steered_checks, in the
// same order, each with the preview of what they do. Locks are held one at a
// time, so the answer may mix states that are a few microseconds apart.
#include "laburnumdyke/plugin/route_explanation.h"

#include "laburnumdyke/plugin/explanation_json.h"
#include "laburnumdyke/plugin/http_parts.h"
#include "laburnumdyke/plugin/steered_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::string_view kExplainPath = "/v1/explain";

string_answer
ExplainError(http::status aStatus, std::string_view aMessage)
{
  boost::json::object body;
  body["error"] = aMessage;
  return JsonAnswer(aStatus, body);
}

// aMost: the upper bound of a Retry-After that varies.
void
Reject(explained_route& aExplained,
       const steered_refusal& aRefusal,
       std::optional<std::chrono::milliseconds> aMost = std::nullopt)
{
  aExplained.mStatus = aRefusal.mStatus;
  aExplained.mReason = aRefusal.mReason;
  aExplained.mLeastRetryAfter = aRefusal.mRetryAfter;
  aExplained.mMostRetryAfter = aMost ? aMost : aRefusal.mRetryAfter;
}

const customer_spec*
FindCustomer(const route_table& aRoutes, const std::string& aName)
{
  if (aRoutes.Customers() == nullptr) {
    return nullptr;
  }
  for (const customer_spec& customer : aRoutes.Customers()->All()) {
    if (customer.mName.mValue == aName) {
      return &customer;
    }
  }
  return nullptr;
}

} // namespace

route_explainer::route_explainer(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
  , mBucket(kPerSecond, kPerSecond)
{
}

bool
route_explainer::IsPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?')) == kExplainPath;
}

string_answer
route_explainer::Answer(const request_parser::value_type& aHead, instant aNow)
{
  if (aHead.method() != http::verb::get) {
    return ExplainError(http::status::method_not_allowed, "expected GET");
  }
  if (!mBucket.With(
        [&](token_bucket& aBucket) { return aBucket.Take(aNow); })) {
    string_answer answer = ExplainError(http::status::too_many_requests,
                                        "too many explanations a second");
    answer.set(http::field::retry_after, "1");
    return answer;
  }
  explain_query_result read = ReadExplainQuery(FromBeast(aHead.target()));
  if (!read.mQuery) {
    return ExplainError(http::status::bad_request, read.mFault);
  }
  std::optional<explain_query> query = ReadKey(aHead, std::move(*read.mQuery));
  return query ? AnswerQuery(*query, aNow)
               : ExplainError(http::status::bad_request,
                              "expected a customer or a single key, not both");
}

std::optional<explain_query>
route_explainer::ReadKey(const request_parser::value_type& aHead,
                         explain_query aQuery) const
{
  std::size_t keys = aHead.count(ToBeast(kExplainKeyHeader));
  if (keys > 1 || (keys == 1 && !aQuery.mCustomer.empty())) {
    return std::nullopt;
  }
  if (keys == 1) {
    aQuery.mKey = std::string(FromBeast(aHead[ToBeast(kExplainKeyHeader)]));
  }
  return aQuery;
}

string_answer
route_explainer::AnswerQuery(const explain_query& aQuery, instant aNow)
{
  dated_routes dated = mTables.DatedRoutes(boot_clock::Now());
  if (!dated.mRoutes) {
    return ExplainError(http::status::service_unavailable,
                        "no configuration in force yet");
  }
  const customer_spec* customer = nullptr;
  if (!aQuery.mCustomer.empty()) {
    customer = FindCustomer(*dated.mRoutes, aQuery.mCustomer);
    if (customer == nullptr) {
      return ExplainError(http::status::not_found,
                          "no customer has this name in the configuration");
    }
  }
  return JsonAnswer(http::status::ok,
                    ExplainedJson(Explain(aQuery, customer, dated, aNow),
                                  mKernel.Settings().mInstance));
}

// aCustomer: the one that the query names; null if it has a key or neither.
explained_route
route_explainer::Explain(const explain_query& aQuery,
                         const customer_spec* aCustomer,
                         const dated_routes& aRoutes,
                         instant aNow)
{
  explained_route explained;
  explained.mRoutes = aRoutes.mRoutes;
  const route_table& routes = *aRoutes.mRoutes;
  explained.mRoute = routes.Find(aQuery.mHost, aQuery.mPath);
  if (explained.mRoute == nullptr) {
    Reject(explained,
           { http::status::not_found, refusal_reason::UnknownService });
    return explained;
  }
  const route_spec& route = *explained.mRoute;
  std::chrono::milliseconds maxAge = mTables.MaxKeyAge();
  gate_decision gate =
    aCustomer != nullptr
      ? CheckCustomer(routes, route, aCustomer, aRoutes.mAge, maxAge)
      : CheckKey(routes, route, aQuery.mKey, aRoutes.mAge, maxAge);
  explained.mCustomer = gate.mCustomer;
  if (gate.mRefusal != refusal_reason::None) {
    Reject(explained, CustomerRefusal(gate.mRefusal));
  } else {
    ExplainAdmitted(explained, aQuery, aNow);
  }
  return explained;
}

// The steps after the key was checked: a planned stop, then the quota.
void
route_explainer::ExplainAdmitted(explained_route& aExplained,
                                 const explain_query& aQuery,
                                 instant aNow)
{
  const route_spec& route = *aExplained.mRoute;
  instant deadline =
    aNow +
    std::min(aQuery.mCallerTimeout.value_or(route.mTimeout), route.mTimeout);
  bool mayBegin = mTables.PlannedStop().With([&](const stop_state& aStop) {
    return aStop.MayBegin(aNow, deadline, aNow);
  });
  if (!mayBegin) {
    Reject(aExplained, LeavingRefusal());
    return;
  }
  instant lastAnswer = mTables.PlannedStop().With(
    [](const stop_state& aStop) { return aStop.LastAnswer(); });
  deadline = std::min(deadline, lastAnswer);
  if (aExplained.mCustomer != nullptr && !route.mPublic) {
    aExplained.mQuota = mTables.Quota().With([&](const quota_state& aQuota) {
      return aQuota.Preview(aExplained.mCustomer->mName, aNow);
    });
    if (!aExplained.mQuota->mAdmitted) {
      Reject(aExplained,
             { http::status::too_many_requests,
               refusal_reason::QuotaExceeded,
               aExplained.mQuota->mLeastRetryAfter },
             aExplained.mQuota->mMostRetryAfter);
      return;
    }
  }
  ExplainChoice(aExplained, aQuery, deadline, aNow);
}

void
route_explainer::ExplainChoice(explained_route& aExplained,
                               const explain_query& aQuery,
                               instant aDeadline,
                               instant aNow)
{
  aExplained.mService =
    mTables.Rotation().With([&](const rotation_state& aRotation) {
      return aRotation.Preview(*aExplained.mRoute);
    });
  if (aDeadline - aNow < steered_limits::kMinAttemptTime) {
    Reject(aExplained,
           { http::status::service_unavailable,
             refusal_reason::DeadlineTooClose,
             steered_limits::kMinRetryAfter });
    return;
  }
  std::vector<upstream_id> tried;
  steering_request request{ *aExplained.mRoute,  aExplained.mService,
                            aQuery.mObject,      aNow,
                            aDeadline,           tried,
                            aExplained.mCustomer };
  aExplained.mChoice =
    mTables.Steering().With([&](const steering_state& aSteering) {
      return aSteering.Explain(request, kLimits, aNow);
    });
  const choice_explanation& choice = *aExplained.mChoice;
  if (!choice.mChosen) {
    Reject(
      aExplained,
      { http::status::service_unavailable,
        choice.mReason,
        std::max(choice.mLeastRetryAfter, steered_limits::kMinRetryAfter) },
      std::max(choice.mMostRetryAfter, steered_limits::kMinRetryAfter));
  }
}

} // namespace laburnumdyke
