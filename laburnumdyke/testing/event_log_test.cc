// Guards against data races when several threads write the first log lines,
// while log4cxx initializes itself. ctest runs it in a process of its own,
// since any earlier line would have initialized log4cxx.
#include "laburnumdyke/kernel/event_log.h"

#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

TEST_GROUP(FirstLines){};

// Has no checks of its own: the thread sanitizer reports races.
TEST(FirstLines, ThreadsWriteFirstLinesConcurrently)
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
