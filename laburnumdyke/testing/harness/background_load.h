// Callers that run beside a test until it stops them.
//
// Usage:
//   background_load load(entries, seed);
//   load.Callers().Add(plan, 6);
//   load.Start();
//   ...
//   const caller_report& report = load.Stop();
#pragma once

#include "laburnumdyke/testing/harness/caller.h"

#include <thread>

namespace laburnumdyke {

class background_load
{
public:
  background_load(const std::vector<endpoint>& aFirst, std::uint64_t aSeed)
    : mCallers(aFirst, aSeed)
  {
  }

  ~background_load() { Stop(); }
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;

  caller_group& Callers() { return mCallers; }

  void Start()
  {
    mThread = std::thread([this]() { mCallers.Run(); });
  }

  // Waits for the requests under way. Idempotent.
  const caller_report& Stop()
  {
    mCallers.Stop();
    if (mThread.joinable()) {
      mThread.join();
    }
    return mCallers.Report();
  }

private:
  caller_group mCallers;
  std::thread mThread;
};

} // namespace laburnumdyke
