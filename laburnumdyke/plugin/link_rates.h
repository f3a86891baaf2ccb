// Asks the lender of this failure domain for rates of the links between
// regions, each kRateRequestPeriod, for the directions that have been used
// since.
//
// Without an answer an instance goes on with its reserve: an earlier grant
// ends by itself. Who lends is a home claim (LinkClaimName), so two lenders
// never lend one rate.
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/link_rate_codec.h"

#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <optional>

namespace laburnumdyke {

// Carries a question to another instance.
template<class T>
concept rate_client = requires(T& aClient, const client_request& aRequest)
{
  {
    aClient.Send(aRequest)
    } -> std::same_as<asio::awaitable<std::optional<client_answer>>>;
};

struct http_rate_client
{
  // By reference: g++ 12 copies arguments by value within a co_await bytewise.
  asio::awaitable<std::optional<client_answer>> Send(
    const client_request& aRequest)
  {
    return Exchange(aRequest);
  }
};

static_assert(rate_client<http_rate_client>);

// The lender's side: answers a question that came to the relay address.
string_answer
AnswerLinkRate(entry_tables& aTables, std::string_view aQuestion, instant aNow);

template<rate_client Client>
class link_rate_asker
{
public:
  link_rate_asker(kernel& aKernel, Client& aClient)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mClient(aClient)
  {
  }

  // Asks for one direction where it was used since the last asking, and takes
  // the grant.
  asio::awaitable<void> Ask(link_direction aDirection)
  {
    instant asked = std::chrono::steady_clock::now();
    rate_demand ask = mTables.Links().With(
      [&](link_budget& aLinks) { return aLinks.Ask(aDirection, asked); });
    if (ask.mDemand == 0) {
      co_return;
    }
    rate_question question{ aDirection, mTables.Self().mInstance, ask };
    std::optional<rate_grant> granted = co_await AskLender(question, asked);
    if (granted) {
      Count("granted");
      mTables.Links().With([&](link_budget& aLinks) {
        aLinks.ApplyGrant(
          aDirection, *granted, asked, std::chrono::steady_clock::now());
      });
    }
  }

private:
  static constexpr unsigned kOk = 200;

  void Count(std::string_view aResult)
  {
    mKernel.Counters().Add("link_rate_asked_total", aResult);
  }

  // Nothing where there is no lender or it did not answer; counted.
  asio::awaitable<std::optional<rate_grant>> AskLender(rate_question aQuestion,
                                                       instant aNow)
  {
    upstream_id claim = LinkClaimName(aQuestion.mDirection);
    std::optional<instance_id> lender =
      mTables.Membership().With([&](membership& aMembership) {
        return aMembership.Lease().HomeOf(claim, aNow);
      });
    if (!lender) {
      Count("no_lender");
      co_return std::nullopt;
    }
    if (*lender == aQuestion.mInstance) {
      std::optional<rate_grant> own = mTables.LendLink(aQuestion.mDirection,
                                                       aQuestion.mInstance,
                                                       aQuestion.mAsk.mDemand,
                                                       aNow);
      if (!own) {
        Count("not_lender");
      }
      co_return own;
    }
    co_return co_await AskPeer(aQuestion, *lender, aNow);
  }

  asio::awaitable<std::optional<rate_grant>> AskPeer(
    const rate_question& aQuestion,
    const instance_id& aLender,
    instant aNow)
  {
    std::optional<peer> found = mTables.FindPeer(aLender, aNow);
    if (!found) {
      Count("no_lender");
      co_return std::nullopt;
    }
    client_request request;
    request.mTo = found->mLast.mSender.mRelay;
    request.mMethod = http::verb::post;
    request.mTarget = kLinkRatePath;
    request.mBody = EncodeRateQuestion(aQuestion);
    request.mTimeout = kRateRequestPeriod;
    request.mLimit = kLongestRateMessage;
    std::optional<client_answer> answer = co_await mClient.Send(request);
    if (!answer) {
      Count("no_answer");
      co_return std::nullopt;
    }
    std::optional<rate_grant> granted =
      answer->mStatus == kOk ? DecodeRateGrant(answer->mBody) : std::nullopt;
    if (!granted) {
      Count("not_lender");
    }
    co_return granted;
  }

  kernel& mKernel;
  entry_tables mTables;
  Client& mClient;
};

} // namespace laburnumdyke
