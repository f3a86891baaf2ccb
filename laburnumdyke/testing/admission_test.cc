// Admission: slots, health, ranks and the queue, and a randomised run that is
// compared with the test's own count.
#include "laburnumdyke/decision/admission.h"

#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;
const service_id kService{ "job-sheet" };

std::string
UpstreamName(int aIndex)
{
  return "u" + std::to_string(aIndex);
}

document
MakeDocument(int aUpstreams, std::uint32_t aSlots)
{
  document made;
  made.mServices[kService] = { work_rank::Urgent, true, 20s, 2s, 10s };
  for (int i = 0; i < aUpstreams; ++i) {
    upstream_spec spec;
    spec.mService = kService;
    spec.mSlots = aSlots;
    made.mUpstreams[{ UpstreamName(i) }] = spec;
  }
  made.mRanks = { rank_spec{ 50, 64 }, { 30, 64 }, { 10, 16 } };
  return made;
}

std::vector<home_claim>
ClaimAll(const document& aDocument)
{
  std::vector<home_claim> claims;
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       aDocument.mUpstreams) {
    claims.push_back({ entry.first, 0, {} });
  }
  return claims;
}

// An admission table with request numbers and a clock set by the test.
struct fixture
{
  explicit fixture(document aDocument)
    : mDocument(std::move(aDocument))
  {
    Configure();
  }

  admission_changes Configure()
  {
    return mAdmission.Configure(mDocument, ClaimAll(mDocument), mNow);
  }

  admission_answer RequestSlot(work_rank aRank = work_rank::Standard,
                               duration aAllowed = 2s)
  {
    admission_request request{ ++mNumber, kService, aRank, mNow + aAllowed };
    return mAdmission.RequestSlot(request, mNow);
  }

  // Runs one request, which must be granted at once and holds its slot for
  // aHeld. Returns its upstream.
  upstream_id Run(attempt_result aResult, duration aHeld = 10ms)
  {
    admission_answer answer = RequestSlot();
    CHECK(answer.mStep == admission_step::Granted);
    mNow += aHeld;
    mAdmission.Release(answer.mGrant.mNumber, aResult, mNow);
    return answer.mGrant.mUpstream;
  }

  // Sends requests until one is not granted. Returns how many were granted.
  int Fill(work_rank aRank)
  {
    int granted = 0;
    while (RequestSlot(aRank).mStep == admission_step::Granted) {
      ++granted;
    }
    mAdmission.Withdraw(mNumber);
    return granted;
  }

  document mDocument;
  admission mAdmission;
  instant mNow = kStart;
  request_number mNumber = 0;
};

void
CheckReason(refusal_reason aExpected, const admission_answer& aAnswer)
{
  CHECK(aAnswer.mStep == admission_step::Refused);
  STRCMP_EQUAL(std::string(ToString(aExpected)).c_str(),
               std::string(ToString(aAnswer.mReason)).c_str());
  CHECK(aAnswer.mRetryAfter > 0ms);
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, SlotsHeldByAPreviousHomeCountUntilTheyEnd)
{
  document made = MakeDocument(1, 3);
  fixture one(made);
  one.mAdmission.Configure(
    made, { { { UpstreamName(0) }, 2, kStart + 5s } }, kStart);
  LONGS_EQUAL(1, one.Fill(work_rank::Urgent));
  one.mNow += 5s;
  LONGS_EQUAL(2, one.Fill(work_rank::Urgent));
  LONGS_EQUAL(0U, one.mAdmission.Credits(one.mNow).at(0).mFree);
}

// Rows: slots of each upstream that a previous home's requests may still
// occupy.
TEST(Admission, CreditsSkipUpstreamsWhollyHeldByAPreviousHome)
{
  struct held_row
  {
    std::uint32_t mFirst = 0;
    std::uint32_t mSecond = 0;
    bool mAdvertised = false;
    std::uint32_t mSlots = 0;
  };
  const held_row rows[] = {
    { 0, 0, true, 6 }, { 3, 0, true, 3 }, { 1, 3, true, 2 }, { 3, 3, false, 0 }
  };
  for (const held_row& row : rows) {
    document made = MakeDocument(2, 3);
    fixture one(made);
    one.mAdmission.Configure(
      made,
      { { { UpstreamName(0) }, row.mFirst, kStart + 5s },
        { { UpstreamName(1) }, row.mSecond, kStart + 5s } },
      kStart);
    std::vector<service_credit> credits = one.mAdmission.Credits(one.mNow);
    LONGS_EQUAL(row.mAdvertised ? 1 : 0, credits.size());
    if (row.mAdvertised) {
      LONGS_EQUAL(row.mSlots, credits.at(0).mSlots);
      LONGS_EQUAL(row.mSlots, credits.at(0).mFree);
    }
  }
}

TEST(Admission, LeavingUpstreamGetsNoNewWorkAndKeepsWhatItHas)
{
  fixture one(MakeDocument(2, 1));
  LONGS_EQUAL(2, one.Fill(work_rank::Urgent));
  one.mDocument.mUpstreams[{ UpstreamName(0) }].mState =
    upstream_state::Leaving;
  one.Configure();
  for (request_number number : { 1, 2 }) {
    one.mAdmission.Release(number, attempt_result::Answered, one.mNow);
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(one.Run(attempt_result::Answered).mValue == UpstreamName(1));
  }
}

TEST(Admission, DrainingAnswerStopsNewWorkUntilAReportEndsIt)
{
  fixture one(MakeDocument(2, 2));
  upstream_id draining = one.Run(attempt_result::Draining);
  instant end = one.mNow + upstream_health::kMinDrainTime;
  int others = 0;
  while (one.mNow + 10ms < end) {
    CHECK(one.Run(attempt_result::Answered) != draining);
    ++others;
  }
  CHECK(others > 900);
  one.mNow = end;
  for (int i = 0; i < 2; ++i) {
    CHECK(one.Run(attempt_result::Answered) != draining);
  }
  one.mAdmission.Report(draining, 0, one.mNow);
  CHECK(one.Run(attempt_result::Draining) == draining ||
        one.Run(attempt_result::Draining) == draining);
}

TEST(Admission, NoUpstreamWhileAllAreDraining)
{
  fixture one(MakeDocument(1, 1));
  one.Run(attempt_result::Draining);
  CheckReason(refusal_reason::NoUpstream, one.RequestSlot());
  CHECK(one.mAdmission.Credits(one.mNow).empty());
}

TEST(Admission, NewUpstreamWarmsUp)
{
  fixture one(MakeDocument(1, 4));
  LONGS_EQUAL(4, one.Fill(work_rank::Urgent)); // first document: no warm-up
  upstream_spec added = one.mDocument.mUpstreams.begin()->second;
  one.mDocument.mUpstreams[{ "new" }] = added;
  one.Configure();
  struct row
  {
    std::chrono::seconds mAfter;
    std::uint32_t mOpen;
  };
  for (const row& expected :
       { row{ 0s, 1 }, { 3s, 1 }, { 4s, 2 }, { 7s, 3 }, { 10s, 4 } }) {
    LONGS_EQUAL(expected.mOpen,
                one.mAdmission.Credits(kStart + expected.mAfter).at(0).mFree);
  }
}

// Guards against least-loaded selection sending most requests to an upstream
// that fails fast, as its fast errors keep its slots free. The other upstream
// is idle or full.
TEST(Admission, FastErrorsDoNotAttractRequests)
{
  for (bool isOtherFull : { false, true }) {
    fixture one(MakeDocument(2, 3));
    upstream_id failing{ UpstreamName(0) };
    if (isOtherFull) {
      LONGS_EQUAL(6, one.Fill(work_rank::Urgent));
      for (request_number number = 1; number <= 6; number += 2) {
        one.mAdmission.Release(number, attempt_result::Errored, one.mNow);
      }
    }
    int errors = 0;
    for (int i = 0; i < 2000; ++i) {
      admission_answer answer = one.RequestSlot();
      one.mNow += 10ms;
      if (answer.mStep != admission_step::Granted) {
        one.mAdmission.Withdraw(one.mNumber);
        continue;
      }
      bool isFailing = answer.mGrant.mUpstream == failing;
      errors += isFailing ? 1 : 0;
      one.mAdmission.Release(one.mNumber,
                             isFailing ? attempt_result::Errored
                                       : attempt_result::Answered,
                             one.mNow);
    }
    CHECK(errors >= 1);
    CHECK(errors < 20);
  }
}

TEST(Admission, ReturnsWithOneSlotAfterRepeatedFailures)
{
  upstream_health health;
  instant now = kStart;
  for (std::chrono::milliseconds ejectionTime :
       { 100ms, 200ms, 400ms, 800ms, 1600ms, 3200ms, 3200ms }) {
    health.RecordAttempt(attempt_result::Failed, 10s, now);
    CHECK(health.State(now + ejectionTime - 1ms) == health_state::Unhealthy);
    now += ejectionTime;
    CHECK(health.State(now) == health_state::Usable);
  }
  LONGS_EQUAL(1, health.Allowed(3, now));
  health.RecordAttempt(attempt_result::Answered, 10s, now);
  LONGS_EQUAL(1, health.Allowed(3, now));
  LONGS_EQUAL(2, health.Allowed(3, now + 5s));
  LONGS_EQUAL(3, health.Allowed(3, now + 10s));
}

TEST(Admission, IfAllAreUnhealthyRequestsAreSpreadEvenly)
{
  fixture one(MakeDocument(4, 3));
  std::map<upstream_id, int> taken;
  for (int i = 0; i < 400; ++i) {
    ++taken[one.Run(attempt_result::Failed, 1ms)];
  }
  LONGS_EQUAL(4U, taken.size());
  for (const std::pair<const upstream_id, int>& entry : taken) {
    CHECK(entry.second > 70);
  }
  LONGS_EQUAL(0U, one.mAdmission.Credits(one.mNow).at(0).mFree);
}

TEST(Admission, StaleIdleReportAttractsNoRequests)
{
  fixture one(MakeDocument(2, 3));
  for (int i = 0; i < 5; ++i) {
    one.RequestSlot();
  }
  one.mAdmission.Report({ UpstreamName(0) }, 0, one.mNow);
  one.mAdmission.Report({ UpstreamName(1) }, 0, one.mNow);
  LONGS_EQUAL(1, one.Fill(work_rank::Urgent));
}

TEST(Admission, ReportChangesLoadByOneSlotAtMost)
{
  upstream_health busy;
  busy.Report(100, kStart);
  DOUBLES_EQUAL(0.5, busy.Load(1, 4, kStart), 1e-9);
  busy.Report(0, kStart);
  DOUBLES_EQUAL(0.25, busy.Load(1, 4, kStart), 1e-9);
  busy.Report(100, kStart);
  DOUBLES_EQUAL(
    0.25, busy.Load(1, 4, kStart + upstream_health::kMaxReportAge), 1e-9);
}

TEST(Admission, UrgentIsServedFirstThenTheEarlierDeadline)
{
  fixture one(MakeDocument(1, 1));
  CHECK(one.RequestSlot().mStep == admission_step::Granted); // 1
  one.RequestSlot(work_rank::Standard, 9s);                  // 2
  one.RequestSlot(work_rank::Standard, 5s);                  // 3
  one.RequestSlot(work_rank::Urgent, 9s);                    // 4
  std::vector<request_number> order;
  request_number running = 1;
  for (int i = 0; i < 3; ++i) {
    admission_changes changes =
      one.mAdmission.Release(running, attempt_result::Answered, one.mNow);
    LONGS_EQUAL(1U, changes.mGrants.size());
    running = changes.mGrants.at(0).mNumber;
    order.push_back(running);
  }
  CHECK((order == std::vector<request_number>{ 4, 3, 2 }));
}

TEST(Admission, QueueIsBoundedByCountAndByDeadline)
{
  fixture one(MakeDocument(1, 1));
  one.Run(attempt_result::Answered, 400ms); // sets the mean hold time
  one.RequestSlot();
  CheckReason(refusal_reason::DeadlineTooClose,
              one.RequestSlot(work_rank::Standard, 700ms));
  CHECK(one.RequestSlot(work_rank::Standard, 900ms).mStep ==
        admission_step::Queued);
  CheckReason(refusal_reason::DeadlineTooClose,
              one.RequestSlot(work_rank::Standard, 1000ms));
  CheckReason(refusal_reason::DeadlinePassed,
              one.RequestSlot(work_rank::Urgent, 0s));
  for (int i = 0; i < 16; ++i) {
    CHECK(one.RequestSlot(work_rank::Bulk, 1min).mStep ==
          admission_step::Queued);
  }
  CheckReason(refusal_reason::QueueFull,
              one.RequestSlot(work_rank::Bulk, 1min));
}

TEST(Admission, SlowEstimateNeverStopsAnIdleService)
{
  fixture one(MakeDocument(1, 1));
  one.Run(attempt_result::Answered, 10s);
  CHECK(one.RequestSlot(work_rank::Standard, 100ms).mStep ==
        admission_step::Granted);
}

TEST(Admission, QueuedRequestIsRefusedWhenItsDeadlinePasses)
{
  fixture one(MakeDocument(1, 1));
  one.RequestSlot();
  one.RequestSlot(work_rank::Urgent, 1s);
  one.mNow += 1s;
  admission_changes changes = one.mAdmission.Tick(one.mNow);
  LONGS_EQUAL(1U, changes.mRefusals.size());
  CHECK(changes.mRefusals.at(0).mReason == refusal_reason::DeadlinePassed);
  LONGS_EQUAL(0U, one.mAdmission.Queued());
}

TEST(Admission, RetryAfterFollowsTheSeed)
{
  std::vector<std::chrono::milliseconds> seen;
  for (std::uint64_t seed : { 7, 7, 8 }) {
    fixture one(MakeDocument(1, 1));
    one.mAdmission.Open({ 512, 1 << 26, seed });
    one.Run(attempt_result::Answered, 1s);
    one.RequestSlot();
    seen.push_back(one.RequestSlot(work_rank::Urgent, 1ms).mRetryAfter);
  }
  CHECK(seen.at(0) == seen.at(1));
  CHECK(seen.at(0) != seen.at(2));
}

TEST(Admission, FloodOfOneRankLeavesTheOthersTheirFloor)
{
  struct row
  {
    work_rank mFlood;
    work_rank mOther;
    double mLeast; // share of grants, from 0 to 1
  };
  for (const row& each : { row{ work_rank::Urgent, work_rank::Standard, 0.28 },
                           row{ work_rank::Urgent, work_rank::Bulk, 0.09 },
                           row{ work_rank::Standard, work_rank::Urgent, 0.50 },
                           row{ work_rank::Bulk, work_rank::Urgent, 0.85 } }) {
    fixture one(MakeDocument(1, 1));
    std::map<work_rank, int> granted;
    std::map<request_number, work_rank> ranks;
    request_number running = 0;
    for (int i = 0; i < 3000; ++i) {
      for (work_rank rank : { each.mFlood, each.mOther }) {
        admission_answer answer = one.RequestSlot(rank, 10s);
        ranks[one.mNumber] = rank;
        if (answer.mStep == admission_step::Granted) {
          running = one.mNumber;
          ++granted[rank];
        }
      }
      one.mNow += 10ms;
      admission_changes changes =
        one.mAdmission.Release(running, attempt_result::Answered, one.mNow);
      for (const grant& next : changes.mGrants) {
        running = next.mNumber;
        ++granted[ranks.at(running)];
      }
    }
    double share =
      granted[each.mOther] /
      static_cast<double>(granted[each.mOther] + granted[each.mFlood]);
    CHECK_TRUE_TEXT(share >= each.mLeast,
                    std::string(ToString(each.mOther)).c_str());
  }
}

TEST(Admission, BulkLeavesASlotToMoreUrgentRanksInUse)
{
  fixture one(MakeDocument(2, 3));
  one.Run(attempt_result::Answered);
  LONGS_EQUAL(5, one.Fill(work_rank::Bulk));
  CHECK(one.RequestSlot(work_rank::Urgent).mStep == admission_step::Granted);
}

TEST(Admission, InstanceLimitKeepsFloorsOfRanksInUse)
{
  instance_limit limit;
  limit.SetLimits({ 100, 1 << 26, 1 });
  limit.SetFloors(MakeDocument(1, 1).mRanks);
  CHECK(limit.Enter(work_rank::Standard, 0, kStart) == refusal_reason::None);
  limit.Leave(work_rank::Standard, 0);
  int bulk = 0;
  refusal_reason reason = limit.Enter(work_rank::Bulk, 0, kStart);
  for (; reason == refusal_reason::None; ++bulk) {
    reason = limit.Enter(work_rank::Bulk, 0, kStart);
  }
  // 30 are reserved for standard, 10 for urgent, which has no requests yet.
  LONGS_EQUAL(60, bulk);
  CHECK(reason == refusal_reason::RankOverFloor);
  for (int i = 0; i < 30; ++i) {
    CHECK(limit.Enter(work_rank::Standard, 0, kStart) == refusal_reason::None);
  }
  CHECK(limit.Enter(work_rank::Urgent, 0, kStart) == refusal_reason::None);
  CHECK(limit.Enter(work_rank::Urgent, 1ULL << 30, kStart) ==
        refusal_reason::QueueFull);
  LONGS_EQUAL(91U, limit.Requests());
}

TEST(Admission, InstanceLimitSpreadsRetryTimes)
{
  instance_limit limit;
  std::set<std::chrono::milliseconds> waits;
  for (int i = 0; i < 100; ++i) {
    std::chrono::milliseconds wait = limit.RetryAfter();
    CHECK(wait >= instance_limit::kMinRetryAfter);
    CHECK(wait <= instance_limit::kMaxRetryAfter);
    waits.insert(wait);
  }
  CHECK(waits.size() > 50);
}

TEST(Admission, OptionsAreChecked)
{
  CHECK(CheckOptions({}).empty());
  LONGS_EQUAL(2U, CheckOptions({ 0, 0, 1 }).size());
}

// Random events. The test keeps its own list of the running and the waiting
// requests; every request must be granted, refused or withdrawn exactly once.
TEST(Admission, RandomEventsKeepEveryCount)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    fixture one(MakeDocument(3, 3));
    std::map<request_number, upstream_id> running;
    std::set<request_number> waiting;
    auto randomBelow = [&](int aCount) {
      return std::uniform_int_distribution<int>(0, aCount - 1)(random);
    };
    auto applyChanges = [&](const admission_changes& aChanges) {
      for (const grant& next : aChanges.mGrants) {
        LONGS_EQUAL(1U, waiting.erase(next.mNumber));
        running[next.mNumber] = next.mUpstream;
      }
      for (const queue_refusal& refused : aChanges.mRefusals) {
        LONGS_EQUAL(1U, waiting.erase(refused.mNumber));
      }
    };
    for (int step = 0; step < 3000; ++step) {
      one.mNow += std::chrono::milliseconds(randomBelow(20));
      int event = randomBelow(20);
      if (event < 10) {
        admission_answer answer =
          one.RequestSlot(static_cast<work_rank>(randomBelow(3)),
                          std::chrono::milliseconds(randomBelow(1000)));
        applyChanges(answer.mOthers);
        if (answer.mStep == admission_step::Granted) {
          running[one.mNumber] = answer.mGrant.mUpstream;
        } else if (answer.mStep == admission_step::Queued) {
          waiting.insert(one.mNumber);
        }
      } else if (event < 17 && !running.empty()) {
        auto ended = std::next(running.begin(),
                               randomBelow(static_cast<int>(running.size())));
        attempt_result result =
          static_cast<attempt_result>(std::max(0, randomBelow(20) - 13));
        request_number number = ended->first;
        running.erase(ended);
        applyChanges(one.mAdmission.Release(number, result, one.mNow));
      } else if (event == 17) {
        upstream_spec& spec =
          one.mDocument.mUpstreams[{ UpstreamName(randomBelow(3)) }];
        spec.mState = static_cast<upstream_state>(randomBelow(2));
        spec.mSlots = 1 + randomBelow(4);
        applyChanges(one.Configure());
      } else if (event == 18 && !waiting.empty()) {
        one.mAdmission.Withdraw(*waiting.begin());
        waiting.erase(waiting.begin());
      } else {
        applyChanges(one.mAdmission.Tick(one.mNow));
      }
      LONGS_EQUAL(running.size(), one.mAdmission.InFlight());
      LONGS_EQUAL(waiting.size(), one.mAdmission.Queued());
    }
  }
}
