// Requests rates of the links between regions from the lender of this failure
// domain. Every kRateRequestPeriod, sends one request for each direction that
// has been used since the previous request.
//
// Without an answer, an instance falls back to its reserve when its earlier
// grant expires. The lender is elected by a home claim (see LinkClaimName), so
// that no two instances lend the same rate.
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/link_rate_codec.h"

#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <optional>

namespace laburnumdyke {

// Sends an HTTP request to another instance. Returns nullopt if there is no
// answer.
template<class T>
concept rate_client = requires(T& aClient, const client_request& aRequest)
{
  {
    aClient.Send(aRequest)
    } -> std::same_as<asio::awaitable<std::optional<client_answer>>>;
};

struct http_rate_client
{
  // Takes the request by reference, because g++ 12 copies by-value arguments
  // within a co_await expression bytewise.
  asio::awaitable<std::optional<client_answer>> Send(
    const client_request& aRequest)
  {
    return Exchange(aRequest);
  }
};

static_assert(rate_client<http_rate_client>);

// Handles a rate request that arrived on the relay address. Answers 200 with
// the grant, 400 if aBody is malformed, or 409 if this instance is not the
// lender of the direction.
string_answer
HandleRateRequest(entry_tables& aTables, std::string_view aBody, instant aNow);

template<rate_client Client>
class link_rate_requester
{
public:
  link_rate_requester(kernel& aKernel, Client& aClient)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mClient(aClient)
  {
  }

  // Requests a rate for aDirection, if it was used since the previous request,
  // and applies the grant.
  asio::awaitable<void> RequestRate(link_direction aDirection)
  {
    instant requestedAt = std::chrono::steady_clock::now();
    rate_demand demand = mTables.Links().With(
      [&](link_budget& aLinks) { return aLinks.Ask(aDirection, requestedAt); });
    if (demand.mDemand == 0) {
      co_return;
    }
    rate_request request{ aDirection, mTables.Self().mInstance, demand };
    std::optional<rate_grant> granted =
      co_await RequestFromLender(request, requestedAt);
    if (granted) {
      CountRequest("granted");
      mTables.Links().With([&](link_budget& aLinks) {
        aLinks.ApplyGrant(
          aDirection, *granted, requestedAt, std::chrono::steady_clock::now());
      });
    }
  }

private:
  static constexpr unsigned kOk = 200;

  void CountRequest(std::string_view aResult)
  {
    mKernel.Counters().Add("link_rate_asked_total", aResult);
  }

  // Returns nullopt, and counts the reason under link_rate_asked_total, if
  // there is no lender or it gives no grant.
  asio::awaitable<std::optional<rate_grant>> RequestFromLender(
    rate_request aRateRequest,
    instant aNow)
  {
    upstream_id claim = LinkClaimName(aRateRequest.mDirection);
    std::optional<instance_id> lender =
      mTables.Membership().With([&](membership& aMembership) {
        return aMembership.Lease().HomeOf(claim, aNow);
      });
    if (!lender) {
      CountRequest("no_lender");
      co_return std::nullopt;
    }
    if (*lender == aRateRequest.mInstance) {
      std::optional<rate_grant> ownGrant =
        mTables.LendLink(aRateRequest.mDirection,
                         aRateRequest.mInstance,
                         aRateRequest.mRateDemand.mDemand,
                         aNow);
      if (!ownGrant) {
        CountRequest("not_lender");
      }
      co_return ownGrant;
    }
    co_return co_await RequestFromPeer(aRateRequest, *lender, aNow);
  }

  asio::awaitable<std::optional<rate_grant>> RequestFromPeer(
    const rate_request& aRateRequest,
    const instance_id& aLender,
    instant aNow)
  {
    std::optional<peer> lenderPeer = mTables.FindPeer(aLender, aNow);
    if (!lenderPeer) {
      CountRequest("no_lender");
      co_return std::nullopt;
    }
    client_request call;
    call.mTo = lenderPeer->mLast.mSender.mRelay;
    call.mMethod = http::verb::post;
    call.mTarget = kLinkRatePath;
    call.mBody = EncodeRateRequest(aRateRequest);
    call.mTimeout = kRateRequestPeriod;
    call.mLimit = kMaxRateMessageBytes;
    std::optional<client_answer> answer = co_await mClient.Send(call);
    if (!answer) {
      CountRequest("no_answer");
      co_return std::nullopt;
    }
    std::optional<rate_grant> granted =
      answer->mStatus == kOk ? DecodeRateGrant(answer->mBody) : std::nullopt;
    if (!granted) {
      CountRequest("not_lender");
    }
    co_return granted;
  }

  kernel& mKernel;
  entry_tables mTables;
  Client& mClient;
};

} // namespace laburnumdyke
