// Reads the platform's list of instances.
//
// Instances that are leaving are read every kPeriod. There are few at any time,
// so the answer stays small for any size of the fleet. The whole list is read
// only for the addresses of entry instances: at the start, while no live peer
// is known, and every kHintInterval.
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/platform_client.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <random>

namespace laburnumdyke {

namespace {

// Including jitter and the timeout of an answer, an upstream gets no new work
// three seconds after it was listed as leaving.
constexpr std::chrono::milliseconds kPeriod{ 1500 };
constexpr std::chrono::milliseconds kTimeout{ 1000 };
constexpr std::chrono::seconds kHintInterval{ 60 };

class list_watch
{
public:
  static constexpr std::string_view kName = "list_watch";
  static constexpr plugin_stage kStage = plugin_stage::Platform;

  explicit list_watch(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mStrand(asio::make_strand(aKernel.Context()))
    , mPlatform(mHttp,
                aKernel.Settings().mPlatform,
                platform_options{ kTimeout, kTimeout })
    , mRandom(aKernel.Settings().mIncarnation)
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, Watch(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant) {}
  std::string PendingWork(instant) { return {}; }
  void Stop() {}

private:
  static instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> Watch()
  {
    std::uniform_real_distribution<double> jitter(0.8, 1.0);
    while (true) {
      co_await ReadLeaving();
      if (mKernel.Settings().mUsePlatformList && AreHintsDue(Now())) {
        co_await ReadHints();
      }
      co_await SleepFor(std::chrono::duration_cast<std::chrono::milliseconds>(
        kPeriod * jitter(mRandom)));
    }
  }

  asio::awaitable<void> ReadLeaving()
  {
    std::optional<std::vector<list_entry>> entries =
      co_await mPlatform.ReadInstances(listed_instances::Leaving);
    if (!entries) {
      mKernel.Counters().Add("instance_list_unavailable_total");
      co_return;
    }
    instant now = Now();
    bool changed = mTables.InstanceList().With(
      [&](instance_list& aList) { return aList.UpdateLeaving(*entries, now); });
    if (changed) {
      mTables.RefreshHomes(now);
    }
  }

  bool AreHintsDue(instant aNow)
  {
    return !mLastHintsAt || aNow - *mLastHintsAt >= kHintInterval ||
           mTables.LivePeers(aNow).empty();
  }

  asio::awaitable<void> ReadHints()
  {
    std::optional<std::vector<list_entry>> entries =
      co_await mPlatform.ReadInstances(listed_instances::All);
    if (entries) {
      instant now = Now();
      mTables.Membership().With([&](membership& aMembership) {
        aMembership.AddHints(EntryAddresses(*entries), now);
      });
      mLastHintsAt = now;
    }
  }

  kernel& mKernel;
  entry_tables mTables;
  asio::strand<asio::io_context::executor_type> mStrand;
  asio_http mHttp;
  platform_client<asio_http> mPlatform;
  std::mt19937_64 mRandom;
  std::optional<instant> mLastHintsAt;
};

const plugin_registrar<list_watch> kRegistered;

} // namespace

} // namespace laburnumdyke
