// One thread, one queue: concurrency is the order of events.
#include "laburnumdyke/testing/soak/soak_run.h"

namespace laburnumdyke {

soak_run::soak_run(const soak_options& aOptions)
  : mOptions(aOptions)
  , mSimulation(aOptions.mSeed, kSoakEntries)
  , mOracle(mSimulation)
  , mNetwork(mSimulation)
  , mPlatform(mSimulation, mOracle)
  , mCustomerOracle(mSimulation, mOracle)
  , mCustomerStore(mSimulation, mCustomerOracle, mPlatform)
  , mWorld{ mSimulation,     mOracle,        mNetwork,
            mPlatform,       mUpstreams,     mEntries,
            mCustomerOracle, mCustomerStore, aOptions.mCustomerFault }
  , mCallers(mWorld, mStops)
  , mCustomers(mWorld)
  , mOperators(mSimulation, mOracle, mPlatform)
  , mFaults(mWorld, mCallers, mStops)
  , mBegan(mSimulation.Now())
{
  for (std::size_t i = 0; i < kSoakUpstreams; ++i) {
    mUpstreams.emplace_back(mSimulation, mOracle, i);
  }
}

void
soak_run::Go()
{
  mOperators.Start();
  mFaults.Start();
  mCallers.Start();
  mCustomerStore.Start();
  mCustomers.Start();
  while (mSimulation.Executed() < mOptions.mEvents &&
         !(mOptions.mStopAtFirst && !mOracle.Violations().empty())) {
    mSimulation.Step();
  }
}

soak_report
soak_run::Report() const
{
  soak_report report;
  report.mEvents = mSimulation.Executed();
  report.mDropped = mSimulation.Dropped();
  report.mVirtual = std::chrono::duration_cast<std::chrono::milliseconds>(
    mSimulation.Now() - mBegan);
  report.mDigest = mSimulation.Digest();
  report.mRuns = mOracle.Runs();
  report.mFaults = mFaults.Counts();
  report.mOutcomes = mCallers.Outcomes();
  report.mCustomers = mCustomers.Outcomes();
  report.mSubmissions = mOperators.Outcomes();
  report.mCounts = mOracle.Counts();
  report.mViolations = mOracle.Violations();
  return report;
}

} // namespace laburnumdyke
