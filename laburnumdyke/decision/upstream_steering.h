// Selects the upstream for a request, or refuses the request with a reason.
//
// Load pattern: many instances, each with a few requests per second, in front
// of upstreams that have few slots and short queues, and that are several times
// faster on objects they have cached. For each upstream the expected response
// time is estimated: round trip, queueing delay and service time. The lowest
// wins, so an object stays on the upstreams that have it cached until they are
// full; it then moves to the next ones in an order that is the same on every
// instance.
//
// A request is admitted to an upstream that is expected to answer within the
// route's latency objective, or that has a free slot. Otherwise it is refused
// at once with a retry delay after which a slot is expected: queueing it beyond
// the objective would delay the requests behind it too.
//
// Usage:
//   steering_choice choice = steering.Choose(request, now);
//   if (choice.mTarget) {
//     steering.Begin(*choice.mTarget, now);
//     ... connect ...
//     if (steering.MaySend(*choice.mTarget, now)) ...
//     steering.End(*choice.mTarget, report, now);
//   }
//   choice_explanation next = steering.Explain(request, limits, now);
//
// Explain() runs the code of Choose() without an effect on later choices.
#pragma once

#include "laburnumdyke/decision/choice_explanation.h"
#include "laburnumdyke/decision/cold_start_limiter.h"
#include "laburnumdyke/decision/contention.h"
#include "laburnumdyke/decision/demand_steering.h"
#include "laburnumdyke/decision/load_estimate.h"
#include "laburnumdyke/decision/recent_objects.h"
#include "laburnumdyke/decision/region_balance.h"
#include "laburnumdyke/decision/region_spillover.h"
#include "laburnumdyke/decision/restart_suspicion.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/service_load.h"
#include "laburnumdyke/decision/upstream_directory.h"
#include "laburnumdyke/decision/upstream_health.h"
#include "laburnumdyke/decision/upstream_speed.h"
#include "laburnumdyke/decision/work_estimate.h"
#include "laburnumdyke/kernel/learned_speed.h"
#include "laburnumdyke/kernel/lock_rank.h"
#include "laburnumdyke/kernel/uneven_load.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct steering_options
{
  instance_id mSelf;
  domain_id mDomain;
  region_id mRegion;
  std::map<domain_id, region_id> mRegions; // by failure domain
  region_spillover_options mSpillover;
  double mColdOvershoot = 1.5;
  double mColdSlack = 5;
  // Assumed round trip within the region and to other regions, until connect
  // times have been measured.
  std::chrono::milliseconds mNearRoundTrip{ 2 };
  std::chrono::milliseconds mFarRoundTrip{ 40 };
  upstream_directory_options mDirectory;
  learned_speed mLearnedSpeed = learned_speed::Reported;
  uneven_load mUnevenLoad = uneven_load::Never;
  std::uint64_t mSeed = 1;
};

struct steering_request
{
  const route_spec& mRoute;
  service_id mService;
  std::string_view mObject; // empty: the request concerns no object
  instant mReceived;
  instant mDeadline;
  const std::vector<upstream_id>& mTried;
  const customer_spec* mCustomer = nullptr; // null: none is known
};

// The upstream chosen for an attempt.
struct steering_target
{
  upstream_id mId;
  endpoint mAddress;
  domain_id mDomain;
  std::string mRoute;
  std::string mObject;
  std::chrono::milliseconds mBorn{ 0 };
  std::uint64_t mStart = 0; // counts the starts seen; see upstream::mStart
  duration mExpectedWait{}; // in the upstream's queue
  bool mCold = false;
  std::size_t mInstances = 1; // size of the fleet at the time of choice
};

struct steering_choice
{
  std::optional<steering_target> mTarget;
  refusal_reason mReason = refusal_reason::None; // set if there is no target
  std::chrono::milliseconds mRetryAfter{ 0 };
  // Set if contention for the service has begun or ceased, for the log.
  std::optional<contention_change> mContention{};
};

// Outcome of an attempt, for learning about the upstream.
struct attempt_report
{
  attempt_result mResult = attempt_result::Abandoned;
  duration mTook{};
  std::size_t mBytes = 0; // size of a complete response
  std::optional<reported_load> mLoad;
  bool mQueueFull = false;          // refused, not executed: queue full
  bool mWrongInstance = false;      // its address belongs to another upstream
  std::optional<duration> mConnect; // connect time of a new connection
  connect_failure mConnectFailure = connect_failure::None;
};

// An upstream has become slow, or usual again; for the log.
struct speed_notice
{
  speed_change mChange = speed_change::Slow;
  double mFactor = 1;       // expected service time, relative to the usual one
  double mHandledSlots = 0; // that it handles well
};

class upstream_steering
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Admission;

  explicit upstream_steering(steering_options aOptions);
  upstream_steering(const upstream_steering&) = delete;
  upstream_steering& operator=(const upstream_steering&) = delete;

  upstream_directory& Directory() { return mDirectory; }
  demand_steering& Demand() { return mDemand; }
  // How the busiest services are divided by measured demand.
  std::vector<std::pair<service_id, demand_explanation>> DescribeDemand(
    std::size_t aLimit,
    instant aNow);

  // Applies changes reported by the directory. aWrittenAfter: their rows were
  // written after this instant; instant::min() if that is unknown, as of the
  // rows of a snapshot. What events have shown since then holds against them.
  void Apply(const std::vector<upstream_change>& aChanges,
             instant aNow,
             instant aWrittenAfter = instant::min());

  // Sets the failure domains that receive no requests. The upstreams of a
  // domain that is no longer evacuated count as cold for their service's
  // mColdTime, or for as long as a row that was written since says.
  void SetEvacuated(const std::set<domain_id>& aDomains, instant aNow);
  void SetRules(std::shared_ptr<const route_table> aRoutes);
  // Sets the instances that send to the upstreams, including this one; empty
  // if unknown.
  void SetFleet(std::vector<instance_location> aFleet);

  steering_choice Choose(const steering_request& aRequest, instant aNow);
  // What Choose() would return at this instant, and why.
  choice_explanation Explain(const steering_request& aRequest,
                             explanation_limits aLimits,
                             instant aNow) const;
  // Whether a request may still be sent to the chosen upstream. Ask right
  // before the send: since the choice the upstream may have begun to leave, or
  // have started again or become cold.
  bool MaySend(const steering_target& aTarget, instant aNow);
  void Begin(const steering_target& aTarget, instant aNow);
  // Upstreams that may have started again, as seen by this instance where that
  // was news (restart_suspicion::IsNews); each report is returned once.
  std::vector<restart_report> TakeRestartReports();
  // Applies a report of another instance. Returns the upstream's address if it
  // was news.
  std::optional<endpoint> LearnRestart(const restart_report& aReport,
                                       instant aNow);
  // Upstreams whose current start may be in doubt somewhere: their
  // registrations matter to other instances even if nothing has changed.
  std::set<upstream_id> RecentlySuspected(instant aNow) const;

  // Returns a notice if the attempt has shown that the upstream's learned speed
  // has changed.
  std::optional<speed_notice> End(const steering_target& aTarget,
                                  const attempt_report& aReport,
                                  instant aNow);

  std::size_t Size() const { return mUpstreams.size(); }

private:
  // Retry delays are this many times the shortest expected wait, at random, so
  // that requests refused together do not retry together.
  static constexpr double kLeastRetrySpread = 1;
  static constexpr double kMostRetrySpread = 2;
  // An upstream refuses requests beyond this many queued ones per slot.
  static constexpr double kMaxQueuedPerSlot = 2;

  struct upstream
  {
    upstream_entry mEntry;
    region_id mRegion;
    upstream_health mHealth;
    load_estimate mLoad;
    instant mColdUntil{};
    // When an event, rather than a row, last showed that it was cold.
    instant mFoundCold = instant::min();
    restart_suspicion mRestart;
    // Increases when it starts again, or may have done so: attempts chosen
    // before are not sent, and teach nothing.
    std::uint64_t mStart = 0;
    // When another upstream answered at its address; until a later row.
    std::optional<instant> mMisdirected;
    double mSlowness = 1; // service time relative to the route's estimate
    instant mSlownessUpdated{};
    recent_objects mRecent;
    upstream_speed mSpeed;
  };

  struct candidate
  {
    const upstream* mUpstream = nullptr;
    bool mRemote = false; // in another region
    double mLoad = 0;     // estimated requests there
    double mSlots = 0;    // that its health allows
    double mSlowness = 1; // expected service time, relative to the usual one
    duration mWait{};
    duration mTotal{}; // expected response time
    double mCost = 0;  // seconds; mTotal plus the cost of cross-domain bytes
    bool mAdmits = false;
    bool mYields = false; // has capacity, but contention_room doesn't admit it
  };

  // Upstreams are ranked for an object separately in each locality.
  enum class locality
  {
    Local,  // own region; own failure domain if responses are large
    Region, // rest of the own region
    OtherRegion,
  };
  static constexpr std::size_t kLocalities = 3;

  // An upstream and its rank for an object within its locality.
  struct ranked_upstream
  {
    const upstream* mUpstream = nullptr;
    locality mLocality = locality::Local;
    std::size_t mRank = 0;
  };

  // What a request's candidates are selected and evaluated with.
  struct request_view
  {
    const steering_request& mRequest;
    const std::vector<const upstream*>& mUpstreams; // of the service
    const work_estimate& mWork;
    const region_balance& mBalance; // of the service
    contention_room mRoom{};

    bool IsAssignedRemotely() const
    {
      return mBalance.IsAssignedRemotely(mRequest.mObject);
    }
  };

  struct selection
  {
    std::vector<candidate> mCandidates;
    bool mTrustsHealth = true;
  };

  // The best candidates that admit a request.
  struct best_candidates
  {
    const candidate* mLocal = nullptr;
    const candidate* mRemote = nullptr;
    bool mHasLocal = false; // whether there are any, admitting or not

    bool PrefersRemote() const
    {
      return mRemote != nullptr &&
             (mLocal == nullptr || mRemote->mCost < mLocal->mCost);
    }
  };

  static duration ToDuration(std::chrono::duration<double> aTime)
  {
    return std::chrono::duration_cast<duration>(aTime);
  }
  region_id RegionOf(const domain_id& aDomain) const;
  region_spillover MakeSpillover(double aShare) const;
  region_spillover& SpilloverOf(const service_id& aService);
  region_balance MakeBalance(
    const std::vector<const upstream*>& aUpstreams) const;
  const region_balance& BalanceOf(const service_id& aService);
  region_slots SlotsOf(const std::vector<const upstream*>& aUpstreams) const;
  // nullopt unless the service is divided by measured demand.
  std::optional<demand_view> DemandOf(const service_id& aService, instant aNow);
  using best_by_region = std::map<region_id, const candidate*>;
  static best_by_region BestByRegion(const std::vector<candidate>& aCandidates);
  static region_offers OffersOf(const best_by_region& aBest);
  std::optional<exclusion_rule> ClosedBy(const upstream& aUpstream) const;
  // Returns why the upstream can't get the request; nullopt if it can.
  std::optional<exclusion_rule> ExclusionOf(const upstream& aUpstream,
                                            const steering_request& aRequest,
                                            bool aTrustHealth,
                                            instant aNow) const;
  bool IsCold(const upstream& aUpstream, instant aNow) const;
  double Slowness(const upstream& aUpstream, instant aNow) const;
  double LoadOf(const upstream& aUpstream, instant aNow) const;
  void RecordLoad(upstream& aUpstream,
                  const reported_load& aReport,
                  instant aNow);
  bool UsesSpeed(const upstream& aUpstream, instant aNow) const;
  double SpreadOf(const upstream_id& aUpstream) const;
  double MeanSpeed(const upstream& aUpstream) const;
  double ExpectedSlowness(const upstream& aUpstream, instant aNow) const;
  double HandledSlots(const upstream& aUpstream,
                      double aSlots,
                      instant aNow) const;
  bool MovesToSecond(const upstream& aFirst,
                     const upstream& aSecond,
                     std::string_view aObject,
                     instant aNow) const;
  void OrderBySpeed(std::vector<ranked_upstream>& aRanked,
                    const steering_request& aRequest,
                    instant aNow) const;
  double LearnSpeed(upstream& aUpstream,
                    const attempt_report& aReport,
                    const work_estimate& aRoute,
                    duration aWork,
                    bool aWasCached,
                    instant aNow);
  std::optional<speed_notice> TakeNotice(upstream& aUpstream, instant aNow);
  // Only with Always: division by measured demand has to be enabled explicitly
  // (docs/design/uneven-demand.md).
  bool DividesByDemand() const
  {
    return mOptions.mUnevenLoad == uneven_load::Always;
  }
  bool UsesUnevenLoad(const std::vector<const upstream*>& aUpstreams,
                      instant aNow) const;
  contending_request Contending(const steering_request& aRequest) const;
  contention_room RoomOf(const steering_request& aRequest,
                         const std::vector<const upstream*>& aUpstreams,
                         instant aNow) const;
  std::optional<contention_change> RecordContention(
    const steering_request& aRequest,
    refusal_reason aRefusal,
    instant aNow);
  void RecordShed(const service_id& aService, instant aNow);
  locality LocalityOf(const upstream& aUpstream, bool aStaysInDomain) const;
  const std::vector<const upstream*>& UpstreamsOf(const service_id& aService);
  std::vector<ranked_upstream> PreferredUpstreams(const request_view& aView,
                                                  bool aTrustHealth,
                                                  instant aNow) const;
  static bool IsPrimary(const ranked_upstream& aRanked,
                        const request_view& aView);
  bool IsCached(const ranked_upstream& aRanked,
                const request_view& aView) const;
  candidate Evaluate(const ranked_upstream& aRanked,
                     const request_view& aView,
                     instant aNow) const;
  std::vector<candidate> Candidates(const request_view& aView,
                                    bool aTrustHealth,
                                    instant aNow) const;
  selection Select(const request_view& aView, instant aNow) const;
  static best_candidates Compare(const std::vector<candidate>& aCandidates);

  // Returns the best candidate, or null. aDecide gets the best candidates and
  // decides whether one of the region or one of another region is used; it is
  // called only if there is a choice between them to be limited.
  template<class Decide>
  static const candidate* Pick(const std::vector<candidate>& aCandidates,
                               Decide&& aDecide)
  {
    best_candidates best = Compare(aCandidates);
    if (!best.mHasLocal) {
      return best.mRemote;
    }
    if (best.mLocal == nullptr && best.mRemote == nullptr) {
      return nullptr;
    }
    switch (aDecide(best)) {
      case spillover_decision::Local:
        return best.mLocal;
      case spillover_decision::Remote:
        return best.mRemote;
      case spillover_decision::Refuse:
        break;
    }
    return nullptr;
  }

  static refusal_reason RefusalOf(const std::vector<candidate>& aCandidates);
  // Upper bound of the random factor of a retry delay. Under contention it
  // grows with the ratio of requests to served ones, so that callers return no
  // faster than they can be served.
  static double MostRetrySpread(const request_view& aView)
  {
    return kMostRetrySpread * aView.mRoom.mExcess;
  }
  static std::chrono::milliseconds RetryAfter(
    const std::vector<candidate>& aCandidates,
    const steering_request& aRequest,
    double aSpread,
    instant aNow);
  steering_choice Refuse(const std::vector<candidate>& aCandidates,
                         const request_view& aView,
                         instant aNow);
  choice_explanation Explain(const request_view& aView,
                             const region_spillover& aSpillover,
                             const region_shares* aShares, // null: not used
                             explanation_limits aLimits,
                             instant aNow) const;
  void ExplainExclusions(const request_view& aView,
                         const selection& aSelected,
                         explanation_builder& aBuilder,
                         instant aNow) const;
  work_estimate& WorkOf(const route_spec& aRoute);
  void AddSample(upstream& aUpstream,
                 const steering_target& aTarget,
                 const attempt_report& aReport,
                 instant aNow);
  void MarkCold(upstream& aUpstream, instant aNow);
  service_rules RulesOf(const upstream& aUpstream) const;
  // Drops what was learned of a start of the upstream that has ended.
  void ForgetStart(upstream& aUpstream);
  // Its process may have ended. Returns whether this is news, which it never is
  // for a service without cold starts.
  bool SuspectRestart(upstream& aUpstream,
                      std::chrono::milliseconds aMaxTime,
                      instant aNow);
  void RecordConnectFailure(upstream& aUpstream,
                            connect_failure aFailure,
                            instant aNow);
  static void ApplyColdLeft(upstream& aUpstream,
                            std::chrono::milliseconds aColdLeft,
                            instant aNow,
                            instant aWrittenAfter);
  upstream* Find(const steering_target& aTarget);
  bool TakesRequests(const upstream& aUpstream) const;

  steering_options mOptions;
  upstream_directory mDirectory;
  cold_start_limiter mColdStartLimiter;
  std::map<region_id, std::size_t> mFleet; // instances by region
  std::size_t mRegionInstances = 1;        // in this region, including this one
  std::size_t mFleetSize = 1;              // in all regions
  std::shared_ptr<const route_table> mRoutes;
  std::map<upstream_id, upstream> mUpstreams;
  std::map<service_id, std::vector<const upstream*>>
    mByService; // made when needed
  std::set<domain_id> mEvacuated;
  std::map<std::string, work_estimate> mWork;     // by route name
  std::map<service_id, region_balance> mBalances; // computed when needed
  std::map<service_id, region_spillover> mSpillovers;
  demand_steering mDemand;
  std::map<service_id, service_speed> mServiceSpeeds;
  std::map<service_id, contention> mContentions;
  std::map<service_id, std::map<region_id, service_load>> mServiceLoads;
  std::map<domain_id, duration> mRoundTrips; // round trip times
  std::vector<restart_report> mRestartReports;
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
