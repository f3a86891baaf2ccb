// Structured log: one line of key=value pairs per event, written by log4cxx.
//
// Usage:
//   log.Info("document_in_force", { { "version", "7" }, { "hash", hash } });
//
// Values with a space, a quote, a backslash, '=' or a control character are
// quoted and escaped, so that an event is always one line. Lines above the rate
// limit, and lines that standard output can't take without blocking, are
// dropped; the next line gives their number under the key "skipped". Routine
// lines are dropped first.
#pragma once

#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/kernel/log_rate_limiter.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumdyke {

using log_pair = std::pair<std::string_view, std::string>;

class event_log
{
public:
  // aInstance is the value of the key "instance" of every line.
  explicit event_log(std::string aInstance);

  // Logs expected events, such as successful requests, at level Info.
  void Routine(std::string_view aEvent, std::initializer_list<log_pair> aPairs);
  void Info(std::string_view aEvent, std::initializer_list<log_pair> aPairs);
  void Warn(std::string_view aEvent, std::initializer_list<log_pair> aPairs);

private:
  enum class log_level
  {
    Info,
    Warn,
  };

  void Write(log_level aLevel,
             log_line_kind aKind,
             std::string_view aEvent,
             std::initializer_list<log_pair> aPairs);
  std::string FormatLine(std::string_view aEvent,
                         std::initializer_list<log_pair> aPairs) const;

  std::string mInstance;
  guarded<log_rate_limiter, lock_rank::Log> mRateLimiter;
};

// Configures log4cxx to write to standard output. Call once, from main.
void
ConfigureLogging();

// Returns the value as it is written in a log line, quoted where necessary.
std::string
QuoteLogValue(std::string_view aValue);

} // namespace laburnumdyke
