// One randomised run, from its options to its report.
//
// Usage:
//   soak_run run({ seed, events });
//   run.Go();
//   soak_report report = run.Report();
//   ... report.mViolations is empty where everything held
//
// A run is a function of its options alone: the same seed and number of events
// give the same digest.
#pragma once

#include "laburnumdyke/testing/soak/customer_fleet.h"
#include "laburnumdyke/testing/soak/fault_plan.h"
#include "laburnumdyke/testing/soak/operators.h"

namespace laburnumdyke {

struct soak_options
{
  std::uint64_t mSeed = 1;
  std::uint64_t mEvents = 100000;
  bool mStopAtFirst = false; // ends the run at the first violation
  customer_fault mCustomerFault = customer_fault::None;
};

struct soak_report
{
  std::uint64_t mEvents = 0;
  std::uint64_t mDropped = 0;
  std::chrono::milliseconds mVirtual{ 0 };
  std::uint64_t mDigest = 0;
  std::uint64_t mRuns = 0; // at upstreams
  fault_counts mFaults{};
  std::array<service_outcomes, kSoakServices> mOutcomes{};
  std::array<customer_outcomes, kSoakCustomers> mCustomers{};
  std::array<std::uint64_t, 6> mSubmissions{};
  violation_counts mCounts{};
  std::vector<violation> mViolations; // the first of them
};

class soak_run
{
public:
  explicit soak_run(const soak_options& aOptions);

  soak_run(const soak_run&) = delete;
  soak_run& operator=(const soak_run&) = delete;

  void Go();
  soak_report Report() const;

  // The seed and event at which the run is, for the log of a broken invariant.
  std::uint64_t Event() const { return mSimulation.Executed(); }

private:
  soak_options mOptions;
  simulation mSimulation;
  oracle mOracle;
  network mNetwork;
  platform_mock mPlatform;
  customer_oracle mCustomerOracle;
  customer_store mCustomerStore;
  std::deque<upstream_mock> mUpstreams;
  std::array<std::unique_ptr<entry_instance>, kSoakEntries> mEntries;
  stop_records mStops{};
  soak_world mWorld;
  caller_fleet mCallers;
  customer_fleet mCustomers;
  operators mOperators;
  fault_plan mFaults;
  instant mBegan;
};

} // namespace laburnumdyke
