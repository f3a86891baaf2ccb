// Reads the platform's registry and applies what it holds: configuration,
// evacuations, instances and, through upstream_watch, upstreams.
//
// The source makes the readings; watch_state decides whether to apply them.
// If a peer reports a later version of the control state, for example because
// the platform does not answer this instance, the peer's copy is read instead.
// The relay address serves peers: this instance's copy of the control state,
// and updates of upstreams.
//
// After a restore of the store, known by its era from any answer or from a
// peer, everything is read again as a snapshot: see docs/design/store-era.md.
//
// Usage: a source registers this class:
//   const plugin_registrar<platform_watch<my_source>> kRegistered;
#pragma once

#include "laburnumdyke/decision/evacuation_hold.h"
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

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace laburnumdyke {

template<class T>
concept platform_source = requires(T& aSource,
                                   std::optional<store_version> aAfter,
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
  {
    aSource.Era() // the latest that the platform has reported; 0: none
    } -> std::same_as<std::uint64_t>;
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
    , mFleetTimer(mStrand)
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
    std::optional<store_version> after = ReadUpdateTarget(target);
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
  // After a restore of the store: the time over which instances spread their
  // calls about instance rows, and, for those that follow a reader, the average
  // time until they read the control state themselves instead of a peer's copy.
  static constexpr std::chrono::milliseconds kRestoreSpread{ 5000 };
  static constexpr std::chrono::milliseconds kFollowerControlWait{ 2000 };
  // How long an instance that starts waits for heartbeats before it puts its
  // first configuration in force, since the store may be a restored one. Peers
  // know it about 0.5 s after its start, by its first heartbeat, and send their
  // own within another 0.5 s.
  static constexpr std::chrono::milliseconds kInitialListenTime{ 1500 };
  static constexpr std::chrono::milliseconds kInitialListenStep{ 50 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> WatchControl()
  {
    while (true) {
      std::chrono::milliseconds longPoll =
        mUpstreams.IsFollower() ? kControlLongPoll : ReaderLongPoll();
      if (!co_await ReadControl(longPoll)) {
        co_await SleepFor(mJitter(mControl.RetryPause()));
      }
    }
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
      dated_routes dated = mTables.DatedRoutes(boot_clock::Now());
      bool hasCustomers = dated.mRoutes && dated.mRoutes->Customers();
      bool isOld = !dated.mAge || *dated.mAge > maxAge / 2;
      // After a failure WatchControl reads without waiting, too.
      if (hasCustomers && isOld && !mControl.IsLost()) {
        co_await ReadControl(std::chrono::milliseconds(0));
      }
    }
  }

  // Returns whether a reading was accepted and applied.
  asio::awaitable<bool> ReadControl(std::chrono::milliseconds aLongPoll)
  {
    boot_instant sent = boot_clock::Now();
    control_reading reading = co_await mSource.ReadControl(
      mControl.After(), mControl.LongPollWait(aLongPoll));
    NoteStoreEra();
    bool isFirst = reading.mHead.mStatus == reading_status::Read && mEra != 0 &&
                   !mTables.Routes();
    if (isFirst) {
      co_await ReadNewerDocument(reading.mDocument);
    }
    bool isRestored = mControl.AwaitsEra();
    bool accepted = mControl.Take(reading.mHead);
    LogOutageChange(mKernel, mControl, "control");
    if (accepted) {
      ApplyControl(reading, isRestored);
      RecordAge(reading.mHead, sent);
    }
    co_return accepted;
  }

  // Before the first configuration is in force: a restored store may show an
  // older one than peers have in force. Takes theirs if so.
  asio::awaitable<void> ReadNewerDocument(
    const std::optional<routing_document>& aDocument)
  {
    std::uint64_t version = aDocument ? aDocument->mVersion : 0;
    instant until = Now() + kInitialListenTime;
    bool heard = false;
    while (Now() < until && !heard && !mTables.Routes()) {
      co_await SleepFor(kInitialListenStep);
      std::optional<fleet_member> peer =
        mTables.Fleet().With([&](fleet_state& aFleet) {
          heard = aFleet.HasReportedDocument(Now());
          return aFleet.PeerWithNewerDocument(version, Now());
        });
      heard = heard && !peer;
      if (peer) {
        co_await ReadPeerView(std::move(*peer));
      }
    }
  }

  // Passes on the era that the store has reported.
  void NoteStoreEra()
  {
    std::uint64_t era = mSource.Era();
    mTables.Fleet().With([&](fleet_state& aFleet) { aFleet.NoteEra(era); });
    LearnEra(era, "store");
  }

  void LearnEra(std::uint64_t aEra, std::string_view aFrom)
  {
    if (aEra <= mEra) {
      return;
    }
    bool isRestore = mControl.LearnEra(aEra);
    isRestore = mFleet.LearnEra(aEra) || isRestore;
    mUpstreams.LearnEra(aEra);
    if (isRestore) {
      mKernel.Log().Warn("store_era_changed",
                         { { "from", std::to_string(mEra) },
                           { "to", std::to_string(aEra) },
                           { "learned_from", std::string(aFrom) } });
      mKernel.Counters().Add("store_era_changes_total", aFrom);
      // The store's clock may have started anew with it.
      mTables.InForce().With(
        [](routes_in_force& aInForce) { aInForce.mAge.Reset(); });
      PlanReadings();
    }
    mEra = aEra;
  }

  // Plans the readings after a restore, spread over the instances.
  void PlanReadings()
  {
    instant now = Now();
    mReadControlAt =
      mUpstreams.IsFollower() ? now + mJitter(kFollowerControlWait) : now;
    std::chrono::milliseconds delay(
      mJitter.Pick(static_cast<std::size_t>(kRestoreSpread.count())));
    mReadFleetAt = std::min(mReadFleetAt, now + delay);
    mFleetTimer.cancel();
    if (mLeaving) { // the backup may list this instance
      asio::co_spawn(mStrand, Withdraw(), asio::detached);
    }
  }

  asio::awaitable<void> WatchFleet()
  {
    fleet_member self =
      mTables.Fleet().With([](fleet_state& aFleet) { return aFleet.Self(); });
    bool registered = false;
    int readingCount = 0; // since this instance registered
    while (true) {
      std::optional<store_version> after = mFleet.After();
      fleet_reading reading =
        co_await mSource.ReadFleet(after, std::chrono::milliseconds(0));
      NoteStoreEra();
      bool isRestored = mFleet.AwaitsEra();
      if (mFleet.Take(reading.mHead)) {
        readingCount += registered ? 1 : 0;
        ApplyFleet(reading, registered, isRestored);
        registered = registered && !IsOwnRowLost(reading, self, isRestored);
        co_await DeleteWithdrawnRows();
      }
      // Registers after the first reading, which shows whether an earlier
      // process of this instance had registered.
      if (!registered && !mLeaving) {
        registered = co_await mSource.Register(self);
      }
      // Instances often start together, so the first readings may miss the
      // rows of others; the list is read more often at first.
      bool isSettled = readingCount >= fleet_view::kMinReadings;
      bool isPending = mFleet.AwaitsEra() || (!registered && !mLeaving);
      bool isSoon = !isSettled || (mEra != 0 && isPending);
      mReadFleetAt =
        Now() + mJitter(isSoon ? kFirstFleetInterval : kFleetInterval);
      while (Now() < mReadFleetAt) {
        mFleetTimer.expires_at(mReadFleetAt);
        error_code cancelled;
        co_await mFleetTimer.async_wait(
          asio::redirect_error(asio::use_awaitable, cancelled));
      }
    }
  }

  // Whether the row of this instance has to be written again: a restored store
  // does not list it, or another instance has deleted it.
  bool IsOwnRowLost(const fleet_reading& aReading,
                    const fleet_member& aSelf,
                    bool aIsRestored) const
  {
    bool isListed = std::any_of(
      aReading.mMembers.begin(),
      aReading.mMembers.end(),
      [&](const fleet_member& aMember) { return aMember == aSelf; });
    bool isRemoved = std::find(aReading.mRemovedIds.begin(),
                               aReading.mRemovedIds.end(),
                               aSelf.mInstance) != aReading.mRemovedIds.end();
    return mEra != 0 && ((aIsRestored && !isListed) || isRemoved);
  }

  // Deletes rows of withdrawn instances that a restored store lists.
  asio::awaitable<void> DeleteWithdrawnRows()
  {
    std::vector<instance_id> rows = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.RowsToDelete(Now()); });
    for (const instance_id& instance : rows) {
      bool deleted = co_await mSource.Withdraw(instance);
      NoteStoreEra();
      mKernel.Log().Info(
        "withdrawn_row_deleted",
        { { "of", instance.mValue }, { "done", deleted ? "yes" : "unknown" } });
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
      std::uint64_t era = 0;
      std::vector<fleet_member> peers =
        mTables.Fleet().With([&](fleet_state& aFleet) {
          era = aFleet.Era();
          return aFleet.PeersWithNewerControl(now);
        });
      LearnEra(era, "peer");
      mUpstreams.UpdateSettled(now);
      ExpireEvacuations(now);
      // Beside the long poll, which may wait for a version of the old era.
      if (mControl.AwaitsEra() && now >= mReadControlAt) {
        mReadControlAt = now + mJitter(kFollowerControlWait);
        co_await ReadControl(std::chrono::milliseconds(0));
      }
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
    LearnEra(control.mHead.mVersion.mEra, "peer");
    bool isRestored = mControl.AwaitsEra();
    if (mControl.TakeFromPeer(control.mHead)) {
      mKernel.Log().Info(
        "control_from_peer",
        { { "peer", aPeer.mInstance.mValue },
          { "version", std::to_string(control.mHead.mVersion.mVersion) } });
      ApplyControl(control, isRestored);
    } else if (mEra != 0) {
      // A restored store shows an older configuration than the peer may have.
      ApplyDocument(control.mDocument);
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

  // aIsRestored: this is the first reading since a restore of the store.
  void ApplyControl(const control_reading& aReading, bool aIsRestored)
  {
    if (aReading.mUnreadable > 0) {
      mKernel.Log().Warn("configuration_unreadable", {});
    }
    ApplyDocument(aReading.mDocument);
    SetEvacuated(
      mEvacuations.Apply(aReading, aIsRestored, DocumentVersion(), Now()));
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.SetControlVersion(mControl.Version());
    });
  }

  std::uint64_t DocumentVersion()
  {
    std::shared_ptr<const route_table> routes = mTables.Routes();
    return routes ? routes->Version() : 0;
  }

  // Puts a configuration in force if it is newer than the present one, whatever
  // reading it is from: its versions are the operator's, not the store's.
  void ApplyDocument(const std::optional<routing_document>& aDocument)
  {
    std::shared_ptr<const route_table> newRoutes;
    mTables.InForce().With([&](routes_in_force& aInForce) {
      if (aDocument && (!aInForce.mRoutes ||
                        aDocument->mVersion > aInForce.mRoutes->Version())) {
        newRoutes = std::make_shared<const route_table>(*aDocument,
                                                        aInForce.mRoutes.get());
        aInForce.mRoutes = newRoutes;
      }
    });
    if (!newRoutes) {
      return;
    }
    mTables.Quota().With([&](quota_state& aQuota) {
      const customer_table* customers = newRoutes->Customers();
      aQuota.SetCustomers(customers == nullptr ? std::vector<customer_spec>()
                                               : customers->All());
    });
    mTables.Steering().With(
      [&](steering_state& aSteering) { aSteering.SetRules(newRoutes); });
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.SetDocumentVersion(newRoutes->Version());
      aFleet.SetServing(true);
    });
    mKernel.Log().Info("configuration_in_force",
                       { { "version", std::to_string(newRoutes->Version()) },
                         { "routes", std::to_string(newRoutes->Size()) } });
  }

  // The evacuations held since a restore may end.
  void ExpireEvacuations(instant aNow)
  {
    if (mEvacuations.IsHeld()) {
      SetEvacuated(mEvacuations.Expire(DocumentVersion(), aNow));
    }
  }

  void SetEvacuated(const std::set<domain_id>& aEvacuated)
  {
    bool isChange = mTables.InForce().With([&](routes_in_force& aInForce) {
      return std::exchange(aInForce.mEvacuated, aEvacuated) != aEvacuated;
    });
    if (!isChange) {
      return;
    }
    mTables.Steering().With([&](steering_state& aSteering) {
      aSteering.SetEvacuated(aEvacuated, Now());
    });
    std::string names;
    for (const domain_id& domain : aEvacuated) {
      names += (names.empty() ? "" : ",") + domain.mValue;
    }
    mKernel.Log().Info("evacuation_changed", { { "domains", names } });
  }

  void ApplyFleet(const fleet_reading& aReading,
                  bool aRegistered,
                  bool aIsRestored)
  {
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.CountReading(aRegistered);
      if (aIsRestored) {
        aFleet.ReplaceRestored(aReading.mMembers, Now());
        return;
      }
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
      aFleet.Expire(Now());
    });
    mTables.PublishFleet();
  }

  kernel& mKernel;
  steering_tables mTables;
  Source mSource;
  asio::strand<asio::io_context::executor_type> mStrand;
  http_server<platform_watch> mPeerServer;
  jitter mJitter;
  asio::steady_timer mFleetTimer; // until the next reading of instances
  upstream_watch<Source> mUpstreams;
  evacuation_hold mEvacuations;
  watch_state mControl;
  watch_state mFleet;
  std::uint64_t mEra = 0;   // of the store, the latest known
  instant mReadControlAt{}; // after a restore
  instant mReadFleetAt{};
  bool mLeaving = false;
};

} // namespace laburnumdyke
