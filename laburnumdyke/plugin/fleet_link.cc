// Exchanges heartbeats between the instances of a region that route by host and
// path.
//
// The instances of a region form a full mesh, because an instance only tracks
// the liveness of instances in its own region. Most heartbeats are compact,
// since bandwidth between failure domains is scarce. The first
// kFirstFullHeartbeats and then every kFullHeartbeatInterval-th are full, for
// receivers that know the sender neither from its registration nor from an
// earlier full heartbeat. An instance that stops announces this at once with
// several heartbeats, so that losing one does no harm. A new era of the
// platform's store, as reported by the store itself, is announced at once, and
// so are upstreams that may have started again.
#include "laburnumdyke/plugin/demand_exchange.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/restart_exchange.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/usage_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 500 };
constexpr int kFirstFullHeartbeats = 6;
constexpr int kFullHeartbeatInterval = 8;
constexpr int kLeavingHeartbeatCount = 3;
constexpr std::chrono::milliseconds kLeavingInterval{ 50 };
// How often it is checked whether a new era of the store is to be announced.
constexpr std::chrono::milliseconds kEraCheckInterval{ 250 };

class fleet_link
{
public:
  static constexpr std::string_view kName = "fleet_link";
  static constexpr plugin_stage kStage = plugin_stage::Peer;
  static constexpr front_kind kFront = front_kind::Hosts;

  explicit fleet_link(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mLink(aKernel, [this](std::string_view aBytes) { Receive(aBytes); })
    , mUsage(aKernel)
    , mDemand(aKernel)
    , mRestarts(aKernel, mLink.Strand())
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mLink.Listen(mKernel.Settings().mPeer, kMaxFleetMessageBytes);
    if (!failure) {
      asio::co_spawn(mLink.Strand(), SendPeriodically(), asio::detached);
      asio::co_spawn(mLink.Strand(), ExchangeUsage(), asio::detached);
      asio::co_spawn(mLink.Strand(), ExchangeDemand(), asio::detached);
      asio::co_spawn(mLink.Strand(), AnnounceRestarts(), asio::detached);
    }
    return failure;
  }

  void Leave(instant)
  {
    mTables.Fleet().With([](fleet_state& aFleet) { aFleet.BeginLeaving(); });
    asio::co_spawn(mLink.Strand(), AnnounceLeaving(), asio::detached);
  }

  std::string PendingWork(instant) { return {}; }
  void Stop() { mLink.Close(); }

private:
  void Receive(std::string_view aBytes)
  {
    instant now = std::chrono::steady_clock::now();
    fleet_message message = DecodeFleetMessage(aBytes);
    if (usage_message* usage = std::get_if<usage_message>(&message)) {
      mKernel.Counters().Add("usage_messages_total", "received");
      mLink.Send(mUsage.Receive(std::move(*usage), now));
    } else if (demand_message* demand = std::get_if<demand_message>(&message)) {
      mKernel.Counters().Add("demand_messages_total", "received");
      mLink.Send(mDemand.Receive(std::move(*demand), now));
    } else if (restart_message* restarts =
                 std::get_if<restart_message>(&message)) {
      mLink.Send(mRestarts.Receive(std::move(*restarts), now));
    } else if (fleet_heartbeat* beat = std::get_if<fleet_heartbeat>(&message)) {
      ReceiveHeartbeat(*beat, now);
    } else {
      mKernel.Counters().Add("heartbeat_rejected_total", "malformed");
    }
  }

  void ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat, instant aNow)
  {
    bool isSameEra = mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.ReceiveHeartbeat(aHeartbeat, aNow);
      return aFleet.Era() == aHeartbeat.mControlVersion.mEra;
    });
    // Each era may have a clock of its own.
    if (aHeartbeat.mCurrentAsOf && isSameEra) {
      mTables.InForce().With([&](routes_in_force& aInForce) {
        bool isSameVersion = aInForce.mRoutes && aInForce.mRoutes->Version() ==
                                                   aHeartbeat.mDocumentVersion;
        if (isSameVersion) {
          aInForce.mAge.RecordCurrent(aHeartbeat.mDocumentVersion,
                                      *aHeartbeat.mCurrentAsOf);
        }
      });
    }
    mKernel.Counters().Add("heartbeats_total");
  }

  // Adds up to when the routes in force are known to be the latest, if they
  // have customers.
  void AddAge(fleet_heartbeat& aHeartbeat)
  {
    mTables.InForce().With([&](routes_in_force& aInForce) {
      if (aInForce.mRoutes && aInForce.mRoutes->Customers() != nullptr) {
        aHeartbeat.mDocumentVersion = aInForce.mRoutes->Version();
        aHeartbeat.mCurrentAsOf = aInForce.mAge.CurrentAsOf();
      }
    });
  }

  // Must run on the link's strand.
  void SendHeartbeats()
  {
    std::vector<endpoint> targets;
    fleet_heartbeat heartbeat = mTables.Fleet().With([&](fleet_state& aFleet) {
      targets = aFleet.Targets();
      return aFleet.Heartbeat();
    });
    AddAge(heartbeat);
    bool full = mSentCount < kFirstFullHeartbeats ||
                mSentCount % kFullHeartbeatInterval == 0;
    ++mSentCount;
    std::string bytes = EncodeFleetHeartbeat(
      heartbeat,
      full ? fleet_heartbeat_form::Full : fleet_heartbeat_form::Compact);
    std::vector<addressed_message> messages;
    for (const endpoint& target : targets) {
      messages.push_back({ target, bytes });
    }
    std::set<endpoint> open(targets.begin(), targets.end());
    open.insert(mUsage.Targets().begin(), mUsage.Targets().end());
    open.insert(mDemand.Targets().begin(), mDemand.Targets().end());
    open.insert(mRestarts.Targets().begin(), mRestarts.Targets().end());
    mLink.CloseOthers(open);
    mLink.Send(messages);
  }

  asio::awaitable<void> SendPeriodically()
  {
    while (true) {
      SendHeartbeats();
      mLink.Drain();
      mTables.PublishFleet();
      co_await AwaitNextHeartbeat();
    }
  }

  // Waits for kPeriod, or until a new era of the store is to be announced.
  asio::awaitable<void> AwaitNextHeartbeat()
  {
    co_await SleepFor(kEraCheckInterval);
    bool isDue = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.TakeEraToAnnounce(); });
    if (!isDue) {
      co_await SleepFor(kPeriod - kEraCheckInterval);
    }
  }

  asio::awaitable<void> ExchangeUsage()
  {
    while (true) {
      mLink.Send(mUsage.Compose(std::chrono::steady_clock::now()));
      co_await SleepFor(kUsagePeriod);
    }
  }

  asio::awaitable<void> ExchangeDemand()
  {
    while (true) {
      mLink.Send(mDemand.Compose(std::chrono::steady_clock::now()));
      co_await SleepFor(kDemandPeriod);
    }
  }

  asio::awaitable<void> AnnounceRestarts()
  {
    while (true) {
      co_await mRestarts.AwaitReports();
      mLink.Send(mRestarts.Compose());
    }
  }

  asio::awaitable<void> AnnounceLeaving()
  {
    for (int i = 0; i < kLeavingHeartbeatCount; ++i) {
      SendHeartbeats();
      co_await SleepFor(kLeavingInterval);
    }
  }

  kernel& mKernel;
  steering_tables mTables;
  message_link mLink;
  usage_exchange mUsage;
  demand_exchange mDemand;
  restart_exchange mRestarts;
  std::uint64_t mSentCount = 0; // heartbeats
};

const plugin_registrar<fleet_link> kRegistered;

} // namespace

} // namespace laburnumdyke
