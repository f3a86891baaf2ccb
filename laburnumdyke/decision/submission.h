// Submission of a document: compare-and-swap on one row, with a change id.
//
// Usage:
//   submission one(request, now);
//   submission_action action = one.Start(now);
//   while (!std::holds_alternative<submission_outcome>(action)) {
//     action = ...; // perform it and hand the answer to the On... function
//   }
//
// The object is stored first and the row is written last, so that a row never
// names an object that isn't there; an object without a row harms nothing. A
// write whose answer is lost is resolved by reading the row and looking for
// the change id. Repeated writes expect the same revision of the row, so at
// most one of them can take effect, however late they arrive.
//
// Options: the document's text, the change id (the same one makes a repeated
// submission idempotent), the submitter, the version that the change is based
// on, and how long to keep trying.
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
  // Nothing: whatever version is in force when the row is first read.
  std::optional<std::uint64_t> mBase;
  std::chrono::milliseconds mPatience{ 30000 };
};

enum class submission_kind
{
  Accepted,    // mVersion holds the document
  Unchanged,   // mVersion, in force already, has the same content
  Conflict,    // another change came first: mVersion, mChanges
  Refused,     // mFaults
  Unavailable, // nothing was written
  Unknown,     // written, and the row could not be read since
};

std::string_view
ToString(submission_kind aKind);

struct submission_outcome
{
  submission_kind mKind = submission_kind::Unavailable;
  std::uint64_t mVersion = 0;
  std::vector<text_fault> mFaults;
  // Conflict: from the winner's document to the submitted one; nothing where
  // the winner's could not be read.
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
  std::uint64_t mRevision; // expected; 0: the row must not exist
  std::string mValue;
};

// Call OnTimer at that time.
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

// The row as read; revision 0 where it doesn't exist.
struct row_reading
{
  std::uint64_t mRevision = 0;
  std::string mValue;
};

enum class write_answer
{
  Written,
  Mismatch, // the row had another revision
  NoAnswer, // may have taken effect, now or later
};

class submission
{
public:
  submission(submission_request aRequest, instant aNow);

  submission_action Start(instant aNow);

  // aRow: nothing where there was no answer.
  submission_action OnRow(const std::optional<row_reading>& aRow, instant aNow);
  submission_action OnObjectStored(bool aStored, instant aNow);
  // aText: nothing where the object could not be read.
  submission_action OnObject(const std::optional<std::string>& aText,
                             instant aNow);
  submission_action OnWritten(write_answer aResult, instant aNow);
  submission_action OnTimer(instant aNow);

private:
  submission_action OnFirstRow(const row_reading& aRow,
                               const config_row& aState);
  submission_action ResolveWrite(const row_reading& aRow,
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
  std::optional<write_row_action> mWrite; // once the row was first read
  std::uint64_t mBaseVersion = 0;
  bool mWriteSent = false;    // a write was sent
  bool mMismatchSeen = false; // a write found another revision
  std::uint64_t mWinningVersion = 0;
  std::optional<submission_action> mPending; // to be done after a wait
};

} // namespace laburnumdyke
