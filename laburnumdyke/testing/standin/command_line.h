// What the stand-ins' programs share: options with a value, by getopt_long,
// and a main loop that SIGTERM and SIGINT end.
//
// Usage:
//   command_line options("upstream_standin");
//   options.Address("listen", "address to listen on; port 0: any", listen);
//   options.Number("slots", "requests in flight", 1000, slots);
//   std::optional<int> status = options.Parse(argc, argv);
//   if (status) return *status;      // 0 after --help, 2 after a bad option
//   return RunUntilSignal(context);
#pragma once

#include "laburnumdyke/kernel/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

inline constexpr int kExitBadOption = 2;

class command_line
{
public:
  explicit command_line(std::string aProgram);

  void Text(std::string aName, std::string aHelp, std::string& aTarget);
  void Address(std::string aName,
               std::string aHelp,
               std::optional<endpoint>& aTarget);
  void Number(std::string aName,
              std::string aHelp,
              std::uint32_t aMaximum,
              std::uint32_t& aTarget);
  void Time(std::string aName,
            std::string aHelp,
            std::chrono::milliseconds aMaximum,
            std::chrono::milliseconds& aTarget);

  // The exit status where the program is to end here.
  std::optional<int> Parse(int aCount, char** aArguments) const;

private:
  struct option
  {
    std::string mName;
    std::string mHelp;
    std::string mExpected;
    std::function<bool(std::string_view)> mRead; // false: not as expected
  };

  void PrintHelp() const;

  std::string mProgram;
  std::vector<option> mOptions;
};

// Like ParseEndpoint, and takes port 0.
std::optional<endpoint>
ParseListenAddress(std::string_view aText);

// Runs the context until SIGTERM or SIGINT; returns the exit status.
int
RunUntilSignal(boost::asio::io_context& aContext);

} // namespace laburnumdyke
