// One timer on a strand; the directions are asked for at the same time, so
// that one lender's silence delays no other.
#include "laburnumdyke/plugin/link_rates.h"

#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace laburnumdyke {

string_answer
AnswerLinkRate(entry_tables& aTables, std::string_view aQuestion, instant aNow)
{
  std::optional<rate_question> question = DecodeRateQuestion(aQuestion);
  if (!question) {
    return string_answer(http::status::bad_request, 11);
  }
  std::optional<rate_grant> grant = aTables.LendLink(
    question->mDirection, question->mInstance, question->mAsk.mDemand, aNow);
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
    , mAsker(aKernel, mClient)
    , mStrand(asio::make_strand(aKernel.Context()))
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, AskEachPeriod(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant) {}
  std::string Waiting(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> AskEachPeriod()
  {
    while (true) {
      std::vector<link_direction> directions = mTables.Links().With(
        [](link_budget& aLinks) { return aLinks.Directions(); });
      for (const link_direction& direction : directions) {
        asio::co_spawn(mStrand, mAsker.Ask(direction), asio::detached);
      }
      co_await SleepFor(kRateRequestPeriod);
    }
  }

  entry_tables mTables;
  http_rate_client mClient;
  link_rate_asker<http_rate_client> mAsker;
  asio::strand<asio::io_context::executor_type> mStrand;
};

const registered<link_rates> kRegistered;

} // namespace

} // namespace laburnumdyke
