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
  region_slots slots = SlotsOf(upstreams);
  std::optional<demand_preview> demand;
  if (DividesByDemand()) {
    demand = mDemand.Preview(aRequest.mService, slots, aNow);
  }
  auto known = mBalances.find(aRequest.mService);
  region_balance balance = demand                     ? demand->mBalance
                           : known == mBalances.end() ? MakeBalance(upstreams)
                                                      : known->second;
  double share = balance.RemoteShare();
  auto spillover = mSpillovers.find(aRequest.mService);
  region_spillover copy =
    spillover == mSpillovers.end() ? MakeSpillover(share) : spillover->second;
  copy.SetMinShare(share);
  choice_explanation explanation =
    Explain({ aRequest,
              upstreams,
              estimate,
              balance,
              RoomOf(aRequest, upstreams, aNow) },
            copy,
            demand ? &demand->mShares : nullptr,
            aLimits,
            aNow);
  if (demand) {
    explanation.mDemand = mDemand.Describe(aRequest.mService, slots, aNow);
  }
  return explanation;
}

choice_explanation
upstream_steering::Explain(const request_view& aView,
                           const region_spillover& aSpillover,
                           const region_shares* aShares,
                           explanation_limits aLimits,
                           instant aNow) const
{
  selection selected = Select(aView, aNow);
  std::optional<spillover_decision> spilled;
  const candidate* chosen = nullptr;
  if (aShares != nullptr) {
    best_by_region best = BestByRegion(selected.mCandidates);
    std::optional<region_id> region = aShares->Preview(OffersOf(best), aNow);
    chosen = region ? best.at(*region) : nullptr;
    if (!best.empty()) {
      spilled = chosen == nullptr ? spillover_decision::Refuse
                : chosen->mRemote ? spillover_decision::Remote
                                  : spillover_decision::Local;
    }
  } else {
    chosen = Pick(selected.mCandidates, [&](const best_candidates& aBest) {
      spilled = aSpillover.Preview(aBest.PrefersRemote(),
                                   aBest.mLocal != nullptr,
                                   aNow,
                                   aBest.mRemote != nullptr);
      return *spilled;
    });
  }
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
  explanation.mRemoteShare =
    aShares != nullptr ? aShares->RemoteShare() : aSpillover.Share();
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
