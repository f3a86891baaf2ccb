// Which upstream a request goes to, or why it is turned away.
//
// Load pattern: many instances, each with a few requests a second, in front of
// upstreams with few slots and short queues, that are several times as fast on
// objects which they know. Each upstream is given the time at which it would
// answer: distance, what waits there, the work. The soonest wins, so that an
// object stays with the upstreams that know it until these are full, and then
// goes on in an order on which all instances agree.
//
// A request is admitted where it would be answered within its objective, or
// where a slot is free. Otherwise it is turned away at once, with the time at
// which a slot is expected: waiting in a queue past the objective would make
// those behind late too.
//
// Usage:
//   steering_choice choice = steering.Choose(request, now);
//   if (choice.mTarget) {
//     steering.Begin(choice, now);
//     ...
//     steering.End(choice, ending, now);
//   }
#pragma once

#include "laburnumdyke/decision/cold_gate.h"
#include "laburnumdyke/decision/load_estimate.h"
#include "laburnumdyke/decision/recent_objects.h"
#include "laburnumdyke/decision/region_spill.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/upstream_directory.h"
#include "laburnumdyke/decision/upstream_health.h"
#include "laburnumdyke/decision/work_estimate.h"
#include "laburnumdyke/kernel/lock_rank.h"

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
  std::map<domain_id, region_id> mRegions; // of every failure domain
  region_spill_options mSpill;
  double mColdOvershoot = 1.5;
  double mColdSlack = 5;
  // A round trip, until connections tell better.
  std::chrono::milliseconds mNearTrip{ 2 };
  std::chrono::milliseconds mFarTrip{ 40 };
  upstream_directory_options mDirectory;
  std::uint64_t mSeed = 1;
};

struct steering_request
{
  const route_spec& mRoute;
  service_id mService;
  std::string_view mObject; // empty: not about one object
  instant mReceived;
  instant mDeadline;
  const std::vector<upstream_id>& mTried;
};

// Where an attempt goes.
struct steering_target
{
  upstream_id mId;
  endpoint mAddress;
  domain_id mDomain;
  std::string mRoute;
  std::string mObject;
  std::chrono::milliseconds mBorn{ 0 };
  duration mExpectedWait{}; // before work begins there
  bool mCold = false;
  std::size_t mInstances = 1; // known, of all regions, when it was chosen
};

struct steering_choice
{
  std::optional<steering_target> mTarget;
  refusal_reason mReason = refusal_reason::None; // where there is no target
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// How an attempt ended, as far as it tells of the upstream.
struct attempt_report
{
  attempt_result mResult = attempt_result::Abandoned;
  duration mTook{};
  std::size_t mBytes = 0; // of a whole answer
  std::optional<reported_load> mLoad;
  bool mFull = false;               // it refused the request before any work
  bool mWrongInstance = false;      // another upstream has its address
  std::optional<duration> mConnect; // of a new connection
};

class upstream_steering
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Admission;

  explicit upstream_steering(steering_options aOptions);

  upstream_directory& Directory() { return mDirectory; }

  // What the directory's changes mean for steering.
  void Apply(const std::vector<upstream_change>& aChanges, instant aNow);

  // Failure domains that get nothing; aColdTime: how long an upstream that
  // is taken back counts as cold until it says otherwise.
  void SetEvacuated(const std::set<domain_id>& aDomains, instant aNow);
  void SetRules(std::shared_ptr<const route_table> aRoutes);
  // Who else sends, self included; empty: not known.
  void SetFleet(std::vector<fleet_place> aFleet);

  steering_choice Choose(const steering_request& aRequest, instant aNow);
  void Begin(const steering_target& aTarget, instant aNow);
  void End(const steering_target& aTarget,
           const attempt_report& aReport,
           instant aNow);

  std::size_t Size() const { return mUpstreams.size(); }

private:
  struct upstream
  {
    upstream_entry mEntry;
    upstream_health mHealth;
    load_estimate mLoad;
    instant mColdUntil{};
    bool mMisdirected = false; // until it registers anew
    double mSlowness = 1;      // its work against that of the route
    instant mMeasured{};
    recent_objects mRecent;
  };

  struct candidate
  {
    upstream* mUpstream = nullptr;
    bool mOutside = false; // of the instance's region
    duration mWait{};
    duration mTotal{}; // until the answer is there
    double mCost = 0;  // seconds; mTotal and what crossing costs others
    bool mAdmits = false;
  };

  // How far an upstream is, for an object's order of upstreams.
  enum class reach
  {
    Own,    // the region, or the domain where answers are costly to carry
    Region, // the rest of the region
    Beyond,
  };

  // An upstream and its place in an object's order, in its reach.
  struct ranked_upstream
  {
    upstream* mUpstream = nullptr;
    reach mReach = reach::Own;
    double mScore = 0;
    std::size_t mRank = 0;
  };

  region_id RegionOf(const domain_id& aDomain) const;
  region_spill& SpillOf(const service_id& aService);
  double FirstShare(const service_id& aService) const;
  bool IsCold(const upstream& aUpstream, instant aNow) const;
  bool IsOpen(const upstream& aUpstream,
              const steering_request& aRequest,
              bool aTrustHealth,
              instant aNow) const;
  double Slowness(const upstream& aUpstream, instant aNow) const;
  reach ReachOf(const upstream_entry& aEntry, bool aStaysInDomain) const;
  std::vector<ranked_upstream> FirstChoices(const steering_request& aRequest,
                                            bool aStaysInDomain,
                                            bool aTrustHealth,
                                            instant aNow);
  candidate Weigh(const ranked_upstream& aRanked,
                  const steering_request& aRequest,
                  const work_estimate& aWork,
                  instant aNow) const;
  std::vector<candidate> Candidates(const steering_request& aRequest,
                                    bool aTrustHealth,
                                    instant aNow);
  const candidate* Pick(const std::vector<candidate>& aCandidates,
                        const steering_request& aRequest,
                        instant aNow);
  steering_choice TurnAway(const std::vector<candidate>& aCandidates,
                           const steering_request& aRequest,
                           instant aNow);
  work_estimate& WorkOf(const route_spec& aRoute);
  void Learn(upstream& aUpstream,
             const steering_target& aTarget,
             const attempt_report& aReport,
             instant aNow);
  void DoubtWarmth(upstream& aUpstream, instant aNow);
  upstream* Find(const steering_target& aTarget);

  steering_options mOptions;
  upstream_directory mDirectory;
  cold_gate mColdGate;
  std::size_t mRegionSenders = 1; // instances of the region
  std::size_t mSenders = 1;       // of all regions
  std::shared_ptr<const route_table> mRoutes;
  std::map<upstream_id, upstream> mUpstreams;
  std::set<domain_id> mEvacuated;
  std::map<std::string, work_estimate> mWork; // by the route's name
  std::map<service_id, region_spill> mSpills;
  std::map<domain_id, duration> mTrips; // round trips
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
