// Parsing of the stand-ins' command lines.
#include "laburnumdyke/testing/standin/command_line.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(CommandLine){};

TEST(CommandLine, ReportsBadOptions)
{
  struct row
  {
    std::vector<std::string> mArguments;
    int mStatus; // -1: parsing succeeds, no exit
  };
  const row rows[] = {
    { {}, -1 },
    { { "--listen", "127.0.0.1:0", "--slots", "7" }, -1 },
    { { "--slots=7" }, -1 },
    { { "--help" }, 0 },
    { { "--slots" }, kExitBadOption },
    { { "--slots", "-1" }, kExitBadOption },
    { { "--slots", "11" }, kExitBadOption },
    { { "--lag", "soon" }, kExitBadOption },
    { { "--listen", "localhost:1" }, kExitBadOption },
    { { "--listen", "127.0.0.1:65536" }, kExitBadOption },
    { { "--colour", "red" }, kExitBadOption },
    { { "extra" }, kExitBadOption },
  };
  for (const row& each : rows) {
    std::optional<endpoint> listen;
    std::uint32_t slots = 0;
    std::chrono::milliseconds lag{ 0 };
    command_line line("standin");
    line.Address("listen", "", listen);
    line.Number("slots", "", 10, slots);
    line.Time("lag", "", 1s, lag);
    std::vector<std::string> texts = each.mArguments;
    std::string program = "standin";
    std::vector<char*> arguments{ program.data() };
    for (std::string& text : texts) {
      arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    std::optional<int> status =
      line.Parse(static_cast<int>(arguments.size()) - 1, arguments.data());
    LONGS_EQUAL(each.mStatus, status.value_or(-1));
  }
}
