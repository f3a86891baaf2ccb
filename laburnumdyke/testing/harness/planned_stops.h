// Planned stops of real daemons under load of all three ranks, each followed
// by a start on the same addresses.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumdyke {

struct stop_report
{
  bool mStarted = false; // every daemon came up, also after each stop
  std::size_t mStops = 0;
  std::size_t mBadStatus = 0; // exit statuses other than 0
  std::size_t mCut = 0;       // connections cut under a request
  std::uint64_t mAnswered = 0;
  std::uint64_t mWrong = 0;
  std::uint64_t mRunTwice = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mOvershot = 0;
  std::chrono::milliseconds mLongest{ 0 }; // from signal to exit
};

// Stops two daemons of different failure domains at a time, until aStops.
stop_report
RunPlannedStops(std::size_t aStops, std::uint64_t aSeed);

void
PrintStops(const stop_report& aReport);

} // namespace laburnumdyke
