// Logs are read once, line by line: beliefs come before the decisions that
// they explain, so that the last of each subject is all that has to be kept.
#include "ctl/explain.h"

#include <boost/json.hpp>

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>

namespace laburnumdyke {

namespace {

constexpr std::string_view kUpstreamSubject = "upstream ";

// What a line changes the belief about; empty: nothing.
std::string
SubjectOf(const log_line& aLine)
{
  static const std::map<std::string, std::string> kSubjects = {
    { "platform_lost", "platform " },
    { "platform_back", "platform " },
    { "configuration_in_force", "configuration" },
    { "configuration_unreadable", "unreadable configuration" },
    { "control_from_peer", "control" },
    { "evacuation_changed", "evacuation" },
    { "upstreams_read_from", "reader" },
    { "started", "life" },
    { "leaving", "life" },
  };
  if (aLine.mEvent == "upstream_changed") {
    return std::string(kUpstreamSubject) + std::string(aLine.Value("upstream"));
  }
  auto found = kSubjects.find(aLine.mEvent);
  if (found == kSubjects.end()) {
    return {};
  }
  // The platform is lost and found by the kind of reading.
  return found->second + std::string(aLine.Value("reading"));
}

// Of upstreams, only the one that was chosen tells of a step.
bool
Explains(const std::string& aSubject, const log_line& aStep)
{
  if (aSubject.compare(0, kUpstreamSubject.size(), kUpstreamSubject) != 0) {
    return true;
  }
  return aSubject.substr(kUpstreamSubject.size()) == aStep.Value("upstream");
}

bool
IsEarlier(const log_line& aOne, const log_line& aOther)
{
  return aOne.mTime < aOther.mTime;
}

std::string
AgeText(std::chrono::milliseconds aAge)
{
  std::string text = std::to_string(aAge.count());
  return text + " ms before";
}

boost::json::object
ToJson(const log_line& aLine)
{
  boost::json::object json;
  json["time"] = LogTimeText(aLine.mTime);
  json["event"] = aLine.mEvent;
  json["instance"] = aLine.mInstance;
  for (const std::pair<std::string, std::string>& pair : aLine.mPairs) {
    json[pair.first] = pair.second;
  }
  return json;
}

void
PrintJson(std::ostream& aOut, const told_story& aStory)
{
  boost::json::array steps;
  for (const story_step& step : aStory.mSteps) {
    boost::json::object json = ToJson(step.mLine);
    boost::json::array beliefs;
    for (const log_line& belief : step.mBeliefs) {
      beliefs.push_back(ToJson(belief));
    }
    json["beliefs"] = std::move(beliefs);
    steps.push_back(std::move(json));
  }
  boost::json::object json;
  json["request"] = aStory.mRequest;
  json["steps"] = std::move(steps);
  json["lines_left_out"] = aStory.mLeftOut;
  json["lines_not_read"] = aStory.mForeign;
  aOut << boost::json::serialize(json) << "\n";
}

void
PrintText(std::ostream& aOut, const told_story& aStory)
{
  std::set<std::string> told; // beliefs that have been printed
  for (const story_step& step : aStory.mSteps) {
    const log_line& line = step.mLine;
    for (const log_line& belief : step.mBeliefs) {
      std::string text = belief.mInstance + "  " + belief.Text();
      if (told.insert(LogTimeText(belief.mTime) + text).second) {
        aOut << "  believed  " << text << "  ("
             << AgeText(line.mTime - belief.mTime) << ")\n";
      }
    }
    aOut << LogTimeText(line.mTime) << "  " << line.mInstance << "  "
         << line.Text() << "\n";
  }
  if (aStory.mSteps.empty()) {
    aOut << "no line of request " << aStory.mRequest << "\n";
  }
  if (aStory.mLeftOut > 0) {
    aOut << "the instances left out " << aStory.mLeftOut
         << " lines in all: some may have been of this request\n";
  }
  if (aStory.mForeign > 0) {
    aOut << aStory.mForeign << " lines could not be read\n";
  }
}

} // namespace

void
request_story::Read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    std::optional<log_line> line = ParseLogLine(text);
    if (line) {
      Take(*line);
    } else if (!text.empty()) {
      ++mForeign;
    }
  }
}

void
request_story::Take(const log_line& aLine)
{
  std::string_view skipped = aLine.Value("skipped");
  if (!skipped.empty()) {
    mLeftOut[aLine.mInstance] +=
      std::strtoull(std::string(skipped).c_str(), nullptr, 10);
  }
  beliefs& known = mBeliefs[aLine.mInstance];
  std::string subject = SubjectOf(aLine);
  if (!subject.empty()) {
    known[subject] = aLine;
  }
  if (aLine.Value("request") != mRequest) {
    return;
  }
  story_step step{ aLine, {} };
  for (const std::pair<const std::string, log_line>& belief : known) {
    if (Explains(belief.first, aLine)) {
      step.mBeliefs.push_back(belief.second);
    }
  }
  std::stable_sort(step.mBeliefs.begin(), step.mBeliefs.end(), IsEarlier);
  mSteps.push_back(std::move(step));
}

told_story
request_story::Tell() const
{
  told_story story{ mRequest, mSteps, 0, mForeign };
  std::stable_sort(story.mSteps.begin(),
                   story.mSteps.end(),
                   [](const story_step& aOne, const story_step& aOther) {
                     return IsEarlier(aOne.mLine, aOther.mLine);
                   });
  std::set<std::string> instances;
  for (const story_step& step : story.mSteps) {
    instances.insert(step.mLine.mInstance);
  }
  for (const std::pair<const std::string, std::uint64_t>& one : mLeftOut) {
    // With no step at all, any instance may have left it out.
    bool counts = instances.empty() || instances.count(one.first) > 0;
    story.mLeftOut += counts ? one.second : 0;
  }
  return story;
}

void
ReportStory(std::ostream& aOut,
            const ctl_options& aOptions,
            const told_story& aStory)
{
  if (aOptions.mJson) {
    PrintJson(aOut, aStory);
  } else {
    PrintText(aOut, aStory);
  }
}

} // namespace laburnumdyke
