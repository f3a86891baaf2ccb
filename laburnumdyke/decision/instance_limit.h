// Limits the requests that one entry instance handles at once, whether in
// flight, queued or relayed, and the bytes of their bodies in memory.
//
// Usage:
//   refusal_reason reason = limit.Enter(rank, bytes, now);
//   if (reason == refusal_reason::None) ... limit.Leave(rank, bytes);
//   ... otherwise refuse with limit.RetryAfter()
//
// Options: admission_options, checked by CheckOptions.
//
// Errors are refusal reasons:
//   QueueFull      the request exceeds the limit
//   RankOverFloor  the rest of the limit is reserved for other ranks
//
// A share of each limit is reserved for each rank in use, so that a flood of
// one rank fills only what the floors of the others leave. Other ranks may use
// the share of a rank without requests for kDemandTimeout, except that up to
// kUrgentReservePercent stays reserved for urgent requests.
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
  std::uint64_t mSeed = 1;                       // of the jitter of retry times
};

// Returns one message for each invalid option; empty if all are valid.
std::vector<std::string>
CheckOptions(const admission_options& aOptions);

class instance_limit
{
public:
  // A rank counts as in use for this time after its last request.
  static constexpr std::chrono::seconds kDemandTimeout{ 30 };
  static constexpr std::uint64_t kUrgentReservePercent = 10;
  // Range of the retry times for refused callers: short, since capacity is
  // freed as requests end, but spread so that callers do not retry together.
  static constexpr std::chrono::milliseconds kMinRetryAfter{ 500 };
  static constexpr std::chrono::milliseconds kMaxRetryAfter{ 3000 };

  // The options must pass CheckOptions.
  void SetLimits(const admission_options& aOptions);
  void SetFloors(const std::array<rank_spec, kRankCount>& aRanks);

  // Counts a request with aBytes of body and returns None, or returns the
  // reason to refuse it.
  refusal_reason Enter(work_rank aRank, std::uint64_t aBytes, instant aNow);
  // Ends a request that Enter counted, with the same arguments.
  void Leave(work_rank aRank, std::uint64_t aBytes);

  // The time after which a refused caller may retry, with jitter.
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

  std::uint64_t ReservedPercent(std::size_t aRank, instant aNow) const;
  refusal_reason Check(const resource& aResource,
                       std::size_t aRank,
                       std::uint64_t aAmount,
                       instant aNow) const;

  std::array<std::uint32_t, kRankCount> mFloors{}; // percent
  std::array<instant, kRankCount> mLastDemand{};
  std::array<bool, kRankCount> mEverDemanded{};
  resource mRequests{ admission_options().mMaxRequests, {} };
  resource mBytes{ admission_options().mMaxBytes, {} };
  std::mt19937_64 mRandom;
};

} // namespace laburnumdyke
