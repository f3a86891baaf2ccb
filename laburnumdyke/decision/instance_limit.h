// Bounds the requests that one entry instance holds at once, in flight,
// queued or relayed, and the body bytes that they hold in memory.
//
// Usage:
//   refusal_reason reason = limit.Enter(rank, bytes, now);
//   if (reason == refusal_reason::None) ... limit.Leave(rank, bytes);
//   ... otherwise refuse, to come back after limit.RetryAfter()
//
// Of each limit a share is kept for each rank in use: a flood of one rank
// fills what the others' floors leave over. The share of a rank that has not
// asked for kInUse is lent, but for kUrgentReservePercent for urgent work.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace laburnumdyke {

struct admission_options
{
  std::uint64_t mMaxRequests = 512;              // requests
  std::uint64_t mMaxBytes = 64ULL * 1024 * 1024; // bytes in memory
  std::uint64_t mSeed = 1;                       // of the jitter
};

// One line for each fault; empty where the options are sound.
std::vector<std::string>
CheckOptions(const admission_options& aOptions);

class instance_limit
{
public:
  static constexpr std::chrono::seconds kInUse{ 30 };
  static constexpr std::uint64_t kUrgentReservePercent = 10;
  // Between these a refused caller is told to come back: places come free as
  // requests end, so soon, but not all callers together.
  static constexpr std::chrono::milliseconds kLeastRetryAfter{ 500 };
  static constexpr std::chrono::milliseconds kLongestRetryAfter{ 3000 };

  // The options must be sound.
  void SetLimits(const admission_options& aOptions);
  void SetFloors(const std::array<rank_spec, kRankCount>& aRanks);

  // Takes a request in; otherwise says why not.
  refusal_reason Enter(work_rank aRank, std::uint64_t aBytes, instant aNow);
  void Leave(work_rank aRank, std::uint64_t aBytes);

  // When a refused request may come back; jittered.
  std::chrono::milliseconds RetryAfter();

  std::uint64_t Requests() const;
  std::uint64_t Bytes() const;

private:
  struct resource
  {
    std::uint64_t mLimit = 0;
    std::array<std::uint64_t, kRankCount> mUsed{};
    std::uint64_t Total() const;
  };

  std::uint64_t KeptPercent(std::size_t aRank, instant aNow) const;
  refusal_reason Check(const resource& aResource,
                       std::size_t aRank,
                       std::uint64_t aAmount,
                       instant aNow) const;

  std::array<std::uint32_t, kRankCount> mFloors{}; // percent
  std::array<instant, kRankCount> mDemanded{};
  std::array<bool, kRankCount> mEverDemanded{};
  resource mRequests{ admission_options().mMaxRequests, {} };
  resource mBytes{ admission_options().mMaxBytes, {} };
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
