// Whether an upstream may have started again since it was last known, so that
// it counts as cold although its registration doesn't say so yet.
//
// Load pattern: an upstream crashes and comes back under its own name. Its new
// registration is read about a second later, and meanwhile every instance would
// send it as much as before. A refused connection shows that its process has
// ended, so that the next answer is that of a new start. One that times out may
// show that its machine has, or that the network is cut: the instance itself
// can't tell, but it doesn't reach the upstream in either case. Others may, so
// they are told only if no link between failure domains is involved.
//
// Usage:
//   suspicion.Suspect(now);              // a connection has failed
//   suspicion.RecordAnswer(coldTime, now); // it answers, so it has started
//   suspicion.RecordRegistration(writtenAfter); // of the start that is known
//   if (suspicion.Holds(now)) ... treat it as cold
//
// The registration of another start ends what is known of the upstream, and the
// suspicion with it.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace laburnumdyke {

// Why no connection could be set up.
enum class connect_failure
{
  None,
  Refused,  // no process listens there
  TimedOut, // the machine or the network is silent
  Other,
};

// Tells other instances of a failed connection. mBorn: the start of the
// upstream that the instance knew, see upstream_entry.
struct restart_report
{
  upstream_id mId;
  std::chrono::milliseconds mBorn{ 0 };

  bool operator==(const restart_report&) const = default;
};

class restart_suspicion
{
public:
  // Longest time that a suspicion holds without further evidence.
  static constexpr std::chrono::seconds kMaxTime{ 15 };
  // A registration that the ended process was writing may take effect so much
  // later.
  static constexpr std::chrono::milliseconds kLateWriteTime{ 1000 };

  void Suspect(instant aNow)
  {
    mSince = aNow;
    mLast = aNow;
    mUntil = aNow + kMaxTime;
  }

  // An answer shows that the upstream has started; it is cold for at most
  // aColdTime from now on.
  void RecordAnswer(std::chrono::milliseconds aColdTime, instant aNow)
  {
    mUntil = std::min(mUntil, aNow + aColdTime);
  }

  // A registration of the known start that was written after aWrittenAfter.
  // instant::min(): at an unknown time.
  void RecordRegistration(instant aWrittenAfter)
  {
    if (mSince && aWrittenAfter >= *mSince + kLateWriteTime) {
      mSince.reset();
    }
  }

  bool Holds(instant aNow) const { return mSince && aNow < mUntil; }

  // Whether it holds or has held within aTime.
  bool HeldWithin(duration aTime, instant aNow) const
  {
    return mLast && aNow < *mLast + aTime;
  }

private:
  std::optional<instant> mSince; // the last evidence; nullopt: refuted
  std::optional<instant> mLast;  // the last evidence, refuted or not
  instant mUntil{};
};

} // namespace laburnumdyke
