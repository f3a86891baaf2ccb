// Mean load of the upstreams of a service in one region, from the load reports
// in this instance's answers.
//
// Load pattern: a hundred instances each send an upstream less than one request
// a second, so that its last report is seconds old when the next request comes.
// Were it taken for idle by then, all instances would go on sending to
// upstreams whose queues are full. Reports of the others are recent: an
// instance gets some from the service every few hundred milliseconds.
//
// Usage:
//   load.Report(report, now);
//   double others = load.PerSlot(now) * slots;
#pragma once

#include "laburnumdyke/decision/load_estimate.h"

#include <chrono>

namespace laburnumdyke {

class service_load
{
public:
  // Time constant of the mean: about the duration of a few requests.
  static constexpr std::chrono::milliseconds kMeanTime{ 1000 };
  // Time constant with which the mean is forgotten while there are no reports,
  // so that a service whose upstreams all seemed full is tried again.
  static constexpr std::chrono::milliseconds kForgetTime{ 2000 };

  void Report(const reported_load& aReport, instant aNow);

  // Requests expected to run or wait for each slot of an upstream without a
  // recent report. 0 while the mean is at most 1 per slot, since uncached
  // requests would otherwise be refused although a slot is free. Above that,
  // the mean times three factors from 0 to 1: the excess over 1 (at most 1),
  // the confidence in the number of recent reports, and a decay with the time
  // since the last one (kForgetTime). 0 without reports.
  double PerSlot(instant aNow) const;

private:
  double mSum = 0;    // of reported loads per slot, decayed
  double mWeight = 0; // of the reports in mSum
  instant mReported{};
};

} // namespace laburnumdyke
