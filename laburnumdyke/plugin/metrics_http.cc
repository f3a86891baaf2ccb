// The operators' address of an instance that steers by host and path, and the
// address for monitoring where the settings give one. Something else may hold
// the port of the second: the instance serves all the same, and logs it.
//
// Paths:
//   GET /metrics   counters and latency histograms
//
// What the operator asks for comes from the platform, so there is no console.
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/exposition.h"
#include "laburnumdyke/plugin/http_server.h"

namespace laburnumdyke {

namespace {

class metrics_http
{
public:
  static constexpr std::string_view kName = "metrics_http";
  static constexpr plugin_stage kStage = plugin_stage::Operator;
  static constexpr front_kind kFront = front_kind::Hosts;

  explicit metrics_http(kernel& aKernel)
    : mKernel(aKernel)
    , mServer(aKernel, *this)
    , mMonitored(aKernel, *this)
  {
  }

  std::optional<std::string> Start(instant)
  {
    const endpoint& monitored = mKernel.Settings().mMetrics;
    std::optional<std::string> failure =
      monitored.mPort == 0 ? std::nullopt : mMonitored.Listen(monitored);
    if (failure) {
      mKernel.Log().Warn("metrics_unavailable", { { "address", *failure } });
    }
    return mServer.Listen(mKernel.Settings().mOperator);
  }

  void Leave(instant) {}
  std::string Waiting(instant) { return {}; }

  void Stop()
  {
    mServer.Close();
    mMonitored.Close();
  }

  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    string_answer answer = MetricsAnswer(mKernel);
    if (aExchange.Head().target() != "/metrics") {
      answer = string_answer(http::status::not_found, 11);
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  kernel& mKernel;
  http_server<metrics_http> mServer;
  http_server<metrics_http> mMonitored;
};

const registered<metrics_http> kRegistered;

} // namespace

} // namespace laburnumdyke
