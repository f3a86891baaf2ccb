// Region caps: division into quotas, lending, changes of the document, and a
// randomised run in which the views of the instances differ and the region's
// requests in flight must never exceed the cap.
#include "laburnumdyke/decision/region_load.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const region_id kRegion{ "leinster" };
const service_id kBooking{ "booking" };
const service_id kReport{ "report" };
constexpr std::chrono::milliseconds kShortRequestTime = 2s;
constexpr std::chrono::milliseconds kLongRequestTime = 10s;
constexpr instant kNow{ 1000s };

// A document with two failure domains, over which aBookings and aReports
// upstreams with 3 slots each are spread.
document
Document(std::uint32_t aCap, int aBookings, int aReports)
{
  document made;
  made.mRegions[kRegion].mCap = aCap;
  made.mServices[kBooking].mRank = work_rank::Urgent;
  made.mServices[kReport].mRank = work_rank::Bulk;
  made.mRanks.at(2).mFloorPercent = 50;
  for (int i = 0; i < aBookings + aReports; ++i) {
    domain_id domain{ i % 2 == 0 ? "a" : "b" };
    made.mDomains[domain].mRegion = kRegion;
    upstream_spec upstream;
    upstream.mService = i < aBookings ? kBooking : kReport;
    upstream.mDomain = domain;
    upstream.mSlots = 3;
    made.mUpstreams[{ "u" + std::to_string(i) }] = upstream;
  }
  return made;
}

std::uint32_t
Sum(const quota_map& aQuotas)
{
  std::uint32_t sum = 0;
  for (const quota_map::value_type& quota : aQuotas) {
    sum += quota.second;
  }
  return sum;
}

region_home
Home(const document& aDocument, const upstream_id& aUpstream)
{
  const service_id& service = aDocument.mUpstreams.at(aUpstream).mService;
  region_home home;
  home.mClaim.mUpstream = aUpstream;
  home.mService = service;
  home.mRank = aDocument.mServices.at(service).mRank;
  home.mHandoverReserve =
    service == kReport ? kLongRequestTime : kShortRequestTime;
  return home;
}

void
AddVersion(region_load& aLoad,
           std::uint64_t aVersion,
           const document& aDocument)
{
  aLoad.AddVersion(aVersion,
                   aDocument.mRegions.at(kRegion).mCap,
                   RegionQuotas(aDocument, kRegion),
                   { { "a" }, { "b" } },
                   aDocument.mRanks);
}

} // namespace

TEST_GROUP(RegionLoad){};

TEST(RegionLoad, QuotasSumToTheCap)
{
  struct row
  {
    std::uint32_t mCap;
    int mBookings;
    int mReports;
    std::uint32_t mSum;
  };
  for (const row& one : std::vector<row>{ { 0, 4, 4, 0 },
                                          { 1, 4, 4, 1 },
                                          { 4, 4, 4, 4 },
                                          { 17, 4, 4, 17 },
                                          { 24, 4, 4, 24 },
                                          { 99, 4, 4, 24 } }) {
    document document = Document(one.mCap, one.mBookings, one.mReports);
    quota_map quotas = RegionQuotas(document, kRegion);
    CHECK_EQUAL(one.mSum, Sum(quotas));
    std::map<std::pair<domain_id, service_id>, std::uint32_t> byDomain;
    for (const quota_map::value_type& quota : quotas) {
      const upstream_spec& upstream = document.mUpstreams.at(quota.first);
      CHECK(quota.second <= upstream.mSlots);
      byDomain[{ upstream.mDomain, upstream.mService }] += quota.second;
    }
    for (const std::pair<const std::pair<domain_id, service_id>, std::uint32_t>&
           each : byDomain) {
      CHECK(one.mCap < 4 || each.second > 0);
    }
  }
}

TEST(RegionLoad, LeavingUpstreamsHaveNoQuota)
{
  document document = Document(10, 4, 0);
  document.mUpstreams.at({ "u0" }).mState = upstream_state::Leaving;
  quota_map quotas = RegionQuotas(document, kRegion);
  CHECK_EQUAL(0u, quotas.count({ "u0" }));
  CHECK_EQUAL(9u, Sum(quotas));
}

TEST(RegionLoad, UrgentBorrowsFromBulkDownToItsFloor)
{
  document document = Document(12, 2, 2);
  region_load load;
  AddVersion(load, 1, document);
  load.SetHomes({ Home(document, { "u0" }), Home(document, { "u2" }) });
  int admitted = 0;
  while (load.Admit(kBooking, kNow + kShortRequestTime, kNow)) {
    ++admitted;
  }
  CHECK_EQUAL(4, admitted); // 3 of its own and 3 of bulk, less a floor of 2
  CHECK(load.Admit(kReport, kNow + kLongRequestTime, kNow).has_value());
  CHECK(load.Admit(kReport, kNow + kLongRequestTime, kNow).has_value());
  CHECK_FALSE(load.Admit(kReport, kNow + kLongRequestTime, kNow).has_value());
}

TEST(RegionLoad, LongWorkDoesNotBorrowFromShort)
{
  document document = Document(12, 2, 2);
  region_load load;
  AddVersion(load, 1, document);
  load.SetHomes({ Home(document, { "u0" }) });
  CHECK_FALSE(load.Admit(kReport, kNow + kLongRequestTime, kNow).has_value());
  CHECK(load.Admit(kReport, kNow + kShortRequestTime, kNow).has_value());
}

TEST(RegionLoad, UnitsOfAPreviousHomeAreReserved)
{
  document document = Document(6, 2, 0);
  region_load load;
  AddVersion(load, 1, document);
  region_home home = Home(document, { "u0" });
  home.mClaim.mHeldElsewhere = 2;
  home.mClaim.mHeldUntil = kNow + kShortRequestTime;
  load.SetHomes({ home });
  std::optional<quota_unit> unit =
    load.Admit(kBooking, kNow + kShortRequestTime, kNow);
  CHECK(unit.has_value());
  CHECK_FALSE(load.Admit(kBooking, kNow + kShortRequestTime, kNow).has_value());
  instant later = kNow + kShortRequestTime;
  CHECK(load.Admit(kBooking, later + kShortRequestTime, later).has_value());
  load.Release(*unit);
  CHECK_EQUAL(1u, load.InFlight());
}

TEST(RegionLoad, ALargerQuotaWaitsForEveryDomain)
{
  region_load load;
  AddVersion(load, 1, Document(4, 2, 0));
  AddVersion(load, 2, Document(6, 2, 0));
  CHECK_EQUAL(2u, load.Quota({ "u0" }));
  std::vector<version_report> reports = { { { "x" }, { "a" }, 2 } };
  load.ProcessReports(reports, kLongRequestTime, kNow);
  load.ProcessReports(reports, kLongRequestTime, kNow + kLongRequestTime);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // no report from domain b
  reports.push_back({ { "y" }, { "b" }, 1 });
  load.ProcessReports(reports, kLongRequestTime, kNow + kLongRequestTime);
  load.ProcessReports(reports, kLongRequestTime, kNow + 2 * kLongRequestTime);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // domain b is one version behind
  reports.back().mVersion = 2;
  load.ProcessReports(reports, kLongRequestTime, kNow + 2 * kLongRequestTime);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // earlier requests may still run
  load.ProcessReports(reports, kLongRequestTime, kNow + 3 * kLongRequestTime);
  CHECK_EQUAL(3u, load.Quota({ "u0" }));
  AddVersion(load, 3, Document(2, 2, 0));
  CHECK_EQUAL(1u, load.Quota({ "u0" })); // a smaller one applies at once
}

// When a drained upstream returns, or is replaced, under a cap that covers the
// quotas of all versions, the new quotas apply before the version is settled.
TEST(RegionLoad, ANewDivisionThatFitsUnderTheCapAppliesAtOnce)
{
  document both = Document(6, 2, 0);
  document drained = both;
  drained.mUpstreams.at({ "u0" }).mState = upstream_state::Leaving;
  region_load load;
  AddVersion(load, 1, drained);
  CHECK_EQUAL(0u, load.Quota({ "u0" }));
  AddVersion(load, 2, both);
  CHECK_EQUAL(2u, load.Versions());
  CHECK_EQUAL(3u, load.Quota({ "u0" }));
  CHECK_EQUAL(3u, load.Quota({ "u1" }));
  AddVersion(load, 3, Document(5, 2, 0)); // 6 units may be in use: least quota
  CHECK_EQUAL(0u, load.Quota({ "u0" }));
}

// Guards against a region over its cap when the views of instances differ.
// Homes move between instances without notice, instances are replaced while
// their requests are still in flight, versions arrive at different times, and
// reports are lost. The test counts the requests in flight itself. An instance
// is not replaced while a version spreads, since the new one would not know
// the versions that are not settled.
TEST(RegionLoad, TheSumNeverExceedsTheCapWhileViewsDisagree)
{
  struct running
  {
    std::size_t mInstance;
    quota_unit mUnit;
    instant mEnd;
    bool mIsOrphaned; // its instance was replaced
  };
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<document> documents;
    for (int i = 0; i < 6; ++i) {
      // For every third seed a cap that most divisions fit under.
      std::uint32_t least = seed % 3 == 0 ? 24 : 8;
      document next =
        Document(static_cast<std::uint32_t>(least + random() % 14), 4, 4);
      // A new division of the same cap is the hardest change.
      for (upstream_map::value_type& upstream : next.mUpstreams) {
        upstream.second.mSlots = 1 + random() % 5;
      }
      documents.push_back(next);
    }
    constexpr std::size_t kInstances = 5;
    std::vector<region_load> loads(kInstances);
    std::vector<std::uint64_t> versions(kInstances, 1);
    for (region_load& load : loads) {
      AddVersion(load, 1, documents.at(0));
    }
    std::map<upstream_id, std::size_t> holders;
    std::map<upstream_id, region_home> claims;
    std::vector<running> inFlight;
    // Caps of the last kLongRequestTime that are greater than all later ones,
    // so that the first is the greatest.
    std::deque<std::pair<instant, std::uint32_t>> caps;
    std::map<std::size_t, std::uint64_t> heard;
    instant now = kNow;
    std::uint64_t newest = 1;
    int admitted = 0;
    int replaced = 0;
    for (const upstream_map::value_type& upstream :
         documents.at(0).mUpstreams) {
      holders[upstream.first] = random() % kInstances;
      claims[upstream.first] = Home(documents.at(0), upstream.first);
    }
    for (int step = 0; step < 20000; ++step) {
      now += std::chrono::milliseconds(random() % 20);
      std::erase_if(inFlight, [&](const running& aOne) {
        if (aOne.mEnd > now) {
          return false;
        }
        if (!aOne.mIsOrphaned) {
          loads.at(aOne.mInstance).Release(aOne.mUnit);
        }
        return true;
      });
      std::size_t at = random() % kInstances;
      std::uint64_t what = random() % 10000;
      if (what < 30) { // a home moves; the previous home's requests continue
        auto claim = claims.begin();
        std::advance(claim,
                     static_cast<std::ptrdiff_t>(random() % claims.size()));
        holders[claim->first] = at;
        claim->second.mClaim.mHeldElsewhere = 1000;
        claim->second.mClaim.mHeldUntil = now + claim->second.mHandoverReserve;
      } else if (what < 33) {
        bool isSpread =
          std::all_of(loads.begin(), loads.end(), [&](const region_load& aOne) {
            return aOne.Versions() == 1 && versions.at(at) == newest;
          });
        if (isSpread) {
          ++replaced;
          loads.at(at) = region_load();
          AddVersion(loads.at(at), newest, documents.at(newest - 1));
          for (running& one : inFlight) {
            one.mIsOrphaned = one.mIsOrphaned || one.mInstance == at;
          }
          for (const std::pair<const upstream_id, std::size_t>& holder :
               holders) {
            region_home& claim = claims.at(holder.first);
            if (holder.second == at) {
              claim.mClaim.mHeldElsewhere = 1000;
              claim.mClaim.mHeldUntil = now + claim.mHandoverReserve;
            }
          }
        }
      } else if (what < 38 && newest < documents.size()) {
        ++newest;
      } else if (what < 400 && versions.at(at) < newest) {
        // May skip versions.
        versions.at(at) += 1 + random() % (newest - versions.at(at));
        AddVersion(
          loads.at(at), versions.at(at), documents.at(versions.at(at) - 1));
      } else if (what < 2000) { // reports of some instances arrive
        std::vector<version_report> reports;
        for (std::size_t i = 0; i < kInstances; ++i) {
          if (random() % 8 != 0) {
            heard[i] = versions.at(i);
          }
          reports.push_back({ { "i" + std::to_string(i) },
                              { i % 2 == 0 ? "a" : "b" },
                              i == at ? versions.at(i) : heard[i] });
        }
        loads.at(at).ProcessReports(reports, kLongRequestTime, now);
      }
      for (std::size_t i = 0; i < kInstances; ++i) {
        std::vector<region_home> homes;
        for (const std::pair<const upstream_id, std::size_t>& holder :
             holders) {
          if (holder.second == i) {
            homes.push_back(claims.at(holder.first));
          }
        }
        loads.at(i).SetHomes(homes);
      }
      for (int i = 0; i < 2; ++i) { // more demand than there are units
        bool isReport = random() % 2 == 0;
        std::chrono::milliseconds maxTime =
          isReport ? kLongRequestTime : kShortRequestTime;
        std::optional<quota_unit> unit =
          loads.at(at).Admit(isReport ? kReport : kBooking, now + maxTime, now);
        if (unit) {
          ++admitted;
          std::chrono::milliseconds run(random() %
                                        static_cast<unsigned>(maxTime.count()));
          inFlight.push_back({ at, *unit, now + run, false });
        }
      }
      std::uint32_t cap = 0;
      for (std::uint64_t version : versions) {
        cap =
          std::max(cap, documents.at(version - 1).mRegions.at(kRegion).mCap);
      }
      while (!caps.empty() && caps.back().second <= cap) {
        caps.pop_back();
      }
      caps.emplace_back(now, cap);
      while (caps.front().first < now - kLongRequestTime) {
        caps.pop_front();
      }
      // Requests admitted under an earlier cap may still run.
      CHECK(inFlight.size() <= caps.front().second);
    }
    CHECK(admitted > 300); // the run was not idle
    CHECK(replaced > 0);
  }
}
