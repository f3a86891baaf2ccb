// Each log is read once, line by line. A line that reports a state change comes
// before the decisions that depend on it, so it is enough to keep the latest
// line for each state key.
#include "ctl/explain.h"

#include <boost/json.hpp>

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>

namespace laburnumdyke {

namespace {

constexpr std::string_view kUpstreamKeyPrefix = "upstream ";

// Returns the key of the state that a line reports; empty if it reports none.
std::string
StateKey(const log_line& aLine)
{
  static const std::map<std::string, std::string> kStateKeys = {
    { "platform_lost", "platform " },
    { "platform_back", "platform " },
    { "configuration_in_force", "configuration" },
    { "configuration_unreadable", "unreadable configuration" },
    { "control_from_peer", "control" },
    { "evacuation_changed", "evacuation" },
    { "upstreams_read_from", "reader" },
    { "fleet_usage", "fleet usage" },
    { "started", "life" },
    { "leaving", "life" },
  };
  if (aLine.mEvent == "upstream_changed") {
    return std::string(kUpstreamKeyPrefix) +
           std::string(aLine.Value("upstream"));
  }
  auto found = kStateKeys.find(aLine.mEvent);
  if (found == kStateKeys.end()) {
    return {};
  }
  // Contact with the platform is tracked separately for each kind of reading.
  return found->second + std::string(aLine.Value("reading"));
}

// State of an upstream applies only to steps that chose this upstream; all
// other state applies to every step.
bool
AppliesToStep(const std::string& aKey, const log_line& aStep)
{
  if (aKey.compare(0, kUpstreamKeyPrefix.size(), kUpstreamKeyPrefix) != 0) {
    return true;
  }
  return aKey.substr(kUpstreamKeyPrefix.size()) == aStep.Value("upstream");
}

bool
IsEarlier(const log_line& aOne, const log_line& aOther)
{
  return aOne.mTime < aOther.mTime;
}

std::string
FormatAge(std::chrono::milliseconds aAge)
{
  std::string text = std::to_string(aAge.count());
  return text + " ms before";
}

boost::json::object
ToJson(const log_line& aLine)
{
  boost::json::object json;
  json["time"] = FormatLogTime(aLine.mTime);
  json["event"] = aLine.mEvent;
  json["instance"] = aLine.mInstance;
  for (const std::pair<std::string, std::string>& pair : aLine.mPairs) {
    json[pair.first] = pair.second;
  }
  return json;
}

void
PrintJson(std::ostream& aOut, const request_trace& aTrace)
{
  boost::json::array steps;
  for (const trace_step& step : aTrace.mSteps) {
    boost::json::object json = ToJson(step.mLine);
    boost::json::array context;
    for (const log_line& contextLine : step.mContext) {
      context.push_back(ToJson(contextLine));
    }
    json["beliefs"] = std::move(context);
    steps.push_back(std::move(json));
  }
  boost::json::object json;
  json["request"] = aTrace.mRequest;
  json["steps"] = std::move(steps);
  json["lines_left_out"] = aTrace.mSkippedLines;
  json["lines_not_read"] = aTrace.mUnreadable;
  aOut << boost::json::serialize(json) << "\n";
}

void
PrintText(std::ostream& aOut, const request_trace& aTrace)
{
  std::set<std::string> printed; // context lines already printed
  for (const trace_step& step : aTrace.mSteps) {
    const log_line& line = step.mLine;
    for (const log_line& contextLine : step.mContext) {
      std::string text = contextLine.mInstance + "  " + contextLine.Text();
      if (printed.insert(FormatLogTime(contextLine.mTime) + text).second) {
        aOut << "  believed  " << text << "  ("
             << FormatAge(line.mTime - contextLine.mTime) << ")\n";
      }
    }
    aOut << FormatLogTime(line.mTime) << "  " << line.mInstance << "  "
         << line.Text() << "\n";
  }
  if (aTrace.mSteps.empty()) {
    aOut << "no log line for request " << aTrace.mRequest << "\n";
  }
  if (aTrace.mSkippedLines > 0) {
    aOut << "the instances skipped " << aTrace.mSkippedLines
         << " log lines in total; some may belong to this request\n";
  }
  if (aTrace.mUnreadable > 0) {
    aOut << aTrace.mUnreadable << " log lines could not be read\n";
  }
}

} // namespace

void
request_trace_builder::Read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    std::optional<log_line> line = ParseLogLine(text);
    if (line) {
      AddLine(*line);
    } else if (!text.empty()) {
      ++mUnreadable;
    }
  }
}

void
request_trace_builder::AddLine(const log_line& aLine)
{
  std::string_view skipped = aLine.Value("skipped");
  if (!skipped.empty()) {
    mSkippedLines[aLine.mInstance] +=
      std::strtoull(std::string(skipped).c_str(), nullptr, 10);
  }
  latest_lines& known = mLatestLines[aLine.mInstance];
  std::string key = StateKey(aLine);
  if (!key.empty()) {
    known[key] = aLine;
  }
  if (aLine.Value("request") != mRequest) {
    return;
  }
  trace_step step{ aLine, {} };
  for (const std::pair<const std::string, log_line>& entry : known) {
    if (AppliesToStep(entry.first, aLine)) {
      step.mContext.push_back(entry.second);
    }
  }
  std::stable_sort(step.mContext.begin(), step.mContext.end(), IsEarlier);
  mSteps.push_back(std::move(step));
}

request_trace
request_trace_builder::Build() const
{
  request_trace trace{ mRequest, mSteps, 0, mUnreadable };
  std::stable_sort(trace.mSteps.begin(),
                   trace.mSteps.end(),
                   [](const trace_step& aOne, const trace_step& aOther) {
                     return IsEarlier(aOne.mLine, aOther.mLine);
                   });
  std::set<std::string> instances;
  for (const trace_step& step : trace.mSteps) {
    instances.insert(step.mLine.mInstance);
  }
  for (const std::pair<const std::string, std::uint64_t>& one : mSkippedLines) {
    // Without any step, the lines of any instance may be the missing ones.
    bool isIncluded = instances.empty() || instances.count(one.first) > 0;
    trace.mSkippedLines += isIncluded ? one.second : 0;
  }
  return trace;
}

void
ReportTrace(std::ostream& aOut,
            const ctl_options& aOptions,
            const request_trace& aTrace)
{
  if (aOptions.mJson) {
    PrintJson(aOut, aTrace);
  } else {
    PrintText(aOut, aTrace);
  }
}

} // namespace laburnumdyke
