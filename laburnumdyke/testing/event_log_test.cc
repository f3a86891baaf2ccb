// A program of which threads write the first lines: by itself, since any line
// before them would set log4cxx up.
#include "laburnumdyke/kernel/event_log.h"

#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

TEST_GROUP(FirstLines){};

// The thread sanitizer judges.
TEST(FirstLines, ThreadsMayWriteTheFirstLines)
{
  event_log log("entry-1");
  std::vector<std::jthread> writers;
  for (int i = 0; i < 4; ++i) {
    writers.emplace_back([&] {
      for (int line = 0; line < 50; ++line) {
        log.Info("first", { { "line", std::to_string(line) } });
      }
    });
  }
}
