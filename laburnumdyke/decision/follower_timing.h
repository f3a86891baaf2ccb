// Decides when a follower requests updates from its reader, and when it reads
// the platform itself.
//
// Load pattern: upstreams leave while a reader freezes, stops or has no update.
// A follower must learn of each departure within a bound. Its deadlines
// therefore depend on the age of its data, which includes the age of the update
// when sent: a reader may send what it read some time ago.
//
// Usage:
//   timing.KnownAsOf(asOf);
//   timeout = timing.UpdateTimeout(now);
//   if (!received && !timing.MayRetryReader(now)) ... read the platform
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>

namespace laburnumdyke {

class follower_timing
{
public:
  // aBound: time within which instances must stop sending to an upstream that
  // leaves.
  explicit follower_timing(std::chrono::milliseconds aBound)
    : mBound(aBound)
  {
  }

  // Records that all changes up to aAsOf are known.
  void KnownAsOf(instant aAsOf) { mKnownAsOf = std::max(mKnownAsOf, aAsOf); }

  // Age of the known state.
  std::chrono::milliseconds Age(instant aNow) const;

  // Interval between the starts of two readings of a reader, before jitter.
  std::chrono::milliseconds ReadInterval() const;

  // How long a reader waits after a reading, before jitter: less after one that
  // took long, since its data is as old as its start.
  std::chrono::milliseconds ReadPause(instant aNow) const;

  // How long to wait for an update before reading the platform.
  std::chrono::milliseconds UpdateTimeout(instant aNow) const;

  // Whether a reader that had no update may be asked again, instead of reading
  // the platform.
  bool MayRetryReader(instant aNow) const;

private:
  std::chrono::milliseconds mBound;
  instant mKnownAsOf{};
};

} // namespace laburnumdyke
