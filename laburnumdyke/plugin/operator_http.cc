// The operators' address: status as JSON and counters in the text exposition
// format.
//
// Paths:
//   GET /v1/status   this instance and what it sees of the others
//   GET /metrics     counters and latency histograms
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/exposition.h"
#include "laburnumdyke/plugin/http_server.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

boost::json::array
DescribePeers(const std::vector<peer>& aPeers)
{
  boost::json::array peers;
  for (const peer& one : aPeers) {
    boost::json::object description;
    description["instance"] = one.mLast.mSender.mInstance.mValue;
    description["failure_domain"] = one.mLast.mSender.mDomain.mValue;
    description["region"] = one.mLast.mSender.mRegion.mValue;
    description["version"] = one.mLast.mVersion;
    description["leaving"] = one.mLast.mSender.mLeaving;
    peers.push_back(std::move(description));
  }
  return peers;
}

class operator_http
{
public:
  static constexpr std::string_view kName = "operator_http";
  static constexpr plugin_stage kStage = plugin_stage::Operator;

  explicit operator_http(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mServer(aKernel, *this)
  {
  }

  std::optional<std::string> Start(instant)
  {
    return mServer.Listen(mKernel.Settings().mOperator);
  }

  void Leave(instant) {}
  std::string Waiting(instant) { return {}; }
  void Stop() { mServer.Close(); }

  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    std::string_view target = FromBeast(aExchange.Head().target());
    string_answer answer(http::status::ok, 11);
    if (target == "/metrics") {
      answer.set(http::field::content_type, "text/plain; version=0.0.4");
      answer.body() = RenderExposition(mKernel.Counters().Snapshot(),
                                       mKernel.Latencies().Summaries());
    } else if (target == "/v1/status") {
      answer.set(http::field::content_type, "application/json");
      answer.body() =
        boost::json::serialize(Status(std::chrono::steady_clock::now()));
    } else {
      answer.result(http::status::not_found);
      answer.body() = "no such path\n";
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  boost::json::object Status(instant aNow)
  {
    boost::json::object status;
    member self = mTables.Self();
    status["instance"] = self.mInstance.mValue;
    status["failure_domain"] = self.mDomain.mValue;
    status["region"] = self.mRegion.mValue;
    status["leaving"] = self.mLeaving;
    status["version"] = mTables.Version();
    boost::json::array credits;
    mTables.Admission().With([&](admission& aAdmission) {
      status["in_flight"] = aAdmission.InFlight();
      status["queued"] = aAdmission.Queued();
      for (const service_credit& credit : aAdmission.Credits(aNow)) {
        boost::json::object one;
        one["service"] = credit.mService.mValue;
        one["slots"] = credit.mSlots;
        one["free"] = credit.mFree;
        credits.push_back(std::move(one));
      }
    });
    status["credits"] = std::move(credits);
    status["peers"] = DescribePeers(mTables.LivePeers(aNow));
    return status;
  }

  kernel& mKernel;
  entry_tables mTables;
  http_server<operator_http> mServer;
};

const registered<operator_http> kRegistered;

} // namespace

} // namespace laburnumdyke
