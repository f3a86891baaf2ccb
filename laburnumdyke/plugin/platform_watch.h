// Keeps what the platform tells in force: configuration, evacuations,
// instances and, by upstream_watch, upstreams.
//
// The source reads; watch_state decides what a reading means. Where the
// platform turns this instance away, or a peer knows of a later change, the
// peer's copy is read instead. The relay address answers peers: with this
// instance's copy, and with news of upstreams.
//
// A source registers the watch:
//   const registered<platform_watch<my_source>> kRegistered;
#pragma once

#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/jitter.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/upstream_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace laburnumdyke {

template<class T>
concept platform_source = requires(T& aSource,
                                   std::optional<std::uint64_t> aAfter,
                                   std::chrono::milliseconds aWait,
                                   fleet_member aMember,
                                   instance_id aInstance,
                                   const std::string& aView)
{
  {
    T::kWatchName
    } -> std::convertible_to<std::string_view>;
  {
    aSource.ReadControl(aAfter, aWait)
    } -> std::same_as<asio::awaitable<control_reading>>;
  {
    aSource.ReadUpstreams(aAfter, aWait)
    } -> std::same_as<asio::awaitable<upstream_reading>>;
  {
    aSource.ReadFleet(aAfter, aWait)
    } -> std::same_as<asio::awaitable<fleet_reading>>;
  {
    aSource.Register(aMember)
    } -> std::same_as<asio::awaitable<bool>>;
  {
    aSource.Withdraw(aInstance)
    } -> std::same_as<asio::awaitable<bool>>;
  {
    aSource.View()
    } -> std::same_as<std::string>;
  {
    aSource.TakeView(aView)
    } -> std::same_as<control_reading>;
};

template<platform_source Source>
class platform_watch
{
public:
  static constexpr std::string_view kName = Source::kWatchName;
  static constexpr plugin_stage kStage = plugin_stage::Platform;
  static constexpr front_kind kFront = front_kind::Hosts;

  explicit platform_watch(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mSource(aKernel.Settings())
    , mStrand(asio::make_strand(aKernel.Context()))
    , mPeerServer(aKernel, *this)
    , mJitter(aKernel.Settings().mIncarnation)
    , mUpstreams(aKernel, mSource, mStrand)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mPeerServer.Listen(mKernel.Settings().mRelay);
    if (!failure) {
      asio::co_spawn(mStrand, WatchControl(), asio::detached);
      asio::co_spawn(mStrand, mUpstreams.Watch(), asio::detached);
      asio::co_spawn(mStrand, WatchFleet(), asio::detached);
      asio::co_spawn(mStrand, AskPeers(), asio::detached);
    }
    return failure;
  }

  void Leave(instant) { asio::co_spawn(mStrand, Withdraw(), asio::detached); }

  std::string Waiting(instant) { return {}; }
  void Stop() { mPeerServer.Close(); }

  // A peer asks for this instance's copy, or for news of upstreams.
  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    std::string target(FromBeast(aExchange.Head().target()));
    std::optional<std::uint64_t> after = ReadNewsTarget(target);
    string_answer answer(http::status::not_found, 11);
    if (target == kViewTarget) {
      answer.result(http::status::ok);
      answer.body() = mSource.View();
    } else if (after) {
      std::optional<upstream_news> news = co_await asio::co_spawn(
        mStrand, mUpstreams.NewsSince(*after), asio::use_awaitable);
      answer.result(news ? http::status::ok
                         : http::status::service_unavailable);
      answer.body() = news ? EncodeNews(*news) : std::string();
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  static constexpr std::string_view kViewTarget = "/v1/view";
  // The platform answers sooner where there is a change. Where it falls silent
  // in a wait, the instances that read upstreams find it back soon, and tell
  // the others by being ahead.
  static constexpr std::chrono::milliseconds kReaderControlWait{ 2000 };
  static constexpr std::chrono::milliseconds kControlWait{ 10000 };
  // Who has registered is read at a pace: each change would else wake every
  // instance, and newcomers are heard by their heartbeats before.
  static constexpr std::chrono::milliseconds kFirstFleetPace{ 1000 };
  static constexpr std::chrono::milliseconds kFleetPace{ 20000 };
  static constexpr std::chrono::milliseconds kRetryAfter{ 300 };
  static constexpr std::chrono::milliseconds kPeerPace{ 250 };
  static constexpr std::chrono::milliseconds kViewTimeout{ 800 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> WatchControl()
  {
    while (true) {
      std::optional<std::uint64_t> after = mControl.After();
      std::chrono::milliseconds longest =
        mUpstreams.IsFollower() ? kControlWait : kReaderControlWait;
      control_reading reading =
        co_await mSource.ReadControl(after, mControl.LongPollWait(longest));
      bool answered = mControl.Take(reading.mHead);
      LogTurn(mKernel, mControl, "control");
      if (answered) {
        TakeControl(reading);
      } else {
        co_await SleepFor(mJitter(kRetryAfter));
      }
    }
  }

  asio::awaitable<void> WatchFleet()
  {
    fleet_member self =
      mTables.Fleet().With([](fleet_state& aFleet) { return aFleet.Self(); });
    bool registered = false;
    int readings = 0; // since it registered
    while (true) {
      std::optional<std::uint64_t> after = mFleet.After();
      fleet_reading reading =
        co_await mSource.ReadFleet(after, std::chrono::milliseconds(0));
      if (mFleet.Take(reading.mHead)) {
        readings += registered ? 1 : 0;
        TakeFleet(reading, registered);
      }
      // Not before the first reading, which shows whether it had registered in
      // an earlier life.
      if (!registered && !mLeaving) {
        registered = co_await mSource.Register(self);
      }
      // Instances often start together: soon after the first reading the rows
      // of the others are there too.
      bool isSettled = readings >= fleet_view::kMinReadings;
      co_await SleepFor(mJitter(isSettled ? kFleetPace : kFirstFleetPace));
    }
  }

  // Reads a peer's copy where one stays ahead for more than a moment.
  asio::awaitable<void> AskPeers()
  {
    bool wasAhead = false;
    while (true) {
      co_await SleepFor(mJitter(kPeerPace));
      instant now = Now();
      std::vector<fleet_member> peers = mTables.Fleet().With(
        [&](fleet_state& aFleet) { return aFleet.PeersWithNewerControl(now); });
      mUpstreams.Settle(now);
      bool isAhead = !peers.empty();
      bool ask = isAhead && wasAhead;
      wasAhead = isAhead;
      if (ask) {
        co_await ReadView(peers[mJitter.Pick(peers.size())]);
      }
    }
  }

  asio::awaitable<void> ReadView(fleet_member aPeer)
  {
    client_request request;
    request.mTo = aPeer.mRelay;
    request.mTarget = std::string(kViewTarget);
    request.mTimeout = kViewTimeout;
    std::optional<client_answer> answer = co_await Exchange(std::move(request));
    if (!answer || answer->mStatus != 200) {
      mKernel.Counters().Add("views_total", "no_answer");
      mKernel.Log().Warn("view_unanswered",
                         { { "peer", aPeer.mInstance.mValue } });
      co_return;
    }
    mKernel.Counters().Add("views_total", "read");
    control_reading control = mSource.TakeView(answer->mBody);
    if (mControl.TakeFromPeer(control.mHead)) {
      mKernel.Log().Info(
        "control_from_peer",
        { { "peer", aPeer.mInstance.mValue },
          { "version", std::to_string(control.mHead.mVersion) } });
      TakeControl(control);
    }
  }

  asio::awaitable<void> Withdraw()
  {
    mLeaving = true;
    instance_id self = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Self().mInstance; });
    bool withdrawn = co_await mSource.Withdraw(self);
    mKernel.Log().Info("withdrawn",
                       { { "done", withdrawn ? "yes" : "unknown" } });
  }

  void TakeControl(const control_reading& aReading)
  {
    std::shared_ptr<const route_table> taken;
    if (aReading.mUnreadable > 0) {
      mKernel.Log().Warn("configuration_unreadable", {});
    }
    std::set<domain_id> evacuated;
    bool evacuationChanged = false;
    mTables.InForce().With([&](routes_in_force& aInForce) {
      if (aReading.mDocument &&
          (!aInForce.mRoutes ||
           aReading.mDocument->mVersion > aInForce.mRoutes->Version())) {
        taken = std::make_shared<const route_table>(*aReading.mDocument);
        aInForce.mRoutes = taken;
      }
      evacuated = ApplyEvacuations(aInForce.mEvacuated, aReading);
      evacuationChanged = evacuated != aInForce.mEvacuated;
      aInForce.mEvacuated = evacuated;
    });
    mTables.Steering().With([&](steering_state& aSteering) {
      if (taken) {
        aSteering.SetRules(taken);
      }
      if (evacuationChanged) {
        aSteering.SetEvacuated(evacuated, Now());
      }
    });
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.SetControlVersion(mControl.Version());
      if (taken) {
        aFleet.SetServing(true);
      }
    });
    LogControl(taken, evacuationChanged, evacuated);
  }

  void LogControl(const std::shared_ptr<const route_table>& aTaken,
                  bool aEvacuationChanged,
                  const std::set<domain_id>& aEvacuated)
  {
    if (aTaken) {
      mKernel.Log().Info("configuration_in_force",
                         { { "version", std::to_string(aTaken->Version()) },
                           { "routes", std::to_string(aTaken->Size()) } });
    }
    if (aEvacuationChanged) {
      std::string names;
      for (const domain_id& domain : aEvacuated) {
        names += (names.empty() ? "" : ",") + domain.mValue;
      }
      mKernel.Log().Info("evacuation_changed", { { "domains", names } });
    }
  }

  void TakeFleet(const fleet_reading& aReading, bool aRegistered)
  {
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.CountReading(aRegistered);
      if (aReading.mHead.mIsSnapshot) {
        aFleet.Replace(aReading.mMembers);
        return;
      }
      for (const fleet_member& member : aReading.mMembers) {
        aFleet.Put(member);
      }
      for (const instance_id& gone : aReading.mRemovedIds) {
        aFleet.Remove(gone);
      }
    });
    mTables.SpreadFleet();
  }

  kernel& mKernel;
  steering_tables mTables;
  Source mSource;
  asio::strand<asio::io_context::executor_type> mStrand;
  http_server<platform_watch> mPeerServer;
  jitter mJitter;
  upstream_watch<Source> mUpstreams;
  watch_state mControl;
  watch_state mFleet;
  bool mLeaving = false;
};

} // namespace laburnumdyke
