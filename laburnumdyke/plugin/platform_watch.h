// Keeps what the platform tells in force: configuration, evacuations,
// upstreams, instances.
//
// The source reads; watch_state and the directory decide what a reading
// means. Where the platform turns this instance away, or a peer knows of a
// later change, the peer's copy is read instead.
//
// A source registers the watch:
//   const registered<platform_watch<my_source>> kRegistered;
#pragma once

#include "laburnumdyke/decision/platform_news.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <random>
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
    } -> std::same_as<view_reading>;
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
    , mViewServer(aKernel, *this)
    , mRandom(aKernel.Settings().mIncarnation)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mViewServer.Listen(mKernel.Settings().mRelay);
    if (!failure) {
      asio::co_spawn(mStrand, WatchControl(), asio::detached);
      asio::co_spawn(mStrand, WatchUpstreams(), asio::detached);
      asio::co_spawn(mStrand, WatchFleet(), asio::detached);
      asio::co_spawn(mStrand, AskPeers(), asio::detached);
    }
    return failure;
  }

  void Leave(instant) { asio::co_spawn(mStrand, Withdraw(), asio::detached); }

  std::string Waiting(instant) { return {}; }
  void Stop() { mViewServer.Close(); }

  // A peer asks for this instance's copy.
  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    bool known = aExchange.Head().target() == ToBeast(kViewTarget);
    string_answer answer(known ? http::status::ok : http::status::not_found,
                         11);
    if (known) {
      answer.body() = mSource.View();
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  static constexpr std::string_view kViewTarget = "/v1/view";
  // The platform answers sooner where there is a change. A connection that
  // falls silent is found by its probes, and a peer that is ahead tells too.
  static constexpr std::chrono::milliseconds kControlWait{ 3000 };
  // Who has registered is read at a pace: each change would else wake every
  // instance, and newcomers are heard by their heartbeats before.
  static constexpr std::chrono::milliseconds kFirstFleetPace{ 1000 };
  static constexpr std::chrono::milliseconds kFleetPace{ 10000 };
  // Upstreams write all the time, so they are read at a pace. As a part of the
  // time in which a leaving one must get nothing more: with the jitter, the
  // reading itself and requests on their way it is known well within.
  static constexpr double kUpstreamPacePart = 0.55;
  static constexpr int kFirstFleetReadings = 3;
  static constexpr std::chrono::milliseconds kRetryAfter{ 300 };
  static constexpr std::chrono::milliseconds kPeerPace{ 250 };
  static constexpr std::chrono::milliseconds kViewTimeout{ 800 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  std::chrono::milliseconds Jittered(std::chrono::milliseconds aTime)
  {
    std::uniform_int_distribution<std::int64_t> part(aTime.count() * 3 / 4,
                                                     aTime.count() * 5 / 4);
    return std::chrono::milliseconds(part(mRandom));
  }

  std::chrono::milliseconds UpstreamPace()
  {
    std::chrono::duration<double, std::milli> pace =
      mKernel.Settings().mBounds.mDrainTimeout * kUpstreamPacePart;
    return std::chrono::duration_cast<std::chrono::milliseconds>(pace);
  }

  asio::awaitable<void> WatchControl()
  {
    while (true) {
      std::optional<std::uint64_t> after = mControl.After();
      control_reading reading =
        co_await mSource.ReadControl(after, mControl.MayWait(kControlWait));
      bool answered = mControl.Take(reading.mHead, Now());
      NoteAnswer(mControl, "control");
      if (answered) {
        TakeControl(reading);
      } else {
        co_await SleepFor(Jittered(kRetryAfter));
      }
    }
  }

  asio::awaitable<void> WatchUpstreams()
  {
    while (true) {
      std::optional<std::uint64_t> after = mUpstreams.After();
      upstream_reading reading =
        co_await mSource.ReadUpstreams(after, std::chrono::milliseconds(0));
      instant now = Now();
      bool answered = mUpstreams.Take(reading.mHead, now);
      NoteAnswer(mUpstreams, "upstreams");
      NotePlatform(mUpstreams.IsLost(), now);
      if (answered) {
        TakeUpstreams(reading, now);
      }
      co_await SleepFor(Jittered(answered ? UpstreamPace() : kRetryAfter));
    }
  }

  asio::awaitable<void> WatchFleet()
  {
    fleet_member self =
      mTables.Fleet().With([](fleet_state& aFleet) { return aFleet.Self(); });
    bool registered = false;
    int readings = 0;
    while (true) {
      if (!registered && !mLeaving) {
        registered = co_await mSource.Register(self);
      }
      std::optional<std::uint64_t> after = mFleet.After();
      fleet_reading reading =
        co_await mSource.ReadFleet(after, std::chrono::milliseconds(0));
      if (mFleet.Take(reading.mHead, Now())) {
        ++readings;
        TakeFleet(reading);
      }
      // Instances often start together: soon after the first reading the rows
      // of the others are there too.
      bool isSettled = registered && readings >= kFirstFleetReadings;
      co_await SleepFor(Jittered(isSettled ? kFleetPace : kFirstFleetPace));
    }
  }

  // Reads a peer's copy while the platform is lost, or where a peer stays
  // ahead for more than a moment.
  asio::awaitable<void> AskPeers()
  {
    bool wasAhead = false;
    while (true) {
      co_await SleepFor(Jittered(kPeerPace));
      instant now = Now();
      std::vector<fleet_member> peers = mTables.Fleet().With(
        [&](fleet_state& aFleet) { return aFleet.Ahead(now); });
      Settle(now);
      bool isAhead = !peers.empty();
      bool ask = isAhead && wasAhead;
      wasAhead = isAhead;
      if (!isAhead && mUpstreams.IsLost() && mUpstreams.MayAskPeer(now)) {
        peers = mTables.Fleet().With(
          [&](fleet_state& aFleet) { return aFleet.LivePeers(now); });
        ask = !peers.empty();
      }
      if (ask) {
        std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
        co_await ReadView(peers[any(mRandom)]);
      }
    }
  }

  // Drops upstreams that are gone for certain, and tells peers whether this
  // instance knows them all.
  void Settle(instant aNow)
  {
    bool peerSettled = mTables.Fleet().With(
      [&](fleet_state& aFleet) { return aFleet.HasSettledPeer(aNow); });
    std::vector<upstream_change> changes;
    bool settled = mTables.Steering().With([&](steering_state& aSteering) {
      upstream_directory& directory = aSteering.Directory();
      if (peerSettled) {
        directory.EndGrace(aNow);
      }
      changes = directory.Expire(aNow);
      aSteering.Apply(changes, aNow);
      return directory.IsSettled(aNow);
    });
    for (const upstream_change& change : changes) {
      LogUpstream(change);
    }
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.SetSettled(settled && mUpstreams.After().has_value());
    });
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
    view_reading view = mSource.TakeView(answer->mBody);
    if (mControl.TakeFromPeer(view.mControl.mHead)) {
      mKernel.Log().Info(
        "control_from_peer",
        { { "peer", aPeer.mInstance.mValue },
          { "version", std::to_string(view.mControl.mHead.mVersion) } });
      TakeControl(view.mControl);
    }
    if (mUpstreams.IsLost() && mUpstreams.TakeFromPeer(view.mUpstreams.mHead)) {
      TakeUpstreams(view.mUpstreams, Now());
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
      evacuated = NextEvacuated(aInForce.mEvacuated, aReading);
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
    LogControl(taken, evacuationChanged, evacuated.size());
  }

  void LogControl(const std::shared_ptr<const route_table>& aTaken,
                  bool aEvacuationChanged,
                  std::size_t aEvacuated)
  {
    if (aTaken) {
      mKernel.Log().Info("configuration_in_force",
                         { { "version", std::to_string(aTaken->Version()) },
                           { "routes", std::to_string(aTaken->Size()) } });
    }
    if (aEvacuationChanged) {
      mKernel.Log().Info("evacuation_changed",
                         { { "domains", std::to_string(aEvacuated) } });
    }
  }

  void TakeUpstreams(upstream_reading& aReading, instant aNow)
  {
    std::vector<upstream_change> changes;
    mTables.Steering().With([&](steering_state& aSteering) {
      upstream_directory& directory = aSteering.Directory();
      if (aReading.mHead.mWhole) {
        changes = directory.Replace(std::move(aReading.mEntries), aNow);
      } else {
        changes = TakeChanges(directory, aReading, aNow);
      }
      aSteering.Apply(changes, aNow);
    });
    for (const upstream_change& change : changes) {
      LogUpstream(change);
    }
  }

  static std::vector<upstream_change> TakeChanges(
    upstream_directory& aDirectory,
    upstream_reading& aReading,
    instant aNow)
  {
    std::vector<upstream_change> changes;
    for (upstream_entry& entry : aReading.mEntries) {
      for (upstream_change& one : aDirectory.Put(std::move(entry), aNow)) {
        changes.push_back(std::move(one));
      }
    }
    for (const upstream_id& gone : aReading.mGone) {
      for (upstream_change& one : aDirectory.Remove(gone, aNow)) {
        changes.push_back(std::move(one));
      }
    }
    return changes;
  }

  void LogUpstream(const upstream_change& aChange)
  {
    const upstream_entry& entry = aChange.mEntry;
    if (aChange.mKind == upstream_change_kind::Updated && !entry.mDraining) {
      return; // a heartbeat
    }
    mKernel.Log().Info(
      "upstream_changed",
      { { "upstream", entry.mId.mValue },
        { "change", std::string(ToString(aChange.mKind)) },
        { "service", entry.mService.mValue },
        { "failure_domain", entry.mDomain.mValue },
        { "draining", entry.mDraining ? "yes" : "no" },
        { "cold_left_ms", std::to_string(entry.mColdLeft.count()) } });
  }

  void TakeFleet(const fleet_reading& aReading)
  {
    mTables.Fleet().With([&](fleet_state& aFleet) {
      if (aReading.mHead.mWhole) {
        aFleet.Replace(aReading.mMembers);
        return;
      }
      for (const fleet_member& member : aReading.mMembers) {
        aFleet.Put(member);
      }
      for (const instance_id& gone : aReading.mGone) {
        aFleet.Remove(gone);
      }
    });
    mTables.SpreadFleet();
  }

  void NotePlatform(bool aLost, instant aNow)
  {
    mTables.Steering().With([&](steering_state& aSteering) {
      if (aLost) {
        aSteering.Directory().PlatformLost(aNow);
      } else {
        aSteering.Directory().PlatformBack(aNow);
      }
    });
  }

  void NoteAnswer(watch_state& aState, std::string_view aWhat)
  {
    std::optional<bool> turned = aState.TakeTurn();
    if (turned) {
      mKernel.Log().Warn(*turned ? "platform_lost" : "platform_back",
                         { { "reading", std::string(aWhat) } });
    }
  }

  kernel& mKernel;
  steering_tables mTables;
  Source mSource;
  asio::strand<asio::io_context::executor_type> mStrand;
  http_server<platform_watch> mViewServer;
  std::mt19937_64 mRandom;
  watch_state mControl;
  watch_state mUpstreams;
  watch_state mFleet;
  bool mLeaving = false;
};

} // namespace laburnumdyke
