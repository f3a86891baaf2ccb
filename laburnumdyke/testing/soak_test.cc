// The randomised run at fixed seeds, its exactness, planted faults, and the
// oracles against histories that break each rule.
#include "laburnumdyke/testing/soak/soak_run.h"

#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kEvents = 600000;

soak_report
Run(std::uint64_t aSeed, std::uint64_t aEvents)
{
  soak_run run({ aSeed, aEvents, false });
  run.Go();
  return run.Report();
}

std::string
Describe(const soak_report& aReport, std::uint64_t aSeed)
{
  std::string text = "seed " + std::to_string(aSeed);
  for (const violation& one : aReport.mViolations) {
    text += "\n  at event " + std::to_string(one.mEvent) + ": " +
            std::string(ToString(one.mKind)) + " " + one.mState;
  }
  return text;
}

std::uint64_t
Count(const oracle& aOracle, violation_kind aKind)
{
  return aOracle.Counts().at(static_cast<std::size_t>(aKind));
}

} // namespace

TEST_GROUP(Soak){};

TEST(Soak, HoldsAtFixedSeeds)
{
  for (std::uint64_t seed : { 1, 2, 3 }) {
    soak_report report = Run(seed, kEvents);
    CHECK_TEXT(report.mViolations.empty(), Describe(report, seed).c_str());
    for (const service_outcomes& one : report.mOutcomes) {
      CHECK(one.mAnswered > 0);
    }
    for (const customer_outcomes& one : report.mCustomers) {
      CHECK(one.mServed > 0);
    }
  }
}

TEST(Soak, TheSameSeedGivesTheSameRun)
{
  soak_report first = Run(4, kEvents / 4);
  soak_report second = Run(4, kEvents / 4);
  soak_report other = Run(5, kEvents / 4);
  CHECK(first.mDigest == second.mDigest);
  CHECK(first.mDigest != other.mDigest);
}

// Each planted fault must be found by the rule that it breaks; without it the
// same seeds hold (HoldsAtFixedSeeds).
TEST(Soak, FindsPlantedFaultsOfKeysAndQuotas)
{
  const std::pair<customer_fault, violation_kind> rows[] = {
    { customer_fault::AcceptsUnknownKeys, violation_kind::UnknownKeyRan },
    { customer_fault::IgnoresAge, violation_kind::RevokedKeyRan },
    { customer_fault::IgnoresOthers, violation_kind::QuotaOvershot },
  };
  for (const std::pair<customer_fault, violation_kind>& row : rows) {
    soak_run run({ 1, kEvents, true, row.first });
    run.Go();
    std::uint64_t found =
      run.Report().mCounts.at(static_cast<std::size_t>(row.second));
    CHECK_TEXT(found > 0, std::string(ToString(row.second)).c_str());
  }
}

TEST_GROUP(Oracle)
{
  simulation mSimulation{ 1, kSoakEntries };
  oracle mOracle{ mSimulation };

  void RunAt(attempt_tag aTag, std::uint64_t aRun)
  {
    mOracle.OnRun(0, kSoakSlots, aRun, aTag, mSimulation.Now() + 1s);
  }

  void Pass(duration aTime)
  {
    mSimulation.AtWorld(aTime, event_kind::Check, [] {});
    mSimulation.Step();
  }
};

TEST(Oracle, SeesDoubleRuns)
{
  mOracle.OnRequest(1, false);
  mOracle.OnRequest(2, true);
  RunAt({ 1, 1 }, 1);
  RunAt({ 2, 1 }, 2);
  RunAt({ 2, 2 }, 3);
  CHECK(mOracle.Violations().empty());
  mOracle.OnRunEnd(0, 1);
  RunAt({ 1, 2 }, 4);
  CHECK(Count(mOracle, violation_kind::DoubleRun) == 1);
}

TEST(Oracle, SeesFalseNotRunBeforeAndAfter)
{
  mOracle.OnRequest(1, true);
  RunAt({ 1, 1 }, 1);
  mOracle.OnTold({ 1, 1 }, outcome_kind::NotRun, refusal_reason::None, 0);
  CHECK(Count(mOracle, violation_kind::FalseNotRun) == 1);
  mOracle.OnTold({ 1, 2 }, outcome_kind::NotRun, refusal_reason::None, 0);
  CHECK(Count(mOracle, violation_kind::FalseNotRun) == 1);
  RunAt({ 1, 2 }, 2);
  CHECK(Count(mOracle, violation_kind::FalseNotRun) == 2);
}

TEST(Oracle, SeesNotRunOfAnIdentityThatRan)
{
  mOracle.OnRequest(1, false);
  RunAt({ 1, 1 }, 1);
  mOracle.OnAttempt({ 1, 2 });
  mOracle.OnTold(
    { 1, 2 }, outcome_kind::NotRun, refusal_reason::RelayConnect, 0);
  CHECK(mOracle.Violations().empty());
  mOracle.OnTold({ 1, 2 }, outcome_kind::NotRun, refusal_reason::QueueFull, 0);
  CHECK(Count(mOracle, violation_kind::NotRunAfterRun) == 1);
}

TEST(Oracle, SeesAnswersOfAnother)
{
  mOracle.OnRequest(1, true);
  mOracle.OnTold({ 1, 1 }, outcome_kind::Answered, refusal_reason::None, 1);
  CHECK(mOracle.Violations().empty());
  mOracle.OnTold({ 1, 1 }, outcome_kind::Answered, refusal_reason::None, 2);
  CHECK(Count(mOracle, violation_kind::AnswerOfAnother) == 1);
}

TEST(Oracle, SeesSlotsOvershotUntilTheDeadline)
{
  for (std::uint64_t i = 1; i <= kSoakSlots; ++i) {
    RunAt({ i, 1 }, i);
  }
  Pass(2s);
  RunAt({ 10, 1 }, 10);
  CHECK(mOracle.Violations().empty());
  for (std::uint64_t i = 11; i <= 10 + kSoakSlots; ++i) {
    RunAt({ i, 1 }, i);
  }
  CHECK(Count(mOracle, violation_kind::SlotsOvershot) == 1);
}

TEST(Oracle, SeesWorkToLeaving)
{
  process_address instance{ 0, 1 };
  mOracle.OnLeavingLearnt(0, instance, leaving_sign::Document);
  Pass(2s);
  mOracle.OnWork(0, instance);
  CHECK(mOracle.Violations().empty());
  Pass(2s);
  mOracle.OnWork(0, { 1, 1 });
  mOracle.OnWork(1, instance);
  CHECK(mOracle.Violations().empty());
  mOracle.OnWork(0, instance);
  CHECK(Count(mOracle, violation_kind::WorkToLeaving) == 1);
  mOracle.OnServingLearnt(0, instance);
  mOracle.OnWork(0, instance);
  CHECK(Count(mOracle, violation_kind::WorkToLeaving) == 1);
}

TEST(Oracle, SeesWorkToAnUpstreamThatSaidThatItDrains)
{
  process_address instance{ 0, 1 };
  mOracle.OnLeavingLearnt(0, instance, leaving_sign::OwnWord);
  Pass(1min); // however long ago
  mOracle.OnWork(0, instance);
  CHECK(Count(mOracle, violation_kind::WorkToLeaving) == 1);
  mOracle.OnServingAgain(0);
  mOracle.OnWork(0, instance);
  CHECK(Count(mOracle, violation_kind::WorkToLeaving) == 1);
}

TEST(Oracle, SeesVersionsGoBackOrStay)
{
  mOracle.OnVersion({ 0, 1 }, 3);
  mOracle.OnVersion({ 0, 2 }, 2);
  CHECK(mOracle.Violations().empty());
  mOracle.OnVersion({ 0, 2 }, 1);
  CHECK(Count(mOracle, violation_kind::VersionWentBack) == 1);
  mOracle.OnRowWritten(4, "a");
  Pass(6s);
  mOracle.CheckSpread({ 0, 2 }, 4);
  CHECK(Count(mOracle, violation_kind::VersionNotSpread) == 0);
  mOracle.CheckSpread({ 0, 2 }, 3);
  CHECK(Count(mOracle, violation_kind::VersionNotSpread) == 1);
}

TEST(Oracle, SeesChangesTwiceAndMisreported)
{
  submission_outcome conflict;
  conflict.mKind = submission_kind::Conflict;
  mOracle.OnRowWritten(1, "a");
  mOracle.OnSubmitted("a", conflict);
  CHECK(Count(mOracle, violation_kind::ChangeMisreported) == 1);
  mOracle.OnSubmitted("b", conflict);
  mOracle.OnRowWritten(2, "b");
  CHECK(Count(mOracle, violation_kind::ChangeMisreported) == 2);
  mOracle.OnRowWritten(3, "a");
  CHECK(Count(mOracle, violation_kind::ChangeTwice) == 1);
}

TEST(Oracle, SeesLookupsThatNameStoppedInstances)
{
  Pass(1min);
  mOracle.OnLookup({ 0, 1 }, 1, std::nullopt);
  mOracle.OnLookup({ 0, 1 }, 1, mSimulation.Now() - 1s);
  CHECK(mOracle.Violations().empty());
  mOracle.OnLookup({ 0, 1 }, 1, mSimulation.Now() - 5s);
  CHECK(Count(mOracle, violation_kind::LookupNamesStopped) == 1);
}

TEST_GROUP(CustomerOracle)
{
  simulation mSimulation{ 1, kSoakEntries };
  oracle mOracle{ mSimulation };
  customer_oracle mCustomers{ mSimulation, mOracle };
  const customer_id mCustomer{ "a" };

  void Pass(duration aTime)
  {
    mSimulation.AtWorld(aTime, event_kind::Check, [] {});
    mSimulation.Step();
  }
};

TEST(CustomerOracle, SeesKeysThatNoConfigurationHeld)
{
  mCustomers.OnKeyHeld("k");
  mCustomers.OnRun(0, mCustomer, "k");
  CHECK(mOracle.Violations().empty());
  mCustomers.OnRun(0, mCustomer, "other");
  CHECK(Count(mOracle, violation_kind::UnknownKeyRan) == 1);
}

TEST(CustomerOracle, SeesRevokedKeysAfterTheBound)
{
  mCustomers.OnKeyHeld("k");
  mCustomers.OnRevocationAcknowledged("k");
  mCustomers.OnKeyHeld("k2");
  Pass(customer_oracle::kRevokeTimeout);
  mCustomers.OnRun(0, mCustomer, "k");
  CHECK(mOracle.Violations().empty());
  Pass(1ms);
  mCustomers.OnRun(0, mCustomer, "k");
  mCustomers.OnRun(0, mCustomer, "k2");
  CHECK(Count(mOracle, violation_kind::RevokedKeyRan) == 1);
}

TEST(CustomerOracle, SeesMoreThanTheQuotaInAnyWindow)
{
  mCustomers.SetQuota(mCustomer, { 10, 10 }); // 86 in 5 s
  for (int i = 0; i < 86; ++i) {
    mCustomers.OnRun(0, mCustomer, "k");
  }
  CHECK(Count(mOracle, violation_kind::QuotaOvershot) == 0);
  Pass(4999ms);
  mCustomers.OnRun(0, mCustomer, "k");
  CHECK(Count(mOracle, violation_kind::QuotaOvershot) == 1);
  Pass(1ms);
  mCustomers.OnRun(0, mCustomer, "k");
  CHECK(Count(mOracle, violation_kind::QuotaOvershot) == 1);
}
