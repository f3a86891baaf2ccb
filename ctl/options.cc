// getopt_long takes the options wherever they stand; a table of commands says
// which of them each needs.
#include "ctl/options.h"

#include "laburnumdyke/decision/config_row.h"
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
  "  check FILE                            checks a document\n"
  "  submit FILE --platform ADDR           submits a document\n"
  "  show --platform ADDR                  prints the document in force\n"
  "  history --platform ADDR               lists the last versions\n"
  "  status --operator ADDR                what an instance reports\n"
  "  lookup --caller ADDR --service S --client IP\n"
  "                                        asks which instances to use\n"
  "  explain ID [LOG...]                   what instances did with a request\n"
  "                                        and why, by their logs; without "
  "LOG\n"
  "                                        by standard input\n"
  "\n"
  "Options:\n"
  "  --platform ADDR    the platform's IP address and port\n"
  "  --operator ADDR    an instance's address for operators\n"
  "  --caller ADDR      an instance's address for callers\n"
  "  --submitter NAME   who submits; default: the login name\n"
  "  --change-id ID     repeats a submission without applying it twice;\n"
  "                     default: a new one, which submit prints\n"
  "  --base VERSION     the version that the change is based on; another one\n"
  "                     in force is a conflict\n"
  "  --json             prints JSON\n"
  "  --help, --version\n"
  "\n"
  "Exit status: 0 done; 1 the document or question was refused, another\n"
  "change came first, or no log has a line of the request; 2 a faulty command\n"
  "line or an unreadable file; 3 no answer that can be relied on.\n";

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
  OptionJson,
  OptionHelp,
  OptionVersion,
};

const std::array<option, 12> kOptions = { {
  { "platform", required_argument, nullptr, OptionPlatform },
  { "operator", required_argument, nullptr, OptionOperator },
  { "caller", required_argument, nullptr, OptionCaller },
  { "submitter", required_argument, nullptr, OptionSubmitter },
  { "change-id", required_argument, nullptr, OptionChangeId },
  { "base", required_argument, nullptr, OptionBase },
  { "service", required_argument, nullptr, OptionService },
  { "client", required_argument, nullptr, OptionClient },
  { "json", no_argument, nullptr, OptionJson },
  { "help", no_argument, nullptr, OptionHelp },
  { "version", no_argument, nullptr, OptionVersion },
  { nullptr, 0, nullptr, 0 },
} };

// The words that a command takes behind its name.
enum class command_words
{
  None,
  File,
  RequestAndFiles, // any number of files
};

struct command_rule
{
  std::string_view mName;
  command_kind mKind;
  command_words mWords;
};

constexpr std::array<command_rule, 7> kCommands = { {
  { "check", command_kind::Check, command_words::File },
  { "submit", command_kind::Submit, command_words::File },
  { "show", command_kind::Show, command_words::None },
  { "history", command_kind::History, command_words::None },
  { "status", command_kind::Status, command_words::None },
  { "lookup", command_kind::Lookup, command_words::None },
  { "explain", command_kind::Explain, command_words::RequestAndFiles },
} };

bool
TakeAddress(std::optional<endpoint>& aTarget, std::string_view aText)
{
  aTarget = ParseEndpoint(aText);
  return aTarget.has_value();
}

bool
TakeVersion(std::optional<std::uint64_t>& aTarget, std::string_view aText)
{
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, version);
  aTarget = version;
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool
TakeText(std::string& aTarget, std::string_view aText)
{
  aTarget = aText;
  return !aText.empty();
}

// Returns whether the option's value is well formed.
bool
TakeOption(ctl_options& aOptions, int aCode, std::string_view aValue)
{
  switch (aCode) {
    case OptionPlatform:
      return TakeAddress(aOptions.mPlatform, aValue);
    case OptionOperator:
      return TakeAddress(aOptions.mOperator, aValue);
    case OptionCaller:
      return TakeAddress(aOptions.mCaller, aValue);
    case OptionSubmitter:
      return TakeText(aOptions.mSubmitter, aValue) && IsRowToken(aValue);
    case OptionChangeId:
      return TakeText(aOptions.mChangeId, aValue) && IsRowToken(aValue);
    case OptionBase:
      return TakeVersion(aOptions.mBase, aValue);
    case OptionService:
      return TakeText(aOptions.mService, aValue) && IsName(aValue);
    case OptionClient:
      return TakeText(aOptions.mClient, aValue) && ParseAddress(aValue);
    case OptionJson:
      aOptions.mJson = true;
      return true;
    default:
      return false;
  }
}

// What the command still needs; empty where nothing.
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
    case command_kind::Check:
    case command_kind::Explain:
    case command_kind::Help:
    case command_kind::Version:
      break;
  }
  return "";
}

// Takes the words behind a command's name. Returns what was expected; empty
// where they are taken.
std::string_view
TakeWords(ctl_options& aOptions,
          command_words aExpected,
          const std::vector<std::string>& aWords)
{
  switch (aExpected) {
    case command_words::None:
      return aWords.empty() ? "" : "no further word";
    case command_words::File:
      if (aWords.size() != 1) {
        return "one FILE";
      }
      aOptions.mFile = aWords[0];
      return "";
    case command_words::RequestAndFiles:
      if (aWords.empty()) {
        return "the ID of a request";
      }
      aOptions.mRequest = aWords[0];
      aOptions.mFiles.assign(aWords.begin() + 1, aWords.end());
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
TakeCommand(ctl_options aOptions, const std::vector<std::string>& aWords)
{
  if (aWords.empty()) {
    return Fail("expected a command; see --help");
  }
  for (const command_rule& rule : kCommands) {
    if (rule.mName != aWords[0]) {
      continue;
    }
    aOptions.mCommand = rule.mKind;
    std::vector<std::string> further(aWords.begin() + 1, aWords.end());
    std::string_view missing = TakeWords(aOptions, rule.mWords, further);
    if (missing.empty()) {
      missing = MissingOption(aOptions);
    }
    if (!missing.empty()) {
      return Fail(aWords[0] + ": expected " + std::string(missing));
    }
    return { std::move(aOptions), std::string() };
  }
  return Fail("no command \"" + aWords[0] + "\"; see --help");
}

} // namespace

options_result
ParseOptions(int aCount, char* const* aArguments)
{
  ctl_options options;
  optind = 0; // starts over, for each call
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
      return Fail("faulty option " + std::string(aArguments[optind - 1]) +
                  "; see --help");
    }
    std::string_view value = optarg == nullptr ? "" : optarg;
    if (!TakeOption(options, code, value)) {
      return Fail(std::string("--") + kOptions.at(index).name +
                  ": faulty value \"" + std::string(value) + "\"");
    }
    code = getopt_long(aCount, aArguments, "", kOptions.data(), &index);
  }
  std::vector<std::string> words(aArguments + optind, aArguments + aCount);
  return TakeCommand(std::move(options), words);
}

std::string_view
HelpText()
{
  return kHelp;
}

} // namespace laburnumdyke
