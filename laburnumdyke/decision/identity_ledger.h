// At-most-once execution: the request identities that one entry instance has
// issued.
//
// An entry instance issues an identity together with a look-up answer. The
// identity is bound to the incarnation that issued it: only that incarnation
// ever begins the request, at most one attempt at a time, and never again
// after an attempt whose outcome is Answered or Unknown. The ledger is kept in
// memory only; when the issuing incarnation is gone, the outcome is Unknown.
//
// An attempt may begin only within kBeginWithin after the issue. The outcome is
// kept until kRetention after the issue. Between the two, an identity that
// is not in the ledger was never begun and never will be, so its outcome is
// NotRun. After kRetention it is Unknown.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

struct request_identity
{
  instance_id mIssuer;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNumber = 0;
  // Time of issue since the start of the issuer's incarnation, on its steady
  // clock.
  std::chrono::milliseconds mIssued{ 0 };

  auto operator<=>(const request_identity&) const = default;

  // "leinster-a-1.9f3c.12.5300": issuer, incarnation (hexadecimal), number,
  // time of issue.
  std::string Text() const;
};

std::optional<request_identity>
ParseIdentity(std::string_view aText);

struct begin_result
{
  bool mMayRun = false;
  // If it may not run:
  outcome_kind mOutcome = outcome_kind::Unknown;
  refusal_reason mReason = refusal_reason::None;
};

class identity_ledger
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Identity;
  static constexpr std::chrono::seconds kBeginWithin{ 120 };
  static constexpr std::chrono::seconds kRetention{ 900 };

  identity_ledger() = default;

  // Sets the issuer. Must be called before any other member.
  void Open(instance_id aIssuer, std::uint64_t aIncarnation, instant aNow);

  request_identity Issue(instant aNow);

  // Whether the identity names this incarnation as its issuer.
  bool IsOwn(const request_identity& aIdentity) const;

  // Begins an attempt if the identity permits it.
  begin_result Begin(const request_identity& aIdentity, instant aNow);

  // Ends the attempt in progress. After NotRun the identity may be begun
  // again.
  void Finish(const request_identity& aIdentity,
              outcome_kind aOutcome,
              instant aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  enum class progress
  {
    Running,
    NotRun,
    Answered,
    Unknown,
  };

  struct entry
  {
    progress mProgress;
    std::chrono::milliseconds mIssued;
  };

  std::chrono::milliseconds SinceOpen(instant aNow) const;
  void RemoveExpired(instant aNow);

  instance_id mIssuer;
  std::uint64_t mIncarnation = 0;
  instant mOpened{};
  std::uint64_t mLastNumber = 0;
  std::unordered_map<std::uint64_t, entry> mEntries;
  // Numbers in order of their first attempt, for Forget.
  std::deque<std::uint64_t> mOrder;
};

} // namespace laburnumdyke
