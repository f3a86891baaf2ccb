// The question of `laburnumctl route` to an instance, and the caller's key.
//
// Usage:
//   request.mTarget = RouteTarget(options);
//   key_result read = ReadKeyFile(options.mKeyFile);
#pragma once

#include "ctl/options.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// Whether aText can be a part of the question: of bounded size and without
// control characters.
bool
IsQueryText(std::string_view aText);

// The target of the question, with the options of the request encoded.
std::string
RouteTarget(const ctl_options& aOptions);

struct key_result
{
  std::optional<std::string> mKey;
  std::string mReason; // set if mKey is empty; never contains the key
};

// Reads the first line of a file, or of standard input for "-".
key_result
ReadKeyFile(const std::string& aName);

// The exit status for an instance's HTTP status; 0: no usable answer.
exit_status
RouteStatus(unsigned aStatus);

} // namespace laburnumdyke
