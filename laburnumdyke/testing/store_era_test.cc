// The decisions after the platform's store has been restored from a backup, in
// virtual time: which readings are applied, which upstreams are used, which
// failure domains are evacuated, and which instances are members. Each test
// names the failure that it guards against.
#include "laburnumdyke/decision/evacuation_hold.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/upstream_directory.h"
#include "laburnumdyke/decision/upstream_update.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/fleet_codec.h"
#include "laburnumdyke/plugin/update_codec.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;

reading_head
Snapshot(std::uint64_t aEra, std::uint64_t aVersion)
{
  return { reading_status::Read, true, { aEra, aVersion } };
}

reading_head
Delta(const store_version& aAfter, const store_version& aVersion)
{
  return { reading_status::Read, false, aVersion, aAfter };
}

reading_head
HistoryLost(const store_version& aAfter, std::uint64_t aEra)
{
  return { reading_status::HistoryLost, false, { aEra, 0 }, aAfter };
}

upstream_entry
Entry(const std::string& aId, std::uint64_t aSequence)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mService = { "s" };
  entry.mDomain = { "east-a" };
  entry.mAddress = { "10.0.0.1", 80 };
  entry.mSequence = aSequence;
  entry.mBorn = 1000ms;
  return entry;
}

fleet_member
Member(const std::string& aName, std::uint64_t aIncarnation)
{
  fleet_member member;
  member.mInstance = { aName };
  member.mIncarnation = aIncarnation;
  member.mRegion = { "east" };
  member.mDomain = { "east-a" };
  member.mPeer = { "10.0.0.1", static_cast<std::uint16_t>(aIncarnation) };
  return member;
}

fleet_heartbeat
HeartbeatOf(const fleet_member& aMember)
{
  fleet_heartbeat heartbeat;
  heartbeat.mSender = aMember;
  heartbeat.mServing = true;
  return heartbeat;
}

} // namespace

TEST_GROUP(StoreEra)
{
  watch_state mState;
};

// A reader that keeps its version would wait for one that the restored store
// reaches only much later, and miss what happens until then.
TEST(StoreEra, AfterARestoreASnapshotWithALowerVersionIsApplied)
{
  CHECK(mState.Take(Snapshot(1, 100)));
  CHECK(mState.LearnEra(2));
  CHECK(mState.AwaitsEra());
  CHECK(mState.After() == std::nullopt);
  CHECK(mState.Take(Snapshot(2, 40)));
  CHECK_FALSE(mState.AwaitsEra());
  CHECK(mState.After() == std::optional<store_version>({ 2, 40 }));
}

// The store issues versions again, so it answers such a request without 410.
TEST(StoreEra, ADeltaFromAVersionOfAnotherEraIsRejected)
{
  CHECK(mState.Take(Snapshot(1, 100)));
  CHECK_FALSE(mState.Take(Delta({ 1, 100 }, { 2, 104 })));
  CHECK(mState.After() == std::nullopt);
  CHECK(mState.AwaitsEra());
  CHECK(mState.Take(Snapshot(2, 104)));
  CHECK(mState.Take(Delta({ 2, 104 }, { 2, 105 })));
}

TEST(StoreEra, ALateAnswerOfAnOlderEraIsDiscarded)
{
  CHECK(mState.Take(Snapshot(1, 100)));
  CHECK(mState.LearnEra(2));
  CHECK_FALSE(mState.Take(Snapshot(1, 120)));
  CHECK_FALSE(mState.Take(Delta({ 1, 100 }, { 1, 120 })));
  CHECK_FALSE(mState.TakeFromPeer(Snapshot(1, 130)));
  CHECK(mState.Take(Snapshot(2, 40)));
  CHECK_FALSE(mState.Take(Delta({ 1, 100 }, { 1, 120 })));
  CHECK(mState.Version() == store_version(2, 40));
}

// A long poll of the old era ends with 410 after a peer's copy of the new era
// has been applied: reading a snapshot again would be a needless call.
TEST(StoreEra, LostHistoryOfAnOlderEraChangesNothing)
{
  CHECK(mState.Take(Snapshot(1, 100)));
  CHECK(mState.LearnEra(2));
  CHECK(mState.TakeFromPeer(Snapshot(2, 40)));
  CHECK_FALSE(mState.Take(HistoryLost({ 1, 100 }, 2)));
  CHECK(mState.After() == std::optional<store_version>({ 2, 40 }));
  CHECK_FALSE(mState.Take(HistoryLost({ 2, 40 }, 2)));
  CHECK(mState.After() == std::nullopt);
}

TEST(StoreEra, TheFirstEraIsNoRestoreIfNothingHasBeenRead)
{
  CHECK_FALSE(mState.LearnEra(3));
  CHECK(mState.Take(Snapshot(3, 7)));
  CHECK_FALSE(mState.AwaitsEra());
  CHECK_FALSE(mState.LearnEra(3));
  CHECK_FALSE(mState.LearnEra(2));
}

TEST(StoreEra, WithoutAnEraVersionsAloneOrderReadings)
{
  CHECK(mState.Take(Snapshot(0, 50)));
  CHECK(mState.Take(Delta(50, 51)));
  CHECK_FALSE(mState.Take(Snapshot(0, 40)));
  CHECK(mState.LearnEra(1));
  CHECK(mState.Take(Snapshot(1, 45)));
  // An answer without the header is of the known era.
  CHECK(mState.Take(Delta({ 1, 45 }, 46)));
  CHECK(mState.Version() == store_version(1, 46));
  // A peer's copy without one may be of any era.
  CHECK_FALSE(mState.TakeFromPeer(Snapshot(0, 99)));
}

TEST(StoreEra, TwoRestoresInARowAreFollowed)
{
  CHECK(mState.Take(Snapshot(1, 100)));
  CHECK(mState.LearnEra(2));
  CHECK(mState.LearnEra(3));
  CHECK_FALSE(mState.Take(Snapshot(2, 60)));
  CHECK(mState.Take(Snapshot(3, 30)));
  CHECK(mState.After() == std::optional<store_version>({ 3, 30 }));
}

// A follower that gets a delta from a version of another era would take it for
// the changes since its own version.
TEST(StoreEra, AFollowerOfAnotherEraGetsNoDelta)
{
  update_log log;
  log.Add({ { 2, 5 }, { 2, 7 }, { Entry("a", 1) }, {} });
  CHECK_FALSE(log.ReachesBackTo({ 1, 6 }));
  CHECK_FALSE(log.Since({ 1, 6 }).has_value());
  CHECK(log.Since({ 2, 6 }).has_value());
  log.Add({ { 3, 7 }, { 3, 8 }, {}, {} });
  CHECK_FALSE(log.Since({ 2, 7 }).has_value());
  CHECK(log.Since({ 3, 7 }).has_value());
}

TEST_GROUP(RestoredUpstreams)
{
  upstream_directory mDirectory;

  bool IsUsed(const std::string& aId)
  {
    std::vector<upstream_entry> entries = mDirectory.Entries();
    return std::any_of(
      entries.begin(), entries.end(), [&](const upstream_entry& aEntry) {
        return aEntry.mId.mValue == aId;
      });
  }

  // Reads a restored store's first snapshot.
  std::vector<upstream_change> Restore(std::vector<upstream_entry> aEntries,
                                       instant aNow)
  {
    mDirectory.OnStoreRestored();
    return mDirectory.ReplaceRestored(std::move(aEntries), aNow);
  }
};

// An upstream that is up must not be dropped because its row is missing until
// it writes again.
TEST(RestoredUpstreams, AMissingOneIsKeptUntilItWritesAgain)
{
  mDirectory.Replace({ Entry("a", 5), Entry("b", 5) }, kStart);
  mDirectory.OnStoreRestored();
  CHECK(mDirectory.Remove({ "a" }, kStart + 1s).empty());
  CHECK(mDirectory.Expire(kStart + 30s).empty());
  CHECK(mDirectory.ReplaceRestored({}, kStart + 30s).empty());
  // A peer in sync may have started since, and never have known them.
  mDirectory.EndGrace(kStart + 30s);
  CHECK(mDirectory.Expire(kStart + 31s).empty());
  LONGS_EQUAL(2, mDirectory.Size());
  mDirectory.ApplyRows({ { { "a" }, Entry("a", 7) } }, kStart + 31s);
  CHECK(mDirectory.Expire(kStart + 32s).empty());
  std::vector<upstream_change> changes = mDirectory.Expire(kStart + 32300ms);
  LONGS_EQUAL(1, changes.size());
  STRCMP_EQUAL("b", changes[0].mEntry.mId.mValue.c_str());
  CHECK(IsUsed("a"));
}

// An upstream that left must not be used again because the backup lists it. A
// follower knows an older sequence than the one in the backup.
TEST(RestoredUpstreams, OneThatLeftStaysOutUntilItWritesAgain)
{
  for (std::uint64_t listed : { 4, 5, 90 }) {
    mDirectory = upstream_directory();
    mDirectory.Replace({ Entry("a", 5), Entry("b", 1) }, kStart);
    mDirectory.Remove({ "a" }, kStart + 1s);
    CHECK(Restore({ Entry("a", listed), Entry("b", 1) }, kStart + 5s).empty());
    CHECK_FALSE(IsUsed("a"));
    // The same snapshot again, after the store has lost its history.
    mDirectory.Replace({ Entry("a", listed), Entry("b", 1) }, kStart + 6s);
    CHECK_FALSE(IsUsed("a"));
    mDirectory.ApplyRows({ { { "a" }, Entry("a", listed) } }, kStart + 7s);
    CHECK_FALSE(IsUsed("a"));
    // Also after a second restore, long after it left.
    Restore({ Entry("a", listed), Entry("b", 1) }, kStart + 2h);
    CHECK_FALSE(IsUsed("a"));
    mDirectory.ApplyRows({ { { "a" }, Entry("a", 91) } }, kStart + 3h);
    CHECK(IsUsed("a"));
  }
}

TEST(RestoredUpstreams, ANewStartOfOneThatLeftIsUsed)
{
  mDirectory.Replace({ Entry("a", 5) }, kStart);
  mDirectory.Remove({ "a" }, kStart + 1s);
  Restore({ Entry("a", 4) }, kStart + 5s);
  CHECK_FALSE(IsUsed("a"));
  upstream_entry next = Entry("a", 1);
  next.mBorn = 2000ms;
  mDirectory.ApplyRows({ { { "a" }, next } }, kStart + 6s);
  CHECK(IsUsed("a"));
  // Without start times, a sequence that begins again is a new start.
  upstream_entry unborn = Entry("b", 50);
  unborn.mBorn = 0ms;
  mDirectory.ApplyRows({ { { "b" }, unborn } }, kStart + 7s);
  mDirectory.ApplyRows({ { { "b" }, std::nullopt } }, kStart + 8s);
  unborn.mSequence = 40;
  Restore({ next, unborn }, kStart + 9s);
  CHECK_FALSE(IsUsed("b"));
  unborn.mSequence = 1;
  mDirectory.ApplyRows({ { { "b" }, unborn } }, kStart + 10s);
  CHECK(IsUsed("b"));
}

// Its row in the backup says that it is ready, from before it began to leave.
TEST(RestoredUpstreams, OneThatIsDrainingDoesNotBecomeReady)
{
  upstream_entry draining = Entry("a", 6);
  draining.mDraining = true;
  mDirectory.Replace({ draining }, kStart);
  CHECK(Restore({ Entry("a", 5) }, kStart + 5s).empty());
  CHECK(mDirectory.Expire(kStart + 10s).empty());
  CHECK(mDirectory.Entries()[0].mDraining);
  // What it writes since the restore holds.
  mDirectory.ApplyRows({ { { "a" }, Entry("a", 7) } }, kStart + 11s);
  CHECK_FALSE(mDirectory.Entries()[0].mDraining);
}

// The store loses its history before the upstream has written again.
TEST(RestoredUpstreams, ASecondSnapshotOfTheEraChangesNothingEither)
{
  upstream_entry draining = Entry("a", 6);
  draining.mDraining = true;
  mDirectory.Replace({ draining }, kStart);
  Restore({ Entry("a", 5) }, kStart + 5s);
  CHECK(mDirectory.Replace({ Entry("a", 5) }, kStart + 6s).empty());
  CHECK(mDirectory.Entries()[0].mDraining);
  CHECK(mDirectory.Expire(kStart + 10s).empty());
}

TEST(RestoredUpstreams, AnEarlierStartInTheBackupChangesNothing)
{
  upstream_entry second = Entry("a", 1);
  second.mBorn = 2000ms;
  mDirectory.Replace({ second }, kStart);
  CHECK(Restore({ Entry("a", 90) }, kStart + 5s).empty());
  CHECK(mDirectory.Entries()[0] == second);
}

TEST(RestoredUpstreams, WithoutARestoreOneThatLeftMayReturnAsItWas)
{
  mDirectory.Replace({ Entry("a", 5) }, kStart);
  mDirectory.Remove({ "a" }, kStart + 1s);
  LONGS_EQUAL(1, mDirectory.Put(Entry("a", 5), kStart + 2s).size());
  CHECK(IsUsed("a"));
}

TEST_GROUP(RestoredEvacuations)
{
  evacuation_hold mHold;

  static control_reading Table(std::uint64_t aConfiguration,
                               std::vector<domain_id> aEvacuated)
  {
    control_reading reading;
    reading.mHead = Snapshot(1, 1);
    reading.mDocument = routing_document();
    reading.mDocument->mVersion = aConfiguration;
    reading.mEvacuated = std::move(aEvacuated);
    return reading;
  }

  static control_reading Change(std::vector<domain_id> aEvacuated,
                                std::vector<domain_id> aReturned)
  {
    control_reading reading;
    reading.mEvacuated = std::move(aEvacuated);
    reading.mReturned = std::move(aReturned);
    return reading;
  }

  static std::set<domain_id> Set(const std::vector<domain_id>& aDomains)
  {
    return { aDomains.begin(), aDomains.end() };
  }
};

// An evacuation written after the backup must not end until the operator has
// written again.
TEST(RestoredEvacuations, AForgottenOneStaysUntilTheConfigurationIsKnownAgain)
{
  mHold.Apply(Table(4, { { "a" } }), false, 4, kStart);
  CHECK(mHold.Apply(Table(3, {}), true, 4, kStart + 1s) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 50s) == Set({ { "a" } }));
  control_reading written = Change({}, {});
  written.mDocument = routing_document();
  written.mDocument->mVersion = 4;
  CHECK(mHold.Apply(written, false, 4, kStart + 51s).empty());
}

// The backup may have been made between the configuration and the evacuation.
TEST(RestoredEvacuations, AForgottenOneStaysAWhileInAnyCase)
{
  mHold.Apply(Table(4, { { "a" } }), false, 4, kStart);
  CHECK(mHold.Apply(Table(4, {}), true, 4, kStart + 1s) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 5900ms) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 6s).empty());
  CHECK_FALSE(mHold.IsHeld());
}

TEST(RestoredEvacuations, TheHoldEndsIfTheConfigurationIsNeverWrittenAgain)
{
  mHold.Apply(Table(4, { { "a" } }), false, 4, kStart);
  mHold.Apply(Table(3, {}), true, 4, kStart);
  CHECK(mHold.Expire(4, kStart + 59s) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 60s).empty());
}

TEST(RestoredEvacuations, OneThatHadEndedDoesNotReturn)
{
  mHold.Apply(Table(4, { { "a" } }), false, 4, kStart);
  mHold.Apply(Change({}, { { "a" } }), false, 4, kStart + 1s);
  CHECK(mHold.Apply(Table(4, { { "a" } }), true, 4, kStart + 2s).empty());
  // One that was unknown is not one that had ended.
  mHold = evacuation_hold();
  mHold.Apply(Table(4, {}), false, 4, kStart);
  CHECK(mHold.Apply(Table(4, { { "b" } }), true, 4, kStart + 2s) ==
        Set({ { "b" } }));
}

TEST(RestoredEvacuations, RowsWrittenSinceTheRestoreApplyAtOnce)
{
  mHold.Apply(Table(4, { { "a" }, { "b" } }), false, 4, kStart);
  mHold.Apply(Table(3, { { "b" } }), true, 4, kStart + 1s);
  CHECK(mHold.Apply(Change({ { "c" } }, { { "a" } }), false, 4, kStart + 2s) ==
        Set({ { "b" }, { "c" } }));
  // Also if they are read as a snapshot.
  CHECK(mHold.Apply(Table(3, { { "c" } }), false, 4, kStart + 3s) ==
        Set({ { "c" } }));
}

TEST(RestoredEvacuations, TwoRestoresInARowForgetNothing)
{
  mHold.Apply(Table(4, { { "a" } }), false, 4, kStart);
  mHold.Apply(Table(4, {}), true, 4, kStart + 1s);
  CHECK(mHold.Apply(Table(4, {}), true, 4, kStart + 5s) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 9s) == Set({ { "a" } }));
  CHECK(mHold.Expire(4, kStart + 10s).empty());
}

TEST_GROUP(RestoredFleet)
{
  fleet_view mFleet{ { Member("self", 5) } };

  bool IsMember(const std::string& aName, instant)
  {
    std::vector<endpoint> targets = mFleet.Targets();
    endpoint peer = Member(aName, aName == "self" ? 5 : 7).mPeer;
    return std::find(targets.begin(), targets.end(), peer) != targets.end();
  }

  void Hear(const std::string& aName, bool aLeaving, instant aNow)
  {
    fleet_heartbeat heartbeat = HeartbeatOf(Member(aName, 7));
    heartbeat.mLeaving = aLeaving;
    mFleet.ReceiveHeartbeat(heartbeat, aNow);
  }
};

TEST(RestoredFleet, ALiveInstanceThatIsNotListedStays)
{
  mFleet.Replace({ Member("one", 7) });
  Hear("one", false, kStart);
  mFleet.ReplaceRestored({}, kStart + 1s);
  CHECK(IsMember("one", kStart + 1s));
  mFleet.Expire(kStart + 1s);
  CHECK(IsMember("one", kStart + 1s));
  // It dies without having written its row.
  mFleet.Expire(kStart + 10s);
  CHECK_FALSE(IsMember("one", kStart + 10s));
}

// The row of an instance that is gone must not stay for ever: its owner can't
// delete it.
TEST(RestoredFleet, TheRowOfAWithdrawnInstanceIsIgnoredAndDeleted)
{
  mFleet.Replace({ Member("one", 7) });
  mFleet.Remove({ "one" });
  mFleet.ReplaceRestored({ Member("one", 7) }, kStart + 1s);
  CHECK_FALSE(IsMember("one", kStart + 1s));
  CHECK(mFleet.RowsToDelete(kStart + 1s) ==
        std::vector<instance_id>{ { "one" } });
  // It stays out and is deleted again until a reading shows that it is gone.
  mFleet.Replace({ Member("one", 7) });
  mFleet.Expire(kStart + 1h);
  CHECK_FALSE(IsMember("one", kStart + 1h));
  LONGS_EQUAL(1, mFleet.RowsToDelete(kStart + 1h).size());
  mFleet.Remove({ "one" });
  CHECK(mFleet.RowsToDelete(kStart + 1h).empty());
  // A new process of that name is a member.
  mFleet.Put(Member("one", 7));
  CHECK(IsMember("one", kStart + 1h));
}

// It left in the time that the backup lacks, before its row was read as gone.
TEST(RestoredFleet, AnInstanceThatAnnouncedItsLeavingIsWithdrawn)
{
  mFleet.Replace({ Member("one", 7) });
  Hear("one", true, kStart);
  mFleet.ReplaceRestored({ Member("one", 7) }, kStart + 1s);
  CHECK(mFleet.RowsToDelete(kStart + 1s).empty()); // it may still be draining
  LONGS_EQUAL(1, mFleet.RowsToDelete(kStart + 3s).size());
  mFleet.ReplaceRestored({ Member("one", 7) }, kStart + 3s);
  CHECK_FALSE(IsMember("one", kStart + 3s));
  LONGS_EQUAL(1, mFleet.RowsToDelete(kStart + 3s).size());
}

TEST(RestoredFleet, OneInstanceOfTheRegionDeletesRows)
{
  mFleet.Replace({ Member("one", 7) });
  mFleet.Remove({ "one" });
  mFleet.ReplaceRestored({ Member("one", 7) }, kStart);
  fleet_member older = Member("older", 2);
  mFleet.ReceiveHeartbeat(HeartbeatOf(older), kStart);
  CHECK(mFleet.RowsToDelete(kStart).empty());
  // It has died.
  LONGS_EQUAL(1, mFleet.RowsToDelete(kStart + 5s).size());
}

TEST(RestoredFleet, AnEraIsPassedOnAndAnnouncedOnce)
{
  CHECK_FALSE(mFleet.TakeEraToAnnounce());
  mFleet.SetControlVersion({ 1, 100 });
  mFleet.NoteEra(1);
  CHECK(mFleet.TakeEraToAnnounce());
  CHECK(mFleet.Heartbeat().mControlVersion == store_version(1, 100));
  mFleet.NoteEra(2);
  CHECK(mFleet.TakeEraToAnnounce());
  CHECK_FALSE(mFleet.TakeEraToAnnounce());
  // Nothing has been read in it yet.
  CHECK(mFleet.Heartbeat().mControlVersion == store_version(2, 0));
  fleet_heartbeat heartbeat = HeartbeatOf(Member("one", 7));
  heartbeat.mControlVersion = { 3, 0 };
  mFleet.ReceiveHeartbeat(heartbeat, kStart);
  LONGS_EQUAL(3, mFleet.Era());
  CHECK_FALSE(mFleet.TakeEraToAnnounce()); // all peers have heard it
  CHECK(mFleet.PeersWithNewerControl(kStart).empty());
  // A peer of an earlier era changes nothing.
  heartbeat = HeartbeatOf(Member("two", 8));
  heartbeat.mControlVersion = { 2, 900 };
  mFleet.ReceiveHeartbeat(heartbeat, kStart);
  LONGS_EQUAL(3, mFleet.Era());
}

// A process that reads only the backup has an older configuration than its
// peers, at the same version of the store.
TEST(RestoredFleet, PeersWithANewerConfigurationAreFound)
{
  mFleet.NoteEra(2);
  mFleet.SetControlVersion({ 2, 40 });
  mFleet.SetDocumentVersion(3);
  fleet_heartbeat heartbeat = HeartbeatOf(Member("one", 7));
  heartbeat.mControlVersion = { 2, 40 };
  heartbeat.mDocumentVersion = 5;
  mFleet.ReceiveHeartbeat(heartbeat, kStart);
  LONGS_EQUAL(1, mFleet.PeersWithNewerControl(kStart).size());
  mFleet.SetDocumentVersion(5);
  CHECK(mFleet.PeersWithNewerControl(kStart).empty());
}

TEST_GROUP(EraCodec){};

TEST(EraCodec, AnEraIsEncodedOnlyIfItIsKnown)
{
  fleet_view fleet{ { Member("self", 5) } };
  fleet.SetControlVersion(100);
  fleet.SetDocumentVersion(6);
  std::string unknown =
    EncodeFleetHeartbeat(fleet.Heartbeat(), fleet_heartbeat_form::Compact);
  fleet.SetControlVersion({ 2, 100 });
  fleet.NoteEra(2);
  std::string known =
    EncodeFleetHeartbeat(fleet.Heartbeat(), fleet_heartbeat_form::Compact);
  // One byte for the tag and one for the value of each.
  LONGS_EQUAL(unknown.size() + 4, known.size());
  fleet_message message = DecodeFleetMessage(known);
  fleet_heartbeat* read = std::get_if<fleet_heartbeat>(&message);
  CHECK(read != nullptr);
  CHECK(read->mControlVersion == store_version(2, 100));
  LONGS_EQUAL(6, read->mDocumentVersion);
  upstream_update update;
  update.mAfter = { 1, 90 };
  update.mVersion = { 2, 40 };
  std::optional<upstream_update> decoded = DecodeUpdate(EncodeUpdate(update));
  CHECK(decoded && decoded->mVersion == update.mVersion);
  CHECK(decoded->mAfter == update.mAfter);
}

TEST(EraCodec, TheTargetOfAFollowerNamesTheEra)
{
  STRCMP_EQUAL("/v1/news?after=12", UpdateTarget(12).c_str());
  STRCMP_EQUAL("/v1/news?after=12&era=3", UpdateTarget({ 3, 12 }).c_str());
  CHECK(ReadUpdateTarget("/v1/news?after=12&era=3") ==
        std::optional<store_version>({ 3, 12 }));
  for (const char* broken : { "/v1/news?after=12&era=",
                              "/v1/news?after=&era=3",
                              "/v1/news?after=12&era=x" }) {
    CHECK_FALSE(ReadUpdateTarget(broken).has_value());
  }
}
