// The command line of laburnumctl.
//
// Usage:
//   options_result parsed = ParseOptions(argumentCount, arguments);
//   if (!parsed.mOptions) { std::cerr << parsed.mReason; }
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

enum class command_kind
{
  Check,
  Submit,
  Show,
  History,
  Status,
  Lookup,
  Explain,
  Route,
  Help,
  Version,
};

enum class exit_status
{
  Ok = 0,
  Refused = 1,     // refused, conflict, or no line for the request
  Usage = 2,       // invalid command line or unreadable file
  Unavailable = 3, // no usable response, or the outcome is unknown
};

struct ctl_options
{
  command_kind mCommand = command_kind::Help;
  std::string mFile;
  std::string mRequest;            // id of the request to explain
  std::vector<std::string> mFiles; // logs; none: standard input
  std::optional<endpoint> mPlatform;
  std::optional<endpoint> mOperator;
  std::vector<endpoint> mOperators; // each one given; mOperator is the last
  std::optional<endpoint> mCaller;
  std::string mSubmitter;
  std::string mChangeId;
  std::optional<std::uint64_t> mBase;
  std::string mService;
  std::string mClient;
  // The request whose route is asked for.
  std::string mHost;
  std::string mPath;
  std::string mObject;
  std::string mCustomer;
  std::string mKeyFile; // "-": standard input
  std::optional<std::chrono::milliseconds> mDeadline;
  bool mJson = false;
};

struct options_result
{
  std::optional<ctl_options> mOptions;
  std::string mReason; // set if mOptions is empty
};

options_result
ParseOptions(int aCount, char* const* aArguments);

std::string_view
HelpText();

} // namespace laburnumdyke
