// What the upstream stand-ins of a deployment saw, and the verdicts that
// follow from it and from what callers were told.
#pragma once

#include "laburnumdyke/testing/harness/caller.h"
#include "laburnumdyke/testing/harness/deployment.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace laburnumdyke {

struct upstream_count
{
  std::uint64_t mRuns = 0;
  std::uint64_t mOvershot = 0;        // work that found every slot busy
  std::uint64_t mOfferedDraining = 0; // refused by a draining upstream
  std::map<std::string, std::uint64_t> mRunsById;

  std::uint64_t RunTwice() const;
};

// A number of a JSON object; 0 where there is none.
std::uint64_t
JsonNumber(const boost::json::object& aObject, const char* aKey);

// The JSON object in a text; empty where it holds none.
boost::json::object
JsonObject(const std::string& aText);

upstream_count
CountUpstream(const deployment& aDeployment, const std::string& aName);

// An upstream that leaves gets no new work after this.
inline constexpr std::chrono::seconds kLeaveLimit{ 3 };
inline constexpr std::chrono::seconds kAfterLeaving{ 4 };

// What happens at an upstream between the leave limit and kAfterLeaving later;
// blocks until then.
upstream_count
WorkAfterLeaveLimit(const deployment& aDeployment, const std::string& aName);

// Summed over every upstream.
upstream_count
CountUpstreams(const deployment& aDeployment);

// Requests whose caller was told "not run" and which an upstream ran.
std::uint64_t
FalseNotRun(const upstream_count& aCount, const caller_report& aReport);

// Answers that were not those of their requests.
std::uint64_t
WrongAnswers(const caller_report& aReport);

std::uint64_t
Answered(const caller_report& aReport);

} // namespace laburnumdyke
