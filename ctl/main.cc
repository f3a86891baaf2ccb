// laburnumctl: checks, submits and shows documents, and asks running
// instances. Each exchange runs a context of its own until it ends: the tool
// does one thing at a time.
#include "ctl/commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

using namespace laburnumdyke;

namespace {

constexpr int kChangeIdWords = 4; // of 32 bits

class blocking_http
{
public:
  std::optional<client_answer> Exchange(client_request aRequest)
  {
    std::optional<client_answer> result;
    asio::io_context context(1);
    asio::co_spawn(
      context,
      laburnumdyke::Exchange(std::move(aRequest)),
      [&result](std::exception_ptr, std::optional<client_answer> aAnswer) {
        result = std::move(aAnswer);
      });
    context.run();
    return result;
  }
};

struct system_clock
{
  instant Now() { return std::chrono::steady_clock::now(); }
  void SleepUntil(instant aUntil) { std::this_thread::sleep_until(aUntil); }
};

std::string
NewChangeId()
{
  std::random_device random;
  std::string id;
  for (int word = 0; word < kChangeIdWords; ++word) {
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", random());
    id += text.data();
  }
  return id;
}

std::string
LoginName()
{
  const char* name = std::getenv("USER");
  return name != nullptr && IsRowToken(name) ? name : "operator";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  options_result parsed = ParseOptions(aCount, aArguments);
  if (!parsed.mOptions) {
    std::cerr << "laburnumctl: " << parsed.mReason << "\n";
    return static_cast<int>(exit_status::Usage);
  }
  ctl_options options = std::move(*parsed.mOptions);
  if (options.mCommand == command_kind::Version) {
    std::cout << "laburnumctl " << LABURNUMDYKE_VERSION << "\n";
    return static_cast<int>(exit_status::Ok);
  }
  if (options.mChangeId.empty()) {
    options.mChangeId = NewChangeId();
  }
  if (options.mSubmitter.empty()) {
    options.mSubmitter = LoginName();
  }
  blocking_http http;
  system_clock clock;
  commands<blocking_http, system_clock> run(
    std::move(options), http, clock, std::cout, std::cerr);
  return static_cast<int>(run.Run());
}
