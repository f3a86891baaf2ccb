// Whether an upstream may have started again since it was last known, so that
// it counts as cold although its registration doesn't say so yet.
//
// Load pattern: an upstream crashes and comes back under its own name. Its new
// registration is read about a second later, and meanwhile every instance would
// send it as much as before. A refused connection suggests that its process has
// ended, so that the next answer is that of a new start. One that times out may
// show that its machine has, or that the network is cut: the instance itself
// can't tell, but it doesn't reach the upstream in either case. Others may, so
// they are told of a time-out only if no link between failure domains is
// involved.
//
// Usage:
//   suspicion.Suspect(kMaxTime, now);      // a connection has failed
//   suspicion.RecordAnswer(coldTime, now); // it answers, so it has started
//   suspicion.RecordRegistration(writtenAfter); // of the start that is known
//   suspicion.RecordNewStart(writtenAfter);     // of another start
//   if (suspicion.Holds(now)) ... treat it as cold
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
  Other,    // says nothing about the upstream
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
  // Longest time that a suspicion holds without further evidence. Shorter for
  // one that is not reported: a follower may not hear what refutes it.
  static constexpr std::chrono::seconds kMaxTime{ 15 };
  static constexpr std::chrono::seconds kMaxUnreportedTime{ 4 };
  static constexpr std::chrono::seconds kNewsInterval{ 5 };
  // A registration that the ended process was writing may take effect so much
  // later.
  static constexpr std::chrono::milliseconds kLateWriteTime{ 1000 };

  void Suspect(std::chrono::milliseconds aMaxTime, instant aNow)
  {
    mNewsAt = IsNews(aNow) ? aNow : mNewsAt;
    mUnrefuted = aNow;
    mLast = aNow;
    mUntil = aNow + aMaxTime;
    mHasAnswered = false;
  }

  // Whether a connection that fails now is news: the upstream isn't suspected,
  // or has answered since. The same evidence is news again after kNewsInterval,
  // since other instances meet none of their own.
  bool IsNews(instant aNow) const
  {
    return !Holds(aNow) || mHasAnswered || aNow - mNewsAt >= kNewsInterval;
  }

  // An answer shows that the upstream has started; it is cold for at most
  // aColdTime from now on.
  void RecordAnswer(std::chrono::milliseconds aColdTime, instant aNow)
  {
    mUntil = std::min(mUntil, aNow + aColdTime);
    mHasAnswered = true;
  }

  // A registration of the known start that was written after aWrittenAfter.
  // instant::min(): at an unknown time.
  void RecordRegistration(instant aWrittenAfter)
  {
    if (mUnrefuted && aWrittenAfter >= *mUnrefuted + kLateWriteTime) {
      mUnrefuted.reset();
    }
  }

  // A registration of another start that was written after aWrittenAfter. That
  // start may have ended before the last evidence.
  void RecordNewStart(instant aWrittenAfter)
  {
    if (mUnrefuted && aWrittenAfter >= *mUnrefuted) {
      mUnrefuted.reset();
    }
  }

  bool Holds(instant aNow) const { return mUnrefuted && aNow < mUntil; }

  // Whether it holds or has held within aTime.
  bool HeldWithin(duration aTime, instant aNow) const
  {
    return mLast && aNow < *mLast + aTime;
  }

private:
  std::optional<instant> mUnrefuted; // the last evidence unless refuted since
  std::optional<instant> mLast;      // the last evidence, refuted or not
  instant mNewsAt{};
  instant mUntil{};
  bool mHasAnswered = false; // since the last evidence
};

} // namespace laburnumdyke
