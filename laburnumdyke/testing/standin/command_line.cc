// Every option takes a value, so that the table for getopt_long can be made
// from the declared list; --help alone takes none.
#include "laburnumdyke/testing/standin/command_line.h"

#include "laburnumdyke/testing/standin/http_exchange.h"

#include <boost/asio/signal_set.hpp>

#include <getopt.h>

#include <csignal>
#include <iostream>

namespace laburnumdyke {

namespace {

constexpr int kHelpValue = 1000;

} // namespace

command_line::command_line(std::string aProgram)
  : mProgram(std::move(aProgram))
{
}

void
command_line::Text(std::string aName, std::string aHelp, std::string& aTarget)
{
  mOptions.push_back({ std::move(aName),
                       std::move(aHelp),
                       "a text that is not empty",
                       [&aTarget](std::string_view aText) {
                         aTarget = aText;
                         return !aText.empty();
                       } });
}

void
command_line::Address(std::string aName,
                      std::string aHelp,
                      std::optional<endpoint>& aTarget)
{
  mOptions.push_back({ std::move(aName),
                       std::move(aHelp),
                       "ADDR:PORT",
                       [&aTarget](std::string_view aText) {
                         aTarget = ParseListenAddress(aText);
                         return aTarget.has_value();
                       } });
}

void
command_line::Number(std::string aName,
                     std::string aHelp,
                     std::uint32_t aMaximum,
                     std::uint32_t& aTarget)
{
  mOptions.push_back({ std::move(aName),
                       std::move(aHelp),
                       "a whole number up to " + std::to_string(aMaximum),
                       [&aTarget, aMaximum](std::string_view aText) {
                         std::optional<std::uint64_t> number =
                           ParseWhole(aText, aMaximum);
                         aTarget =
                           static_cast<std::uint32_t>(number.value_or(0));
                         return number.has_value();
                       } });
}

void
command_line::Time(std::string aName,
                   std::string aHelp,
                   std::chrono::milliseconds aMaximum,
                   std::chrono::milliseconds& aTarget)
{
  mOptions.push_back({ std::move(aName),
                       std::move(aHelp),
                       "milliseconds up to " + std::to_string(aMaximum.count()),
                       [&aTarget, aMaximum](std::string_view aText) {
                         std::optional<std::uint64_t> number = ParseWhole(
                           aText, static_cast<std::uint64_t>(aMaximum.count()));
                         aTarget =
                           std::chrono::milliseconds(number.value_or(0));
                         return number.has_value();
                       } });
}

std::optional<int>
command_line::Parse(int aCount, char** aArguments) const
{
  std::vector<::option> table;
  for (std::size_t i = 0; i < mOptions.size(); i++) {
    table.push_back({ mOptions[i].mName.c_str(),
                      required_argument,
                      nullptr,
                      static_cast<int>(i) });
  }
  table.push_back({ "help", no_argument, nullptr, kHelpValue });
  table.push_back({ nullptr, 0, nullptr, 0 });
  int found = 0;
  optind = 1;
  while ((found = getopt_long(aCount, aArguments, "", table.data(), nullptr)) !=
         -1) {
    if (found == kHelpValue) {
      PrintHelp();
      return 0;
    }
    if (found == '?') { // getopt_long has said what is wrong
      return kExitBadOption;
    }
    const option& chosen = mOptions[static_cast<std::size_t>(found)];
    if (!chosen.mRead(optarg)) {
      std::cerr << mProgram << ": --" << chosen.mName << ": expected "
                << chosen.mExpected << ", got \"" << optarg << "\"\n";
      return kExitBadOption;
    }
  }
  if (optind < aCount) {
    std::cerr << mProgram << ": unexpected argument \"" << aArguments[optind]
              << "\"\n";
    return kExitBadOption;
  }
  return std::nullopt;
}

void
command_line::PrintHelp() const
{
  std::cout << "usage: " << mProgram << " [OPTION VALUE]...\n";
  for (const option& each : mOptions) {
    std::cout << "  --" << each.mName << "  " << each.mHelp << "; "
              << each.mExpected << "\n";
  }
  std::cout << "  --help\n";
}

std::optional<endpoint>
ParseListenAddress(std::string_view aText)
{
  if (!aText.ends_with(":0")) {
    return ParseEndpoint(aText);
  }
  std::string withPort(aText);
  withPort.back() = '1';
  std::optional<endpoint> result = ParseEndpoint(withPort);
  if (result) {
    result->mPort = 0;
  }
  return result;
}

int
RunUntilSignal(boost::asio::io_context& aContext)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait(
    [&aContext](const boost::system::error_code& aFailure, int) {
      if (!aFailure) {
        aContext.stop();
      }
    });
  aContext.run();
  return 0;
}

} // namespace laburnumdyke
