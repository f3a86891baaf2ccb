// A hash table of the identities begun within kRetention; identities that were
// only issued need no memory. The alternative, a row in the platform's table
// for each booking, costs a write per booking and stops bookings during an
// outage of the platform.
#include "laburnumdyke/decision/identity_ledger.h"

#include "laburnumdyke/kernel/invariant.h"
#include "laburnumdyke/kernel/number.h"
#include "laburnumdyke/kernel/settings.h"

#include <array>
#include <charconv>

namespace laburnumdyke {

namespace {

constexpr std::size_t kFieldCount = 4;
constexpr std::size_t kMaxRemovalsPerCall = 4; // bounds the time of a call

} // namespace

std::string
request_identity::Text() const
{
  std::array<char, 17> hex{};
  std::to_chars_result end =
    std::to_chars(hex.data(), hex.data() + hex.size(), mIncarnation, 16);
  return mIssuer.mValue + "." + std::string(hex.data(), end.ptr) + "." +
         std::to_string(mNumber) + "." + std::to_string(mIssued.count());
}

std::optional<request_identity>
ParseIdentity(std::string_view aText)
{
  std::array<std::string_view, kFieldCount> fields;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    std::size_t dot = aText.find('.');
    bool last = i + 1 == kFieldCount;
    if (last != (dot == std::string_view::npos)) {
      return std::nullopt;
    }
    fields[i] = aText.substr(0, dot);
    aText.remove_prefix(last ? aText.size() : dot + 1);
  }
  request_identity identity;
  std::optional<std::uint64_t> incarnation =
    ReadNumber<std::uint64_t>(fields[1], 16);
  std::optional<std::uint64_t> number = ReadNumber<std::uint64_t>(fields[2]);
  std::optional<std::int64_t> issued = ReadNumber<std::int64_t>(fields[3]);
  if (!IsName(fields[0]) || !incarnation || !number || !issued || *issued < 0) {
    return std::nullopt;
  }
  identity.mIssuer.mValue = fields[0];
  identity.mIncarnation = *incarnation;
  identity.mNumber = *number;
  identity.mIssued = std::chrono::milliseconds(*issued);
  return identity;
}

void
identity_ledger::Open(instance_id aIssuer,
                      std::uint64_t aIncarnation,
                      instant aNow)
{
  mIssuer = std::move(aIssuer);
  mIncarnation = aIncarnation;
  mOpened = aNow;
}

std::chrono::milliseconds
identity_ledger::SinceOpen(instant aNow) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mOpened);
}

request_identity
identity_ledger::Issue(instant aNow)
{
  return { mIssuer, mIncarnation, ++mLastNumber, SinceOpen(aNow) };
}

bool
identity_ledger::IsOwn(const request_identity& aIdentity) const
{
  return aIdentity.mIssuer == mIssuer && aIdentity.mIncarnation == mIncarnation;
}

begin_result
identity_ledger::Begin(const request_identity& aIdentity, instant aNow)
{
  RemoveExpired(aNow);
  if (!IsOwn(aIdentity)) {
    return { false, outcome_kind::Unknown, refusal_reason::IssuerGone };
  }
  std::chrono::milliseconds age = SinceOpen(aNow) - aIdentity.mIssued;
  if (aIdentity.mNumber == 0 || aIdentity.mNumber > mLastNumber ||
      age < std::chrono::milliseconds(0)) {
    return { false, outcome_kind::NotRun, refusal_reason::MalformedRequest };
  }
  if (age >= kRetention) {
    return { false, outcome_kind::Unknown, refusal_reason::IdentityExpired };
  }
  auto found = mEntries.find(aIdentity.mNumber);
  if (found == mEntries.end()) {
    if (age >= kBeginWithin) {
      return { false, outcome_kind::NotRun, refusal_reason::IdentityExpired };
    }
    mEntries.emplace(aIdentity.mNumber,
                     entry{ progress::Running, aIdentity.mIssued });
    mOrder.push_back(aIdentity.mNumber);
    return { true };
  }
  // The identity carries its time of issue. One with a different time is forged
  // and could be used after kRetention.
  if (found->second.mIssued != aIdentity.mIssued) {
    return { false, outcome_kind::Unknown, refusal_reason::MalformedRequest };
  }
  switch (found->second.mProgress) {
    case progress::Running:
      return { false, outcome_kind::Unknown, refusal_reason::InProgress };
    case progress::NotRun:
      if (age >= kBeginWithin) {
        return { false, outcome_kind::NotRun, refusal_reason::IdentityExpired };
      }
      found->second.mProgress = progress::Running;
      return { true };
    case progress::Answered:
      return { false, outcome_kind::Answered, refusal_reason::AlreadyRun };
    case progress::Unknown:
      return { false, outcome_kind::Unknown, refusal_reason::AlreadyRun };
  }
  FailInvariant("identity_progress", "identity=" + aIdentity.Text());
}

void
identity_ledger::Finish(const request_identity& aIdentity,
                        outcome_kind aOutcome,
                        instant aNow)
{
  auto found = mEntries.find(aIdentity.mNumber);
  bool running = IsOwn(aIdentity) && found != mEntries.end() &&
                 found->second.mProgress == progress::Running;
  CheckInvariant(running, "identity_finished_twice", [&]() {
    return "identity=" + aIdentity.Text();
  });
  switch (aOutcome) {
    case outcome_kind::Answered:
      found->second.mProgress = progress::Answered;
      break;
    case outcome_kind::NotRun:
      found->second.mProgress = progress::NotRun;
      break;
    case outcome_kind::Unknown:
      found->second.mProgress = progress::Unknown;
      break;
  }
  RemoveExpired(aNow);
}

void
identity_ledger::RemoveExpired(instant aNow)
{
  for (std::size_t i = 0; i < kMaxRemovalsPerCall && !mOrder.empty(); ++i) {
    auto found = mEntries.find(mOrder.front());
    bool expired = SinceOpen(aNow) - found->second.mIssued >= kRetention &&
                   found->second.mProgress != progress::Running;
    if (!expired) {
      return;
    }
    mEntries.erase(found);
    mOrder.pop_front();
  }
}

} // namespace laburnumdyke
