// Runs the platform stand-in as a program. Prints "listening=ADDR:PORT" once
// it accepts connections.
#include "laburnumdyke/testing/standin/command_line.h"
#include "laburnumdyke/testing/standin/platform_standin.h"

#include <iostream>

using namespace laburnumdyke;

int
main(int aCount, char** aArguments)
{
  constexpr std::chrono::milliseconds kMaxDelay{ 600000 };
  std::optional<endpoint> listen = endpoint{ "127.0.0.1", 0 };
  platform_standin_options options;
  command_line line("platform_standin");
  line.Address("listen", "where to serve; port 0: any", listen);
  line.Time("delay", "before each answer", kMaxDelay, options.mFaults.mDelay);
  line.Time("list-lag",
            "age of the list of instances",
            kMaxListLag,
            options.mFaults.mListLag);
  std::optional<int> status = line.Parse(aCount, aArguments);
  if (status) {
    return *status;
  }
  options.mListen = *listen;
  boost::asio::io_context context(1);
  platform_standin platform(context, options);
  std::optional<std::string> failure = platform.Start();
  if (failure) {
    std::cerr << "platform_standin: " << *failure << "\n";
    return 1;
  }
  endpoint bound{ options.mListen.mAddress, platform.Port() };
  std::cout << "listening=" << bound.Text() << std::endl;
  return RunUntilSignal(context);
}
