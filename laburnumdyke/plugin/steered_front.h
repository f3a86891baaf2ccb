// HTTP front end of an instance that routes by host and path. It serves
// requests, look-ups and readiness checks, each on its own address.
//
// Usage: a front end registers this class with its dialect, which defines the
// paths and encodes the answers:
//   const plugin_registrar<steered_front<my_dialect>> kRegistered;
//
// A planned stop removes the instance from look-up answers at once. The
// instance accepts requests until callers no longer cache an answer that
// names it. Then it stops accepting connections, closes idle ones, refuses
// requests that still arrive, and exits when no request is in flight.
// planned_stop decides the times.
#pragma once

#include "laburnumdyke/plugin/steered_pipeline.h"

namespace laburnumdyke {

// Location of the caller that asks for an instance to connect to.
struct lookup_query
{
  domain_id mDomain;
  region_id mRegion;
};

template<class T>
concept front_dialect = steering_dialect<T> &&
  requires(std::string_view aTarget,
           const std::vector<endpoint>& aAddresses,
           std::chrono::milliseconds aTtl)
{
  {
    T::kFrontName
    } -> std::convertible_to<std::string_view>;
  {
    T::ReadLookup(aTarget)
    } -> std::same_as<std::optional<lookup_query>>;
  {
    T::IsReadyCheck(aTarget)
    } -> std::same_as<bool>;
  {
    T::LookupBody(aAddresses, aTtl)
    } -> std::same_as<std::string>;
};

template<front_dialect Dialect>
class steered_front
{
public:
  static constexpr std::string_view kName = Dialect::kFrontName;
  static constexpr plugin_stage kStage = plugin_stage::Caller;
  static constexpr front_kind kFront = front_kind::Hosts;

  explicit steered_front(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mTransport(aKernel)
    , mPipeline(aKernel, mTransport)
    , mCallerHandler{ *this }
    , mLookupHandler{ *this }
    , mReadyHandler{ *this }
    , mCallerServer(aKernel, mCallerHandler)
    , mLookupServer(aKernel, mLookupHandler)
    , mReadyServer(aKernel, mReadyHandler)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mCallerServer.Listen(mKernel.Settings().mCaller);
    if (!failure) {
      failure = mLookupServer.Listen(mKernel.Settings().mDirectory);
    }
    if (!failure) {
      failure = mReadyServer.Listen(mKernel.Settings().mReady);
    }
    return failure;
  }

  void Leave(instant aNow)
  {
    mTables.PlannedStop().With([&](stop_state& aStop) { aStop.Begin(aNow); });
    mTables.Fleet().With([](fleet_state& aFleet) { aFleet.BeginLeaving(); });
    mCallerServer.Leave();
    mLookupServer.Leave();
  }

  std::string PendingWork(instant aNow)
  {
    stop_phase phase = mTables.PlannedStop().With(
      [&](stop_state& aStop) { return aStop.Phase(aNow); });
    if (phase < stop_phase::LastHeaders) {
      return "look-up answers cached by callers to expire";
    }
    if (!mStoppedAccepting) {
      mStoppedAccepting = true;
      mCallerServer.StopAccepting();
    }
    if (phase == stop_phase::LastHeaders) {
      return "headers on the last accepted connections";
    }
    std::size_t requests = mCallerServer.InFlight();
    if (requests == 0) {
      return {};
    }
    if (phase == stop_phase::Over) {
      mKernel.Log().Warn("requests_aborted",
                         { { "count", std::to_string(requests) } });
      return {};
    }
    return std::to_string(requests) + " requests in flight";
  }

  void Stop()
  {
    mCallerServer.Close();
    mLookupServer.Close();
    mReadyServer.Close();
  }

private:
  struct caller_handler
  {
    // Bytes of a connection that the kernel may hold in each direction. Its own
    // limits of several megabytes would let a few clients that don't read fill
    // the machine's memory; this much carries 20 Mbit/s over a round trip of
    // 100 ms.
    static constexpr int kSocketBuffer = 256 * 1024;

    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return mFront.mPipeline.Serve(aExchange);
    }

    server_limits Limits() { return mFront.CallerLimits(); }
  };

  struct lookup_handler
  {
    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return WriteAnswer(
        aExchange, mFront.AnswerLookup(FromBeast(aExchange.Head().target())));
    }
  };

  struct ready_handler
  {
    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return WriteAnswer(
        aExchange, mFront.AnswerReady(FromBeast(aExchange.Head().target())));
    }
  };

  // TTL of a look-up answer; short, so that callers learn of changes soon.
  static constexpr std::chrono::milliseconds kLookupTtl{ 2000 };
  // Connections stay open for this long after the idle timeout, because callers
  // may reuse one until just before it.
  static constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  server_limits CallerLimits()
  {
    std::shared_ptr<const route_table> routes = mTables.Routes();
    if (!routes) {
      return {};
    }
    const caller_limits& limits = routes->Limits();
    return { limits.mHeaderBytes,
             limits.mHeaderTimeout,
             limits.mIdleTimeout + kIdleMargin };
  }

  string_answer AnswerLookup(std::string_view aTarget)
  {
    std::optional<lookup_query> query = Dialect::ReadLookup(aTarget);
    if (!query) {
      return string_answer(http::status::not_found, 11);
    }
    std::vector<endpoint> addresses =
      mTables.Fleet().With([&](fleet_state& aFleet) {
        return aFleet.Answer(query->mDomain, query->mRegion, Now());
      });
    if (addresses.empty()) {
      mKernel.Counters().Add("lookups_refused_total", "no_instance");
      return string_answer(http::status::service_unavailable, 11);
    }
    mKernel.Counters().Add("lookups_total");
    std::chrono::milliseconds ttl =
      std::min(kLookupTtl, mKernel.Settings().mBounds.mMaxLookupTtl);
    string_answer answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = Dialect::LookupBody(addresses, ttl);
    return answer;
  }

  string_answer AnswerReady(std::string_view aTarget)
  {
    if (!Dialect::IsReadyCheck(aTarget)) {
      return string_answer(http::status::not_found, 11);
    }
    bool serving = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.IsServing(); });
    return string_answer(
      serving ? http::status::ok : http::status::service_unavailable, 11);
  }

  kernel& mKernel;
  steering_tables mTables;
  upstream_transport mTransport;
  steered_pipeline<Dialect, upstream_transport> mPipeline;
  caller_handler mCallerHandler;
  lookup_handler mLookupHandler;
  ready_handler mReadyHandler;
  http_server<caller_handler> mCallerServer;
  http_server<lookup_handler> mLookupServer;
  http_server<ready_handler> mReadyServer;
  bool mStoppedAccepting = false;
};

} // namespace laburnumdyke
