// Reads the platform's registry and applies what it holds: configuration,
// evacuations, instances and, through upstream_watch, upstreams.
//
// The source makes the readings; watch_state decides whether to apply them.
// If a peer reports a later version of the control state, for example because
// the platform does not answer this instance, the peer's copy is read instead.
// The relay address serves peers: this instance's copy of the control state,
// and updates of upstreams.
//
// Usage: a source registers this class:
//   const plugin_registrar<platform_watch<my_source>> kRegistered;
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
    aSource.ImportView(aView)
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
      asio::co_spawn(mStrand, WatchPeers(), asio::detached);
      asio::co_spawn(mStrand, WatchAge(), asio::detached);
    }
    return failure;
  }

  void Leave(instant) { asio::co_spawn(mStrand, Withdraw(), asio::detached); }

  std::string PendingWork(instant) { return {}; }
  void Stop() { mPeerServer.Close(); }

  // Serves peers: this instance's copy of the control state, or an update of
  // upstreams.
  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    std::string target(FromBeast(aExchange.Head().target()));
    std::optional<std::uint64_t> after = ReadUpdateTarget(target);
    string_answer answer(http::status::not_found, 11);
    if (target == kViewTarget) {
      answer.result(http::status::ok);
      answer.body() = mSource.View();
    } else if (after) {
      std::optional<upstream_update> update = co_await asio::co_spawn(
        mStrand, mUpstreams.UpdateSince(*after), asio::use_awaitable);
      answer.result(update ? http::status::ok
                           : http::status::service_unavailable);
      answer.body() = update ? EncodeUpdate(*update) : std::string();
    }
    co_await WriteAnswer(aExchange, std::move(answer));
  }

private:
  static constexpr std::string_view kViewTarget = "/v1/view";
  // Long-poll times; the platform answers sooner if there is a change. If it
  // stops answering during a wait, the instances that read upstreams notice its
  // recovery soon, and the others learn of it from their later version.
  static constexpr std::chrono::milliseconds kReaderControlLongPoll{ 2000 };
  static constexpr std::chrono::milliseconds kControlLongPoll{ 10000 };
  // The list of instances is read at an interval, not by long poll: each change
  // would wake every instance, and new instances are already known by their
  // heartbeats.
  static constexpr std::chrono::milliseconds kFirstFleetInterval{ 1000 };
  static constexpr std::chrono::milliseconds kFleetInterval{ 20000 };
  static constexpr std::chrono::milliseconds kPeerCheckInterval{ 250 };
  static constexpr std::chrono::milliseconds kViewTimeout{ 800 };
  static constexpr std::chrono::milliseconds kAgeCheckInterval{ 500 };
  // A reading may fail or be late without the routes growing too old.
  static constexpr int kReadsPerMaxAge = 4;

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> WatchControl()
  {
    while (true) {
      std::optional<std::uint64_t> after = mControl.After();
      std::chrono::milliseconds longPoll =
        mUpstreams.IsFollower() ? kControlLongPoll : ReaderLongPoll();
      if (!co_await ReadControl(after, mControl.LongPollWait(longPoll))) {
        co_await SleepFor(mJitter(mControl.RetryPause()));
      }
    }
  }

  // Returns whether a reading was accepted and applied.
  asio::awaitable<bool> ReadControl(std::optional<std::uint64_t> aAfter,
                                    std::chrono::milliseconds aWait)
  {
    boot_instant sent = boot_clock::now();
    control_reading reading = co_await mSource.ReadControl(aAfter, aWait);
    bool accepted = mControl.Take(reading.mHead);
    LogOutageChange(mKernel, mControl, "control");
    if (accepted) {
      ApplyControl(reading);
      RecordAge(reading.mHead, sent);
    }
    co_return accepted;
  }

  // Where keys can be revoked, readers wait less, so that all instances of the
  // region know their routes to be the latest as of shortly before.
  std::chrono::milliseconds ReaderLongPoll()
  {
    std::chrono::milliseconds maxAge = mTables.MaxKeyAge();
    bool isBound = maxAge > std::chrono::milliseconds(0);
    return isBound ? std::min(kReaderControlLongPoll, maxAge / kReadsPerMaxAge)
                   : kReaderControlLongPoll;
  }

  void RecordAge(const reading_head& aHead, boot_instant aSent)
  {
    if (aHead.mStamp) {
      mTables.InForce().With([&](routes_in_force& aInForce) {
        aInForce.mAge.RecordAnswer(aSent, *aHead.mStamp);
        aInForce.mAge.RecordCurrent(*aHead.mStamp);
      });
    }
  }

  // Reads the platform without waiting if neither the last reading nor the
  // peers' heartbeats show that the routes are the latest.
  asio::awaitable<void> WatchAge()
  {
    std::chrono::milliseconds maxAge = mTables.MaxKeyAge();
    if (maxAge <= std::chrono::milliseconds(0)) {
      co_return;
    }
    while (true) {
      co_await SleepFor(mJitter(kAgeCheckInterval));
      dated_routes dated = mTables.DatedRoutes(boot_clock::now());
      bool hasCustomers = dated.mRoutes && dated.mRoutes->Customers();
      bool isOld = !dated.mAge || *dated.mAge > maxAge / 2;
      // After a failure WatchControl reads without waiting, too.
      if (hasCustomers && isOld && !mControl.IsLost()) {
        co_await ReadControl(mControl.After(), std::chrono::milliseconds(0));
      }
    }
  }

  asio::awaitable<void> WatchFleet()
  {
    fleet_member self =
      mTables.Fleet().With([](fleet_state& aFleet) { return aFleet.Self(); });
    bool registered = false;
    int readingCount = 0; // since this instance registered
    while (true) {
      std::optional<std::uint64_t> after = mFleet.After();
      fleet_reading reading =
        co_await mSource.ReadFleet(after, std::chrono::milliseconds(0));
      if (mFleet.Take(reading.mHead)) {
        readingCount += registered ? 1 : 0;
        ApplyFleet(reading, registered);
      }
      // Registers after the first reading, which shows whether an earlier
      // process of this instance had registered.
      if (!registered && !mLeaving) {
        registered = co_await mSource.Register(self);
      }
      // Instances often start together, so the first readings may miss the
      // rows of others; the list is read more often at first.
      bool isSettled = readingCount >= fleet_view::kMinReadings;
      co_await SleepFor(
        mJitter(isSettled ? kFleetInterval : kFirstFleetInterval));
    }
  }

  // Reads a peer's copy if peers have a later control version in two
  // consecutive checks.
  asio::awaitable<void> WatchPeers()
  {
    bool wasAhead = false;
    while (true) {
      co_await SleepFor(mJitter(kPeerCheckInterval));
      instant now = Now();
      std::vector<fleet_member> peers = mTables.Fleet().With(
        [&](fleet_state& aFleet) { return aFleet.PeersWithNewerControl(now); });
      mUpstreams.UpdateSettled(now);
      bool isAhead = !peers.empty();
      bool readView = isAhead && wasAhead;
      wasAhead = isAhead;
      if (readView) {
        co_await ReadPeerView(peers[mJitter.Pick(peers.size())]);
      }
    }
  }

  asio::awaitable<void> ReadPeerView(fleet_member aPeer)
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
    control_reading control = mSource.ImportView(answer->mBody);
    if (mControl.TakeFromPeer(control.mHead)) {
      mKernel.Log().Info(
        "control_from_peer",
        { { "peer", aPeer.mInstance.mValue },
          { "version", std::to_string(control.mHead.mVersion) } });
      ApplyControl(control);
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

  void ApplyControl(const control_reading& aReading)
  {
    std::shared_ptr<const route_table> newRoutes;
    if (aReading.mUnreadable > 0) {
      mKernel.Log().Warn("configuration_unreadable", {});
    }
    std::set<domain_id> evacuated;
    bool evacuationChanged = false;
    mTables.InForce().With([&](routes_in_force& aInForce) {
      if (aReading.mDocument &&
          (!aInForce.mRoutes ||
           aReading.mDocument->mVersion > aInForce.mRoutes->Version())) {
        newRoutes = std::make_shared<const route_table>(*aReading.mDocument,
                                                        aInForce.mRoutes.get());
        aInForce.mRoutes = newRoutes;
      }
      evacuated = ApplyEvacuations(aInForce.mEvacuated, aReading);
      evacuationChanged = evacuated != aInForce.mEvacuated;
      aInForce.mEvacuated = evacuated;
    });
    if (newRoutes) {
      mTables.Quota().With([&](quota_state& aQuota) {
        const customer_table* customers = newRoutes->Customers();
        aQuota.SetCustomers(customers == nullptr ? std::vector<customer_spec>()
                                                 : customers->All());
      });
    }
    mTables.Steering().With([&](steering_state& aSteering) {
      if (newRoutes) {
        aSteering.SetRules(newRoutes);
      }
      if (evacuationChanged) {
        aSteering.SetEvacuated(evacuated, Now());
      }
    });
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.SetControlVersion(mControl.Version());
      if (newRoutes) {
        aFleet.SetServing(true);
      }
    });
    LogControl(newRoutes, evacuationChanged, evacuated);
  }

  void LogControl(const std::shared_ptr<const route_table>& aNewRoutes,
                  bool aEvacuationChanged,
                  const std::set<domain_id>& aEvacuated)
  {
    if (aNewRoutes) {
      mKernel.Log().Info("configuration_in_force",
                         { { "version", std::to_string(aNewRoutes->Version()) },
                           { "routes", std::to_string(aNewRoutes->Size()) } });
    }
    if (aEvacuationChanged) {
      std::string names;
      for (const domain_id& domain : aEvacuated) {
        names += (names.empty() ? "" : ",") + domain.mValue;
      }
      mKernel.Log().Info("evacuation_changed", { { "domains", names } });
    }
  }

  void ApplyFleet(const fleet_reading& aReading, bool aRegistered)
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
      for (const instance_id& removed : aReading.mRemovedIds) {
        aFleet.Remove(removed);
      }
    });
    mTables.PublishFleet();
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
