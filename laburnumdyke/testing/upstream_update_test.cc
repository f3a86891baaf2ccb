// The choice of the reader of a failure domain, the updates it sends to
// followers, and the timing of followers.
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/follower_timing.h"
#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/decision/upstream_update.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;

upstream_entry
Entry(const std::string& aId, std::uint64_t aSequence)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mSequence = aSequence;
  return entry;
}

// The upstreams known at a version.
using upstream_map = std::map<upstream_id, upstream_entry>;

void
Apply(upstream_map& aKnown, const upstream_update& aUpdate)
{
  for (const upstream_entry& entry : aUpdate.mEntries) {
    aKnown[entry.mId] = entry;
  }
  for (const upstream_id& gone : aUpdate.mRemovedIds) {
    aKnown.erase(gone);
  }
}

// A reading in which some of a few upstreams changed or were removed.
upstream_update
RandomUpdate(std::uint64_t aAfter, std::mt19937_64& aRandom)
{
  upstream_update update;
  update.mAfter = aAfter;
  update.mVersion = aAfter + aRandom() % 4;
  bool isEmpty = update.mVersion == aAfter;
  for (int i = 0; i < 5 && !isEmpty; ++i) {
    std::string id(1, static_cast<char>('a' + i));
    switch (aRandom() % 4) {
      case 0:
        update.mEntries.push_back(Entry(id, aRandom()));
        break;
      case 1:
        update.mRemovedIds.push_back({ id });
        break;
      default:
        break;
    }
  }
  return update;
}

fleet_member
Member(const std::string& aName, std::uint64_t aIncarnation)
{
  fleet_member member;
  member.mInstance = { aName };
  member.mIncarnation = aIncarnation;
  member.mRegion = { "leinster" };
  member.mDomain = { "leinster-a" };
  return member;
}

fleet_heartbeat
Settled(const fleet_member& aMember)
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender = aMember;
  heartbeat.mSettled = true;
  return heartbeat;
}

} // namespace

TEST_GROUP(CompactHeartbeats)
{
  fleet_view mFleet{ { Member("self", 5) } };

  static fleet_heartbeat Compact(const fleet_member& aMember)
  {
    fleet_heartbeat heartbeat;
    heartbeat.mSenderKey = KeyOf(aMember.mInstance, aMember.mIncarnation);
    heartbeat.mControlVersion = 9;
    return heartbeat;
  }
};

TEST(CompactHeartbeats, TheyAreAcceptedFromAKnownIncarnation)
{
  CHECK_FALSE(mFleet.ReceiveHeartbeat(Compact(Member("peer", 3)), kStart));
  mFleet.Put(Member("peer", 3)); // its registration
  CHECK(mFleet.ReceiveHeartbeat(Compact(Member("peer", 3)), kStart));
  LONGS_EQUAL(1, mFleet.PeersWithNewerControl(kStart).size());
  // A new incarnation is unknown until its first full heartbeat.
  CHECK_FALSE(mFleet.ReceiveHeartbeat(Compact(Member("peer", 4)), kStart + 1s));
  CHECK(mFleet.ReceiveHeartbeat(Settled(Member("peer", 4)), kStart + 1s));
  CHECK(mFleet.ReceiveHeartbeat(Compact(Member("peer", 4)), kStart + 1s));
  CHECK_FALSE(mFleet.ReceiveHeartbeat(Compact(Member("peer", 3)), kStart + 1s));
}

TEST(CompactHeartbeats, AnInstanceIgnoresItsOwnHeartbeats)
{
  CHECK_FALSE(mFleet.ReceiveHeartbeat(Compact(Member("self", 5)), kStart));
  CHECK_FALSE(mFleet.ReceiveHeartbeat(fleet_heartbeat(), kStart));
}

TEST_GROUP(UpdateLog){};

TEST(UpdateLog, ThereIsNoDeltaFromAVersionBeforeItsFirst)
{
  update_log log;
  CHECK_FALSE(log.Since(0).has_value());
  log.Add({ 5, 7, { Entry("a", 1) }, {} });
  CHECK_FALSE(log.ReachesBackTo(4));
  CHECK_FALSE(log.Since(4).has_value());
  CHECK(log.Since(5).has_value());
  CHECK(log.Since(7)->mEntries.empty());
  CHECK_FALSE(log.Since(8).has_value());
  LONGS_EQUAL(7, log.Version()->mVersion);
  // Versions 8 and 9 are missing, so the earlier readings are dropped.
  log.Add({ 9, 10, {}, { { "a" } } });
  CHECK_FALSE(log.Since(7).has_value());
  CHECK(log.Since(9).has_value());
  log.Clear();
  CHECK_FALSE(log.Version().has_value());
}

TEST(UpdateLog, TheLastChangeOfAnUpstreamWins)
{
  update_log log;
  log.Add({ 1, 2, { Entry("a", 1), Entry("b", 1) }, {} });
  log.Add({ 2, 3, { Entry("b", 2) }, { { "a" } } });
  upstream_update update = *log.Since(1);
  LONGS_EQUAL(1, update.mEntries.size());
  LONGS_EQUAL(2, update.mEntries[0].mSequence);
  CHECK(update.mRemovedIds == std::vector<upstream_id>{ { "a" } });
  LONGS_EQUAL(3, update.mVersion.mVersion);
}

TEST(UpdateLog, HeartbeatsAreLeftOut)
{
  upstream_entry draining = Entry("c", 4);
  draining.mDraining = true;
  upstream_update update =
    ToUpdate(3,
             8,
             { { upstream_change_kind::Joined, Entry("a", 1) },
               { upstream_change_kind::Renewed, Entry("b", 2) },
               { upstream_change_kind::Updated, draining },
               { upstream_change_kind::Restarted, Entry("d", 1) },
               { upstream_change_kind::Left, Entry("d", 1) } },
             { { "d" }, { "e" } });
  LONGS_EQUAL(3, update.mAfter.mVersion);
  LONGS_EQUAL(8, update.mVersion.mVersion);
  LONGS_EQUAL(2, update.mEntries.size());
  CHECK(update.mEntries[1].mDraining);
  CHECK(update.mRemovedIds == (std::vector<upstream_id>{ { "e" }, { "d" } }));
}

// Guards against a follower that takes an upstream for restarted until its cold
// time is over, although its reader has seen it write again.
TEST(UpdateLog, HeartbeatsOfSuspectedUpstreamsAreKept)
{
  upstream_update update =
    ToUpdate(3,
             8,
             { { upstream_change_kind::Renewed, Entry("a", 2) },
               { upstream_change_kind::Renewed, Entry("b", 2) } },
             {},
             { { "b" } });
  LONGS_EQUAL(1, update.mEntries.size());
  STRCMP_EQUAL("b", update.mEntries[0].mId.mValue.c_str());
}

// Guards against an upstream that joins and leaves between two readings of the
// reader: a follower that has read the platform in between would keep it.
TEST(UpdateLog, AFollowerLearnsOfADepartureThatIsNoChangeOfTheReader)
{
  upstream_directory reader;
  upstream_directory follower;
  for (upstream_directory* one : { &reader, &follower }) {
    one->ApplyRows({ { { "a" }, Entry("a", 1) } }, kStart);
  }
  follower.ApplyRows({ { { "b" }, Entry("b", 1) } }, kStart); // version 2
  const std::vector<upstream_row> rows = {
    { { "b" }, Entry("b", 1) },
    { { "c" }, std::nullopt },
    { { "b" }, std::nullopt },
    { { "c" }, Entry("c", 1) },
  };
  std::vector<upstream_change> changes = reader.ApplyRows(rows, kStart);
  CHECK(RemovedIds(rows) == std::vector<upstream_id>{ { "b" } });
  CHECK_FALSE(reader.Knows({ "b" }));
  update_log log;
  log.Add(ToUpdate(1, 3, changes, RemovedIds(rows)));
  follower.ApplyRows(ToRows(*log.Since(2)), kStart);
  CHECK_FALSE(follower.Knows({ "b" }));
  CHECK(follower.Knows({ "a" }) && follower.Knows({ "c" }));
}

// Checked against the state at each version, built by applying every reading in
// turn.
TEST(UpdateLog, AFollowerCatchesUpFromAnyVersion)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    update_log log;
    std::map<std::uint64_t, upstream_map> known{ { 0, {} } };
    std::uint64_t version = 0;
    for (int i = 0; i < 30; ++i) {
      upstream_update update = RandomUpdate(version, random);
      upstream_map next = known[version];
      Apply(next, update);
      version = update.mVersion.mVersion;
      known[version] = next;
      log.Add(std::move(update));
      for (const std::pair<const std::uint64_t, upstream_map>& follower :
           known) {
        std::optional<upstream_update> received = log.Since(follower.first);
        if (received) {
          upstream_map state = follower.second;
          Apply(state, *received);
          CHECK(state == next);
          CHECK(received->mVersion == version);
        }
      }
      CHECK(log.Since(version).has_value());
    }
  }
}

TEST_GROUP(FollowerTiming)
{
  static constexpr std::chrono::milliseconds kBound{ 2000 };
  static constexpr std::chrono::milliseconds kRetry{ 300 };
  std::mt19937_64 mRandom{ 1 };

  std::chrono::milliseconds Jittered(std::chrono::milliseconds aTime)
  {
    std::uniform_int_distribution<std::int64_t> part(aTime.count() * 3 / 4,
                                                     aTime.count() * 5 / 4);
    return std::chrono::milliseconds(part(mRandom));
  }

  // The times of readings by a reader until it freezes.
  std::vector<instant> Readings(instant aFrozen)
  {
    std::vector<instant> readings;
    instant at = kStart - 5s;
    while (at < aFrozen) {
      readings.push_back(at);
      at += Jittered(follower_timing(kBound).ReadInterval());
    }
    return readings;
  }
};

// DRAIN: on an overloaded machine a reading took over a second, and the pause
// after it was as long as ever, so that what was known was older than the bound
// before the next reading ended.
TEST(FollowerTiming, ReadingsStartInTimeHoweverLongTheyTake)
{
  for (std::chrono::milliseconds took : { 5ms, 400ms, 900ms }) {
    follower_timing timing(kBound);
    instant now = kStart;
    for (int reading = 0; reading < 10; ++reading) {
      timing.KnownAsOf(now);
      now += took;
      now += timing.ReadPause(now);
      CHECK(timing.Age(now) == timing.ReadInterval());
    }
  }
  follower_timing timing(kBound);
  timing.KnownAsOf(kStart);
  CHECK(timing.ReadPause(kStart + 5s) > 0ms);
}

// A follower in virtual time. It starts with a reading of its own at a random
// time; its reader sends its latest reading or refuses, and freezes at another
// random time. The follower's data must never be older than nine tenths of the
// bound; the rest is for requests in transit.
TEST(FollowerTiming, AFollowersDataIsNeverTooOld)
{
  for (int run = 0; run < 2000; ++run) {
    instant frozen = kStart + std::chrono::milliseconds(mRandom() % 6000);
    std::vector<instant> readings = Readings(frozen);
    bool refuses = mRandom() % 4 == 0; // the reader never has an update
    follower_timing timing(kBound);
    instant now = kStart + std::chrono::milliseconds(mRandom() % 2000);
    timing.KnownAsOf(now);
    instant received = now; // the follower knows all changes up to here
    while (now < frozen + 5s) {
      // The first reading unknown to the follower, if there is one.
      auto next = std::upper_bound(readings.begin(), readings.end(), received);
      bool waits = next != readings.end() && *next > now;
      instant until = now + timing.UpdateTimeout(now);
      bool hasUpdate = !refuses && next != readings.end() &&
                       (waits ? *next < until : now < frozen);
      instant asked = now;
      if (hasUpdate) {
        now = std::max(now, *next);
        auto last = std::upper_bound(readings.begin(), readings.end(), now);
        received = *(last - 1);
        timing.KnownAsOf(received);
      } else {
        now = refuses ? now + 1ms : until;
        bool again = timing.MayRetryReader(now);
        if (!again) {
          timing.KnownAsOf(now);
          received = now;
        }
        now += Jittered(kRetry);
      }
      CHECK(now > asked || hasUpdate);
      CHECK(now - received <= kBound * 9 / 10);
    }
  }
}

TEST_GROUP(FleetReader)
{
  fleet_view mFleet{ { Member("self", 5) } };

  std::string Reader(instant aNow)
  {
    std::optional<fleet_member> reader = mFleet.Reader(aNow);
    return reader ? reader->mInstance.mValue : "self";
  }
};

TEST(FleetReader, TheOldestSettledInstanceIsTheReader)
{
  mFleet.SetSettled(true);
  STRCMP_EQUAL("self", Reader(kStart).c_str());
  mFleet.ReceiveHeartbeat(Settled(Member("younger", 6)), kStart);
  STRCMP_EQUAL("self", Reader(kStart).c_str());
  mFleet.ReceiveHeartbeat(Settled(Member("old", 4)), kStart);
  mFleet.ReceiveHeartbeat(Settled(Member("older", 3)), kStart);
  STRCMP_EQUAL("older", Reader(kStart).c_str());
  // Ties are broken by name, so that all instances agree.
  mFleet.ReceiveHeartbeat(Settled(Member("elder", 3)), kStart);
  STRCMP_EQUAL("elder", Reader(kStart).c_str());
}

TEST(FleetReader, SilentLeavingOrUnsettledInstancesAreNotReaders)
{
  mFleet.SetSettled(true);
  mFleet.ReceiveHeartbeat(Settled(Member("old", 4)), kStart);
  STRCMP_EQUAL("old", Reader(kStart + 1s).c_str());
  STRCMP_EQUAL("self", Reader(kStart + 2s).c_str());
  fleet_heartbeat lost = Settled(Member("old", 4));
  lost.mSettled = false;
  mFleet.ReceiveHeartbeat(lost, kStart + 3s);
  STRCMP_EQUAL("self", Reader(kStart + 3s).c_str());
  fleet_heartbeat leaving = Settled(Member("old", 4));
  leaving.mLeaving = true;
  mFleet.ReceiveHeartbeat(leaving, kStart + 4s);
  STRCMP_EQUAL("self", Reader(kStart + 4s).c_str());
}

TEST(FleetReader, AnUnsettledInstanceFollowsEvenAYoungerOne)
{
  mFleet.ReceiveHeartbeat(Settled(Member("younger", 6)), kStart);
  STRCMP_EQUAL("younger", Reader(kStart).c_str());
  mFleet.SetSettled(true);
  STRCMP_EQUAL("self", Reader(kStart).c_str());
}

TEST(FleetReader, AReaderInAnotherFailureDomainIsTheLastResort)
{
  fleet_member other = Member("other", 1);
  other.mDomain = { "leinster-b" };
  mFleet.ReceiveHeartbeat(Settled(other), kStart);
  STRCMP_EQUAL("other", Reader(kStart).c_str());
  mFleet.ReceiveHeartbeat(Settled(Member("near", 9)), kStart);
  STRCMP_EQUAL("near", Reader(kStart).c_str());
  mFleet.SetSettled(true);
  STRCMP_EQUAL("self", Reader(kStart).c_str());
}
