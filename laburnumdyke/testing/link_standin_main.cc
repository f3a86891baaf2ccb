// Runs the link stand-in as a program. Prints "listening=ADDR:PORT" once it
// accepts connections, and "control=ADDR:PORT" where it has a control port.
#include "laburnumdyke/testing/standin/command_line.h"
#include "laburnumdyke/testing/standin/link_standin.h"

#include <iostream>

using namespace laburnumdyke;

int
main(int aCount, char** aArguments)
{
  constexpr std::chrono::milliseconds kMaxDelay{ 600000 };
  std::optional<endpoint> listen = endpoint{ "127.0.0.1", 0 };
  std::optional<endpoint> to;
  link_standin_options options;
  command_line line("link_standin");
  line.Address("listen", "where to accept; port 0: any", listen);
  line.Address("to", "where to relay to; required", to);
  line.Address("control", "a port for control", options.mControlListen);
  line.Time("delay", "in each direction", kMaxDelay, options.mFaults.mDelay);
  std::optional<int> status = line.Parse(aCount, aArguments);
  if (status) {
    return *status;
  }
  if (!to || to->mPort == 0) {
    std::cerr << "link_standin: --to: expected ADDR:PORT, got nothing\n";
    return kExitBadOption;
  }
  options.mListen = *listen;
  options.mTo = *to;
  boost::asio::io_context context(1);
  link_standin link(context, options);
  std::optional<std::string> failure = link.Start();
  if (failure) {
    std::cerr << "link_standin: " << *failure << "\n";
    return 1;
  }
  endpoint bound{ options.mListen.mAddress, link.Port() };
  std::cout << "listening=" << bound.Text() << std::endl;
  if (options.mControlListen) {
    endpoint control{ options.mControlListen->mAddress, link.ControlPort() };
    std::cout << "control=" << control.Text() << std::endl;
  }
  return RunUntilSignal(context);
}
