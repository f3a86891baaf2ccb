// Tests of platform_watch and upstream_watch with a scripted source instead of
// the platform: which versions come into force, what is kept during an outage,
// and what is taken from peers. Also tests of the codecs between peers.
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/platform_watch.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

// State of the scripted platform. Each read returns the same reading until the
// test changes it.
struct scripted_platform
{
  std::mutex mMutex;
  control_reading mControl;
  upstream_reading mUpstreams;
  // If not empty, replaces mUpstreams: the change made by each version from 1
  // on. A reading holds the changes after the requested version.
  std::vector<upstream_reading> mChanges;
  std::set<std::string> mUnanswered; // instances whose reads get no answer
  control_reading mPeerView;
  // Long-poll time of the last read of mControl.
  std::chrono::milliseconds mLastLongPoll{ 0 };
  int mRegistered = 0;
  int mWithdrawn = 0;
  int mReadingsBegun = 0; // of upstreams
  std::uint64_t mEra = 0; // of the store

  template<class Function>
  auto With(Function aFunction)
  {
    std::scoped_lock lock(mMutex);
    return aFunction(*this);
  }
};

// Satisfies platform_source. A watch constructs its source from settings alone,
// so the platform of the running test is passed in a static member.
struct scripted_source
{
  static constexpr std::string_view kWatchName = "scripted_watch";
  static inline scripted_platform* sPlatform = nullptr;

  explicit scripted_source(const settings& aSettings)
    : mInstance(aSettings.mInstance)
  {
  }

  asio::awaitable<control_reading> ReadControl(std::optional<store_version>,
                                               std::chrono::milliseconds aWait)
  {
    co_await SleepFor(20ms);
    co_return sPlatform->With([&](scripted_platform& aPlatform) {
      aPlatform.mLastLongPoll = aWait;
      return aPlatform.mControl;
    });
  }

  asio::awaitable<upstream_reading> ReadUpstreams(
    std::optional<store_version> aAfter,
    std::chrono::milliseconds)
  {
    co_return sPlatform->With([&](scripted_platform& aPlatform) {
      ++aPlatform.mReadingsBegun;
      if (aPlatform.mUnanswered.count(mInstance) > 0) {
        return upstream_reading();
      }
      return aPlatform.mChanges.empty() ? aPlatform.mUpstreams
                                        : Merge(aPlatform.mChanges,
                                                aAfter.value_or(0).mVersion,
                                                !aAfter);
    });
  }

  asio::awaitable<fleet_reading> ReadFleet(std::optional<store_version>,
                                           std::chrono::milliseconds)
  {
    co_return fleet_reading{ { reading_status::Read, true, 1 }, {}, {} };
  }

  asio::awaitable<bool> Register(fleet_member)
  {
    co_return sPlatform->With(
      [](scripted_platform& aPlatform) { return ++aPlatform.mRegistered > 1; });
  }

  static upstream_reading Merge(const std::vector<upstream_reading>& aChanges,
                                std::uint64_t aAfter,
                                bool aIsSnapshot)
  {
    upstream_reading merged;
    merged.mHead = { reading_status::Read, aIsSnapshot, aChanges.size() };
    for (std::size_t i = aAfter; i < aChanges.size(); ++i) {
      const upstream_reading& one = aChanges[i];
      merged.mRows.insert(
        merged.mRows.end(), one.mRows.begin(), one.mRows.end());
    }
    return merged;
  }

  asio::awaitable<bool> Withdraw(instance_id)
  {
    co_return sPlatform->With(
      [](scripted_platform& aPlatform) { return ++aPlatform.mWithdrawn > 0; });
  }

  std::string View() { return "a view"; }

  control_reading ImportView(const std::string& aView)
  {
    STRCMP_EQUAL("a view", aView.c_str());
    return sPlatform->With(
      [](scripted_platform& aPlatform) { return aPlatform.mPeerView; });
  }

  std::uint64_t Era()
  {
    return sPlatform->With(
      [](scripted_platform& aPlatform) { return aPlatform.mEra; });
  }

  std::string mInstance;
};

static_assert(platform_source<scripted_source>);

control_reading
MakeControl(store_version aStoreVersion, std::uint64_t aVersion)
{
  control_reading reading;
  reading.mHead = { reading_status::Read, true, aStoreVersion };
  reading.mDocument = routing_document();
  reading.mDocument->mVersion = aVersion;
  return reading;
}

upstream_reading
MakeUpstreams(store_version aStoreVersion, std::vector<std::string> aIds)
{
  upstream_reading reading;
  reading.mHead = { reading_status::Read, true, aStoreVersion };
  for (const std::string& id : aIds) {
    upstream_entry entry;
    entry.mId = { id };
    entry.mService = { "s" };
    entry.mDomain = { "east-a" };
    entry.mAddress = { "127.0.0.1", 1 };
    entry.mSequence = 1;
    reading.mRows.push_back({ entry.mId, entry });
  }
  return reading;
}

} // namespace

TEST_GROUP(PlatformWatch)
{
  scripted_platform mPlatform;
  settings mSettings;
  std::unique_ptr<kernel> mKernel;
  std::unique_ptr<kernel> mPeer; // null in tests without a peer

  void setup() override
  {
    scripted_source::sPlatform = &mPlatform;
    mSettings = FreeSettings("one", "east-a", "east");
    mKernel = Start(mSettings);
  }

  void teardown() override
  {
    mKernel->Stop();
    if (mPeer) {
      mPeer->Stop();
    }
  }

  static std::unique_ptr<kernel> Start(const settings& aSettings)
  {
    std::unique_ptr<kernel> started = std::make_unique<kernel>(
      aSettings,
      std::vector<plugin_record>{
        MakeRecord<platform_watch<scripted_source>>() });
    CHECK(!started->Start(std::chrono::steady_clock::now()));
    return started;
  }

  void Set(const control_reading& aControl)
  {
    mPlatform.With(
      [&](scripted_platform& aPlatform) { aPlatform.mControl = aControl; });
  }

  void Set(const upstream_reading& aUpstreams)
  {
    mPlatform.With(
      [&](scripted_platform& aPlatform) { aPlatform.mUpstreams = aUpstreams; });
  }

  std::uint64_t VersionInForce()
  {
    std::shared_ptr<const route_table> routes =
      steering_tables(*mKernel).Routes();
    return routes ? routes->Version() : 0;
  }

  bool WaitForVersion(std::uint64_t aVersion)
  {
    return WaitUntil([&]() { return VersionInForce() == aVersion; }, 10s);
  }

  static std::size_t UpstreamCountOf(kernel & aKernel)
  {
    return steering_tables(aKernel).Steering().With(
      [](steering_state& aSteering) { return aSteering.Size(); });
  }

  std::size_t UpstreamCount()
  {
    return UpstreamCountOf(*mKernel);
  }

  bool WaitForUpstreams(std::size_t aCount)
  {
    return WaitUntil([&]() { return UpstreamCount() == aCount; }, 10s);
  }

  // Registers an upstream on the platform, as one more version.
  void RegisterUpstream(const std::string& aId)
  {
    mPlatform.With([&](scripted_platform& aPlatform) {
      aPlatform.mChanges.push_back(MakeUpstreams(0, { aId }));
    });
  }

  // Says that hardly any cold time is left.
  static upstream_reading MakeRow(
    const std::string& aId, std::uint64_t aSequence, std::uint32_t aSlots)
  {
    upstream_reading reading = MakeUpstreams(0, { aId });
    reading.mRows[0].mEntry->mSequence = aSequence;
    reading.mRows[0].mEntry->mSlots = aSlots;
    reading.mRows[0].mEntry->mColdLeft = 1ms;
    return reading;
  }

  // Writes a row of the upstream again, as one more version.
  void RegisterAgain(
    const std::string& aId, std::uint64_t aSequence, std::uint32_t aSlots)
  {
    mPlatform.With([&](scripted_platform& aPlatform) {
      aPlatform.mChanges.push_back(MakeRow(aId, aSequence, aSlots));
    });
  }

  // Evacuates the upstreams' failure domain, and takes it back just after an
  // upstream has written its row. They are then cold for a minute.
  void ReturnToServiceWith(
    const std::string& aId, std::uint64_t aSequence, std::uint32_t aSlots)
  {
    control_reading control = MakeControl(5, 3);
    control.mDocument->mServices[{ "s" }] = { 60s, 3.6 };
    control.mEvacuated = { { "east-a" } };
    Set(control);
    CHECK(WaitWithPeer([&]() {
      return IsEvacuated(*mKernel) && (!mPeer || IsEvacuated(*mPeer)) &&
             LastSequence(*mKernel) == 1;
    }));
    control.mHead.mVersion = 6;
    control.mEvacuated.clear();
    mPlatform.With([&](scripted_platform& aPlatform) {
      aPlatform.mChanges.push_back(MakeRow(aId, aSequence, aSlots));
      aPlatform.mControl = control;
      aPlatform.mReadingsBegun = 0;
    });
  }

  int ReadingsBegun()
  {
    return mPlatform.With(
      [](scripted_platform& aPlatform) { return aPlatform.mReadingsBegun; });
  }

  bool WaitWithPeer(const std::function<bool()>& aCondition)
  {
    return mPeer ? WaitWithHeartbeats(aCondition) : WaitUntil(aCondition, 10s);
  }

  static bool IsEvacuated(kernel & aKernel)
  {
    return steering_tables(aKernel).InForce().With(
      [](routes_in_force& aInForce) { return !aInForce.mEvacuated.empty(); });
  }

  // The highest sequence known of an upstream; 0: none.
  static std::uint64_t LastSequence(kernel & aKernel)
  {
    return steering_tables(aKernel).Steering().With(
      [](steering_state& aSteering) {
        std::uint64_t last = 0;
        for (const upstream_entry& entry : aSteering.Directory().Entries()) {
          last = std::max(last, entry.mSequence);
        }
        return last;
      });
  }

  // Whether a request would go to the upstream without the limit on cold ones.
  static bool IsUsedInFull(kernel & aKernel)
  {
    return steering_tables(aKernel).Steering().With(
      [](steering_state& aSteering) {
        instant now = std::chrono::steady_clock::now();
        route_spec route;
        route.mServices = { { { "s" }, 1 } };
        steering_choice choice = aSteering.Choose(
          { route, { "s" }, "", now, now + route.mTimeout, {} }, now);
        return choice.mTarget && !choice.mTarget->mCold;
      });
  }

  static void ReceiveHeartbeat(kernel & aKernel, kernel & aSender)
  {
    fleet_heartbeat heartbeat = steering_tables(aSender).Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Heartbeat(); });
    steering_tables(aKernel).Fleet().With([&](fleet_state& aFleet) {
      aFleet.ReceiveHeartbeat(heartbeat, std::chrono::steady_clock::now());
    });
  }

  // Waits for the condition while mPeer and mKernel exchange heartbeats.
  bool WaitWithHeartbeats(const std::function<bool()>& aCondition)
  {
    return WaitUntil(
      [&]() {
        ReceiveHeartbeat(*mPeer, *mKernel);
        ReceiveHeartbeat(*mKernel, *mPeer);
        return aCondition();
      },
      10s);
  }

  // Whether mKernel reads upstreams from the platform and mPeer follows it.
  bool IsPeerFollowing()
  {
    instant now = std::chrono::steady_clock::now();
    auto reader = [&](kernel& aKernel) {
      return steering_tables(aKernel).Fleet().With(
        [&](fleet_state& aFleet) { return aFleet.Reader(now); });
    };
    std::optional<fleet_member> ofPeer = reader(*mPeer);
    return !reader(*mKernel) && ofPeer && ofPeer->mInstance.mValue == "one";
  }

  void StartPeer()
  {
    settings peer = FreeSettings("two", "east-a", "east");
    peer.mIncarnation = mSettings.mIncarnation + 1;
    mPeer = Start(peer);
  }

  // The store is in this era and shows these tables.
  void SetEra(std::uint64_t aEra,
              const control_reading& aControl,
              const upstream_reading& aUpstreams)
  {
    mPlatform.With([&](scripted_platform& aPlatform) {
      aPlatform.mEra = aEra;
      aPlatform.mControl = aControl;
      aPlatform.mUpstreams = aUpstreams;
    });
  }

  std::set<domain_id> Evacuated()
  {
    return steering_tables(*mKernel).InForce().With(
      [](routes_in_force& aInForce) { return aInForce.mEvacuated; });
  }

  bool IsServing()
  {
    return steering_tables(*mKernel).Fleet().With(
      [](fleet_state& aFleet) { return aFleet.IsServing(); });
  }
};

TEST(PlatformWatch, VersionsNeverDecreaseAndUnreadableOnesAreIgnored)
{
  CHECK_FALSE(IsServing());
  Set(MakeControl(5, 3));
  CHECK(WaitForVersion(3));
  CHECK(WaitUntil([&]() { return IsServing(); }, 10s));
  control_reading unreadable = MakeControl(6, 9);
  unreadable.mDocument.reset();
  unreadable.mUnreadable = unreadable_document();
  Set(unreadable);
  std::this_thread::sleep_for(200ms);
  LONGS_EQUAL(3, VersionInForce());
  Set(MakeControl(7, 2));
  std::this_thread::sleep_for(200ms);
  LONGS_EQUAL(3, VersionInForce());
  Set(MakeControl(8, 4));
  CHECK(WaitForVersion(4));
}

// Guards against a reading that dates the routes in force as the latest while
// the table holds a later version that can't be read.
TEST(PlatformWatch, RoutesAreDatedOnlyWhileNoLaterVersionIsUnreadable)
{
  auto currentAsOf = [&]() {
    return steering_tables(*mKernel).InForce().With(
      [](routes_in_force& aInForce) { return aInForce.mAge.CurrentAsOf(); });
  };
  auto read = [&](control_reading aControl, platform_time aStamp) {
    aControl.mHead.mStamp = aStamp;
    Set(aControl);
    std::this_thread::sleep_for(200ms);
  };
  read(MakeControl(5, 3), 1s);
  CHECK(WaitUntil([&]() { return currentAsOf() == 1s; }, 10s));
  control_reading unreadable = MakeControl(6, 0);
  unreadable.mDocument.reset();
  unreadable.mUnreadable = unreadable_document();
  read(unreadable, 2s);
  CHECK(currentAsOf() == 1s);
  // Nothing has changed since: the same version is still in the table.
  control_reading unchanged = unreadable;
  unchanged.mHead.mIsSnapshot = false;
  unchanged.mUnreadable.reset();
  read(unchanged, 3s);
  CHECK(currentAsOf() == 1s);
  // A later version that is refused, and then one that can be read.
  unreadable = MakeControl(7, 0);
  unreadable.mDocument.reset();
  unreadable.mUnreadable = { 9, "a fault" };
  read(unreadable, 4s);
  read(MakeControl(8, 8), 5s);
  LONGS_EQUAL(8, VersionInForce());
  CHECK(currentAsOf() == 1s);
  read(MakeControl(9, 9), 6s);
  CHECK(WaitUntil([&]() { return currentAsOf() == 6s; }, 10s));
  CHECK(mKernel->Counters().Value("configurations_unreadable_total") > 0);
}

TEST(PlatformWatch, WithoutAnswersItReadsWithoutLongPoll)
{
  auto lastLongPoll = [&]() {
    return mPlatform.With(
      [](scripted_platform& aPlatform) { return aPlatform.mLastLongPoll; });
  };
  Set(MakeControl(5, 3));
  CHECK(WaitUntil([&]() { return lastLongPoll() > 0ms; }, 10s));
  Set(control_reading());
  CHECK(WaitUntil([&]() { return lastLongPoll() == 0ms; }, 10s));
  Set(MakeControl(6, 4));
  CHECK(WaitForVersion(4));
  CHECK(WaitUntil([&]() { return lastLongPoll() > 0ms; }, 10s));
}

TEST(PlatformWatch, UpstreamsAreKeptDuringAnOutage)
{
  Set(MakeUpstreams(5, { "a", "b" }));
  CHECK(WaitForUpstreams(2));
  Set(upstream_reading());
  std::this_thread::sleep_for(2500ms);
  LONGS_EQUAL(2, UpstreamCount());
  // One of them registers again before the grace period ends.
  Set(MakeUpstreams(6, { "a" }));
  std::this_thread::sleep_for(1000ms);
  LONGS_EQUAL(2, UpstreamCount());
  CHECK(WaitForUpstreams(1));
}

TEST(PlatformWatch, ItRegistersUntilConfirmedAndWithdraws)
{
  auto count = [&](int scripted_platform::*aMember) {
    return mPlatform.With(
      [&](scripted_platform& aPlatform) { return aPlatform.*aMember; });
  };
  CHECK(WaitUntil([&]() { return count(&scripted_platform::mRegistered) == 2; },
                  10s));
  mKernel->Leave(std::chrono::steady_clock::now());
  CHECK(WaitUntil([&]() { return count(&scripted_platform::mWithdrawn) == 1; },
                  10s));
}

TEST(PlatformWatch, LocationsAreUnknownUntilItHasRegistered)
{
  auto locationCount = [&]() {
    return steering_tables(*mKernel).Fleet().With(
      [](fleet_state& aFleet) { return aFleet.InstanceLocations().size(); });
  };
  auto registrations = [&]() {
    return mPlatform.With(
      [](scripted_platform& aPlatform) { return aPlatform.mRegistered; });
  };
  // The first registration gets no answer.
  CHECK(WaitUntil([&]() { return registrations() == 1; }, 10s));
  LONGS_EQUAL(0, locationCount());
  CHECK(WaitUntil([&]() { return locationCount() == 1; }, 10s));
  LONGS_EQUAL(2, registrations());
}

// The platform does not answer this instance. A peer's heartbeat reports a
// later control version, so the peer's copy is read and applied.
TEST(PlatformWatch, ControlIsTakenFromAPeerWhileThePlatformIsLost)
{
  Set(MakeControl(5, 3));
  CHECK(WaitForVersion(3));
  Set(control_reading());
  settings peer = FreeSettings("two", "east-a", "east");
  mPeer = Start(peer);
  mPlatform.With([&](scripted_platform& aPlatform) {
    aPlatform.mPeerView = MakeControl(9, 7);
    aPlatform.mPeerView.mEvacuated = { { "east-b" } };
  });
  fleet_heartbeat heartbeat;
  heartbeat.mSender = { { "two" },    1,          { "east" }, { "east-a" },
                        peer.mCaller, peer.mPeer, peer.mRelay };
  heartbeat.mServing = true;
  heartbeat.mControlVersion = 9;
  bool taken = WaitUntil(
    [&]() {
      steering_tables(*mKernel).Fleet().With([&](fleet_state& aFleet) {
        aFleet.ReceiveHeartbeat(heartbeat, std::chrono::steady_clock::now());
      });
      return VersionInForce() == 7;
    },
    10s);
  CHECK(taken);
  std::set<domain_id> evacuated = steering_tables(*mKernel).InForce().With(
    [](routes_in_force& aInForce) { return aInForce.mEvacuated; });
  CHECK(evacuated == std::set<domain_id>{ { "east-b" } });
}

TEST(PlatformWatch, OneInstanceOfADomainReadsUpstreamsForTheOthers)
{
  RegisterUpstream("a");
  StartPeer();
  CHECK(WaitWithHeartbeats(
    [&]() { return IsPeerFollowing() && UpstreamCountOf(*mPeer) == 1; }));
  // Only the reader is answered; both instances learn of the change.
  mPlatform.With(
    [](scripted_platform& aPlatform) { aPlatform.mUnanswered = { "two" }; });
  RegisterUpstream("b");
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 2; }));
  LONGS_EQUAL(2, UpstreamCount());
}

TEST(PlatformWatch, AFollowerReadsThePlatformWhenItsReaderIsNotAnswered)
{
  RegisterUpstream("a");
  StartPeer();
  CHECK(WaitWithHeartbeats(
    [&]() { return IsPeerFollowing() && UpstreamCountOf(*mPeer) == 1; }));
  // The reader is alive and sends heartbeats, but the platform does not answer
  // it.
  mPlatform.With(
    [](scripted_platform& aPlatform) { aPlatform.mUnanswered = { "one" }; });
  RegisterUpstream("b");
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 2; }));
  // From then on the roles are exchanged.
  RegisterUpstream("c");
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCount() == 3; }));
}

// Guards against a row that was written before the end of an evacuation and
// read after it, which ends the limit on cold upstreams at the reader.
TEST(PlatformWatch, ARowFromBeforeAReturnToServiceDoesNotEndTheColdTime)
{
  RegisterUpstream("a");
  ReturnToServiceWith("a", 2, 1);
  CHECK(WaitUntil([&]() { return LastSequence(*mKernel) == 2; }, 10s));
  CHECK_FALSE(IsUsedInFull(*mKernel));
  // Written after a reading that began after the return.
  CHECK(WaitUntil([&]() { return ReadingsBegun() >= 2; }, 10s));
  RegisterAgain("a", 3, 1);
  CHECK(WaitUntil([&]() { return IsUsedInFull(*mKernel); }, 10s));
}

// The same at a follower. Updates leave out mere heartbeats, so the rows have
// another number of slots.
TEST(PlatformWatch, AFollowersUpdateFromBeforeAReturnDoesNotEndTheColdTime)
{
  RegisterUpstream("a");
  StartPeer();
  CHECK(WaitWithHeartbeats(
    [&]() { return IsPeerFollowing() && UpstreamCountOf(*mPeer) == 1; }));
  ReturnToServiceWith("a", 2, 2);
  CHECK(WaitWithHeartbeats([&]() { return LastSequence(*mPeer) == 2; }));
  CHECK_FALSE(IsUsedInFull(*mPeer));
  CHECK_FALSE(IsUsedInFull(*mKernel));
  bool isUsed = WaitWithHeartbeats([&]() {
    std::uint64_t next = LastSequence(*mPeer) + 1;
    if (LastSequence(*mKernel) < next) {
      RegisterAgain("a", next, static_cast<std::uint32_t>(next));
    }
    return IsUsedInFull(*mPeer);
  });
  CHECK(isUsed);
}

// A follower that has lost the platform still receives updates. It must go on
// reading the platform: it removes missing upstreams only after the recovery.
TEST(PlatformWatch, AFollowerThatHadLostThePlatformRecovers)
{
  auto isSettled = [](kernel& aKernel) {
    return steering_tables(aKernel).Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Heartbeat().mSettled; });
  };
  auto setUnanswered = [&](std::set<std::string> aInstances) {
    mPlatform.With([&](scripted_platform& aPlatform) {
      aPlatform.mUnanswered = std::move(aInstances);
    });
  };
  RegisterUpstream("a");
  StartPeer();
  CHECK(WaitWithHeartbeats([&]() { return IsPeerFollowing(); }));
  setUnanswered({ "one", "two" });
  CHECK(WaitWithHeartbeats(
    [&]() { return !isSettled(*mKernel) && !isSettled(*mPeer); }));
  setUnanswered({ "two" });
  CHECK(WaitWithHeartbeats(
    [&]() { return isSettled(*mKernel) && IsPeerFollowing(); }));
  RegisterUpstream("b"); // known by an update only
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 2; }));
  setUnanswered({});
  CHECK(WaitWithHeartbeats([&]() { return isSettled(*mPeer); }));
}

// The follower has learned of "b" from an update only. An instance that the
// platform has not answered since its start asks the follower for a snapshot.
TEST(PlatformWatch, AFormerFollowerSendsACompleteSnapshot)
{
  RegisterUpstream("a");
  StartPeer();
  CHECK(WaitWithHeartbeats(
    [&]() { return IsPeerFollowing() && UpstreamCountOf(*mPeer) == 1; }));
  RegisterUpstream("b");
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 2; }));
  mKernel->Stop();
  mPlatform.With(
    [](scripted_platform& aPlatform) { aPlatform.mUnanswered = { "one" }; });
  mSettings.mIncarnation += 2;
  mKernel = Start(mSettings);
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCount() == 2; }));
}

// The backup has an older configuration, no evacuation and one upstream less,
// and its version is lower than the known one.
TEST(PlatformWatch, ARestoredStoreTakesNothingBack)
{
  control_reading control = MakeControl({ 1, 100 }, 5);
  control.mEvacuated = { { "east-b" } };
  SetEra(1, control, MakeUpstreams({ 1, 100 }, { "a", "b" }));
  CHECK(WaitForVersion(5));
  CHECK(WaitForUpstreams(2));
  SetEra(2, MakeControl({ 2, 40 }, 3), MakeUpstreams({ 2, 40 }, { "a" }));
  std::this_thread::sleep_for(1500ms);
  LONGS_EQUAL(5, VersionInForce());
  LONGS_EQUAL(2, UpstreamCount());
  CHECK(Evacuated() == std::set<domain_id>{ { "east-b" } });
  // Nothing waits until versions have passed the known one.
  control = MakeControl({ 2, 41 }, 6);
  control.mEvacuated = { { "east-b" }, { "east-c" } };
  SetEra(2, control, MakeUpstreams({ 2, 41 }, { "a", "c" }));
  CHECK(WaitForVersion(6));
  CHECK(WaitUntil([&]() { return Evacuated().size() == 2; }, 10s));
  CHECK(WaitUntil([&]() { return UpstreamCount() >= 2; }, 10s));
}

// An instance in a long poll, or one that the store does not answer, would
// learn of the restore too late.
TEST(PlatformWatch, ARestoreIsLearnedFromAPeersHeartbeat)
{
  SetEra(1, MakeControl({ 1, 100 }, 5), MakeUpstreams({ 1, 100 }, { "a" }));
  CHECK(WaitForVersion(5));
  Set(control_reading());
  Set(upstream_reading());
  fleet_heartbeat heartbeat;
  settings peer = FreeSettings("two", "east-a", "east");
  heartbeat.mSender = { { "two" },    1,          { "east" }, { "east-a" },
                        peer.mCaller, peer.mPeer, peer.mRelay };
  heartbeat.mControlVersion = { 2, 0 };
  steering_tables(*mKernel).Fleet().With([&](fleet_state& aFleet) {
    aFleet.ReceiveHeartbeat(heartbeat, std::chrono::steady_clock::now());
  });
  CHECK(WaitUntil(
    [&]() {
      return mKernel->Counters().Value("store_era_changes_total", "peer") == 1;
    },
    10s));
  // A late answer of the era before is discarded, one of the new era is not.
  Set(MakeControl({ 1, 200 }, 7));
  std::this_thread::sleep_for(1000ms);
  LONGS_EQUAL(5, VersionInForce());
  Set(MakeControl({ 2, 40 }, 6));
  CHECK(WaitForVersion(6));
}

// A process that starts after the restore reads only the backup. It must not
// put the older configuration in force while a peer has the newer one.
TEST(PlatformWatch, AnInstanceThatStartsTakesTheNewerConfigurationOfAPeer)
{
  SetEra(1, MakeControl({ 1, 100 }, 5), MakeUpstreams({ 1, 100 }, { "a" }));
  CHECK(WaitForVersion(5));
  SetEra(2, MakeControl({ 2, 40 }, 3), MakeUpstreams({ 2, 40 }, { "a" }));
  mPlatform.With([](scripted_platform& aPlatform) {
    aPlatform.mPeerView = MakeControl({ 2, 40 }, 5);
  });
  CHECK(WaitUntil(
    [&]() {
      return steering_tables(*mKernel).Fleet().With([](fleet_state& aFleet) {
        return aFleet.Heartbeat().mControlVersion == store_version(2, 40);
      });
    },
    10s));
  StartPeer();
  bool hadOlder = false;
  CHECK(WaitWithHeartbeats([&]() {
    std::shared_ptr<const route_table> routes =
      steering_tables(*mPeer).Routes();
    hadOlder = hadOlder || (routes && routes->Version() == 3);
    return routes && routes->Version() == 5;
  }));
  CHECK_FALSE(hadOlder);
}

// A process that starts after the restore does not know which of the upstreams
// in the backup have left. Its reader does.
TEST(PlatformWatch, AnInstanceThatStartsLearnsWhichUpstreamsHaveLeft)
{
  SetEra(
    1, MakeControl({ 1, 100 }, 5), MakeUpstreams({ 1, 100 }, { "a", "b" }));
  CHECK(WaitForUpstreams(2));
  SetEra(1, MakeControl({ 1, 101 }, 5), MakeUpstreams({ 1, 101 }, { "a" }));
  CHECK(WaitForUpstreams(1));
  SetEra(2, MakeControl({ 2, 40 }, 5), MakeUpstreams({ 2, 40 }, { "a", "b" }));
  mPlatform.With([](scripted_platform& aPlatform) {
    aPlatform.mPeerView = MakeControl({ 2, 40 }, 5);
  });
  StartPeer();
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 2; }));
  CHECK(WaitWithHeartbeats([&]() { return UpstreamCountOf(*mPeer) == 1; }));
  LONGS_EQUAL(1, UpstreamCount());
}

TEST_GROUP(UpdateCodec){};

TEST(UpdateCodec, UpdatesAreDecodedAsEncodedOrRejected)
{
  upstream_update update;
  update.mAfter = 7;
  update.mVersion = 9;
  update.mEntries.push_back({ { "a" },
                              { "s" },
                              { "east-a" },
                              { "127.0.0.1", 1 },
                              4,
                              true,
                              2500ms,
                              11,
                              1234567ms });
  update.mRemovedIds = { { "b" }, { "c" } };
  update.mAge = 1100ms;
  std::string bytes = EncodeUpdate(update);
  std::optional<upstream_update> read = DecodeUpdate(bytes);
  CHECK(read.has_value());
  CHECK(read->mEntries == update.mEntries);
  CHECK(read->mRemovedIds == update.mRemovedIds);
  CHECK(read->mAge == update.mAge);
  LONGS_EQUAL(7, read->mAfter.mVersion);
  LONGS_EQUAL(9, read->mVersion.mVersion);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    DecodeUpdate(std::string_view(bytes).substr(0, size));
  }
  update.mEntries[0].mId.mValue.clear();
  CHECK_FALSE(DecodeUpdate(EncodeUpdate(update)).has_value());
  update.mEntries.clear();
  update.mVersion = 6;
  CHECK_FALSE(DecodeUpdate(EncodeUpdate(update)).has_value());
}

TEST(UpdateCodec, OnlyACompleteTargetIsAccepted)
{
  struct row
  {
    std::string mTarget;
    std::optional<store_version> mAfter;
  };
  const row kRows[] = {
    { UpdateTarget(12), 12 },
    { UpdateTarget(0), 0 },
    { "/v1/news?after=", std::nullopt },
    { "/v1/news?after=1x", std::nullopt },
    { "/v1/news?after=-1", std::nullopt },
    { "/v1/news?after=99999999999999999999", std::nullopt },
    { "/v1/view", std::nullopt },
    { "", std::nullopt },
  };
  for (const row& row : kRows) {
    CHECK(ReadUpdateTarget(row.mTarget) == row.mAfter);
  }
}

namespace {

std::optional<fleet_heartbeat>
DecodeFleetHeartbeat(std::string_view aBytes)
{
  fleet_message message = DecodeFleetMessage(aBytes);
  fleet_heartbeat* heartbeat = std::get_if<fleet_heartbeat>(&message);
  return heartbeat == nullptr ? std::nullopt
                              : std::optional<fleet_heartbeat>(*heartbeat);
}

} // namespace

TEST_GROUP(FleetCodec){};

TEST(FleetCodec, HeartbeatsAreDecodedAsEncoded)
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender = { { "one" },          7,
                        { "east" },         { "east-a" },
                        { "127.0.0.1", 1 }, { "127.0.0.1", 2 },
                        { "127.0.0.1", 3 } };
  heartbeat.mServing = true;
  heartbeat.mSettled = true;
  heartbeat.mControlVersion = 1234567;
  std::string bytes =
    EncodeFleetHeartbeat(heartbeat, fleet_heartbeat_form::Full);
  std::optional<fleet_heartbeat> read = DecodeFleetHeartbeat(bytes);
  CHECK(read.has_value());
  CHECK(read->mSender == heartbeat.mSender);
  CHECK(read->mServing && read->mSettled && !read->mLeaving);
  LONGS_EQUAL(1234567, read->mControlVersion.mVersion);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    DecodeFleetHeartbeat(std::string_view(bytes).substr(0, size));
  }
  bytes = EncodeFleetHeartbeat(heartbeat, fleet_heartbeat_form::Compact);
  read = DecodeFleetHeartbeat(bytes);
  CHECK(read.has_value());
  CHECK(read->mSender == fleet_member());
  CHECK(read->mSenderKey ==
        KeyOf(heartbeat.mSender.mInstance, heartbeat.mSender.mIncarnation));
  CHECK(read->mServing && read->mSettled && !read->mLeaving);
  // At 430 instances in four regions, an instance sends heartbeats to 107
  // others twice a second; 11 KB/s for control then allows 51 bytes each.
  CHECK(bytes.size() <= 51);
  CHECK_FALSE(DecodeFleetHeartbeat("").has_value());
  CHECK_FALSE(DecodeFleetHeartbeat(std::string(50000, 'x')).has_value());
}

TEST(FleetCodec, TheAgeOfTheDocumentIsSentOnlyIfItIsKnown)
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender.mInstance = { "one" };
  std::size_t without =
    EncodeFleetHeartbeat(heartbeat, fleet_heartbeat_form::Compact).size();
  CHECK(without <= 13); // the key and the settled state alone
  heartbeat.mDocumentVersion = 9;
  heartbeat.mCurrentAsOf = 123456ms;
  std::optional<fleet_heartbeat> read = DecodeFleetHeartbeat(
    EncodeFleetHeartbeat(heartbeat, fleet_heartbeat_form::Compact));
  CHECK(read.has_value());
  LONGS_EQUAL(9, read->mDocumentVersion);
  CHECK(read->mCurrentAsOf == 123456ms);
}

TEST(FleetCodec, UsageIsDecodedAsEncodedAndBoundedInSize)
{
  usage_message sent;
  sent.mScope = usage_scope::Domain;
  sent.mName = "east-a";
  sent.mUsage = { { 7, { 1.5, 1.25, 0.5 } }, { 8, { 300, 0, 0 } } };
  fleet_message message = DecodeFleetMessage(EncodeUsage(sent));
  usage_message* read = std::get_if<usage_message>(&message);
  CHECK(read != nullptr);
  CHECK(read->mScope == usage_scope::Domain && !read->mRelayed);
  STRCMP_EQUAL("east-a", read->mName.c_str());
  LONGS_EQUAL(2, read->mUsage.size());
  DOUBLES_EQUAL(1.25, read->mUsage.at(7).mAdmitted, 1e-9);
  DOUBLES_EQUAL(0.5, read->mUsage.at(7).mSilent, 1e-9);
  for (customer_key key = 0; key < 20000; ++key) {
    sent.mUsage.emplace(key, usage_rates{ 1, 1, 1 });
  }
  std::string bytes = EncodeUsage(sent);
  CHECK(bytes.size() <= kMaxFleetMessageBytes);
  message = DecodeFleetMessage(bytes);
  read = std::get_if<usage_message>(&message);
  CHECK(read != nullptr);
  LONGS_EQUAL(kMaxUsageEntries, read->mUsage.size());
  CHECK(read->mUsage.count(8) == 1); // the one with the highest demand
  for (std::size_t size = 0; size < bytes.size(); size += 7) {
    DecodeFleetMessage(std::string_view(bytes).substr(0, size));
  }
}
