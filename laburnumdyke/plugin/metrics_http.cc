// Serves metrics, status and explanations of an instance that routes by host
// and path, at the operators' address and, if the settings give one, at an
// additional address for monitoring. If it can't listen at the latter, such as
// when the port is in use, the instance logs a warning and starts without it.
//
// Paths:
//   GET /metrics      counters and latency histograms, with those of customers,
//                     and the demand by service
//   GET /status       configuration and customers (customer_status.h); at the
//                     operators' address only, also as /v1/status
//   GET /v1/explain   where a request would go (route_explanation.h); at the
//                     operators' address only
//
// The platform holds the configuration of such instances, so there is no
// console.
#include "laburnumdyke/kernel/kernel.h"
#include "laburnumdyke/plugin/customer_status.h"
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
    , mTables(aKernel)
    , mActivity(aKernel.Table<activity_state>())
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
    instant now = Now();
    answer.body() += RenderCustomerMetrics(mActivity.With(
      [&](activity_state& aActivity) { return aActivity.Report(now); }));
    answer.body() += RenderDemand(mKernel, now);
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

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> HandleOperator(http_exchange& aExchange)
  {
    std::string_view target = FromBeast(aExchange.Head().target());
    if (route_explainer::IsPath(target)) {
      return WriteAnswer(aExchange, mExplainer.Answer(aExchange.Head(), Now()));
    }
    if (target == "/status" || target == "/v1/status") {
      return WriteAnswer(aExchange, StatusAnswer());
    }
    return Handle(aExchange);
  }

  string_answer StatusAnswer()
  {
    string_answer answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    answer.set(http::field::cache_control, "no-store");
    answer.body() = boost::json::serialize(HostsStatusJson(
                      mKernel, mTables, Now(), boot_clock::Now())) +
                    "\n";
    return answer;
  }

  kernel& mKernel;
  steering_tables mTables;
  table<activity_state>& mActivity;
  route_explainer mExplainer;
  operator_handler mOperatorHandler;
  http_server<operator_handler> mOperatorServer;
  http_server<metrics_http> mMetricsServer;
};

const plugin_registrar<metrics_http> kRegistered;

} // namespace

} // namespace laburnumdyke
