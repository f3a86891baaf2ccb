// A line is formatted before it is passed to log4cxx, whose pattern layout adds
// only the time and the level.
#include "laburnumdyke/kernel/event_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <poll.h>
#include <unistd.h>

#include <cstdio>

namespace laburnumdyke {

namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (char c : aValue) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' ||
        c == '\\' || c == '\x7f') {
      return true;
    }
  }
  return false;
}

// Returns true if standard output can be written to without blocking. A pipe
// that polls writable takes PIPE_BUF bytes, which a line rarely exceeds.
bool
CanWriteWithoutBlocking()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

// Cached, since each look-up takes a global lock of log4cxx.
const log4cxx::LoggerPtr&
Logger()
{
  static const log4cxx::LoggerPtr kLogger =
    log4cxx::Logger::getLogger("laburnumdyke");
  return kLogger;
}

} // namespace

std::string
QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      char escaped[5];
      std::snprintf(
        escaped, sizeof escaped, "\\x%02x", static_cast<unsigned char>(c));
      quoted += escaped;
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

event_log::event_log(std::string aInstance)
  : mInstance(std::move(aInstance))
{
}

std::string
event_log::FormatLine(std::string_view aEvent,
                      std::initializer_list<log_pair> aPairs) const
{
  std::string line = "event=" + QuoteLogValue(aEvent);
  line += " instance=" + QuoteLogValue(mInstance);
  for (const log_pair& pair : aPairs) {
    line += ' ';
    line += pair.first;
    line += '=';
    line += QuoteLogValue(pair.second);
  }
  return line;
}

void
event_log::Write(log_level aLevel,
                 log_line_kind aKind,
                 std::string_view aEvent,
                 std::initializer_list<log_pair> aPairs)
{
  std::optional<std::uint64_t> skipped =
    mRateLimiter.With([&](log_rate_limiter& aLimiter) {
      std::optional<std::uint64_t> acquired =
        aLimiter.TryAcquire(aKind, std::chrono::steady_clock::now());
      if (acquired && !CanWriteWithoutBlocking()) {
        aLimiter.CountSkipped();
        acquired.reset();
      }
      return acquired;
    });
  if (!skipped) {
    return;
  }
  std::string line = FormatLine(aEvent, aPairs);
  if (*skipped > 0) {
    line += " skipped=" + std::to_string(*skipped);
  }
  if (aLevel == log_level::Warn) {
    LOG4CXX_WARN(Logger(), line);
  } else {
    LOG4CXX_INFO(Logger(), line);
  }
}

void
event_log::Routine(std::string_view aEvent,
                   std::initializer_list<log_pair> aPairs)
{
  Write(log_level::Info, log_line_kind::Routine, aEvent, aPairs);
}

void
event_log::Info(std::string_view aEvent, std::initializer_list<log_pair> aPairs)
{
  Write(log_level::Info, log_line_kind::Notable, aEvent, aPairs);
}

void
event_log::Warn(std::string_view aEvent, std::initializer_list<log_pair> aPairs)
{
  Write(log_level::Warn, log_line_kind::Notable, aEvent, aPairs);
}

void
ConfigureLogging()
{
  log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
    "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p %m%n"));
  log4cxx::ConsoleAppenderPtr appender(new log4cxx::ConsoleAppender(
    layout, log4cxx::ConsoleAppender::getSystemOut()));
  log4cxx::Logger::getRootLogger()->addAppender(appender);
}

} // namespace laburnumdyke
