// Asks the upstreams whose home this instance is for their load, once a
// period.
//
// A report is a hint: it may lag or mislead, and admission bounds what it can
// change. An upstream's word that it drains counts at once and is no report of
// load; a report without it is what ends a drain, so that no request is sent
// to find out.
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 1000 };
constexpr std::chrono::milliseconds kTimeout{ 500 };
constexpr std::size_t kLongestReport = 4096; // bytes

class load_watch
{
public:
  static constexpr std::string_view kName = "load_watch";
  static constexpr plugin_stage kStage = plugin_stage::Upstream;

  explicit load_watch(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mStrand(asio::make_strand(aKernel.Context()))
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, Watch(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant) {}
  std::string Waiting(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> Watch()
  {
    while (true) {
      std::vector<upstream_view> upstreams = mTables.Admission().With(
        [](admission& aAdmission) { return aAdmission.Upstreams(); });
      for (const upstream_view& upstream : upstreams) {
        if (upstream.mHome) {
          asio::co_spawn(mStrand, Ask(upstream), asio::detached);
        }
      }
      co_await SleepFor(kPeriod);
    }
  }

  asio::awaitable<void> Ask(upstream_view aUpstream)
  {
    client_request request;
    request.mTo = aUpstream.mAddress;
    request.mTarget = "/load";
    request.mTimeout = kTimeout;
    request.mLimit = kLongestReport;
    std::optional<client_answer> answer = co_await Exchange(request);
    boost::system::error_code failure;
    boost::json::value report = answer
                                  ? boost::json::parse(answer->mBody, failure)
                                  : boost::json::value();
    if (failure || !report.is_object()) {
      mKernel.Counters().Add("load_report_missing_total");
      co_return;
    }
    TakeReport(aUpstream.mUpstream,
               report.get_object(),
               std::chrono::steady_clock::now());
  }

  void TakeReport(const upstream_id& aUpstream,
                  const boost::json::object& aReport,
                  instant aNow)
  {
    const boost::json::value* busy = aReport.if_contains("busy");
    const boost::json::value* state = aReport.if_contains("state");
    bool draining = state != nullptr && state->is_string() &&
                    state->get_string() == "draining";
    mTables.Admission().With([&](admission& aAdmission) {
      if (draining) {
        aAdmission.ReportDraining(aUpstream, aNow);
      } else if (busy != nullptr && busy->is_int64() &&
                 busy->get_int64() >= 0) {
        aAdmission.Report(
          aUpstream, static_cast<std::uint32_t>(busy->get_int64()), aNow);
      }
    });
  }

  kernel& mKernel;
  entry_tables mTables;
  asio::strand<asio::io_context::executor_type> mStrand;
};

const registered<load_watch> kRegistered;

} // namespace

} // namespace laburnumdyke
