// The users' deployments and the scenarios, as tables.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace laburnumdyke::bench {

// One kind of work; its service has the rank's own upstreams.
struct service_load
{
  service_id mService;
  work_rank mRank = work_rank::Urgent;
  std::uint32_t mUpstreams = 0;
  std::uint32_t mSlots = 0; // of each upstream
  std::uint32_t mConnections = 0;
  duration mWork{};     // mean
  duration mDeadline{}; // mean
  bool mIdempotent = true;

  // Requests a second that all upstreams together can serve.
  double Capacity() const;
};

struct deployment
{
  std::string mName;
  std::vector<std::string> mRegions;
  std::uint32_t mDomainsPerRegion = 2;
  std::uint32_t mEntriesPerDomain = 3;
  duration mDomainDelay{}; // one way, between failure domains of a region
  duration mRegionDelay{}; // one way
  duration mClientDelay{}; // one way
  std::array<service_load, kRankCount> mLoads;

  std::vector<domain_id> Domains() const;
  region_id RegionOf(const domain_id& aDomain) const;
  duration Delay(const domain_id& aFrom, const domain_id& aTo) const;
  document Document() const;
};

deployment
Brackwater();
deployment
Kamishiro();

// A customer of all services.
struct bench_customer
{
  double mShare = 0; // of all requests, as usual
  double mHot = 1;   // times its usual rate while requests are measured
};

struct scenario
{
  std::string mName;
  double mLoad = 0.7;                               // of capacity
  std::array<double, kRankCount> mFlood{ 1, 1, 1 }; // times the load
  bool mOnePool = false;    // all ranks ask for the urgent service
  bool mHalfCold = false;   // half the upstreams come back cold
  duration mReportLag{};    // of load reports
  bool mReports = true;     // whether load reports arrive
  bool mFreeze = false;     // an entry instance stops for kFreeze
  bool mRegionDead = false; // the last region, for good
  bool mRegionCut = false;  // the last region from the others, for kCut
  std::vector<bench_customer> mCustomers{}; // shares sum up to 1; empty: none
  bool mQuotas = false; // customers have a quota above their usual rate

  bool HasFault() const
  {
    return mHalfCold || mReportLag > duration::zero() || !mReports || mFreeze ||
           mRegionDead || mRegionCut;
  }
};

// Times from the start of a run. Instances listen first, and a slot counts as
// held until the longest deadline after that, 45 s, has passed.
inline constexpr std::chrono::seconds kMeasureFrom{ 50 };
inline constexpr std::chrono::seconds kFreeze{ 5 };
inline constexpr std::chrono::seconds kWarmUp{ 10 };
inline constexpr std::chrono::seconds kCut{ 20 };
// Callers use a look-up answer, and the baseline a list of live upstreams, for
// so long.
inline constexpr std::chrono::seconds kLookupTtl{ 5 };
// Deadlines are spread evenly about their mean.
inline constexpr double kShortestDeadline = 0.5;
inline constexpr double kLongestDeadline = 1.5;
inline constexpr double kColdFactor = 4; // of the work at the start

std::vector<scenario>
Scenarios();

} // namespace laburnumdyke::bench
