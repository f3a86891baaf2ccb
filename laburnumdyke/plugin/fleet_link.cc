// Heartbeats between the instances of a region that steer by host and path.
//
// A full mesh within a region: who is alive is asked of an instance's own
// region alone. Most heartbeats are brief, since links between failure domains
// are scarce; the first and then some are full, for those that know the sender
// by neither its registration nor an earlier one. A stopping instance says so
// at once and more than once.
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/message_link.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 500 };
constexpr int kFirstFullBeats = 6;
constexpr int kFullBeatEvery = 8;
constexpr int kLeavingBeats = 3;
constexpr std::chrono::milliseconds kLeavingGap{ 50 };

class fleet_link
{
public:
  static constexpr std::string_view kName = "fleet_link";
  static constexpr plugin_stage kStage = plugin_stage::Peer;
  static constexpr front_kind kFront = front_kind::Hosts;

  explicit fleet_link(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mLink(aKernel,
            [this](std::string_view aBytes) { ReceiveHeartbeat(aBytes); })
  {
  }

  std::optional<std::string> Start(instant)
  {
    std::optional<std::string> failure =
      mLink.Listen(mKernel.Settings().mPeer, kLongestFleetBeat);
    if (!failure) {
      asio::co_spawn(mLink.Strand(), Beat(), asio::detached);
    }
    return failure;
  }

  void Leave(instant)
  {
    mTables.Fleet().With([](fleet_state& aFleet) { aFleet.BeginLeaving(); });
    asio::co_spawn(mLink.Strand(), AnnounceLeaving(), asio::detached);
  }

  std::string Waiting(instant) { return {}; }
  void Stop() { mLink.Close(); }

private:
  void ReceiveHeartbeat(std::string_view aBytes)
  {
    std::optional<fleet_beat> beat = DecodeFleetBeat(aBytes);
    if (!beat) {
      mKernel.Counters().Add("heartbeat_rejected_total", "malformed");
      return;
    }
    mTables.Fleet().With([&](fleet_state& aFleet) {
      aFleet.ReceiveHeartbeat(*beat, std::chrono::steady_clock::now());
    });
    mKernel.Counters().Add("heartbeats_total");
  }

  // On the link's strand.
  void SendBeat()
  {
    std::vector<endpoint> targets;
    fleet_beat beat = mTables.Fleet().With([&](fleet_state& aFleet) {
      targets = aFleet.Targets();
      return aFleet.Beat();
    });
    bool full = mSent < kFirstFullBeats || mSent % kFullBeatEvery == 0;
    ++mSent;
    std::string bytes =
      EncodeFleetBeat(beat, full ? beat_form::Full : beat_form::Brief);
    std::vector<addressed_message> messages;
    for (const endpoint& target : targets) {
      messages.push_back({ target, bytes });
    }
    mLink.Send(messages);
  }

  asio::awaitable<void> Beat()
  {
    while (true) {
      SendBeat();
      mLink.Drain();
      mTables.SpreadFleet();
      co_await SleepFor(kPeriod);
    }
  }

  asio::awaitable<void> AnnounceLeaving()
  {
    for (int i = 0; i < kLeavingBeats; ++i) {
      SendBeat();
      co_await SleepFor(kLeavingGap);
    }
  }

  kernel& mKernel;
  steering_tables mTables;
  message_link mLink;
  std::uint64_t mSent = 0; // heartbeats
};

const registered<fleet_link> kRegistered;

} // namespace

} // namespace laburnumdyke
