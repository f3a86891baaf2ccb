// The front end for callers: look-ups and requests. Requests that other entry
// instances relay arrive at a separate address.
//
// Paths:
//   GET  /v1/lookup?service=S&client=IP   the entry instances to use
//   GET  /v1/identity                      an identity for one request
//   *    /v1/request/S/...                 a request to service S
//   GET  /v1/objects/HASH                  an object of the document in force
//                                          (peers only)
//   POST /v1/link-rate                     borrows a share of a link's rate
//                                          (peers only)
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/link_rates.h"
#include "laburnumdyke/plugin/lookup.h"
#include "laburnumdyke/plugin/request_pipeline.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

// Tells the front end whether a request arrived at the caller address or at the
// relay address.
template<class Owner>
struct address_handler
{
  Owner& mOwner;
  bool mFromPeer;

  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    return mOwner.Handle(aExchange, mFromPeer);
  }
};

class caller_http
{
public:
  static constexpr std::string_view kName = "caller_http";
  static constexpr plugin_stage kStage = plugin_stage::Caller;

  explicit caller_http(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mTransport(aKernel)
    , mPipeline(aKernel, mTransport)
    , mCallerHandler{ *this, false }
    , mRelayHandler{ *this, true }
    , mCallerServer(aKernel, mCallerHandler)
    , mRelayServer(aKernel, mRelayHandler)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mCallerServer.Listen(mKernel.Settings().mCaller);
    if (!failure) {
      failure = mRelayServer.Listen(mKernel.Settings().mRelay);
    }
    return failure;
  }

  void Leave(instant aNow)
  {
    mServeUntil = aNow + MaxLookupTtl() + kLeavePropagationTime;
    mCallerServer.Leave();
    mRelayServer.Leave();
  }

  std::string PendingWork(instant aNow)
  {
    if (aNow < mServeUntil) {
      return "look-up answers that callers still hold";
    }
    std::size_t requests = mCallerServer.InFlight() + mRelayServer.InFlight();
    return requests == 0 ? std::string()
                         : std::to_string(requests) + " requests in flight";
  }

  void Stop()
  {
    mCallerServer.Close();
    mRelayServer.Close();
  }

  asio::awaitable<void> Handle(http_exchange& aExchange, bool aFromPeer)
  {
    std::string_view target = FromBeast(aExchange.Head().target());
    if (target.substr(0, kRequestPath.size()) == kRequestPath) {
      co_await mPipeline.Serve(aExchange, aFromPeer);
    } else if (!aFromPeer &&
               target.substr(0, kLookupPath.size()) == kLookupPath) {
      co_await WriteAnswer(aExchange,
                           AnswerLookup(mKernel, mTables, target, Now()));
    } else if (!aFromPeer && target == "/v1/identity") {
      co_await WriteAnswer(aExchange, AnswerIdentity(mTables, Now()));
    } else if (aFromPeer &&
               target.substr(0, kObjectPath.size()) == kObjectPath) {
      co_await WriteAnswer(aExchange,
                           AnswerObject(target.substr(kObjectPath.size())));
    } else if (aFromPeer && target == kLinkRatePath) {
      co_await LendRate(aExchange);
    } else {
      mKernel.Counters().Add("refused_total", "malformed_request");
      string_answer answer(http::status::not_found, 11);
      answer.set(ToBeast(kOutcomeHeader), "not-run");
      answer.set(ToBeast(kReasonHeader), "malformed_request");
      answer.body() = "no such path\n";
      co_await WriteAnswer(aExchange, std::move(answer));
    }
  }

private:
  static constexpr std::string_view kObjectPath = "/v1/objects/";

  // Time for all peers that answer look-ups to learn that this instance leaves.
  static constexpr std::chrono::milliseconds kLeavePropagationTime{ 1500 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> LendRate(http_exchange& aExchange)
  {
    std::optional<std::string> message =
      co_await ReadBody(aExchange, kMaxRateMessageBytes);
    string_answer answer =
      HandleRateRequest(mTables, message.value_or(""), Now());
    co_await WriteAnswer(aExchange, std::move(answer));
  }

  // Returns a part of the document in force, for a peer that can't reach the
  // platform.
  string_answer AnswerObject(std::string_view aHash)
  {
    std::shared_ptr<const std::string> text =
      mTables.DocumentState().With([&](document_state& aState) {
        auto found = aState.Objects().find(std::string(aHash));
        return found == aState.Objects().end() ? nullptr : found->second;
      });
    string_answer answer(text ? http::status::ok : http::status::not_found, 11);
    if (text) {
      answer.body() = *text;
    }
    return answer;
  }

  std::chrono::milliseconds MaxLookupTtl()
  {
    std::chrono::milliseconds longest{ 0 };
    std::shared_ptr<const document> document = mTables.Document();
    if (document) {
      for (const std::pair<const service_id, service_spec>& service :
           document->mServices) {
        longest = std::max(longest, service.second.mLookupTtl);
      }
    }
    return longest;
  }

  kernel& mKernel;
  entry_tables mTables;
  http_transport mTransport;
  request_pipeline<http_transport> mPipeline;
  address_handler<caller_http> mCallerHandler;
  address_handler<caller_http> mRelayHandler;
  http_server<address_handler<caller_http>> mCallerServer;
  http_server<address_handler<caller_http>> mRelayServer;
  instant mServeUntil{};
};

const plugin_registrar<caller_http> kRegistered;

} // namespace

} // namespace laburnumdyke
