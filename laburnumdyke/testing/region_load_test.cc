// Region caps: how a cap is divided, borrowing, changes of the document, and a
// randomised run with disagreeing instances in which the region's requests in
// flight never exceed the cap.
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
constexpr std::chrono::milliseconds kShortHold = 2s;
constexpr std::chrono::milliseconds kLongHold = 10s;
constexpr instant kNow{ 1000s };

// Two domains; aBookings and aReports upstreams of 3 slots, spread over them.
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
  home.mHold = service == kReport ? kLongHold : kShortHold;
  return home;
}

void
Adopt(region_load& aLoad, std::uint64_t aVersion, const document& aDocument)
{
  aLoad.Adopt(aVersion,
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
  Adopt(load, 1, document);
  load.SetHomes({ Home(document, { "u0" }), Home(document, { "u2" }) });
  int admitted = 0;
  while (load.Admit(kBooking, kNow + kShortHold, kNow)) {
    ++admitted;
  }
  CHECK_EQUAL(4, admitted); // 3 of its own, 3 of bulk less a floor of 2
  CHECK(load.Admit(kReport, kNow + kLongHold, kNow).has_value());
  CHECK(load.Admit(kReport, kNow + kLongHold, kNow).has_value());
  CHECK_FALSE(load.Admit(kReport, kNow + kLongHold, kNow).has_value());
}

TEST(RegionLoad, LongWorkDoesNotBorrowFromShort)
{
  document document = Document(12, 2, 2);
  region_load load;
  Adopt(load, 1, document);
  load.SetHomes({ Home(document, { "u0" }) });
  CHECK_FALSE(load.Admit(kReport, kNow + kLongHold, kNow).has_value());
  CHECK(load.Admit(kReport, kNow + kShortHold, kNow).has_value());
}

TEST(RegionLoad, UnitsOfAnEarlierHomeAreHeldBack)
{
  document document = Document(6, 2, 0);
  region_load load;
  Adopt(load, 1, document);
  region_home home = Home(document, { "u0" });
  home.mClaim.mHeldElsewhere = 2;
  home.mClaim.mHeldUntil = kNow + kShortHold;
  load.SetHomes({ home });
  std::optional<region_unit> unit =
    load.Admit(kBooking, kNow + kShortHold, kNow);
  CHECK(unit.has_value());
  CHECK_FALSE(load.Admit(kBooking, kNow + kShortHold, kNow).has_value());
  instant later = kNow + kShortHold;
  CHECK(load.Admit(kBooking, later + kShortHold, later).has_value());
  load.Release(*unit);
  CHECK_EQUAL(1u, load.InFlight());
}

TEST(RegionLoad, ALargerQuotaWaitsForEveryDomain)
{
  region_load load;
  Adopt(load, 1, Document(4, 2, 0));
  Adopt(load, 2, Document(6, 2, 0));
  CHECK_EQUAL(2u, load.Quota({ "u0" }));
  std::vector<version_report> reports = { { { "x" }, { "a" }, 2 } };
  load.Settle(reports, kLongHold, kNow);
  load.Settle(reports, kLongHold, kNow + kLongHold);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // nothing heard of domain b
  reports.push_back({ { "y" }, { "b" }, 1 });
  load.Settle(reports, kLongHold, kNow + kLongHold);
  load.Settle(reports, kLongHold, kNow + 2 * kLongHold);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // domain b is a version behind
  reports.back().mVersion = 2;
  load.Settle(reports, kLongHold, kNow + 2 * kLongHold);
  CHECK_EQUAL(2u, load.Quota({ "u0" })); // earlier requests may still run
  load.Settle(reports, kLongHold, kNow + 3 * kLongHold);
  CHECK_EQUAL(3u, load.Quota({ "u0" }));
  Adopt(load, 3, Document(2, 2, 0));
  CHECK_EQUAL(1u, load.Quota({ "u0" })); // a smaller one holds at once
}

// A drained upstream that returns, and one that is replaced, under a cap that
// covers both versions.
TEST(RegionLoad, ANewDivisionThatFitsUnderTheCapHoldsAtOnce)
{
  document both = Document(6, 2, 0);
  document drained = both;
  drained.mUpstreams.at({ "u0" }).mState = upstream_state::Leaving;
  region_load load;
  Adopt(load, 1, drained);
  CHECK_EQUAL(0u, load.Quota({ "u0" }));
  Adopt(load, 2, both);
  CHECK_EQUAL(2u, load.Versions());
  CHECK_EQUAL(3u, load.Quota({ "u0" }));
  CHECK_EQUAL(3u, load.Quota({ "u1" }));
  Adopt(load, 3, Document(5, 2, 0)); // six may be in use: the least counts
  CHECK_EQUAL(0u, load.Quota({ "u0" }));
}

// Instances take homes from one another without hearing of it, some are
// replaced while their requests run on, versions arrive at each at its own time
// and reports are lost. The oracle counts the requests that run. An instance
// is not replaced while a version spreads: region_load.h says why.
TEST(RegionLoad, TheSumNeverExceedsTheCapWhileViewsDisagree)
{
  struct running
  {
    std::size_t mInstance;
    region_unit mUnit;
    instant mEnd;
    bool mForgotten; // by an instance that was replaced
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
      Adopt(load, 1, documents.at(0));
    }
    std::map<upstream_id, std::size_t> holders;
    std::map<upstream_id, region_home> claims;
    std::vector<running> work;
    // Of the last kLongHold, those that no later one reaches: the first is
    // the greatest.
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
      std::erase_if(work, [&](const running& aOne) {
        if (aOne.mEnd > now) {
          return false;
        }
        if (!aOne.mForgotten) {
          loads.at(aOne.mInstance).Release(aOne.mUnit);
        }
        return true;
      });
      std::size_t at = random() % kInstances;
      std::uint64_t what = random() % 10000;
      if (what < 30) { // a home moves; the earlier home's requests run on
        auto claim = claims.begin();
        std::advance(claim,
                     static_cast<std::ptrdiff_t>(random() % claims.size()));
        holders[claim->first] = at;
        claim->second.mClaim.mHeldElsewhere = 1000;
        claim->second.mClaim.mHeldUntil = now + claim->second.mHold;
      } else if (what < 33) {
        bool isSpread =
          std::all_of(loads.begin(), loads.end(), [&](const region_load& aOne) {
            return aOne.Versions() == 1 && versions.at(at) == newest;
          });
        if (isSpread) {
          ++replaced;
          loads.at(at) = region_load();
          Adopt(loads.at(at), newest, documents.at(newest - 1));
          for (running& one : work) {
            one.mForgotten = one.mForgotten || one.mInstance == at;
          }
          for (const std::pair<const upstream_id, std::size_t>& holder :
               holders) {
            region_home& claim = claims.at(holder.first);
            if (holder.second == at) {
              claim.mClaim.mHeldElsewhere = 1000;
              claim.mClaim.mHeldUntil = now + claim.mHold;
            }
          }
        }
      } else if (what < 38 && newest < documents.size()) {
        ++newest;
      } else if (what < 400 && versions.at(at) < newest) {
        // May skip versions.
        versions.at(at) += 1 + random() % (newest - versions.at(at));
        Adopt(loads.at(at), versions.at(at), documents.at(versions.at(at) - 1));
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
        loads.at(at).Settle(reports, kLongHold, now);
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
        std::chrono::milliseconds life = isReport ? kLongHold : kShortHold;
        std::optional<region_unit> unit =
          loads.at(at).Admit(isReport ? kReport : kBooking, now + life, now);
        if (unit) {
          ++admitted;
          std::chrono::milliseconds run(random() %
                                        static_cast<unsigned>(life.count()));
          work.push_back({ at, *unit, now + run, false });
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
      while (caps.front().first < now - kLongHold) {
        caps.pop_front();
      }
      // Requests admitted under an earlier cap may still run.
      CHECK(work.size() <= caps.front().second);
    }
    CHECK(admitted > 300); // the run was not idle
    CHECK(replaced > 0);
  }
}
