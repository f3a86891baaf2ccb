// Serves metrics and explanations of an instance that routes by host and path,
// at the operators' address and, if the settings give one, at an additional
// address for monitoring. If it can't listen at the latter, such as when the
// port is in use, the instance logs a warning and starts without it.
//
// Paths:
//   GET /metrics      counters, latency histograms, demand by service
//   GET /v1/explain   where a request would go (route_explanation.h); at the
//                     operators' address only
//
// The platform holds the configuration of such instances, so there is no
// console.
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/demand_view.h"
#include "laburnumdyke/plugin/exposition.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/route_explanation.h"

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
    , mExplainer(aKernel)
    , mOperatorHandler{ *this }
    , mOperatorServer(aKernel, mOperatorHandler)
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
    answer.body() += RenderDemand(mKernel, std::chrono::steady_clock::now());
    if (aExchange.Head().target() != "/metrics") {
      answer = string_answer(http::status::not_found, 11);
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  struct operator_handler
  {
    metrics_http& mOwner;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return mOwner.HandleOperator(aExchange);
    }
  };

  asio::awaitable<void> HandleOperator(http_exchange& aExchange)
  {
    if (route_explainer::IsPath(FromBeast(aExchange.Head().target()))) {
      return WriteAnswer(
        aExchange,
        mExplainer.Answer(aExchange.Head(), std::chrono::steady_clock::now()));
    }
    return Handle(aExchange);
  }

  kernel& mKernel;
  route_explainer mExplainer;
  operator_handler mOperatorHandler;
  http_server<operator_handler> mOperatorServer;
  http_server<metrics_http> mMetricsServer;
};

const plugin_registrar<metrics_http> kRegistered;

} // namespace

} // namespace laburnumdyke
