// One instance's estimate of the number of requests at an upstream.
//
// Load pattern: many instances each send a few requests a second to the same
// upstream. An instance knows its own requests exactly. Those of the others
// come from the load reports in answers, which are soon stale. The estimate
// starts at the last report and decays to the mean of the reports, as the
// requests that the report counted end. Before the first report, the other
// instances are assumed to have as many requests there as this one: otherwise
// all of them would see the same upstream as idle at the start of a flood.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

struct reported_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  // How long work currently takes on the upstream's machine, in percent of the
  // usual; only some services report it.
  std::optional<std::uint32_t> mWorkPercent{};
};

class load_estimate
{
public:
  // Time constant of the decay from a report to the mean: about the duration of
  // one request.
  static constexpr std::chrono::milliseconds kReportDecayTime{ 300 };
  // Time constant of the mean of the other instances' requests.
  static constexpr std::chrono::seconds kMeanDecayTime{ 2 };

  // Count the start and the end of a request of this instance.
  void Begin() { ++mOwnRequests; }
  void End() { mOwnRequests -= mOwnRequests > 0 ? 1 : 0; }
  std::uint32_t Own() const { return mOwnRequests; }

  // Records the load report of an answer; call it after End of its request.
  void Report(const reported_load& aReport, instant aNow);

  // The estimated number of requests of all instances that run or wait at the
  // upstream. aSenders: instances that send to it, including this one. aUsual:
  // requests expected at an upstream without a recent report
  // (service_load::PerSlot() times slots). The estimate approaches it, plus the
  // own requests, as the last report ages.
  double Estimate(std::size_t aSenders, double aUsual, instant aNow) const;

private:
  std::uint32_t mOwnRequests = 0;
  double mOtherRequests = 0; // at the last report
  double mMeanOthers = 0;    // exponential mean of mOtherRequests
  instant mReported{};
  bool mHasReport = false;
};

} // namespace laburnumdyke
