// A slow, obvious recount of what must always hold, from what upstreams see
// and callers are told. It knows nothing of the decisions.
//
// Usage: each On... is called as the event happens; Violations() holds what
// broke, with the event's number and its state.
//
// Checked: runs of each request that is not idempotent (at most 1); attempts
// told "not run" that ran, before or later; answers of another request; slots
// in use at each upstream until the requests' deadlines; new work to a leaving
// upstream later than kLeavingGrace after the sender learnt of it; versions in
// force at each incarnation; versions spread within kSpreadWithin; changes
// applied twice or reported wrongly; look-ups that name stopped instances.
#pragma once

#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/testing/soak/simulation.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

enum class violation_kind
{
  DoubleRun,
  FalseNotRun,
  NotRunAfterRun, // told by the issuer, of an identity that had run
  AnswerOfAnother,
  SlotsOvershot,
  WorkToLeaving,
  VersionWentBack,
  VersionNotSpread,
  ChangeTwice,
  ChangeMisreported,
  LookupNamesStopped,
  PlannedStopRefused, // a cached look-up named an instance that had exited
  UnknownKeyRan,      // the key was in no configuration
  RevokedKeyRan,
  QuotaOvershot,
  Count,
};

std::string_view
ToString(violation_kind aKind);

struct violation
{
  violation_kind mKind;
  std::uint64_t mEvent;
  std::string mState; // key=value
};

using violation_counts =
  std::array<std::uint64_t, static_cast<std::size_t>(violation_kind::Count)>;

// How an instance learns that an upstream leaves.
enum class leaving_sign
{
  Document,
  OwnWord, // a refusal or its load page
};

// One try of a caller at a request.
struct attempt_tag
{
  std::uint64_t mRequest = 0;
  std::uint32_t mAttempt = 0;
};

class oracle
{
public:
  static constexpr std::chrono::seconds kLeavingGrace{ 3 };
  static constexpr std::chrono::seconds kSpreadWithin{ 5 };
  // A peer counts as dead after 2.5 s; the rest is for messages under way.
  static constexpr std::chrono::seconds kLookupGrace{ 4 };
  static constexpr std::size_t kMostKept = 50; // violations with their state

  explicit oracle(simulation& aSimulation)
    : mSimulation(aSimulation)
  {
  }

  void OnRequest(std::uint64_t aRequest, bool aIdempotent);
  // A caller sends.
  void OnAttempt(attempt_tag aTag);
  void OnTold(attempt_tag aTag,
              outcome_kind aOutcome,
              refusal_reason aReason,
              std::uint64_t aAnswerOf);

  // A request arrived at an upstream and runs.
  void OnRun(std::size_t aUpstream,
             std::uint32_t aSlots,
             std::uint64_t aRun,
             attempt_tag aTag,
             instant aDeadline);
  void OnRunEnd(std::size_t aUpstream, std::uint64_t aRun);

  // Work came to an upstream, whether it runs or is refused.
  void OnWork(std::size_t aUpstream, process_address aSender);
  void OnLeavingLearnt(std::size_t aUpstream,
                       process_address aInstance,
                       leaving_sign aSign);
  // A newer document says that the upstream serves: where the one before said
  // that it leaves, this is a newer sign than the upstream's own.
  void OnServingLearnt(std::size_t aUpstream, process_address aInstance);
  // The upstream itself serves again.
  void OnServingAgain(std::size_t aUpstream);

  void OnVersion(process_address aInstance, std::uint64_t aVersion);
  void OnRowWritten(std::uint64_t aVersion, const std::string& aChangeId);
  void OnSubmitted(const std::string& aChangeId,
                   const submission_outcome& aOutcome);
  // The instance had no fault for long enough.
  void CheckSpread(process_address aInstance, std::uint64_t aVersion);

  // aStopped: since when the named instance is killed or leaving.
  void OnLookup(process_address aAnswering,
                std::size_t aNamed,
                std::optional<instant> aStopped);

  // A planned stop has refused a caller that kept to its look-up's answer.
  void OnPlannedStopRefused(std::size_t aInstance);

  // Records a violation.
  void Break(violation_kind aKind, std::string aState);

  const std::vector<violation>& Violations() const { return mViolations; }
  const violation_counts& Counts() const { return mCounts; }
  std::uint64_t Runs() const { return mRuns; }

private:
  struct request_record
  {
    bool mIdempotent = true;
    std::uint32_t mRuns = 0;
    std::uint32_t mLastAttempt = 0;
    std::vector<std::uint32_t> mRan;    // attempts
    std::vector<std::uint32_t> mNotRun; // attempts told so
    instant mMade{};
  };

  struct running
  {
    std::uint64_t mRun = 0;
    instant mDeadline{};
  };

  struct written_version
  {
    std::uint64_t mVersion = 0;
    instant mAt{};
  };

  struct leaving_key
  {
    std::size_t mUpstream = 0;
    std::size_t mInstance = 0;
    leaving_sign mSign = leaving_sign::Document;
    auto operator<=>(const leaving_key&) const = default;
  };

  struct learnt
  {
    std::uint64_t mIncarnation = 0;
    instant mAt{};
  };

  void Forget();
  static std::string Text(attempt_tag aTag);

  simulation& mSimulation;
  std::unordered_map<std::uint64_t, request_record> mRequests;
  std::deque<std::uint64_t> mRequestOrder;
  std::map<std::size_t, std::vector<running>> mRunning;
  std::map<leaving_key, learnt> mLeaving;
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> mInForce;
  std::vector<written_version> mWritten;
  std::map<std::string, std::uint64_t> mChanges;
  std::map<std::string, submission_kind> mSubmitted;
  std::vector<violation> mViolations;
  violation_counts mCounts{};
  std::uint64_t mRuns = 0;
};

} // namespace laburnumdyke
