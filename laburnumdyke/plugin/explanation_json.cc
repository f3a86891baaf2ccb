// Times and weights are rounded to what a reader can use.
#include "laburnumdyke/plugin/explanation_json.h"

#include "laburnumdyke/plugin/demand_view.h"

#include <cmath>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

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
    aJson["priority"] = PriorityOf(*aExplained.mRoute, aExplained.mCustomer);
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

} // namespace

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

} // namespace laburnumdyke
