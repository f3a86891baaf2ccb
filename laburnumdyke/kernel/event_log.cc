// The line is rendered before log4cxx sees it, so that the pattern layout
// adds only the time and the level.
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

// Whether standard output takes a line without waiting. A pipe that is
// writable takes PIPE_BUF bytes, which a line rarely exceeds.
bool
CanWrite()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

// Looked up once: each look-up takes a lock of log4cxx that all share.
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
event_log::Line(std::string_view aEvent,
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
                 line_kind aKind,
                 std::string_view aEvent,
                 std::initializer_list<log_pair> aPairs)
{
  std::optional<std::uint64_t> skipped =
    mBudget.With([&](line_budget& aBudget) {
      std::optional<std::uint64_t> taken =
        aBudget.Take(aKind, std::chrono::steady_clock::now());
      if (taken && !CanWrite()) {
        aBudget.Skip();
        taken.reset();
      }
      return taken;
    });
  if (!skipped) {
    return;
  }
  std::string line = Line(aEvent, aPairs);
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
  Write(log_level::Info, line_kind::Routine, aEvent, aPairs);
}

void
event_log::Info(std::string_view aEvent, std::initializer_list<log_pair> aPairs)
{
  Write(log_level::Info, line_kind::Notable, aEvent, aPairs);
}

void
event_log::Warn(std::string_view aEvent, std::initializer_list<log_pair> aPairs)
{
  Write(log_level::Warn, line_kind::Notable, aEvent, aPairs);
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
