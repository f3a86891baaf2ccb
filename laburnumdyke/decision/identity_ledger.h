// At most once: the ledger of request identities of one entry instance.
//
// An entry instance issues an identity together with a look-up answer. The
// identity is bound to the incarnation that issued it: only that incarnation
// ever begins the request, at most one attempt at a time, and never again
// after an attempt whose outcome is answered or unknown. Nothing is written
// anywhere; when the issuer is gone the outcome is unknown.
//
// An identity may be begun until kBeginWithin after its issue. What became of
// it is remembered until kRememberFor after its issue. Between the two, an
// identity that the ledger does not hold was never begun, and never will be:
// "not run" is then true. After kRememberFor only "unknown" is.
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
  // Since the start of the issuer's incarnation, on its steady clock.
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
  // Where it may not run:
  outcome_kind mOutcome = outcome_kind::Unknown;
  refusal_reason mReason = refusal_reason::None;
};

class identity_ledger
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Identity;
  static constexpr std::chrono::seconds kBeginWithin{ 120 };
  static constexpr std::chrono::seconds kRememberFor{ 900 };

  identity_ledger() = default;

  // Sets the owner before the first use.
  void Open(instance_id aIssuer, std::uint64_t aIncarnation, instant aNow);

  request_identity Issue(instant aNow);

  // True where this incarnation issued the identity.
  bool IsOwn(const request_identity& aIdentity) const;

  // Asks to begin an attempt.
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
  void Forget(instant aNow);

  instance_id mIssuer;
  std::uint64_t mIncarnation = 0;
  instant mOpened{};
  std::uint64_t mLastNumber = 0;
  std::unordered_map<std::uint64_t, entry> mEntries;
  // Numbers in order of their first attempt, for Forget.
  std::deque<std::uint64_t> mOrder;
};

} // namespace laburnumdyke
