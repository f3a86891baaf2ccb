// Bounds the age of what this instance knows of the platform's configuration.
//
// Load pattern: keys are revoked while some instances cannot read the platform,
// have been paused, or learn of changes from peers alone. An instance may only
// accept a key if it would have heard of its revocation within a bound.
//
// The platform stamps its answers with its own steady clock. Knowledge is dated
// in that platform time, so that instances can pass the date on: a heartbeat
// says up to which platform time a version was the latest. The platform time of
// this moment is bounded from above by the answers that this instance itself
// received: the platform stamped an answer no earlier than its request was
// sent.
//
// A reading dates the version in force only if that is the latest one known to
// exist: a version that cannot be decoded may revoke a key as well as any
// other.
//
// Usage:
//   age.RecordAnswer(sent, stamp);           // any answer of the platform
//   age.RecordVersion(unreadable);           // this version exists
//   age.RecordCurrent(versionInForce, stamp); // it was the latest then
//   std::optional<std::chrono::milliseconds> known = age.At(now);
//
// Local times are of boot_clock, so that a suspension of the machine counts.
#pragma once

#include "laburnumdyke/kernel/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

using boot_instant = boot_clock::time_point;

// Time on the platform's clock, since an arbitrary start.
using platform_time = std::chrono::milliseconds;

class knowledge_age
{
public:
  // The clocks of machines may run apart by this ratio.
  static constexpr double kMaxClockDrift = 0.0005;

  // aSent: when the request was sent whose answer has the stamp.
  void RecordAnswer(boot_instant aSent, platform_time aStamp);

  // Records that aVersion of the configuration exists, whether or not it can be
  // put in force.
  void RecordVersion(std::uint64_t aVersion);

  // Records that aInForce, the version in force, was the latest at aAsOf, as
  // read by this instance or reported by a peer. No effect if it is outdated.
  void RecordCurrent(std::uint64_t aInForce, platform_time aAsOf);

  // Whether a later version than aInForce, the one in force, is known to exist.
  bool IsOutdated(std::uint64_t aInForce) const;

  // An upper bound of the time since which the version in force may be
  // outdated. nullopt if nothing is known.
  std::optional<std::chrono::milliseconds> At(boot_instant aNow) const;

  // The latest time at which the version in force was the latest.
  std::optional<platform_time> CurrentAsOf() const { return mCurrentAsOf; }

  // Drops all dates, for a platform whose clock has started anew. Versions are
  // the operator's own, so they are kept.
  void Reset();

private:
  struct stamped_answer
  {
    boot_instant mSent;
    platform_time mStamp{ 0 };
  };

  // An upper bound of the platform time at aNow.
  static platform_time LatestPlatformTime(const stamped_answer& aAnswer,
                                          boot_instant aNow);

  std::optional<stamped_answer> mAnswer; // the one that gives the closest bound
  std::optional<platform_time> mCurrentAsOf;
  std::uint64_t mLatestVersion = 0; // known to exist; 0: none
};

} // namespace laburnumdyke
