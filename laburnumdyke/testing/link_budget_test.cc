// Tests link budgets: division among failure domains, lending, ranks, and a
// randomised run of several instances whose sum must never exceed the link.
#include "laburnumdyke/decision/link_budget.h"
#include "laburnumdyke/decision/link_lender.h"
#include "laburnumdyke/kernel/settings.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const region_id kHere{ "leinster" };
const region_id kThere{ "munster" };
const link_direction kDirection{ kHere, kThere };
constexpr instant kNow{ 1000s };
constexpr byte_rate kLink = 37500000; // 300 Mbit/s
constexpr std::uint64_t kChunk = 16384;

document
Document(std::size_t aDomains)
{
  document made;
  made.mRegions[kHere].mCap = 10;
  made.mRegions[kThere].mCap = 10;
  made.mRegions[{ "connacht" }].mCap = 10;
  for (std::size_t i = 0; i < aDomains; ++i) {
    made.mDomains[{ "d" + std::to_string(i) }].mRegion = kHere;
  }
  made.mDomains[{ "other" }].mRegion = kThere;
  made.mLinks["one"] = { kHere, kThere, 300 };
  made.mRanks.at(0).mFloorPercent = 50;
  made.mRanks.at(1).mFloorPercent = 20;
  made.mRanks.at(2).mFloorPercent = 10;
  return made;
}

using buckets = rank_buckets<>;

buckets
Buckets(byte_rate aRate)
{
  buckets made;
  made.SetRate(0, kNow);
  made.SetRate(aRate, kNow);
  made.Configure(Document(1).mRanks, kNow);
  return made;
}

// Returns the bytes granted to each rank in aTime if it requests aWanted chunks
// per millisecond.
std::array<std::uint64_t, kRankCount>
Run(buckets& aBuckets,
    const std::array<int, kRankCount>& aWanted,
    std::chrono::milliseconds aTime)
{
  std::array<std::uint64_t, kRankCount> got{};
  for (std::chrono::milliseconds at = 0ms; at < aTime; at += 1ms) {
    // The least urgent rank requests first: the order of requests must not
    // matter.
    for (std::size_t rank = kRankCount; rank-- > 0;) {
      for (int i = 0; i < aWanted.at(rank); ++i) {
        got.at(rank) +=
          aBuckets.Take(static_cast<work_rank>(rank), kChunk, kNow + at)
            .mGranted;
      }
    }
  }
  return got;
}

} // namespace

TEST_GROUP(LinkBudget){};

TEST(LinkBudget, DomainsDivideTheLink)
{
  CHECK_EQUAL(kLink, *DomainRate(Document(1), kDirection));
  CHECK_EQUAL(kLink / 3, *DomainRate(Document(3), kDirection));
  CHECK_EQUAL(kLink, *DomainRate(Document(3), { kThere, kHere }));
  CHECK_EQUAL(0u, *DomainRate(Document(3), { kHere, { "connacht" } }));
  document unlimited = Document(1);
  unlimited.mLinks.clear();
  CHECK_FALSE(DomainRate(unlimited, kDirection).has_value());
}

TEST(LinkBudget, WithoutLinksEverythingIsGranted)
{
  document unlimited = Document(1);
  unlimited.mLinks.clear();
  link_budget budget;
  budget.Configure(unlimited, kHere, kNow);
  CHECK_EQUAL(
    kLink * 10,
    budget.Take(kDirection, work_rank::Bulk, kLink * 10, kNow).mGranted);
}

TEST(LinkBudget, RegionsWithoutALinkGetNothing)
{
  link_budget budget;
  budget.Configure(Document(1), kHere, kNow);
  link_take_result answer = budget.Take(
    { kHere, { "connacht" } }, work_rank::Urgent, kChunk, kNow + 1s);
  CHECK_EQUAL(0u, answer.mGranted);
  CHECK(answer.mRetryAfter > 0ms);
}

TEST(LinkBudget, RanksShareTheRateByDemand)
{
  struct row
  {
    std::array<int, kRankCount> mWanted; // chunks per millisecond
    std::array<int, kRankCount> mMin;    // percent of the rate
    std::array<int, kRankCount> mMax;
  };
  for (const row& one : std::vector<row>{
         // A rank without competition gets the whole rate.
         { { 9, 0, 0 }, { 98, 0, 0 }, { 100, 0, 0 } },
         { { 0, 0, 9 }, { 0, 0, 98 }, { 0, 0, 100 } },
         // Unlimited urgent demand leaves the other ranks their floors.
         { { 9, 9, 9 }, { 68, 19, 9 }, { 71, 21, 11 } },
         // What urgent does not use goes to the next rank.
         { { 0, 9, 9 }, { 0, 88, 9 }, { 0, 91, 11 } },
       }) {
    buckets made = Buckets(kLink);
    std::array<std::uint64_t, kRankCount> got = Run(made, one.mWanted, 2s);
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      CHECK(got.at(rank) >= kLink * 2 * one.mMin.at(rank) / 100);
      CHECK(got.at(rank) <= kLink * 2 * one.mMax.at(rank) / 100);
    }
  }
}

TEST(LinkBudget, RetryAfterReturnedDelaySucceeds)
{
  buckets made = Buckets(kLink / 100);
  instant now = kNow;
  link_take_result answer = made.Take(work_rank::Bulk, kChunk, now);
  CHECK_EQUAL(0u, answer.mGranted);
  now += answer.mRetryAfter;
  CHECK(made.Take(work_rank::Bulk, kChunk, now).mGranted > 0);
}

TEST(LinkBudget, LenderDividesByDemand)
{
  rate_lender lender;
  lender.Open(1000, kNow);
  CHECK_EQUAL(800u, lender.Lendable());
  CHECK_EQUAL(500u, lender.Lend({ "x" }, 500, kNow).mRate);
  CHECK_EQUAL(300u, lender.Lend({ "y" }, 900, kNow).mRate); // the remainder
  // x is reduced to the even share. y gets its even share only when x's earlier
  // grant has expired.
  CHECK_EQUAL(400u, lender.Lend({ "x" }, 500, kNow + 500ms).mRate);
  CHECK_EQUAL(300u, lender.Lend({ "y" }, 900, kNow + 600ms).mRate);
  CHECK_EQUAL(400u, lender.Lend({ "x" }, 500, kNow + 1900ms).mRate);
  CHECK_EQUAL(400u, lender.Lend({ "y" }, 900, kNow + 2100ms).mRate);
  CHECK_EQUAL(800u, lender.Lent(kNow + 2100ms));
  CHECK_EQUAL(0u, lender.Lent(kNow + 5s));
}

TEST(LinkBudget, ANewLenderWaitsForEarlierGrants)
{
  rate_lender lender;
  lender.Open(1000, kNow + kGrantLifetime);
  CHECK_EQUAL(0u, lender.Lend({ "x" }, 500, kNow).mRate);
  CHECK_EQUAL(500u, lender.Lend({ "x" }, 500, kNow + kGrantLifetime).mRate);
}

TEST(LinkBudget, AGrantEndsOnTheHoldersClock)
{
  link_budget budget;
  budget.Configure(Document(1), kHere, kNow);
  byte_rate reserve = ReserveRate(kLink);
  CHECK_EQUAL(reserve, budget.Rate(kDirection, kNow));
  budget.ApplyGrant(kDirection, { 5000000, 1900ms }, kNow, kNow + 1s);
  CHECK_EQUAL(reserve + 5000000, budget.Rate(kDirection, kNow + 1s));
  CHECK_EQUAL(reserve, budget.Rate(kDirection, kNow + 1900ms));
  // A response that arrives after the grant expired, and one that arrives after
  // the response to a later request.
  budget.ApplyGrant(kDirection, { 7000000, 1900ms }, kNow + 2s, kNow + 4s);
  CHECK_EQUAL(reserve, budget.Rate(kDirection, kNow + 4s));
  budget.ApplyGrant(kDirection, { 1000000, 1900ms }, kNow + 5s, kNow + 5s);
  budget.ApplyGrant(kDirection, { 7000000, 1900ms }, kNow + 4500ms, kNow + 5s);
  CHECK_EQUAL(reserve + 1000000, budget.Rate(kDirection, kNow + 5s));
}

TEST(LinkBudget, ALapsedGrantLeavesNoTokens)
{
  link_budget budget;
  budget.Configure(Document(1), kHere, kNow);
  budget.ApplyGrant(kDirection, { 30000000, 1900ms }, kNow, kNow);
  // No call in between, as in a process that was suspended.
  std::uint64_t granted =
    budget.Take(kDirection, work_rank::Urgent, kLink, kNow + 10s).mGranted;
  CHECK(granted <= 2 * ReserveRate(kLink) * buckets::kDepth / 1s);
}

TEST(LinkBudget, RelayIsRefusedIfItCannotFinishByItsDeadline)
{
  link_budget budget;
  document document = Document(1);
  budget.Configure(document, kHere, kNow);
  auto canCarry = [&](work_rank aRank, std::uint64_t aBytes, instant aNow) {
    return budget.CanCarry(kDirection, aRank, aBytes, aNow + 2s, aNow);
  };
  // The direction has just become active; the lender has not responded yet.
  CHECK(canCarry(work_rank::Bulk, 2 * kLink, kNow));
  CHECK_FALSE(canCarry(work_rank::Bulk, 2 * kLink + 1, kNow));
  // Refused bytes count as demand.
  CHECK(budget.Ask(kDirection, kNow + 500ms).mDemand > kLink);
  // The lender has not responded in time.
  byte_rate reserve = ReserveRate(kLink);
  instant later = kNow + 2 * kRateRequestPeriod;
  CHECK(canCarry(work_rank::Bulk, 2 * reserve, later));
  CHECK_FALSE(canCarry(work_rank::Bulk, 2 * reserve + 1, later));
  budget.ApplyGrant(kDirection, { 9 * reserve, 1900ms }, later, later);
  CHECK(canCarry(work_rank::Bulk, 20 * reserve, later));
  // While urgent work is short of tokens, the other ranks have only their
  // floors. The floors are 50, 20 and 10 percent.
  budget.Take(kDirection, work_rank::Urgent, kLink, later);
  CHECK(canCarry(work_rank::Urgent, 20 * reserve, later));
  CHECK_FALSE(canCarry(work_rank::Bulk, 20 * reserve, later));
  CHECK(canCarry(work_rank::Bulk, 2 * reserve, later));
  CHECK_FALSE(canCarry(work_rank::Bulk, 2 * reserve + 1, later));
}

TEST(LinkBudget, OnlyLinkedRegionsAreReached)
{
  document document = Document(1);
  link_budget budget;
  budget.Configure(document, kHere, kNow);
  link_direction unlinked{ kHere, { "connacht" } };
  CHECK_FALSE(budget.CanCarry(unlinked, work_rank::Urgent, 0, kNow + 2s, kNow));
  CHECK(budget.CanCarry({ kHere, kHere }, work_rank::Bulk, 9, kNow, kNow));
  document.mLinks.clear();
  budget.Configure(document, kHere, kNow);
  CHECK(budget.CanCarry(unlinked, work_rank::Bulk, kLink, kNow, kNow));
}

TEST(LinkBudget, LinkClaimNamesAreValidNames)
{
  std::vector<upstream_id> names = LinkClaimNames(Document(1), kHere);
  CHECK_EQUAL(1u, names.size());
  CHECK(names.front() == LinkClaimName(kDirection));
  CHECK(names.front() != LinkClaimName({ kThere, kHere }));
  region_id longest{ "a" + std::string(47, 'b') };
  CHECK(IsName(LinkClaimName({ longest, longest }).mValue));
}

TEST(LinkBudget, OnlyTheClaimHolderLends)
{
  document document = Document(1);
  link_lenders lenders;
  home_claim claim;
  claim.mUpstream = LinkClaimName(kDirection);
  lenders.SetHomes(document, kHere, {}, kNow);
  CHECK_FALSE(lenders.Lend(kDirection, { "x" }, 9, kNow).has_value());
  lenders.SetHomes(document, kHere, { claim }, kNow);
  CHECK_EQUAL(0u, lenders.Lend(kDirection, { "x" }, 9, kNow)->mRate);
  instant later = kNow + kGrantLifetime;
  lenders.SetHomes(document, kHere, { claim }, later);
  CHECK_EQUAL(9u, lenders.Lend(kDirection, { "x" }, 9, later)->mRate);
  document.mLinks["one"].mMegabitsPerSecond = 100; // reopens the lender
  lenders.SetHomes(document, kHere, { claim }, later);
  CHECK_EQUAL(0u, lenders.Lend(kDirection, { "x" }, 9, later)->mRate);
}

// Several instances send over a link while responses of the lender are lost or
// late, instances are suspended, and the lender is replaced. The reference
// model sums the rates at each step and the bytes sent in each second.
TEST(LinkBudget, TheSumNeverExceedsTheLink)
{
  struct answer
  {
    std::size_t mInstance;
    rate_grant mGrant;
    instant mRequestedAt;
    instant mArrives;
  };
  constexpr std::size_t kInstances = 6;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    document document = Document(1);
    std::vector<link_budget> budgets(kInstances);
    for (link_budget& budget : budgets) {
      budget.Configure(document, kHere, kNow);
    }
    std::vector<instant> frozenUntil(kInstances, kNow);
    std::vector<instant> nextRequest(kInstances, kNow);
    std::vector<int> wanted(kInstances, 1);
    rate_lender lender;
    lender.Open(kLink, kNow);
    std::vector<answer> answers;
    std::deque<std::pair<instant, std::uint64_t>> sent;
    std::uint64_t inWindow = 0;
    std::uint64_t total = 0;
    instant now = kNow;
    for (int step = 0; step < 20000; ++step) {
      now += std::chrono::microseconds(random() % 4000);
      if (random() % 4000 == 0) { // the new lender knows no earlier grant
        lender = rate_lender();
        lender.Open(kLink, now + kGrantLifetime);
      }
      std::size_t at = random() % kInstances;
      if (random() % 500 == 0) {
        frozenUntil.at(at) = now + std::chrono::milliseconds(random() % 6000);
      }
      if (random() % 100 == 0) {
        wanted.at(at) = static_cast<int>(random() % 30);
      }
      for (const answer& one : answers) {
        if (one.mArrives <= now && frozenUntil.at(one.mInstance) <= now) {
          budgets.at(one.mInstance)
            .ApplyGrant(kDirection, one.mGrant, one.mRequestedAt, now);
        }
      }
      std::erase_if(answers, [&](const answer& aOne) {
        return aOne.mArrives <= now && frozenUntil.at(aOne.mInstance) <= now;
      });
      if (frozenUntil.at(at) > now) {
        continue;
      }
      if (nextRequest.at(at) <= now) {
        nextRequest.at(at) = now + kRateRequestPeriod;
        byte_rate demand = budgets.at(at).Ask(kDirection, now).mDemand;
        // The arrival time covers the delays of both request and response.
        rate_grant grant =
          lender.Lend({ "i" + std::to_string(at) }, demand, now);
        bool isLost = random() % 5 == 0;
        if (!isLost) {
          answers.push_back(
            { at,
              grant,
              now,
              now + std::chrono::milliseconds(random() % 800) });
        }
      }
      for (int i = 0; i < wanted.at(at); ++i) {
        std::uint64_t granted =
          budgets.at(at)
            .Take(kDirection, static_cast<work_rank>(random() % 3), kChunk, now)
            .mGranted;
        sent.emplace_back(now, granted);
        inWindow += granted;
        total += granted;
      }
      byte_rate rates = 0;
      for (const link_budget& budget : budgets) {
        rates += budget.Rate(kDirection, now);
      }
      CHECK(rates <= kLink);
      while (!sent.empty() && sent.front().first <= now - 1s) {
        inWindow -= sent.front().second;
        sent.pop_front();
      }
      // The rate of one second plus the capacity of the buckets: the shared
      // bucket can hold as much as all floor buckets together.
      CHECK(inWindow <= kLink + 2 * kLink * buckets::kDepth / 1s);
    }
    CHECK(total > kLink * 5); // the run was not idle
  }
}

// One of four instances sends. With an even split it would get a quarter of the
// domain's rate; with lending it must get more than 70 percent. The benchmark
// prints the utilisation under each method of division.
TEST(LinkBudget, AnInstanceAloneGetsWhatIdleOnesDoNotUse)
{
  link_budget busy;
  busy.Configure(Document(1), kHere, kNow);
  rate_lender lender;
  lender.Open(kLink, kNow);
  std::uint64_t sent = 0;
  for (std::chrono::milliseconds at = 0ms; at < 20s; at += 1ms) {
    instant now = kNow + at;
    if (at % kRateRequestPeriod == 0ms) {
      byte_rate demand = busy.Ask(kDirection, now).mDemand;
      busy.ApplyGrant(
        kDirection, lender.Lend({ "busy" }, demand, now), now, now);
      for (const char* idle : { "x", "y", "z" }) {
        lender.Lend({ idle }, 0, now);
      }
    }
    for (int i = 0; i < 4; ++i) {
      sent += busy.Take(kDirection, work_rank::Bulk, kChunk, now).mGranted;
    }
  }
  CHECK(sent > kLink * 20 * 70 / 100);
}
