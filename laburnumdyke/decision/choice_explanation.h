// Why a request would go to an upstream, or to none: the candidates with the
// figures that count, the upstreams that are left out, and the outcome.
//
// Usage:
//   explanation_builder builder(limits);
//   builder.Exclude(exclusion_rule::Draining, upstream);  // for each one
//   builder.AddCandidate(candidate);                      // for each one
//   choice_explanation explanation = builder.Build(chosen);
//
// The explanation has a bounded size: further candidates, and further names of
// upstreams that are left out, are only counted. Times are relative to the
// instant of the explanation.
#pragma once

#include "laburnumdyke/decision/contention.h"
#include "laburnumdyke/decision/region_spillover.h"
#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Why an upstream of the service is no candidate, in the order of the checks.
enum class exclusion_rule
{
  Draining,
  WrongInstance, // its address belongs to another upstream
  Evacuated,     // its failure domain
  RouteHome,     // its region is no home of the route
  CustomerHome,  // its region is no home of the customer
  Tried,         // an earlier attempt of the request was made there
  Unhealthy,
  ColdLimit,   // no request may be sent to the cold upstream now
  ObjectOrder, // others come first for the request's object
  Count,
};

inline constexpr std::size_t kExclusionRules =
  static_cast<std::size_t>(exclusion_rule::Count);

std::string_view
ToString(exclusion_rule aRule);

struct explained_candidate
{
  upstream_id mId;
  domain_id mDomain;
  region_id mRegion;
  bool mIsRemote = false; // in another region
  double mLoad = 0;       // estimated requests there, running and waiting
  double mSlots = 0;      // that this instance may count on
  double mSlowness = 1;   // expected service time, relative to the usual one
  bool mIsCold = false;
  duration mWait{};
  duration mTotal{}; // expected response time
  double mCost = 0;  // seconds; mTotal plus the cost of cross-domain bytes
  bool mAdmits = false;
  bool mYields = false; // would admit but for more urgent requests
};

struct excluded_upstreams
{
  std::size_t mCount = 0;
  std::vector<upstream_id> mNames; // the first ones
};

// A region's part in the division of a service's requests.
struct explained_region
{
  region_id mRegion;
  double mDemand = 0; // requests per second, or instances if there is no age
  double mSlots = 0;  // of upstreams that take requests
  double mShare = 0;  // of the own region's requests
};

// How the requests of a service are divided by measured demand.
struct demand_explanation
{
  std::vector<explained_region> mRegions;
  double mOwnRate = 0; // asked for at this instance, in requests per second
  // Of the sums; nullopt: there are none that can be used, so the instances of
  // each region are counted.
  std::optional<duration> mAge;
};

struct choice_explanation
{
  // The chosen one first, then those that admit the request, by cost, then the
  // others, by cost.
  std::vector<explained_candidate> mCandidates;
  std::size_t mMoreCandidates = 0; // that are not listed
  std::array<excluded_upstreams, kExclusionRules> mExcluded; // by rule
  // No upstream looks healthy, so health is ignored.
  bool mIgnoresHealth = false;
  // Set if the limit on what leaves the region took part.
  std::optional<spillover_decision> mSpillover;
  contention_room mRoom;   // that more urgent requests leave
  double mRemoteShare = 0; // of the service's requests, before this one
  // Set where the service's requests are divided by measured demand.
  std::optional<demand_explanation> mDemand;
  std::optional<upstream_id> mChosen;
  refusal_reason mReason = refusal_reason::None; // set if none is chosen
  // Bounds of the retry delay, which is spread at random.
  std::chrono::milliseconds mLeastRetryAfter{ 0 };
  std::chrono::milliseconds mMostRetryAfter{ 0 };

  const excluded_upstreams& Excluded(exclusion_rule aRule) const
  {
    return mExcluded.at(static_cast<std::size_t>(aRule));
  }
};

struct explanation_limits
{
  std::size_t mCandidates = 20;
  std::size_t mNames = 5; // of excluded upstreams, by rule
};

class explanation_builder
{
public:
  explicit explanation_builder(explanation_limits aLimits = {})
    : mLimits(aLimits)
  {
  }

  void Exclude(exclusion_rule aRule, const upstream_id& aUpstream);
  void AddCandidate(explained_candidate aCandidate);

  // Orders the candidates; aChosen is one of them, or nullopt. Use once.
  choice_explanation Build(std::optional<upstream_id> aChosen);

private:
  explanation_limits mLimits;
  choice_explanation mExplanation;
};

} // namespace laburnumdyke
