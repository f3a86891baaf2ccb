// The front of an instance that steers by host and path: requests, look-ups
// and readiness, each on an address of its own.
//
// The dialect names the paths and encodes the answers; a front registers it:
//   const registered<steered_front<my_dialect>> kRegistered;
//
// A planned stop takes the instance out of look-up answers at once. It goes on
// taking requests for as long as answers that name it are held, then refuses
// new ones, and ends when nothing is in flight.
#pragma once

#include "laburnumdyke/plugin/steered_pipeline.h"

namespace laburnumdyke {

// Where a caller asks to connect.
struct lookup_question
{
  domain_id mDomain;
  region_id mRegion;
};

template<class T>
concept front_dialect = steering_dialect<T> &&
  requires(std::string_view aTarget,
           const std::vector<endpoint>& aNames,
           std::chrono::milliseconds aLife)
{
  {
    T::kFrontName
    } -> std::convertible_to<std::string_view>;
  {
    T::ReadLookup(aTarget)
    } -> std::same_as<std::optional<lookup_question>>;
  {
    T::IsReadyCheck(aTarget)
    } -> std::same_as<bool>;
  {
    T::LookupBody(aNames, aLife)
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
    , mCallerDoor{ *this }
    , mDirectoryDoor{ *this }
    , mReadyDoor{ *this }
    , mCallers(aKernel, mCallerDoor)
    , mDirectory(aKernel, mDirectoryDoor)
    , mReady(aKernel, mReadyDoor)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mCallers.Listen(mKernel.Settings().mCaller);
    if (!failure) {
      failure = mDirectory.Listen(mKernel.Settings().mDirectory);
    }
    if (!failure) {
      failure = mReady.Listen(mKernel.Settings().mReady);
    }
    return failure;
  }

  void Leave(instant aNow)
  {
    mLeftAt = aNow;
    mTables.Fleet().With([](fleet_state& aFleet) { aFleet.BeginLeaving(); });
    mCallers.Leave();
    mDirectory.Leave();
  }

  std::string Waiting(instant aNow)
  {
    if (aNow < mLeftAt + kTakesOn) {
      return "callers that still hold look-up answers";
    }
    if (!mStoppedAccepting) {
      mStoppedAccepting = aNow;
      mCallers.StopAccepting();
    }
    if (aNow < *mStoppedAccepting + kLastRequests) {
      return "requests that are just arriving";
    }
    std::chrono::milliseconds grace =
      mKernel.Settings().mBounds.mGrace - kExitMargin;
    std::size_t requests = mCallers.InFlight();
    if (requests == 0 || aNow >= mLeftAt + grace) {
      return {};
    }
    return std::to_string(requests) + " requests in flight";
  }

  void Stop()
  {
    mCallers.Close();
    mDirectory.Close();
    mReady.Close();
  }

private:
  struct caller_door
  {
    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return mFront.mPipeline.Serve(aExchange);
    }

    server_limits Limits() { return mFront.CallerLimits(); }
  };

  struct directory_door
  {
    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return WriteAnswer(
        aExchange, mFront.AnswerLookup(FromBeast(aExchange.Head().target())));
    }
  };

  struct ready_door
  {
    steered_front& mFront;

    asio::awaitable<void> Handle(http_exchange& aExchange)
    {
      return WriteAnswer(
        aExchange, mFront.AnswerReady(FromBeast(aExchange.Head().target())));
    }
  };

  // Longer than callers commonly hold an answer, and the news of leaving.
  static constexpr std::chrono::milliseconds kTakesOn{ 2600 };
  // Look-up answers are short-lived, so that callers soon learn of changes.
  static constexpr std::chrono::milliseconds kAnswerLife{ 2000 };
  // For headers to be read on connections that were just accepted.
  static constexpr std::chrono::milliseconds kLastRequests{ 250 };
  // From the last wait to the end of the process.
  static constexpr std::chrono::milliseconds kExitMargin{ 300 };
  // Callers may reuse a connection until just before the idle timeout.
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
    std::optional<lookup_question> question = Dialect::ReadLookup(aTarget);
    if (!question) {
      return string_answer(http::status::not_found, 11);
    }
    std::vector<endpoint> names =
      mTables.Fleet().With([&](fleet_state& aFleet) {
        return aFleet.Answer(question->mDomain, question->mRegion, Now());
      });
    if (names.empty()) {
      mKernel.Counters().Add("lookups_refused_total", "no_instance");
      return string_answer(http::status::service_unavailable, 11);
    }
    mKernel.Counters().Add("lookups_total");
    std::chrono::milliseconds life =
      std::min(kAnswerLife, mKernel.Settings().mBounds.mLongestAnswerLife);
    string_answer answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = Dialect::LookupBody(names, life);
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
  caller_door mCallerDoor;
  directory_door mDirectoryDoor;
  ready_door mReadyDoor;
  http_server<caller_door> mCallers;
  http_server<directory_door> mDirectory;
  http_server<ready_door> mReady;
  instant mLeftAt{};
  std::optional<instant> mStoppedAccepting;
};

} // namespace laburnumdyke
