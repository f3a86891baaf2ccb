// Polls the load of the upstreams whose home is this instance, once per period.
//
// A load report is a hint: it may be stale or wrong, and admission bounds its
// effect. An upstream that reports that it is draining is taken as draining at
// once, and its report is not used as a load. A later report that does not say
// so ends the drain, so that no request has to be sent to find out.
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
constexpr std::size_t kMaxReportBytes = 4096;

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
  std::string PendingWork(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> Watch()
  {
    while (true) {
      std::vector<upstream_view> upstreams = mTables.Admission().With(
        [](admission& aAdmission) { return aAdmission.Upstreams(); });
      for (const upstream_view& upstream : upstreams) {
        if (upstream.mHome) {
          asio::co_spawn(mStrand, PollLoad(upstream), asio::detached);
        }
      }
      co_await SleepFor(kPeriod);
    }
  }

  asio::awaitable<void> PollLoad(upstream_view aUpstream)
  {
    client_request request;
    request.mTo = aUpstream.mAddress;
    request.mTarget = "/load";
    request.mTimeout = kTimeout;
    request.mLimit = kMaxReportBytes;
    std::optional<client_answer> answer = co_await Exchange(request);
    boost::system::error_code failure;
    boost::json::value report = answer
                                  ? boost::json::parse(answer->mBody, failure)
                                  : boost::json::value();
    if (failure || !report.is_object()) {
      mKernel.Counters().Add("load_report_missing_total");
      co_return;
    }
    ApplyReport(aUpstream.mUpstream,
                report.get_object(),
                std::chrono::steady_clock::now());
  }

  void ApplyReport(const upstream_id& aUpstream,
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

const plugin_registrar<load_watch> kRegistered;

} // namespace

} // namespace laburnumdyke
