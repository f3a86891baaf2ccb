// getopt_long accepts options in any position. kCommands lists the operands of
// each command, MissingOption() its required options.
#include "ctl/options.h"

#include "ctl/route_query.h"
#include "laburnumdyke/decision/config_row.h"
#include "laburnumdyke/decision/document_values.h"
#include "laburnumdyke/decision/prefix.h"
#include "laburnumdyke/kernel/settings.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <vector>

namespace laburnumdyke {

namespace {

constexpr std::string_view kHelp =
  "Usage: laburnumctl COMMAND [OPTION...]\n"
  "\n"
  "Commands:\n"
  "  check FILE                            checks a document, or a\n"
  "                                        configuration of front=hosts\n"
  "  submit FILE --platform ADDR           submits a document\n"
  "  show --platform ADDR                  prints the document in force\n"
  "  history --platform ADDR               lists the last versions\n"
  "  status --operator ADDR                prints the status of an instance\n"
  "  lookup --caller ADDR --service S --client IP\n"
  "                                        prints the instances to use\n"
  "  explain ID [LOG...]                   shows how instances handled a\n"
  "                                        request and why, from their logs\n"
  "                                        (default: standard input)\n"
  "  route --host H --path P [--object O] [--deadline DURATION]\n"
  "        [--customer NAME | --key-file FILE] --operator ADDR [...]\n"
  "                                        shows where instances would send a\n"
  "                                        request now, and why\n"
  "\n"
  "Options:\n"
  "  --platform ADDR    the platform's IP address and port\n"
  "  --operator ADDR    an instance's address for operators\n"
  "                     (route: any number of them)\n"
  "  --caller ADDR      an instance's address for callers\n"
  "  --key-file FILE    holds the caller's key; \"-\": standard input\n"
  "  --deadline DURATION\n"
  "                     how long the caller waits, such as 800ms or 2s\n"
  "  --submitter NAME   name of the submitter; default: the login name\n"
  "  --change-id ID     repeats a submission without applying it twice;\n"
  "                     default: a new one, which submit prints\n"
  "  --base VERSION     the version that the change is based on; a conflict\n"
  "                     if another version is in force\n"
  "  --json             prints JSON\n"
  "  --help, --version\n"
  "\n"
  "Exit status: 0 success; 1 the document or query was refused, another\n"
  "change was accepted first, no log has a line for the request, or an "
  "instance\n"
  "refused to explain it (a rejected request can be explained); 2 invalid\n"
  "command line or unreadable file; 3 no usable response, or the outcome is\n"
  "unknown.\n";

enum option_code
{
  OptionPlatform = 1,
  OptionOperator,
  OptionCaller,
  OptionSubmitter,
  OptionChangeId,
  OptionBase,
  OptionService,
  OptionClient,
  OptionHost,
  OptionPath,
  OptionObject,
  OptionCustomer,
  OptionKeyFile,
  OptionDeadline,
  OptionJson,
  OptionHelp,
  OptionVersion,
};

const std::array<option, 18> kOptions = { {
  { "platform", required_argument, nullptr, OptionPlatform },
  { "operator", required_argument, nullptr, OptionOperator },
  { "caller", required_argument, nullptr, OptionCaller },
  { "submitter", required_argument, nullptr, OptionSubmitter },
  { "change-id", required_argument, nullptr, OptionChangeId },
  { "base", required_argument, nullptr, OptionBase },
  { "service", required_argument, nullptr, OptionService },
  { "client", required_argument, nullptr, OptionClient },
  { "host", required_argument, nullptr, OptionHost },
  { "path", required_argument, nullptr, OptionPath },
  { "object", required_argument, nullptr, OptionObject },
  { "customer", required_argument, nullptr, OptionCustomer },
  { "key-file", required_argument, nullptr, OptionKeyFile },
  { "deadline", required_argument, nullptr, OptionDeadline },
  { "json", no_argument, nullptr, OptionJson },
  { "help", no_argument, nullptr, OptionHelp },
  { "version", no_argument, nullptr, OptionVersion },
  { nullptr, 0, nullptr, 0 },
} };

// The operands that follow the name of a command.
enum class command_operands
{
  None,
  File,
  RequestAndFiles, // any number of files
};

struct command_rule
{
  std::string_view mName;
  command_kind mKind;
  command_operands mOperands;
};

constexpr std::array<command_rule, 8> kCommands = { {
  { "check", command_kind::Check, command_operands::File },
  { "submit", command_kind::Submit, command_operands::File },
  { "show", command_kind::Show, command_operands::None },
  { "history", command_kind::History, command_operands::None },
  { "status", command_kind::Status, command_operands::None },
  { "lookup", command_kind::Lookup, command_operands::None },
  { "explain", command_kind::Explain, command_operands::RequestAndFiles },
  { "route", command_kind::Route, command_operands::None },
} };

bool
SetAddress(std::optional<endpoint>& aTarget, std::string_view aText)
{
  aTarget = ParseEndpoint(aText);
  return aTarget.has_value();
}

bool
SetVersion(std::optional<std::uint64_t>& aTarget, std::string_view aText)
{
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, version);
  aTarget = version;
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool
AddOperator(ctl_options& aOptions, std::string_view aText)
{
  if (!SetAddress(aOptions.mOperator, aText)) {
    return false;
  }
  aOptions.mOperators.push_back(*aOptions.mOperator);
  return true;
}

bool
SetText(std::string& aTarget, std::string_view aText)
{
  aTarget = aText;
  return !aText.empty();
}

// Stores the value of an option. Returns whether it is valid.
bool
SetOption(ctl_options& aOptions, int aCode, std::string_view aValue)
{
  switch (aCode) {
    case OptionPlatform:
      return SetAddress(aOptions.mPlatform, aValue);
    case OptionOperator:
      return AddOperator(aOptions, aValue);
    case OptionCaller:
      return SetAddress(aOptions.mCaller, aValue);
    case OptionSubmitter:
      return SetText(aOptions.mSubmitter, aValue) && IsRowToken(aValue);
    case OptionChangeId:
      return SetText(aOptions.mChangeId, aValue) && IsRowToken(aValue);
    case OptionBase:
      return SetVersion(aOptions.mBase, aValue);
    case OptionService:
      return SetText(aOptions.mService, aValue) && IsName(aValue);
    case OptionClient:
      return SetText(aOptions.mClient, aValue) && ParseAddress(aValue);
    case OptionHost:
      return SetText(aOptions.mHost, aValue) && IsQueryText(aValue);
    case OptionPath:
      return SetText(aOptions.mPath, aValue) && IsQueryText(aValue) &&
             aValue.front() == '/';
    case OptionObject:
      return SetText(aOptions.mObject, aValue) && IsQueryText(aValue);
    case OptionCustomer:
      return SetText(aOptions.mCustomer, aValue) && IsQueryText(aValue);
    case OptionKeyFile:
      return SetText(aOptions.mKeyFile, aValue);
    case OptionDeadline:
      return ParseDuration(
        aOptions.mDeadline.emplace(), aValue, std::chrono::milliseconds(1));
    case OptionJson:
      aOptions.mJson = true;
      return true;
    default:
      return false;
  }
}

// Returns the required options that are missing, as text; empty if none.
std::string_view
MissingOption(const ctl_options& aOptions)
{
  switch (aOptions.mCommand) {
    case command_kind::Submit:
    case command_kind::Show:
    case command_kind::History:
      return aOptions.mPlatform ? "" : "--platform ADDR";
    case command_kind::Status:
      return aOptions.mOperator ? "" : "--operator ADDR";
    case command_kind::Lookup:
      return aOptions.mCaller && !aOptions.mService.empty() &&
                 !aOptions.mClient.empty()
               ? ""
               : "--caller ADDR, --service S and --client IP";
    case command_kind::Route:
      if (!aOptions.mCustomer.empty() && !aOptions.mKeyFile.empty()) {
        return "--customer NAME or --key-file FILE, not both";
      }
      return aOptions.mOperator && !aOptions.mHost.empty() &&
                 !aOptions.mPath.empty()
               ? ""
               : "--host H, --path P and --operator ADDR";
    case command_kind::Check:
    case command_kind::Explain:
    case command_kind::Help:
    case command_kind::Version:
      break;
  }
  return "";
}

// Stores the operands of a command. Returns what was expected; empty if they
// are valid.
std::string_view
SetOperands(ctl_options& aOptions,
            command_operands aExpected,
            const std::vector<std::string>& aOperands)
{
  switch (aExpected) {
    case command_operands::None:
      return aOperands.empty() ? "" : "no further operand";
    case command_operands::File:
      if (aOperands.size() != 1) {
        return "one FILE";
      }
      aOptions.mFile = aOperands[0];
      return "";
    case command_operands::RequestAndFiles:
      if (aOperands.empty()) {
        return "the ID of a request";
      }
      aOptions.mRequest = aOperands[0];
      aOptions.mFiles.assign(aOperands.begin() + 1, aOperands.end());
      return "";
  }
  return "";
}

options_result
Fail(std::string aReason)
{
  return { std::nullopt, std::move(aReason) };
}

options_result
ParseCommand(ctl_options aOptions, const std::vector<std::string>& aNonOptions)
{
  if (aNonOptions.empty()) {
    return Fail("expected a command; see --help");
  }
  for (const command_rule& rule : kCommands) {
    if (rule.mName != aNonOptions[0]) {
      continue;
    }
    aOptions.mCommand = rule.mKind;
    std::vector<std::string> operands(aNonOptions.begin() + 1,
                                      aNonOptions.end());
    std::string_view expected = SetOperands(aOptions, rule.mOperands, operands);
    if (expected.empty()) {
      expected = MissingOption(aOptions);
    }
    if (!expected.empty()) {
      return Fail(aNonOptions[0] + ": expected " + std::string(expected));
    }
    return { std::move(aOptions), std::string() };
  }
  return Fail("unknown command \"" + aNonOptions[0] + "\"; see --help");
}

} // namespace

options_result
ParseOptions(int aCount, char* const* aArguments)
{
  ctl_options options;
  optind = 0; // resets getopt_long, as each call parses a new command line
  opterr = 0;
  int index = 0;
  int code = getopt_long(aCount, aArguments, "", kOptions.data(), &index);
  while (code != -1) {
    if (code == OptionHelp || code == OptionVersion) {
      options.mCommand =
        code == OptionHelp ? command_kind::Help : command_kind::Version;
      return { std::move(options), std::string() };
    }
    if (code == '?') {
      return Fail("invalid option " + std::string(aArguments[optind - 1]) +
                  "; see --help");
    }
    std::string_view value = optarg == nullptr ? "" : optarg;
    if (!SetOption(options, code, value)) {
      return Fail(std::string("--") + kOptions.at(index).name +
                  ": invalid value \"" + std::string(value) + "\"");
    }
    code = getopt_long(aCount, aArguments, "", kOptions.data(), &index);
  }
  std::vector<std::string> nonOptions(aArguments + optind, aArguments + aCount);
  return ParseCommand(std::move(options), nonOptions);
}

std::string_view
HelpText()
{
  return kHelp;
}

} // namespace laburnumdyke
