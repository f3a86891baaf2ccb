// Candidates are sorted before they are cut off, so that those listed are the
// ones that count most.
#include "laburnumdyke/decision/choice_explanation.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace laburnumdyke {

std::string_view
ToString(exclusion_rule aRule)
{
  switch (aRule) {
    case exclusion_rule::Draining:
      return "draining";
    case exclusion_rule::WrongInstance:
      return "wrong_instance";
    case exclusion_rule::Evacuated:
      return "evacuated";
    case exclusion_rule::RouteHome:
      return "route_home";
    case exclusion_rule::CustomerHome:
      return "customer_home";
    case exclusion_rule::Tried:
      return "tried";
    case exclusion_rule::Unhealthy:
      return "unhealthy";
    case exclusion_rule::ColdLimit:
      return "cold_limit";
    case exclusion_rule::ObjectOrder:
      return "object_order";
    case exclusion_rule::Count:
      break;
  }
  return "";
}

void
explanation_builder::Exclude(exclusion_rule aRule, const upstream_id& aUpstream)
{
  excluded_upstreams& excluded =
    mExplanation.mExcluded.at(static_cast<std::size_t>(aRule));
  ++excluded.mCount;
  if (excluded.mNames.size() < mLimits.mNames) {
    excluded.mNames.push_back(aUpstream);
  }
}

void
explanation_builder::AddCandidate(explained_candidate aCandidate)
{
  mExplanation.mCandidates.push_back(std::move(aCandidate));
}

choice_explanation
explanation_builder::Build(std::optional<upstream_id> aChosen)
{
  std::vector<explained_candidate>& candidates = mExplanation.mCandidates;
  auto order = [&](const explained_candidate& aOne) {
    bool isChosen = aChosen && aOne.mId == *aChosen;
    return std::make_tuple(!isChosen, !aOne.mAdmits, aOne.mCost);
  };
  std::stable_sort(
    candidates.begin(),
    candidates.end(),
    [&](const explained_candidate& aOne, const explained_candidate& aOther) {
      return order(aOne) < order(aOther);
    });
  if (candidates.size() > mLimits.mCandidates) {
    mExplanation.mMoreCandidates = candidates.size() - mLimits.mCandidates;
    candidates.resize(mLimits.mCandidates);
  }
  mExplanation.mChosen = std::move(aChosen);
  return std::move(mExplanation);
}

} // namespace laburnumdyke
