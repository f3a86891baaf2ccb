// The story of one request from the logs of several instances: what was done
// with it, in order, and what the instance believed when it did.
//
// Usage:
//   request_story story(id);
//   story.Read(stream);               // for each log, in any order
//   ReportStory(std::cout, options, story.Tell());
//
// Of the beliefs, the last before each step is told: whether the platform was
// lost, the configuration in force, evacuations, from whom upstreams were read,
// and what was known of the upstream that was chosen.
#pragma once

#include "ctl/log_line.h"
#include "ctl/options.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace laburnumdyke {

// One line of the request, and the beliefs behind it, oldest first.
struct story_step
{
  log_line mLine;
  std::vector<log_line> mBeliefs;
};

struct told_story
{
  std::string mRequest;
  std::vector<story_step> mSteps; // in order of time
  // Lines that the instances of the steps left out, for want of room.
  std::uint64_t mLeftOut = 0;
  std::uint64_t mForeign = 0; // lines that could not be read
};

class request_story
{
public:
  explicit request_story(std::string aRequest)
    : mRequest(std::move(aRequest))
  {
  }

  // One log, in order of time; of one instance or of several.
  void Read(std::istream& aLog);

  told_story Tell() const;

private:
  // The last line of each subject.
  using beliefs = std::map<std::string, log_line>;

  void Take(const log_line& aLine);

  std::string mRequest;
  std::map<std::string, beliefs> mBeliefs;       // by instance
  std::map<std::string, std::uint64_t> mLeftOut; // by instance
  std::vector<story_step> mSteps;
  std::uint64_t mForeign = 0;
};

void
ReportStory(std::ostream& aOut,
            const ctl_options& aOptions,
            const told_story& aStory);

} // namespace laburnumdyke
