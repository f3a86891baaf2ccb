// How many requests an upstream has, as far as one instance can tell.
//
// Load pattern: many instances send a few requests a second each to the same
// upstream. An instance knows its own requests exactly; those of the others it
// learns from the load that comes with answers, which is true for an instant
// and stale soon after. The estimate starts at the last report and returns to
// the mean of the reports, as the requests that were counted end. Before any
// report the others are taken to do as the instance itself does: in the first
// moments of a flood all of them would else find the same upstream free.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumdyke {

struct reported_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

class load_estimate
{
public:
  // About the time that one request takes, after which a report says little.
  static constexpr std::chrono::milliseconds kReportLife{ 300 };
  // Over which the mean of the others' requests is formed.
  static constexpr std::chrono::seconds kMeanOver{ 2 };

  void Begin() { ++mOwn; }
  void End() { mOwn -= mOwn > 0 ? 1 : 0; }
  std::uint32_t Own() const { return mOwn; }

  // A report that came with an answer, after End of its request.
  void Report(const reported_load& aReport, instant aNow);

  // Requests of all instances that run or wait there. aSenders: instances
  // that send to it, this one included.
  double Estimate(std::size_t aSenders, instant aNow) const;

private:
  std::uint32_t mOwn = 0;
  double mOthers = 0; // at the last report
  double mMean = 0;   // of the others, over kMeanOver
  instant mReported{};
  bool mHasReport = false;
};

} // namespace laburnumdyke
