// Serves metrics of an instance that routes by host and path, at the operators'
// address and, if the settings give one, at an additional address for
// monitoring. If it can't listen at the latter, such as when the port is in
// use, the instance logs a warning and starts without it.
//
// Paths:
//   GET /metrics   counters and latency histograms
//
// The platform holds the configuration of such instances, so there is no
// console.
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
    , mOperatorServer(aKernel, *this)
    , mMetricsServer(aKernel, *this)
  {
  }

  std::optional<std::string> Start(instant)
  {
    const endpoint& metricsAddress = mKernel.Settings().mMetrics;
    std::optional<std::string> failure =
      metricsAddress.mPort == 0 ? std::nullopt
                                : mMetricsServer.Listen(metricsAddress);
    if (failure) {
      mKernel.Log().Warn("metrics_unavailable", { { "address", *failure } });
    }
    return mOperatorServer.Listen(mKernel.Settings().mOperator);
  }

  void Leave(instant) {}
  std::string PendingWork(instant) { return {}; }

  void Stop()
  {
    mOperatorServer.Close();
    mMetricsServer.Close();
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
  http_server<metrics_http> mOperatorServer;
  http_server<metrics_http> mMetricsServer;
};

const plugin_registrar<metrics_http> kRegistered;

} // namespace

} // namespace laburnumdyke
