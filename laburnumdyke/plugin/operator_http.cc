// Serves the operators' address: status as JSON, counters in the text
// exposition format and the configuration console.
//
// Paths:
//   GET /v1/status   state of this instance, and its view of the others
//   GET /metrics     counters and latency histograms
//   /console...      the configuration console (console.h)
#include "laburnumdyke/plugin/console.h"
#include "laburnumdyke/plugin/exposition.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

class operator_http
{
public:
  static constexpr std::string_view kName = "operator_http";
  static constexpr plugin_stage kStage = plugin_stage::Operator;

  explicit operator_http(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mConsole(aKernel)
    , mServer(aKernel, *this)
  {
  }

  std::optional<std::string> Start(instant)
  {
    return mServer.Listen(mKernel.Settings().mOperator);
  }

  void Leave(instant) {}
  std::string PendingWork(instant) { return {}; }
  void Stop() { mServer.Close(); }

  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    std::string_view target = FromBeast(aExchange.Head().target());
    if (console::IsPath(target)) {
      co_await mConsole.Handle(aExchange);
      co_return;
    }
    string_answer answer(http::status::ok, 11);
    if (target == "/metrics") {
      answer = MetricsAnswer(mKernel);
    } else if (target == "/v1/status") {
      answer.set(http::field::content_type, "application/json");
      answer.body() = boost::json::serialize(StatusJson(
        CollectStatus(mKernel, mTables, std::chrono::steady_clock::now())));
    } else {
      answer.result(http::status::not_found);
      answer.body() = "no such path\n";
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  kernel& mKernel;
  entry_tables mTables;
  console mConsole;
  http_server<operator_http> mServer;
};

const plugin_registrar<operator_http> kRegistered;

} // namespace

} // namespace laburnumdyke
