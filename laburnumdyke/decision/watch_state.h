// Tracks the version reached by one kind of reading of the platform, and
// whether the platform is lost.
//
// Usage:
//   reading = Read(state.After());
//   if (state.Take(reading.mHead)) ... apply the reading
//
// Versions never decrease: a snapshot older than the current version, for
// example from a store that has just dropped its history, is rejected. If the
// store is restored from a backup, its era rises; from then on readings of an
// older era are rejected, and a snapshot must be read.
#pragma once

#include "laburnumdyke/decision/platform_reading.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace laburnumdyke {

class watch_state
{
public:
  // Single calls fail occasionally; two consecutive failures are an outage.
  static constexpr int kFailuresUntilLost = 2;
  // Pauses after the first failure and after several. The longest still leaves
  // most of a leaving upstream's time once the platform answers again.
  static constexpr std::chrono::milliseconds kFirstRetryPause{ 300 };
  static constexpr std::chrono::milliseconds kMaxRetryPause{ 1200 };

  // Version from which to read a delta; nullopt: read a snapshot.
  std::optional<store_version> After() const;

  // Records that the store is in aEra, as reported by an answer or by a peer.
  // Returns whether that is a restore after which a snapshot must be read;
  // false if the era is known, or if nothing has been read before.
  bool LearnEra(std::uint64_t aEra);

  // Whether no reading of the latest era has been applied since LearnEra()
  // returned true.
  bool AwaitsEra() const { return mAwaitsEra; }

  // Records a reading. Returns whether to apply it.
  bool Take(const reading_head& aHead);

  // The same for a reading copied from a peer, which says nothing about whether
  // the platform is reachable. Only a later version is applied.
  bool TakeFromPeer(const reading_head& aHead);

  store_version Version() const { return mVersion; }
  bool IsLost() const { return mFailures >= kFailuresUntilLost; }

  // How long a reading may wait for a change (long poll). Zero after a failure,
  // so that the recovery of an unresponsive platform is noticed soon.
  std::chrono::milliseconds LongPollWait(
    std::chrono::milliseconds aLongest) const
  {
    return mFailures == 0 ? aLongest : std::chrono::milliseconds(0);
  }

  // How long to pause after a failed reading. Grows with each failure in a row:
  // in an outage every instance asks in vain, and the platform counts all
  // calls.
  std::chrono::milliseconds RetryPause() const;

  // Returns true if the platform was lost since the last call, false if it
  // recovered, nullopt if neither.
  std::optional<bool> TakeOutageChange();

private:
  bool IsOfThisState(const reading_head& aHead) const;
  void Accept(const store_version& aVersion);

  store_version mVersion;
  std::uint64_t mEra = 0; // latest known; 0: unknown
  bool mNeedsSnapshot = true;
  bool mAwaitsEra = false;
  int mFailures = 0;
  bool mReportedLost = false;
};

// Returns the failure domains that are evacuated once aReading is applied.
std::set<domain_id>
ApplyEvacuations(const std::set<domain_id>& aBefore,
                 const control_reading& aReading);

} // namespace laburnumdyke
