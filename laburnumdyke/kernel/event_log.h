// Structured log: one line of key=value pairs for each event, by log4cxx.
//
// Usage:
//   log.Info("document_in_force", { { "version", "7" }, { "hash", hash } });
//
// Values that hold a space, a quote, '=' or a control character are quoted
// and escaped, so that an event is always one line. Lines over the budget, and
// those that standard output can't take at once, are left out; the next line
// says how many by "skipped". Routine lines are left out first.
#pragma once

#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/kernel/line_budget.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumdyke {

using log_pair = std::pair<std::string_view, std::string>;

class event_log
{
public:
  // aInstance is written with each event.
  explicit event_log(std::string aInstance);

  // What went as usual, at the level of Info.
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
             line_kind aKind,
             std::string_view aEvent,
             std::initializer_list<log_pair> aPairs);
  std::string Line(std::string_view aEvent,
                   std::initializer_list<log_pair> aPairs) const;

  std::string mInstance;
  guarded<line_budget, lock_rank::Log> mBudget;
};

// Sets log4cxx up to write to standard output. Call once, in main.
void
ConfigureLogging();

// Renders a value as it stands in a line.
std::string
QuoteLogValue(std::string_view aValue);

} // namespace laburnumdyke
