// Calls admission periodically: queued requests whose deadline has passed are
// refused, and upstreams whose ejection has ended receive requests again, at
// most one period late. No queue is polled beside this timer.
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 25 };

class admission_ticker
{
public:
  static constexpr std::string_view kName = "admission_ticker";
  static constexpr plugin_stage kStage = plugin_stage::Upstream;

  explicit admission_ticker(kernel& aKernel)
    : mTables(aKernel)
    , mStrand(asio::make_strand(aKernel.Context()))
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, Tick(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant) {}
  std::string PendingWork(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> Tick()
  {
    while (true) {
      co_await SleepFor(kPeriod);
      mTables.TickAdmission(std::chrono::steady_clock::now());
    }
  }

  entry_tables mTables;
  asio::strand<asio::io_context::executor_type> mStrand;
};

const plugin_registrar<admission_ticker> kRegistered;

} // namespace

} // namespace laburnumdyke
