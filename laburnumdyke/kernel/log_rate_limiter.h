// Rate limiter for log lines that counts the lines it drops.
//
// Usage:
//   std::optional<std::uint64_t> skipped = limiter.TryAcquire(kind, now);
//   if (skipped) ... write the line, and that *skipped were dropped before it
//
// A token bucket. Half of the burst is reserved for notable lines, so that a
// flood of routine lines, such as those of successful requests, can't displace
// failures.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace laburnumdyke {

enum class log_line_kind
{
  Routine, // expected events, such as successful requests
  Notable, // failures, refusals and changes of state
};

struct log_rate_limiter_options
{
  double mPerSecond = 200; // lines, sustained
  double mBurst = 1000;    // lines, at once
};

class log_rate_limiter
{
public:
  using instant = std::chrono::steady_clock::time_point;

  explicit log_rate_limiter(log_rate_limiter_options aOptions = {})
    : mOptions(aOptions)
    , mTokens(aOptions.mBurst)
  {
  }

  // Returns the number of lines dropped since the last permitted one, or
  // nullopt if this line must be dropped too.
  std::optional<std::uint64_t> TryAcquire(log_line_kind aKind, instant aNow);

  // Counts a permitted line as dropped, because it could not be written.
  void CountSkipped() { ++mSkipped; }

private:
  log_rate_limiter_options mOptions;
  double mTokens;
  instant mLastRefill{};
  bool mStarted = false;
  std::uint64_t mSkipped = 0;
};

} // namespace laburnumdyke
