// One timer drives all requests. The directions are requested concurrently, so
// that a lender that does not answer delays no other direction.
#include "laburnumdyke/plugin/link_rates.h"

#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace laburnumdyke {

string_answer
HandleRateRequest(entry_tables& aTables, std::string_view aBody, instant aNow)
{
  std::optional<rate_request> request = DecodeRateRequest(aBody);
  if (!request) {
    return string_answer(http::status::bad_request, 11);
  }
  std::optional<rate_grant> grant =
    aTables.LendLink(request->mDirection,
                     request->mInstance,
                     request->mRateDemand.mDemand,
                     aNow);
  if (!grant) {
    return string_answer(http::status::conflict, 11);
  }
  string_answer answer(http::status::ok, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = EncodeRateGrant(*grant);
  return answer;
}

namespace {

class link_rates
{
public:
  static constexpr std::string_view kName = "link_rates";
  static constexpr plugin_stage kStage = plugin_stage::Peer;

  explicit link_rates(kernel& aKernel)
    : mTables(aKernel)
    , mRequester(aKernel, mClient)
    , mStrand(asio::make_strand(aKernel.Context()))
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, RequestPeriodically(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant) {}
  std::string PendingWork(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> RequestPeriodically()
  {
    while (true) {
      std::vector<link_direction> directions = mTables.Links().With(
        [](link_budget& aLinks) { return aLinks.Directions(); });
      for (const link_direction& direction : directions) {
        asio::co_spawn(
          mStrand, mRequester.RequestRate(direction), asio::detached);
      }
      co_await SleepFor(kRateRequestPeriod);
    }
  }

  entry_tables mTables;
  http_rate_client mClient;
  link_rate_requester<http_rate_client> mRequester;
  asio::strand<asio::io_context::executor_type> mStrand;
};

const plugin_registrar<link_rates> kRegistered;

} // namespace

} // namespace laburnumdyke
