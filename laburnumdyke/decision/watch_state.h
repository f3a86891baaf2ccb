// How far one kind of reading of the platform has come, and whether the
// platform is lost.
//
// Usage:
//   reading = Read(state.After());
//   if (state.Take(reading.mHead, now)) ... what it says is news
//
// Versions only grow: a whole reading that is older than what is known, as
// from a store that has just dropped its history, is not taken.
#pragma once

#include "laburnumdyke/decision/platform_news.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace laburnumdyke {

class watch_state
{
public:
  // A single call fails now and then; two in a row are an outage.
  static constexpr int kLostAfter = 2;

  // Read changes after this version; nothing: read the whole.
  std::optional<std::uint64_t> After() const;

  // Whether the reading is to be taken.
  bool Take(const reading_head& aHead);

  // The same for a peer's copy, which tells nothing of the platform.
  bool TakeFromPeer(const reading_head& aHead);

  std::uint64_t Version() const { return mVersion; }
  bool IsLost() const { return mFailures >= kLostAfter; }

  // How long a reading may wait for a change: not at all after a failure, so
  // that a platform that falls silent is found back soon after its return.
  std::chrono::milliseconds MayWait(std::chrono::milliseconds aLongest) const
  {
    return mFailures == 0 ? aLongest : std::chrono::milliseconds(0);
  }

  // Whether the platform was lost or came back since the last call.
  std::optional<bool> TakeTurn();

private:
  std::uint64_t mVersion = 0;
  bool mNeedsWhole = true;
  int mFailures = 0;
  bool mSaidLost = false;
};

// The failure domains that are evacuated after a reading.
std::set<domain_id>
NextEvacuated(const std::set<domain_id>& aBefore,
              const control_reading& aReading);

} // namespace laburnumdyke
