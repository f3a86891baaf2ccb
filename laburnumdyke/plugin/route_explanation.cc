// The steps are those of steered_pipeline::Serve and steered_checks, in the
// same order, each with the preview of what they do. Locks are held one at a
// time, so the answer may mix states that are a few microseconds apart.
#include "laburnumdyke/plugin/route_explanation.h"

#include "laburnumdyke/plugin/console_form.h"
#include "laburnumdyke/plugin/demand_view.h"
#include "laburnumdyke/plugin/steered_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::string_view kExplainPath = "/v1/explain";
constexpr std::size_t kMaxParameterBytes = 4096;
constexpr std::int64_t kMaxCallerTimeout = 24LL * 3600 * 1000; // milliseconds

string_answer
ExplainAnswer(http::status aStatus, const boost::json::object& aBody)
{
  string_answer answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(http::field::cache_control, "no-store");
  answer.body() = boost::json::serialize(aBody) + "\n";
  return answer;
}

string_answer
ExplainError(http::status aStatus, std::string_view aMessage)
{
  boost::json::object body;
  body["error"] = aMessage;
  return ExplainAnswer(aStatus, body);
}

bool
ReadTimeout(explain_query& aQuery, const std::string& aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, value);
  aQuery.mCallerTimeout = std::chrono::milliseconds(value);
  return parsed.ec == std::errc() && parsed.ptr == end && value > 0 &&
         value <= kMaxCallerTimeout;
}

// Stores a parameter. Returns whether it is known and valid.
bool
SetParameter(explain_query& aQuery,
             const std::string& aName,
             const std::string& aValue)
{
  if (aValue.empty() || aValue.size() > kMaxParameterBytes) {
    return false;
  }
  if (aName == "host") {
    aQuery.mHost = aValue;
  } else if (aName == "path") {
    aQuery.mPath = aValue;
    return aValue.front() == '/';
  } else if (aName == "object") {
    aQuery.mObject = aValue;
  } else if (aName == "customer") {
    aQuery.mCustomer = aValue;
  } else if (aName == "deadline_ms") {
    return ReadTimeout(aQuery, aValue);
  } else {
    return false;
  }
  return true;
}

double
ToMs(duration aTime)
{
  double value = std::chrono::duration<double, std::milli>(aTime).count();
  return std::round(value * 10) / 10;
}

double
Rounded(double aValue)
{
  return std::round(aValue * 100) / 100;
}

std::string_view
ToString(spillover_decision aDecision)
{
  switch (aDecision) {
    case spillover_decision::Local:
      return "local";
    case spillover_decision::Remote:
      return "remote";
    case spillover_decision::Refuse:
      break;
  }
  return "refuse";
}

boost::json::array
CandidatesJson(const std::vector<explained_candidate>& aCandidates)
{
  boost::json::array rows;
  for (const explained_candidate& one : aCandidates) {
    boost::json::object row;
    row["upstream"] = one.mId.mValue;
    row["region"] = one.mRegion.mValue;
    row["failure_domain"] = one.mDomain.mValue;
    row["load"] = Rounded(one.mLoad);
    row["slots"] = one.mSlots;
    row["wait_ms"] = ToMs(one.mWait);
    row["total_ms"] = ToMs(one.mTotal);
    row["cost_ms"] = Rounded(one.mCost * 1000);
    row["slowness"] = Rounded(one.mSlowness);
    row["cold"] = one.mIsCold;
    row["admits"] = one.mAdmits;
    row["yields"] = one.mYields;
    rows.push_back(std::move(row));
  }
  return rows;
}

boost::json::array
ExcludedJson(const choice_explanation& aChoice)
{
  boost::json::array rows;
  for (std::size_t i = 0; i < kExclusionRules; ++i) {
    exclusion_rule rule = static_cast<exclusion_rule>(i);
    const excluded_upstreams& excluded = aChoice.Excluded(rule);
    if (excluded.mCount == 0) {
      continue;
    }
    std::string names;
    for (const upstream_id& name : excluded.mNames) {
      names += (names.empty() ? "" : " ") + name.mValue;
    }
    boost::json::object row;
    row["rule"] = ToString(rule);
    row["count"] = excluded.mCount;
    row["upstreams"] = names;
    rows.push_back(std::move(row));
  }
  return rows;
}

void
AddCustomer(boost::json::object& aJson, const explained_route& aExplained)
{
  if (aExplained.mRoute != nullptr) {
    std::uint32_t priority = aExplained.mRoute->mPriority;
    aJson["priority"] = aExplained.mCustomer == nullptr
                          ? priority
                          : aExplained.mCustomer->mPriority.value_or(priority);
  }
  if (aExplained.mCustomer == nullptr) {
    return;
  }
  const customer_spec& customer = *aExplained.mCustomer;
  aJson["customer"] = customer.mName.mValue;
  if (customer.mQuota.IsLimited()) {
    aJson["quota_rate_per_s"] = customer.mQuota.mRate;
    aJson["quota_burst"] = customer.mQuota.mBurst;
  }
  if (aExplained.mQuota && aExplained.mQuota->mIsLimited) {
    aJson["quota_limit_per_s"] = Rounded(aExplained.mQuota->mLimit);
    aJson["quota_demand_per_s"] = Rounded(aExplained.mQuota->mDemand);
    aJson["quota_admits"] = aExplained.mQuota->mAdmitted;
  }
}

void
AddOutcome(boost::json::object& aJson, const explained_route& aExplained)
{
  bool isSent = aExplained.mStatus == http::status::ok;
  aJson["outcome"] = isSent ? "sent" : "rejected";
  if (isSent) {
    aJson["upstream"] = aExplained.mChoice->mChosen->mValue;
    return;
  }
  aJson["status"] = static_cast<unsigned>(aExplained.mStatus);
  aJson["reason"] = ToString(aExplained.mReason);
  if (aExplained.mLeastRetryAfter && aExplained.mMostRetryAfter) {
    aJson["retry_after_least_ms"] = aExplained.mLeastRetryAfter->count();
    aJson["retry_after_most_ms"] = aExplained.mMostRetryAfter->count();
  }
}

void
AddChoice(boost::json::object& aJson, const choice_explanation& aChoice)
{
  aJson["health_ignored"] = aChoice.mIgnoresHealth;
  aJson["remote_share"] = Rounded(aChoice.mRemoteShare);
  aJson["contended"] = aChoice.mRoom.mIsContended;
  if (aChoice.mRoom.IsLimited()) {
    aJson["room_per_slot"] = Rounded(aChoice.mRoom.mSlots);
  }
  if (aChoice.mSpillover) {
    aJson["spillover"] = ToString(*aChoice.mSpillover);
  }
  if (aChoice.mDemand) {
    aJson["demand"] = DemandJson(*aChoice.mDemand);
  }
  aJson["more_candidates"] = aChoice.mMoreCandidates;
  aJson["candidates"] = CandidatesJson(aChoice.mCandidates);
  aJson["excluded"] = ExcludedJson(aChoice);
}

boost::json::object
ExplainedJson(const explained_route& aExplained, const std::string& aInstance)
{
  boost::json::object json;
  json["instance"] = aInstance;
  json["version"] = aExplained.mRoutes->Version();
  if (aExplained.mRoute != nullptr) {
    json["route"] = aExplained.mRoute->mName;
  }
  if (!aExplained.mService.mValue.empty()) {
    json["service"] = aExplained.mService.mValue;
  }
  AddCustomer(json, aExplained);
  AddOutcome(json, aExplained);
  if (aExplained.mChoice) {
    AddChoice(json, *aExplained.mChoice);
  }
  return json;
}

void
Reject(explained_route& aExplained,
       http::status aStatus,
       refusal_reason aReason,
       std::optional<std::chrono::milliseconds> aLeast = std::nullopt,
       std::optional<std::chrono::milliseconds> aMost = std::nullopt)
{
  aExplained.mStatus = aStatus;
  aExplained.mReason = aReason;
  aExplained.mLeastRetryAfter = aLeast;
  aExplained.mMostRetryAfter = aMost ? aMost : aLeast;
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

explain_query_result
ReadExplainQuery(std::string_view aTarget)
{
  std::size_t separator = aTarget.find('?');
  std::optional<form_fields> fields = DecodeForm(
    separator == std::string_view::npos ? std::string_view()
                                        : aTarget.substr(separator + 1));
  if (!fields) {
    return { std::nullopt, "malformed encoding of a parameter" };
  }
  explain_query query;
  std::set<std::string> seen;
  for (const std::pair<std::string, std::string>& field : *fields) {
    if (!seen.insert(field.first).second ||
        !SetParameter(query, field.first, field.second)) {
      // Doesn't repeat the parameter, which may be a key that was put there.
      return { std::nullopt,
               "expected each of host, path, object, customer and deadline_ms "
               "at most once, with a valid value, and no other parameter" };
    }
  }
  if (query.mHost.empty() || query.mPath.empty()) {
    return { std::nullopt, "expected host= and path=" };
  }
  return { std::move(query), std::string() };
}

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
  return ExplainAnswer(http::status::ok,
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
    Reject(explained, http::status::not_found, refusal_reason::UnknownService);
    return explained;
  }
  const route_spec& route = *explained.mRoute;
  std::chrono::milliseconds maxAge = mTables.MaxKeyAge();
  gate_decision gate =
    aCustomer != nullptr
      ? CheckCustomer(routes, route, aCustomer, aRoutes.mAge, maxAge)
      : CheckKey(routes, route, aQuery.mKey, aRoutes.mAge, maxAge);
  explained.mCustomer = gate.mCustomer;
  if (gate.mRefusal == refusal_reason::UnknownCustomer) {
    Reject(explained, http::status::unauthorized, gate.mRefusal);
  } else if (gate.mRefusal != refusal_reason::None) {
    Reject(explained,
           http::status::service_unavailable,
           gate.mRefusal,
           steered_limits::kStaleCustomersRetry);
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
  bool mayBegin = mTables.PlannedStop().With([&](stop_state& aStop) {
    bool may = aStop.MayBegin(aNow, deadline, aNow);
    deadline = std::min(deadline, aStop.LastAnswer());
    return may;
  });
  if (!mayBegin) {
    Reject(aExplained,
           http::status::service_unavailable,
           refusal_reason::Leaving,
           steered_limits::kMinRetryAfter);
    return;
  }
  if (aExplained.mCustomer != nullptr && !route.mPublic) {
    aExplained.mQuota = mTables.Quota().With([&](const quota_state& aQuota) {
      return aQuota.Preview(aExplained.mCustomer->mName, aNow);
    });
    if (!aExplained.mQuota->mAdmitted) {
      Reject(aExplained,
             http::status::too_many_requests,
             refusal_reason::QuotaExceeded,
             aExplained.mQuota->mLeastRetryAfter,
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
           http::status::service_unavailable,
           refusal_reason::DeadlineTooClose,
           steered_limits::kMinRetryAfter);
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
    Reject(aExplained,
           http::status::service_unavailable,
           choice.mReason,
           std::max(choice.mLeastRetryAfter, steered_limits::kMinRetryAfter),
           std::max(choice.mMostRetryAfter, steered_limits::kMinRetryAfter));
  }
}

} // namespace laburnumdyke
