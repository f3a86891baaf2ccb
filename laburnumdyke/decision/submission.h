// Submits a document by compare-and-swap on one row, with a change id that
// makes the submission idempotent.
//
// Usage:
//   submission one(request, now);
//   submission_action action = one.Start(now);
//   while (!std::holds_alternative<submission_outcome>(action)) {
//     action = ...; // perform it and pass the result to the On... function
//   }
//
// The object is stored first and the row is written last, so a row never refers
// to a missing object; an object that no row refers to is harmless. If the
// response to a write is lost, the row is read again and searched for the
// change id. Retried writes expect the same revision of the row, so at most one
// of them can take effect, however late it arrives.
//
// Options: the document's text, the change id (to be reused when the submission
// is repeated), the submitter, the version that the change is based on, and the
// timeout.
//
// Errors are reported as submission_outcome.
#pragma once

#include "laburnumdyke/decision/config_row.h"
#include "laburnumdyke/decision/document_difference.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnumdyke {

struct submission_request
{
  std::string mText;
  std::string mChangeId;
  std::string mSubmitter;
  // Version that the change is based on; nullopt stands for the version in
  // force when the row is first read.
  std::optional<std::uint64_t> mBase;
  std::chrono::milliseconds mTimeout{ 30000 };
};

enum class submission_kind
{
  Accepted,    // the document is version mVersion
  Unchanged,   // version mVersion, in force, has the same content
  Conflict,    // another change came first; sets mVersion and mChanges
  Refused,     // the request is invalid; see mFaults or mReason
  Unavailable, // nothing was written
  Unknown,     // a write was sent whose effect could not be determined
};

std::string_view
ToString(submission_kind aKind);

struct submission_outcome
{
  submission_kind mKind = submission_kind::Unavailable;
  std::uint64_t mVersion = 0;
  std::vector<text_fault> mFaults;
  // For Conflict: changes from the document in force to the submitted one;
  // nullopt if the document in force could not be read.
  std::optional<std::vector<document_change>> mChanges;
  std::string mReason;
};

struct read_row_action
{};

// Store a document's objects (document_chunks.h), the manifest last.
struct put_object_action
{
  std::string mHash; // of the document
  std::string mText; // canonical
};

// Read a document's objects and join them.
struct get_object_action
{
  std::string mHash;
};

struct write_row_action
{
  std::uint64_t mRevision; // expected revision; 0: the row must not exist
  std::string mValue;
};

// Call OnTimer at mUntil.
struct wait_action
{
  instant mUntil;
};

using submission_action = std::variant<read_row_action,
                                       put_object_action,
                                       get_object_action,
                                       write_row_action,
                                       wait_action,
                                       submission_outcome>;

// The row as read; revision 0 if it does not exist.
struct row_snapshot
{
  std::uint64_t mRevision = 0;
  std::string mValue;
};

enum class write_answer
{
  Written,
  Mismatch, // the row had another revision
  NoAnswer, // may have taken effect or may still do so
};

class submission
{
public:
  submission(submission_request aRequest, instant aNow);

  submission_action Start(instant aNow);

  // aRow: nullopt if there was no response.
  submission_action OnRow(const std::optional<row_snapshot>& aRow,
                          instant aNow);
  submission_action OnObjectStored(bool aStored, instant aNow);
  // aText: nullopt if the object could not be read.
  submission_action OnObject(const std::optional<std::string>& aText,
                             instant aNow);
  submission_action OnWritten(write_answer aResult, instant aNow);
  submission_action OnTimer(instant aNow);

private:
  submission_action OnFirstRow(const row_snapshot& aRow,
                               const config_row& aState);
  submission_action ResolveWrite(const row_snapshot& aRow,
                                 const config_row& aState,
                                 instant aNow);
  submission_action RetryLater(submission_action aAction, instant aNow);
  submission_action Conflict(const config_row& aState);
  submission_action Finish(submission_kind aKind,
                           std::uint64_t aVersion,
                           std::string aReason) const;

  submission_request mRequest;
  instant mDeadline;
  std::chrono::milliseconds mBackoff;
  std::optional<document> mDocument;
  std::string mCanonical;
  std::string mHash;
  std::optional<write_row_action> mWrite; // set after the first read of the row
  std::uint64_t mBaseVersion = 0;
  bool mWriteSent = false;    // a write was sent
  bool mMismatchSeen = false; // a write found another revision
  std::uint64_t mWinningVersion = 0;
  std::optional<submission_action> mPending; // next action after a wait
};

} // namespace laburnumdyke
