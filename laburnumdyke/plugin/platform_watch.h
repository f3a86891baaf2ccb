// Reads the platform's registry and applies what it holds: configuration,
// evacuations and, through instance_rows and upstream_watch, instances and
// upstreams.
//
// The source makes the readings; watch_state decides whether to apply them.
// If a peer reports a later version of the control state, for example because
// the platform does not answer this instance, the peer's copy is read instead.
// The relay address serves peers: this instance's copy of the control state,
// and updates of upstreams.
//
// After a restore of the store, which store_era notices, everything is read
// again as a snapshot: see docs/design/store-era.md.
//
// Usage: a source registers this class:
//   const plugin_registrar<platform_watch<my_source>> kRegistered;
#pragma once

#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/control_in_force.h"
#include "laburnumdyke/plugin/heartbeat_wait.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/instance_rows.h"
#include "laburnumdyke/plugin/jitter.h"
#include "laburnumdyke/plugin/platform_source.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/store_era.h"
#include "laburnumdyke/plugin/upstream_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace laburnumdyke {

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
    , mInForce(aKernel)
    , mEra(
        aKernel,
        [this](std::uint64_t aEra) { return LearnEra(aEra); },
        [this]() { PlanReadings(); })
    , mUpstreams(aKernel, mSource, mStrand)
    , mRows(aKernel, mSource, mStrand, mEra)
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mPeerServer.Listen(mKernel.Settings().mRelay);
    if (!failure) {
      asio::co_spawn(mStrand, WatchControl(), asio::detached);
      asio::co_spawn(mStrand, mUpstreams.Watch(), asio::detached);
      asio::co_spawn(mStrand, mRows.Watch(), asio::detached);
      asio::co_spawn(mStrand, WatchPeers(), asio::detached);
      asio::co_spawn(mStrand, WatchAge(), asio::detached);
    }
    return failure;
  }

  void Leave(instant)
  {
    asio::co_spawn(mStrand, mRows.Withdraw(), asio::detached);
  }

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
  static constexpr std::chrono::milliseconds kPeerCheckInterval{ 250 };
  static constexpr std::chrono::milliseconds kViewTimeout{ 800 };
  static constexpr std::chrono::milliseconds kAgeCheckInterval{ 500 };
  // A reading may fail or be late without the routes growing too old.
  static constexpr int kReadsPerMaxAge = 4;
  // After a restore of the store, for instances that follow a reader: the
  // average time until they read the control state themselves instead of a
  // peer's copy.
  static constexpr std::chrono::milliseconds kFollowerControlWait{ 2000 };
  // How long an instance that starts waits for heartbeats before it puts its
  // first configuration in force, since the store may be a restored one. Peers
  // know it about 0.5 s after its start, by its first heartbeat, and send their
  // own within another 0.5 s.
  static constexpr std::chrono::milliseconds kInitialListenTime{ 1500 };
  // Before a peer's copy that could not be read is asked for again.
  static constexpr std::chrono::milliseconds kViewRetryPause{ 50 };

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
        if (aInForce.mRoutes) {
          aInForce.mAge.RecordCurrent(aInForce.mRoutes->Version(),
                                      *aHead.mStamp);
        }
      });
    }
  }

  // Reads the platform without waiting if neither the last reading nor the
  // peers' heartbeats show that the routes are the latest. If a later version
  // can't be read, reading it again does not help; the long polls find the
  // next.
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
      bool isOld =
        !dated.mIsOutdated && (!dated.mAge || *dated.mAge > maxAge / 2);
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
    mEra.LearnFromStore(mSource.Era());
    bool isFirst = reading.mHead.mStatus == reading_status::Read &&
                   mEra.IsKnown() && !mTables.Routes();
    if (isFirst) {
      co_await ReadNewerDocument(reading.mDocument);
    }
    bool isRestored = mControl.AwaitsEra();
    bool accepted = mControl.Take(reading.mHead);
    LogOutageChange(mKernel, mControl, "control");
    if (accepted) {
      mInForce.Apply(reading, isRestored, mControl.Version(), Now());
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
    heartbeat_wait wait(mTables.Fleet(), mStrand);
    while (Now() < until && !mTables.Routes()) {
      bool heard = false;
      std::optional<fleet_member> peer =
        mTables.Fleet().With([&](fleet_state& aFleet) {
          heard = aFleet.HasReportedDocument(Now());
          return aFleet.PeerWithNewerDocument(version, Now());
        });
      if (heard && !peer) {
        co_return;
      }
      instant again = until;
      if (peer) {
        co_await ReadPeerView(std::move(*peer));
        again = std::min(until, Now() + kViewRetryPause);
      }
      if (!mTables.Routes()) {
        co_await wait.Until(again);
      }
    }
  }

  bool LearnEra(std::uint64_t aEra)
  {
    bool isRestore = mControl.LearnEra(aEra);
    isRestore = mRows.LearnEra(aEra) || isRestore;
    mUpstreams.LearnEra(aEra);
    return isRestore;
  }

  // Plans the readings after a restore, spread over the instances.
  void PlanReadings()
  {
    instant now = Now();
    mReadControlAt =
      mUpstreams.IsFollower() ? now + mJitter(kFollowerControlWait) : now;
    mRows.ReadSoon();
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
      mEra.LearnFromPeers();
      mUpstreams.UpdateSettled(now);
      mInForce.ExpireEvacuations(now);
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
    mEra.LearnFromPeer(control.mHead.mVersion.mEra);
    bool isRestored = mControl.AwaitsEra();
    if (mControl.TakeFromPeer(control.mHead)) {
      mKernel.Log().Info(
        "control_from_peer",
        { { "peer", aPeer.mInstance.mValue },
          { "version", std::to_string(control.mHead.mVersion.mVersion) } });
      mInForce.Apply(control, isRestored, mControl.Version(), Now());
    } else if (mEra.IsKnown()) {
      // A restored store shows an older configuration than the peer may have.
      mInForce.ApplyDocument(control.mDocument);
    }
  }

  kernel& mKernel;
  steering_tables mTables;
  Source mSource;
  asio::strand<asio::io_context::executor_type> mStrand;
  http_server<platform_watch> mPeerServer;
  jitter mJitter;
  control_in_force mInForce;
  store_era mEra;
  upstream_watch<Source> mUpstreams;
  instance_rows<Source> mRows;
  watch_state mControl;
  instant mReadControlAt{}; // after a restore
};

} // namespace laburnumdyke
