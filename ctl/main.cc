// laburnumctl: checks, submits and shows configuration documents, and queries
// running instances.
#include "ctl/commands.h"

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace laburnumdyke;

namespace {

constexpr int kChangeIdWords = 4; // of 32 bits

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
  asio_http http;
  asio_clock clock;
  commands<asio_http, asio_clock> run(
    std::move(options), http, clock, std::cout, std::cerr);
  return static_cast<int>(run.Run());
}
