// Explanations of choices against the choices that follow at the same state and
// instant, over random states, and against a twin that never explains.
#include "laburnumdyke/decision/fleet_quota.h"
#include "laburnumdyke/decision/service_rotation.h"
#include "laburnumdyke/decision/upstream_steering.h"
#include "laburnumdyke/testing/harness/load_replay.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kDomainNames = {
  "east-a", "east-b", "west-a", "west-b", "north-a", "north-b"
};

// What one request sees, with storage for what steering_request refers to.
struct random_request
{
  route_spec mRoute = ReplayRoute();
  customer_spec mCustomer;
  bool mHasCustomer = false;
  std::string mObject;
  std::vector<upstream_id> mTried;

  steering_request At(instant aNow) const
  {
    return { mRoute,
             { "sheets" },
             mObject,
             aNow,
             aNow + mRoute.mTimeout,
             mTried,
             mHasCustomer ? &mCustomer : nullptr };
  }
};

// Two instances with the same seed and history. Only the first one explains.
class explained_twins
{
public:
  explicit explained_twins(unsigned aSeed)
    : mRandom(aSeed)
    , mUpstreams(2 + Below(30))
    , mErrorPercent(Below(2) * Below(60))
  {
    steering_options options = ReplayOptions("one", "east-a");
    options.mSeed = aSeed;
    options.mLearnedSpeed =
      Chance(50) ? learned_speed::Always : learned_speed::Reported;
    options.mUnevenLoad = Chance(50) ? uneven_load::Always : uneven_load::Auto;
    mSteerings.emplace_back(options);
    mSteerings.emplace_back(options);
    std::vector<instance_location> fleet;
    for (std::size_t i = 0; i < 1 + Below(6); ++i) {
      std::string region = i == 0 || Chance(50) ? "east" : "west";
      fleet.push_back(
        { { i == 0 ? "one" : "i" + std::to_string(i) }, { region } });
    }
    ForBoth([&](upstream_steering& aSteering) {
      aSteering.SetRules(ReplayRules());
      aSteering.SetFleet(fleet);
    });
    Register();
  }

  // Explains a request, chooses for it on both and compares.
  void Step()
  {
    mNow += std::chrono::milliseconds(Below(60));
    Change();
    EndSome();
    random_request request = AnyRequest();
    steering_request query = request.At(mNow);
    choice_explanation explained =
      mSteerings[0].Explain(query, { 1000, 1000 }, mNow);
    CheckComplete(explained);
    steering_choice choice = mSteerings[0].Choose(query, mNow);
    CheckSame(explained, choice);
    CheckTwin(choice, mSteerings[1].Choose(query, mNow));
    Count(explained);
    if (choice.mTarget) {
      ForBoth([&](upstream_steering& aSteering) {
        aSteering.Begin(*choice.mTarget, mNow);
      });
      mRunning.push_back(*choice.mTarget);
    }
  }

  std::map<std::string, int> mSeen; // states that occurred

private:
  std::size_t Below(std::size_t aBound) { return mRandom() % aBound; }
  bool Chance(std::size_t aPercent) { return Below(100) < aPercent; }

  template<class Function>
  void ForBoth(Function&& aFunction)
  {
    for (upstream_steering& steering : mSteerings) {
      aFunction(steering);
    }
  }

  void Register()
  {
    std::vector<upstream_entry> entries;
    for (std::size_t i = 0; i < mUpstreams; ++i) {
      upstream_entry entry = ReplayUpstream(
        "u" + std::to_string(i), kDomainNames[i % kDomainNames.size()]);
      entry.mSlots = static_cast<std::uint32_t>(1 + i % 3);
      entry.mDraining = Chance(10);
      entry.mColdLeft = std::chrono::milliseconds(Chance(10) ? 2000 : 0);
      entry.mSequence = ++mSequence;
      if (Chance(95)) {
        entries.push_back(entry);
      }
    }
    ForBoth([&](upstream_steering& aSteering) {
      aSteering.Apply(aSteering.Directory().Replace(entries, mNow), mNow);
    });
  }

  void Change()
  {
    if (Chance(2)) {
      Register();
    }
    if (Chance(2)) {
      std::set<domain_id> evacuated;
      if (Chance(50)) {
        evacuated.insert({ kDomainNames[Below(kDomainNames.size())] });
      }
      ForBoth([&](upstream_steering& aSteering) {
        aSteering.SetEvacuated(evacuated, mNow);
      });
    }
  }

  // Ends running attempts at a rate that varies between few and all, so that
  // queues fill up at times.
  void EndSome()
  {
    if (Chance(1)) {
      mEndPercent = Below(100);
    }
    while (!mRunning.empty() && Chance(mEndPercent)) {
      attempt_report report;
      report.mResult = Chance(mErrorPercent) ? attempt_result::Errored
                                             : attempt_result::Answered;
      report.mTook = std::chrono::milliseconds(10 + Below(500));
      report.mBytes = Below(20000);
      if (Chance(70)) {
        std::uint32_t slots = 3;
        std::uint32_t running = static_cast<std::uint32_t>(Below(slots + 1));
        report.mLoad = reported_load{
          running,
          static_cast<std::uint32_t>(running < slots ? 0 : Below(6)),
          slots,
          static_cast<std::uint32_t>(50 + Below(400))
        };
      }
      report.mQueueFull = Chance(5);
      report.mWrongInstance = Chance(1);
      report.mConnect = std::chrono::milliseconds(1 + Below(40));
      steering_target target = mRunning.front();
      mRunning.pop_front();
      ForBoth([&](upstream_steering& aSteering) {
        aSteering.End(target, report, mNow);
      });
    }
  }

  random_request AnyRequest()
  {
    random_request request;
    request.mRoute.mAffinity = Chance(80);
    request.mObject = Chance(80) ? std::to_string(Below(40)) : "";
    if (Chance(10)) {
      request.mRoute.mHomes = { { Chance(50) ? "east" : "west" } };
    }
    request.mRoute.mPriority = static_cast<std::uint32_t>(Below(3));
    request.mHasCustomer = Chance(20);
    request.mCustomer.mName = { std::to_string(Below(3)) };
    if (Chance(50)) {
      request.mCustomer.mHomes = { { Chance(50) ? "east" : "north" } };
    }
    if (Chance(20)) {
      request.mTried = { { "u" + std::to_string(Below(mUpstreams)) } };
    }
    return request;
  }

  // Every upstream is either a candidate or left out by one rule.
  void CheckComplete(const choice_explanation& aExplained)
  {
    std::size_t all =
      aExplained.mCandidates.size() + aExplained.mMoreCandidates;
    for (const excluded_upstreams& excluded : aExplained.mExcluded) {
      all += excluded.mCount;
    }
    LONGS_EQUAL(mSteerings[0].Size(), all);
  }

  static void CheckSame(const choice_explanation& aExplained,
                        const steering_choice& aChoice)
  {
    CHECK_EQUAL(aChoice.mTarget.has_value(), aExplained.mChosen.has_value());
    CHECK(aChoice.mReason == aExplained.mReason);
    if (!aChoice.mTarget) {
      CHECK(aExplained.mLeastRetryAfter <= aChoice.mRetryAfter);
      CHECK(aChoice.mRetryAfter <= aExplained.mMostRetryAfter);
      return;
    }
    const steering_target& target = *aChoice.mTarget;
    STRCMP_EQUAL(target.mId.mValue.c_str(), aExplained.mChosen->mValue.c_str());
    const explained_candidate& first = aExplained.mCandidates.at(0);
    CHECK(first.mId == target.mId);
    CHECK(first.mDomain == target.mDomain);
    CHECK(first.mWait == target.mExpectedWait);
    CHECK_EQUAL(target.mCold, first.mIsCold);
    CHECK(first.mAdmits);
  }

  static void CheckTwin(const steering_choice& aOne,
                        const steering_choice& aOther)
  {
    CHECK_EQUAL(aOne.mTarget.has_value(), aOther.mTarget.has_value());
    CHECK(aOne.mReason == aOther.mReason);
    CHECK(aOne.mRetryAfter == aOther.mRetryAfter);
    if (aOne.mTarget) {
      CHECK(aOne.mTarget->mId == aOther.mTarget->mId);
      CHECK(aOne.mTarget->mExpectedWait == aOther.mTarget->mExpectedWait);
    }
  }

  void Count(const choice_explanation& aExplained)
  {
    for (std::size_t i = 0; i < kExclusionRules; ++i) {
      exclusion_rule rule = static_cast<exclusion_rule>(i);
      mSeen[std::string(ToString(rule))] +=
        aExplained.Excluded(rule).mCount > 0 ? 1 : 0;
    }
    ++mSeen[std::string(ToString(aExplained.mReason))];
    mSeen["health ignored"] += aExplained.mIgnoresHealth ? 1 : 0;
    if (aExplained.mSpillover) {
      ++mSeen["spillover " +
              std::to_string(static_cast<int>(*aExplained.mSpillover))];
    }
  }

  std::mt19937 mRandom;
  std::size_t mUpstreams;
  std::size_t mErrorPercent;
  std::size_t mEndPercent = 50;
  std::deque<upstream_steering> mSteerings;
  std::deque<steering_target> mRunning;
  instant mNow = kReplayStart;
  std::uint64_t mSequence = 0;
};

} // namespace

TEST_GROUP(SteeringExplanation){};

// Guards against an explanation that names another outcome than the choice that
// follows, or that changes a later choice.
TEST(SteeringExplanation, TellsTheNextChoiceAndChangesNone)
{
  std::map<std::string, int> seen;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    explained_twins twins(seed);
    for (int step = 0; step < 400; ++step) {
      twins.Step();
    }
    for (const std::pair<const std::string, int>& one : twins.mSeen) {
      seen[one.first] += one.second;
    }
  }
  for (const std::pair<const std::string, int>& one : seen) {
    CHECK_TEXT(one.second > 0, ("never seen: " + one.first).c_str());
  }
  // Local, Remote and Refuse; an upstream; and both reasons for none.
  for (const char* state : { "spillover 0",
                             "spillover 1",
                             "spillover 2",
                             "none",
                             "queue_full",
                             "yields_to_others",
                             "no_upstream" }) {
    CHECK_TEXT(seen.count(state) > 0, state);
  }
}

// Guards against answers that grow with the number of upstreams.
TEST(SteeringExplanation, ListsABoundedNumberOfUpstreams)
{
  upstream_steering steering{ ReplayOptions("one", "east-a") };
  std::vector<upstream_entry> entries;
  for (int i = 0; i < 100; ++i) {
    entries.push_back(ReplayUpstream("u" + std::to_string(i), "east-a"));
    entries.back().mDraining = i < 40;
  }
  steering.Apply(steering.Directory().Replace(entries, kReplayStart),
                 kReplayStart);
  random_request request;
  choice_explanation explained =
    steering.Explain(request.At(kReplayStart), { 7, 3 }, kReplayStart);
  LONGS_EQUAL(7, explained.mCandidates.size());
  LONGS_EQUAL(53, explained.mMoreCandidates);
  LONGS_EQUAL(40, explained.Excluded(exclusion_rule::Draining).mCount);
  LONGS_EQUAL(3, explained.Excluded(exclusion_rule::Draining).mNames.size());
  CHECK(explained.mCandidates.at(0).mId == *explained.mChosen);
}

// Guards against a preview of the quota that differs from the admission that
// follows, or that is counted as a request.
TEST(SteeringExplanation, PreviewOfAQuotaIsTheNextAdmission)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    fleet_quota previewed({ 0.1, 20, seed });
    fleet_quota twin({ 0.1, 20, seed });
    customer_spec customer;
    customer.mName = { "acme" };
    customer.mQuota = { 1.0 + static_cast<double>(random() % 40), 5 };
    instant now = kReplayStart;
    for (fleet_quota* quota : { &previewed, &twin }) {
      quota->SetCustomers({ customer });
      quota->SetFleetSize(1 + seed % 4);
    }
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(random() % 40);
      if (random() % 50 == 0) {
        double demand = static_cast<double>(random() % 100);
        usage_list totals{ { KeyOf(customer.mName),
                             { demand, demand / 2, demand / 8 } } };
        previewed.SetTotals(totals, now);
        twin.SetTotals(totals, now);
      }
      quota_preview preview = previewed.Preview(customer.mName, now);
      quota_decision decision = previewed.Admit(customer.mName, now);
      quota_decision other = twin.Admit(customer.mName, now);
      CHECK_EQUAL(decision.mAdmitted, preview.mAdmitted);
      DOUBLES_EQUAL(decision.mDemand, preview.mDemand, 0);
      DOUBLES_EQUAL(decision.mLimit, preview.mLimit, 0);
      CHECK(preview.mLeastRetryAfter <= decision.mRetryAfter);
      CHECK(decision.mRetryAfter <= preview.mMostRetryAfter);
      CHECK_EQUAL(other.mAdmitted, decision.mAdmitted);
      CHECK(other.mRetryAfter == decision.mRetryAfter);
      refused += decision.mAdmitted ? 0 : 1;
    }
    CHECK(refused > 0);
  }
  CHECK_FALSE(fleet_quota().Preview({ "acme" }, kReplayStart).mIsLimited);
}

// Guards against an explanation of a split route that takes a turn.
TEST(SteeringExplanation, PreviewOfASplitTakesNoTurn)
{
  service_rotation rotation(7);
  service_rotation twin(7);
  route_spec route = ReplayRoute();
  route.mServices = { { { "old" }, 3 }, { { "new" }, 1 } };
  for (int i = 0; i < 40; ++i) {
    if (i == 20) {
      route.mServices[1].mWeight = 2;
    }
    service_id preview = rotation.Preview(route);
    CHECK(preview == rotation.Preview(route));
    service_id next = rotation.Next(route);
    CHECK(preview == next);
    CHECK(next == twin.Next(route));
  }
}
