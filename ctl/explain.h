// Trace of one request from the logs of several instances: its log lines in
// order of time, each with the state that the instance had last logged.
//
// Usage:
//   request_trace_builder builder(id);
//   builder.Read(stream);             // for each log, in any order
//   ReportTrace(std::cout, options, builder.Build());
//
// The context of a step is the last line before it, on the same instance, for
// each of: contact with the platform, the configuration in force, the control
// version taken from a peer, evacuations, where the upstream list was read
// from, whether the usage of customers over the fleet is known, start and stop
// of the instance, and the upstream that was chosen. The output calls these
// lines "beliefs" (JSON) and "believed" (text).
#pragma once

#include "ctl/log_line.h"
#include "ctl/options.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace laburnumdyke {

// One log line of the request and its context, oldest first.
struct trace_step
{
  log_line mLine;
  std::vector<log_line> mContext;
};

struct request_trace
{
  std::string mRequest;
  std::vector<trace_step> mSteps; // in order of time
  // Lines that the instances of the steps skipped, because of their log rate
  // limit or because the log's reader was too slow.
  std::uint64_t mSkippedLines = 0;
  std::uint64_t mUnreadable = 0; // lines that are not log lines of an instance
};

class request_trace_builder
{
public:
  explicit request_trace_builder(std::string aRequest)
    : mRequest(std::move(aRequest))
  {
  }

  // Reads one log, sorted by time, of one instance or of several.
  void Read(std::istream& aLog);

  request_trace Build() const;

private:
  // The last line for each state key.
  using latest_lines = std::map<std::string, log_line>;

  void AddLine(const log_line& aLine);

  std::string mRequest;
  std::map<std::string, latest_lines> mLatestLines;   // by instance
  std::map<std::string, std::uint64_t> mSkippedLines; // by instance
  std::vector<trace_step> mSteps;
  std::uint64_t mUnreadable = 0;
};

void
ReportTrace(std::ostream& aOut,
            const ctl_options& aOptions,
            const request_trace& aTrace);

} // namespace laburnumdyke
