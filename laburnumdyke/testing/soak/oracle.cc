// Every check is a plain recount over records kept by request, upstream or
// instance; nothing is derived from the program's own counters.
#include "laburnumdyke/testing/soak/oracle.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// Longer than an identity is remembered and a process stays frozen.
constexpr std::chrono::seconds kKeepRequests{ 1000 };

// What was sent in time may still be under way.
constexpr std::chrono::milliseconds kUnderWay{ 50 };

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(violation_kind::Count)>
  kNames = {
    "double_run",         "false_not_run",        "not_run_after_run",
    "answer_of_another",  "slots_overshot",       "work_to_leaving",
    "version_went_back",  "version_not_spread",   "change_twice",
    "change_misreported", "lookup_names_stopped", "planned_stop_refused",
    "unknown_key_ran",    "revoked_key_ran",      "quota_overshot"
  };

bool
Has(const std::vector<std::uint32_t>& aList, std::uint32_t aOne)
{
  return std::find(aList.begin(), aList.end(), aOne) != aList.end();
}

// An instance that can't reach the issuer, or has no document, speaks for the
// attempt alone.
bool
SpeaksForIdentity(refusal_reason aReason)
{
  return aReason != refusal_reason::RelayConnect &&
         aReason != refusal_reason::NoDocument;
}

} // namespace

std::string_view
ToString(violation_kind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

void
oracle::Break(violation_kind aKind, std::string aState)
{
  ++mCounts.at(static_cast<std::size_t>(aKind));
  mSimulation.Trace(static_cast<std::uint64_t>(aKind));
  if (mViolations.size() < kMostKept) {
    mViolations.push_back({ aKind, mSimulation.Executed(), std::move(aState) });
  }
}

void
oracle::OnAttempt(attempt_tag aTag)
{
  auto found = mRequests.find(aTag.mRequest);
  if (found != mRequests.end()) {
    found->second.mLastAttempt = aTag.mAttempt;
  }
}

std::string
oracle::Text(attempt_tag aTag)
{
  return "request=" + std::to_string(aTag.mRequest) +
         " attempt=" + std::to_string(aTag.mAttempt);
}

void
oracle::OnRequest(std::uint64_t aRequest, bool aIdempotent)
{
  request_record& record = mRequests[aRequest];
  record.mIdempotent = aIdempotent;
  record.mMade = mSimulation.Now();
  mRequestOrder.push_back(aRequest);
  Forget();
}

void
oracle::Forget()
{
  while (!mRequestOrder.empty()) {
    auto found = mRequests.find(mRequestOrder.front());
    if (found->second.mMade + kKeepRequests > mSimulation.Now()) {
      return;
    }
    mRequests.erase(found);
    mRequestOrder.pop_front();
  }
}

void
oracle::OnTold(attempt_tag aTag,
               outcome_kind aOutcome,
               refusal_reason aReason,
               std::uint64_t aAnswerOf)
{
  auto found = mRequests.find(aTag.mRequest);
  if (found == mRequests.end()) {
    return;
  }
  request_record& record = found->second;
  std::string state = Text(aTag) + " reason=" + std::string(ToString(aReason));
  if (aOutcome == outcome_kind::Answered) {
    bool own = aReason == refusal_reason::AlreadyRun
                 ? record.mRuns > 0
                 : aAnswerOf == aTag.mRequest;
    if (!own) {
      Break(violation_kind::AnswerOfAnother,
            state + " answer_of=" + std::to_string(aAnswerOf));
    }
  }
  if (aOutcome == outcome_kind::NotRun) {
    record.mNotRun.push_back(aTag.mAttempt);
    if (Has(record.mRan, aTag.mAttempt)) {
      Break(violation_kind::FalseNotRun, state);
    } else if (!record.mIdempotent && record.mRuns > 0 &&
               SpeaksForIdentity(aReason) &&
               aTag.mAttempt == record.mLastAttempt) {
      Break(violation_kind::NotRunAfterRun, state);
    }
  }
}

void
oracle::OnRun(std::size_t aUpstream,
              std::uint32_t aSlots,
              std::uint64_t aRun,
              attempt_tag aTag,
              instant aDeadline)
{
  ++mRuns;
  std::vector<running>& inUse = mRunning[aUpstream];
  instant now = mSimulation.Now();
  inUse.erase(
    std::remove_if(inUse.begin(),
                   inUse.end(),
                   [&](const running& aOne) { return aOne.mDeadline <= now; }),
    inUse.end());
  inUse.push_back({ aRun, aDeadline });
  if (inUse.size() > aSlots) {
    Break(violation_kind::SlotsOvershot,
          "upstream=" + std::to_string(aUpstream) +
            " running=" + std::to_string(inUse.size()) +
            " slots=" + std::to_string(aSlots) + " " + Text(aTag));
  }
  auto found = mRequests.find(aTag.mRequest);
  if (found == mRequests.end()) {
    return;
  }
  request_record& record = found->second;
  ++record.mRuns;
  record.mRan.push_back(aTag.mAttempt);
  if (!record.mIdempotent && record.mRuns > 1) {
    Break(violation_kind::DoubleRun,
          Text(aTag) + " runs=" + std::to_string(record.mRuns));
  }
  if (Has(record.mNotRun, aTag.mAttempt)) {
    Break(violation_kind::FalseNotRun, Text(aTag) + " ran=later");
  }
}

void
oracle::OnRunEnd(std::size_t aUpstream, std::uint64_t aRun)
{
  std::vector<running>& inUse = mRunning[aUpstream];
  inUse.erase(
    std::remove_if(inUse.begin(),
                   inUse.end(),
                   [&](const running& aOne) { return aOne.mRun == aRun; }),
    inUse.end());
}

void
oracle::OnLeavingLearnt(std::size_t aUpstream,
                        process_address aInstance,
                        leaving_sign aSign)
{
  learnt& known = mLeaving[{ aUpstream, aInstance.mIndex, aSign }];
  if (known.mIncarnation != aInstance.mIncarnation) {
    known = { aInstance.mIncarnation, mSimulation.Now() };
  }
}

void
oracle::OnServingLearnt(std::size_t aUpstream, process_address aInstance)
{
  bool turned =
    mLeaving.erase({ aUpstream, aInstance.mIndex, leaving_sign::Document }) > 0;
  if (turned) {
    mLeaving.erase({ aUpstream, aInstance.mIndex, leaving_sign::OwnWord });
  }
}

void
oracle::OnServingAgain(std::size_t aUpstream)
{
  for (std::size_t i = 0; i < mSimulation.Processes(); ++i) {
    mLeaving.erase({ aUpstream, i, leaving_sign::OwnWord });
  }
}

void
oracle::OnWork(std::size_t aUpstream, process_address aSender)
{
  for (leaving_sign sign : { leaving_sign::Document, leaving_sign::OwnWord }) {
    auto found = mLeaving.find({ aUpstream, aSender.mIndex, sign });
    bool knows = found != mLeaving.end() &&
                 found->second.mIncarnation == aSender.mIncarnation;
    duration since =
      knows ? mSimulation.Now() - found->second.mAt : duration(0);
    if (since > kLeavingGrace + kUnderWay) {
      Break(violation_kind::WorkToLeaving,
            "upstream=" + std::to_string(aUpstream) +
              " instance=" + std::to_string(aSender.mIndex) + " sign=" +
              (sign == leaving_sign::Document ? "document" : "own_word") +
              " after_ms=" +
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(since)
                  .count()));
    }
  }
}

void
oracle::OnVersion(process_address aInstance, std::uint64_t aVersion)
{
  std::pair<std::uint64_t, std::uint64_t>& last = mInForce[aInstance.mIndex];
  if (last.first == aInstance.mIncarnation && aVersion <= last.second) {
    Break(violation_kind::VersionWentBack,
          "instance=" + std::to_string(aInstance.mIndex) + " from=" +
            std::to_string(last.second) + " to=" + std::to_string(aVersion));
  }
  last = { aInstance.mIncarnation, aVersion };
}

void
oracle::OnRowWritten(std::uint64_t aVersion, const std::string& aChangeId)
{
  mWritten.push_back({ aVersion, mSimulation.Now() });
  bool first = mChanges.emplace(aChangeId, aVersion).second;
  if (!first) {
    Break(violation_kind::ChangeTwice, "change_id=" + aChangeId);
  }
  auto told = mSubmitted.find(aChangeId);
  if (told != mSubmitted.end() && told->second != submission_kind::Accepted &&
      told->second != submission_kind::Unknown) {
    Break(violation_kind::ChangeMisreported,
          "change_id=" + aChangeId +
            " written=later told=" + std::string(ToString(told->second)));
  }
}

void
oracle::OnSubmitted(const std::string& aChangeId,
                    const submission_outcome& aOutcome)
{
  mSubmitted[aChangeId] = aOutcome.mKind;
  auto written = mChanges.find(aChangeId);
  bool isWritten = written != mChanges.end();
  bool wrong = false;
  switch (aOutcome.mKind) {
    case submission_kind::Accepted:
      wrong = !isWritten || written->second != aOutcome.mVersion;
      break;
    case submission_kind::Unknown:
      break;
    default:
      wrong = isWritten;
  }
  if (wrong) {
    Break(violation_kind::ChangeMisreported,
          "change_id=" + aChangeId +
            " told=" + std::string(ToString(aOutcome.mKind)));
  }
}

void
oracle::CheckSpread(process_address aInstance, std::uint64_t aVersion)
{
  std::uint64_t due = 0;
  for (auto it = mWritten.rbegin(); it != mWritten.rend() && due == 0; ++it) {
    if (mSimulation.Now() - it->mAt > kSpreadWithin) {
      due = it->mVersion;
    }
  }
  if (aVersion < due) {
    Break(violation_kind::VersionNotSpread,
          "instance=" + std::to_string(aInstance.mIndex) + " in_force=" +
            std::to_string(aVersion) + " due=" + std::to_string(due));
  }
}

void
oracle::OnLookup(process_address aAnswering,
                 std::size_t aNamed,
                 std::optional<instant> aStopped)
{
  instant now = mSimulation.Now();
  // A thawed instance first works through what has piled up.
  bool settled =
    now - mSimulation.Process(aAnswering.mIndex).mThawed > kLookupGrace;
  if (settled && aStopped && now - *aStopped > kLookupGrace) {
    Break(violation_kind::LookupNamesStopped,
          "instance=" + std::to_string(aAnswering.mIndex) +
            " named=" + std::to_string(aNamed));
  }
}

void
oracle::OnPlannedStopRefused(std::size_t aInstance)
{
  Break(violation_kind::PlannedStopRefused,
        "instance=" + std::to_string(aInstance));
}

} // namespace laburnumdyke
