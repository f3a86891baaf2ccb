// Polls the version in force of every daemon while a test goes on, and counts
// the times that one goes back.
//
// Usage:
//   version_watch watch(deployed);
//   ...kills, cuts, submissions...
//   watch.Stop();
//   watch.Decreases()
//
// The record of a daemon goes on across its restarts. Version 0, no document,
// counts as no reading: such an instance refuses work.
#pragma once

#include "laburnumdyke/testing/harness/deployment.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace laburnumdyke {

class version_watch
{
public:
  explicit version_watch(const deployment& aDeployment);
  ~version_watch();
  version_watch(const version_watch&) = delete;
  version_watch& operator=(const version_watch&) = delete;

  void Stop();

  // After Stop.
  std::uint64_t Readings() const { return mReadings; }
  const std::vector<std::string>& Decreases() const { return mDecreases; }

private:
  void Run();
  void Read(const std::string& aName);

  const deployment& mDeployment;
  std::map<std::string, std::uint64_t> mHighest;
  std::uint64_t mReadings = 0;
  std::vector<std::string> mDecreases; // what was seen
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

// The version in force at a daemon; 0 where it does not answer soon.
std::uint64_t
VersionAt(const deployment& aDeployment, const std::string& aName);

struct spreading
{
  bool mEverywhere = false;
  std::chrono::milliseconds mWorst{ 0 };
  std::string mLast; // the daemon that had it last
};

// Waits until each named daemon has a version in force.
spreading
WaitInForce(const deployment& aDeployment,
            const std::vector<std::string>& aNames,
            std::uint64_t aVersion,
            std::chrono::milliseconds aLimit);

} // namespace laburnumdyke
