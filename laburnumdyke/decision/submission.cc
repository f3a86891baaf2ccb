// A state machine that performs no I/O. The first read of the row determines
// the expected revision of all writes. A read after a write tells whether the
// change has taken effect (the row lists it), can still do so (the revision is
// unchanged), or has lost to another change (the revision is newer and the row
// does not list the change).
#include "laburnumdyke/decision/submission.h"

#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <array>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kInitialBackoff{ 100 };
constexpr std::chrono::milliseconds kMaxBackoff{ 2000 };

constexpr std::array<std::string_view, 6> kKindNames = {
  "accepted", "unchanged", "conflict", "refused", "unavailable", "unknown"
};

} // namespace

std::string_view
ToString(submission_kind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

submission::submission(submission_request aRequest, instant aNow)
  : mRequest(std::move(aRequest))
  , mDeadline(aNow + mRequest.mTimeout)
  , mBackoff(kInitialBackoff)
{
}

submission_action
submission::Start(instant aNow)
{
  submission_outcome refused;
  refused.mKind = submission_kind::Refused;
  document_result parsed = ParseDocument(mRequest.mText);
  refused.mFaults = std::move(parsed.mFaults);
  if (!IsRowToken(mRequest.mChangeId) || !IsRowToken(mRequest.mSubmitter)) {
    refused.mFaults.push_back(
      { 0,
        "change_id, submitter",
        "1 to 64 letters, digits, '-', '_', '.' or '@'" });
  }
  if (!refused.mFaults.empty()) {
    refused.mReason = "invalid document, change id or submitter";
    return refused;
  }
  mDocument = std::move(parsed.mDocument);
  mCanonical = RenderDocument(*mDocument);
  mHash = DocumentHash(mCanonical);
  mRequest.mText.clear();
  mDeadline = aNow + mRequest.mTimeout;
  return read_row_action{};
}

submission_action
submission::OnRow(const std::optional<row_snapshot>& aRow, instant aNow)
{
  if (!aRow) {
    return RetryLater(read_row_action{}, aNow);
  }
  config_row state;
  if (aRow->mRevision > 0) {
    std::optional<config_row> decoded = DecodeConfigRow(aRow->mValue);
    if (!decoded) {
      return Finish(mWriteSent ? submission_kind::Unknown
                               : submission_kind::Unavailable,
                    0,
                    "the row in the platform's table is malformed");
    }
    state = std::move(*decoded);
  }
  const config_version* own = state.Find(mRequest.mChangeId);
  if (own != nullptr) {
    bool same = own->mContentHash == mHash;
    return Finish(same ? submission_kind::Accepted : submission_kind::Refused,
                  own->mVersion,
                  same ? "" : "change id already used for another document");
  }
  return mWriteSent ? ResolveWrite(*aRow, state, aNow)
                    : OnFirstRow(*aRow, state);
}

submission_action
submission::OnFirstRow(const row_snapshot& aRow, const config_row& aState)
{
  std::uint64_t version = aState.mVersion;
  if (version > 0 && aState.mContentHash == mHash) {
    return Finish(submission_kind::Unchanged, version, "");
  }
  if (mRequest.mBase && *mRequest.mBase != version) {
    return Conflict(aState);
  }
  config_row next = aState.Next(mHash, mRequest.mChangeId, mRequest.mSubmitter);
  CheckInvariant(next.mVersion > version, "config_version_grows", [&]() {
    return "version=" + std::to_string(version);
  });
  mBaseVersion = version;
  mWrite = write_row_action{ aRow.mRevision, EncodeConfigRow(next) };
  return put_object_action{ mHash, mCanonical };
}

submission_action
submission::ResolveWrite(const row_snapshot& aRow,
                         const config_row& aState,
                         instant aNow)
{
  bool isStale = aRow.mRevision < mWrite->mRevision ||
                 (mMismatchSeen && aRow.mRevision == mWrite->mRevision);
  if (isStale) {
    return RetryLater(read_row_action{}, aNow);
  }
  if (aRow.mRevision == mWrite->mRevision) {
    return *mWrite;
  }
  if (!aState.ReachesBackTo(mBaseVersion)) {
    return Finish(submission_kind::Unknown,
                  aState.mVersion,
                  "the row no longer lists all versions since the write");
  }
  return Conflict(aState);
}

submission_action
submission::Conflict(const config_row& aState)
{
  mWinningVersion = aState.mVersion;
  if (mWinningVersion == 0) {
    return Finish(submission_kind::Conflict, 0, "no version is in force");
  }
  return get_object_action{ aState.mContentHash };
}

submission_action
submission::OnObjectStored(bool aStored, instant aNow)
{
  if (!aStored) {
    return RetryLater(put_object_action{ mHash, mCanonical }, aNow);
  }
  mWriteSent = true;
  return *mWrite;
}

submission_action
submission::OnObject(const std::optional<std::string>& aText, instant)
{
  submission_outcome outcome;
  outcome.mKind = submission_kind::Conflict;
  outcome.mVersion = mWinningVersion;
  outcome.mReason = "another version was submitted first";
  if (aText) {
    document_result winner = ParseDocument(*aText);
    if (winner.mDocument) {
      outcome.mChanges = Difference(*winner.mDocument, *mDocument);
    }
  }
  return outcome;
}

submission_action
submission::OnWritten(write_answer aResult, instant aNow)
{
  switch (aResult) {
    case write_answer::Written:
      return Finish(submission_kind::Accepted, mBaseVersion + 1, "");
    case write_answer::Mismatch:
      mMismatchSeen = true;
      return read_row_action{};
    case write_answer::NoAnswer:
      break;
  }
  return RetryLater(read_row_action{}, aNow);
}

submission_action
submission::OnTimer(instant aNow)
{
  CheckInvariant(mPending.has_value(), "submission_waits", "pending=none");
  submission_action next = std::move(*mPending);
  mPending.reset();
  if (aNow < mDeadline) {
    return next;
  }
  return mWriteSent
           ? Finish(submission_kind::Unknown,
                    0,
                    "the platform did not respond after a write was sent")
           : Finish(
               submission_kind::Unavailable, 0, "the platform did not respond");
}

submission_action
submission::RetryLater(submission_action aAction, instant aNow)
{
  mPending = std::move(aAction);
  instant until = std::min(aNow + mBackoff, mDeadline);
  mBackoff = std::min(mBackoff * 2, kMaxBackoff);
  return wait_action{ std::max(until, aNow) };
}

submission_action
submission::Finish(submission_kind aKind,
                   std::uint64_t aVersion,
                   std::string aReason) const
{
  submission_outcome outcome;
  outcome.mKind = aKind;
  outcome.mVersion = aVersion;
  outcome.mReason = std::move(aReason);
  return outcome;
}

} // namespace laburnumdyke
