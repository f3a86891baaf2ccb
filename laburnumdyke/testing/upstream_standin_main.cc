// Runs one upstream stand-in as a program. Prints "listening=ADDR:PORT" once
// it accepts connections, and "control=ADDR:PORT" where it has a control port.
#include "laburnumdyke/testing/standin/command_line.h"
#include "laburnumdyke/testing/standin/upstream_standin.h"

#include <iostream>

using namespace laburnumdyke;

int
main(int aCount, char** aArguments)
{
  constexpr std::uint32_t kMaxCount = 100000;
  constexpr std::chrono::milliseconds kMaxWarmUp{ 600000 };
  std::optional<endpoint> listen = endpoint{ "127.0.0.1", 0 };
  upstream_standin_options options;
  command_line line("upstream_standin");
  line.Address("listen", "where to serve; port 0: any", listen);
  line.Address("control", "a port for control alone", options.mControlListen);
  line.Text("name", "the upstream's name", options.mModel.mName);
  line.Number("slots", "requests in flight", kMaxCount, options.mModel.mSlots);
  line.Number(
    "connections", "connection limit", kMaxCount, options.mConnections);
  line.Time(
    "warm-up", "length of the cold start", kMaxWarmUp, options.mModel.mWarmUp);
  line.Number("cold-factor",
              "factor on service times at the start",
              kMaxCount,
              options.mModel.mColdFactor);
  line.Time("load-lag",
            "age of what /load reports",
            kMaxLoadLag,
            options.mFaults.mLoadLag);
  std::optional<int> status = line.Parse(aCount, aArguments);
  if (status) {
    return *status;
  }
  options.mListen = *listen;
  boost::asio::io_context context(1);
  upstream_standin upstream(context, options);
  std::optional<std::string> failure = upstream.Start();
  if (failure) {
    std::cerr << "upstream_standin: " << *failure << "\n";
    return 1;
  }
  endpoint bound{ options.mListen.mAddress, upstream.Port() };
  std::cout << "listening=" << bound.Text() << std::endl;
  if (options.mControlListen) {
    endpoint control{ options.mControlListen->mAddress,
                      upstream.ControlPort() };
    std::cout << "control=" << control.Text() << std::endl;
  }
  return RunUntilSignal(context);
}
