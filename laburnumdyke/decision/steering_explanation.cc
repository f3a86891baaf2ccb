// Explains a choice by the functions that Choose() calls. What Choose()
// computes once and keeps, such as the balance of regions, is computed here for
// each explanation: keeping it would change what later choices use.
#include "laburnumdyke/decision/upstream_steering.h"

#include <set>
#include <utility>

namespace laburnumdyke {

choice_explanation
upstream_steering::Explain(const steering_request& aRequest,
                           explanation_limits aLimits,
                           instant aNow) const
{
  std::vector<const upstream*> upstreams;
  for (const std::pair<const upstream_id, upstream>& known : mUpstreams) {
    if (known.second.mEntry.mService == aRequest.mService) {
      upstreams.push_back(&known.second);
    }
  }
  auto work = mWork.find(aRequest.mRoute.mName);
  work_estimate estimate = work == mWork.end()
                             ? work_estimate(aRequest.mRoute.mObjective)
                             : work->second;
  auto known = mBalances.find(aRequest.mService);
  region_balance balance =
    known == mBalances.end() ? MakeBalance(upstreams) : known->second;
  double share = balance.RemoteShare();
  auto spillover = mSpillovers.find(aRequest.mService);
  region_spillover copy =
    spillover == mSpillovers.end() ? MakeSpillover(share) : spillover->second;
  copy.SetMinShare(share);
  return Explain({ aRequest,
                   upstreams,
                   estimate,
                   balance,
                   RoomOf(aRequest, upstreams, aNow) },
                 copy,
                 aLimits,
                 aNow);
}

choice_explanation
upstream_steering::Explain(const request_view& aView,
                           const region_spillover& aSpillover,
                           explanation_limits aLimits,
                           instant aNow) const
{
  selection selected = Select(aView, aNow);
  std::optional<spillover_decision> spilled;
  const candidate* chosen =
    Pick(selected.mCandidates, [&](const best_candidates& aBest) {
      spilled = aSpillover.Preview(aBest.PrefersRemote(),
                                   aBest.mLocal != nullptr,
                                   aNow,
                                   aBest.mRemote != nullptr);
      return *spilled;
    });
  explanation_builder builder(aLimits);
  for (const candidate& one : selected.mCandidates) {
    const upstream_entry& entry = one.mUpstream->mEntry;
    builder.AddCandidate({ entry.mId,
                           entry.mDomain,
                           one.mUpstream->mRegion,
                           one.mRemote,
                           one.mLoad,
                           one.mSlots,
                           one.mSlowness,
                           IsCold(*one.mUpstream, aNow),
                           one.mWait,
                           one.mTotal,
                           one.mCost,
                           one.mAdmits,
                           one.mYields });
  }
  ExplainExclusions(aView, selected, builder, aNow);
  choice_explanation explanation = builder.Build(
    chosen == nullptr ? std::nullopt
                      : std::optional(chosen->mUpstream->mEntry.mId));
  explanation.mIgnoresHealth =
    !selected.mTrustsHealth && !selected.mCandidates.empty();
  explanation.mSpillover = spilled;
  explanation.mRoom = aView.mRoom;
  explanation.mRemoteShare = aSpillover.Share();
  if (chosen == nullptr) {
    const steering_request& request = aView.mRequest;
    explanation.mReason = RefusalOf(selected.mCandidates);
    explanation.mLeastRetryAfter =
      RetryAfter(selected.mCandidates, request, kLeastRetrySpread, aNow);
    explanation.mMostRetryAfter =
      RetryAfter(selected.mCandidates, request, MostRetrySpread(aView), aNow);
  }
  return explanation;
}

void
upstream_steering::ExplainExclusions(const request_view& aView,
                                     const selection& aSelected,
                                     explanation_builder& aBuilder,
                                     instant aNow) const
{
  std::set<const upstream*> candidates;
  for (const candidate& one : aSelected.mCandidates) {
    candidates.insert(one.mUpstream);
  }
  for (const upstream* known : aView.mUpstreams) {
    if (candidates.count(known) == 0) {
      std::optional<exclusion_rule> rule =
        ExclusionOf(*known, aView.mRequest, aSelected.mTrustsHealth, aNow);
      aBuilder.Exclude(rule.value_or(exclusion_rule::ObjectOrder),
                       known->mEntry.mId);
    }
  }
}

} // namespace laburnumdyke
