// Keeps the directory of registered upstreams up to date: by reading the
// platform, or by updates from the instance that reads the platform for this
// failure domain (the reader).
//
// The source makes the readings. watch_state, upstream_directory and the log of
// updates decide what a reading changes; follower_timing decides when to read.
// Readings do not wait for a change (no long poll): upstreams write all the
// time, so such a reading would return at once. An instance that receives no
// update in time reads the platform itself.
//
// After a restore of the store (LearnEra) a snapshot is read at once; see
// upstream_directory for what it changes.
//
// Usage, all on one strand:
//   upstream_watch<my_source> upstreams(kernel, source, strand);
//   asio::co_spawn(strand, upstreams.Watch(), asio::detached);
//   std::optional<upstream_update> update =
//     co_await upstreams.UpdateSince(version);
#pragma once

#include "laburnumdyke/decision/follower_timing.h"
#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/decision/upstream_update.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/jitter.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/update_codec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

// Logs that one kind of reading has lost the platform or recovered it.
inline void
LogOutageChange(kernel& aKernel, watch_state& aState, std::string_view aReading)
{
  std::optional<bool> isLost = aState.TakeOutageChange();
  if (isLost) {
    aKernel.Log().Warn(*isLost ? "platform_lost" : "platform_back",
                       { { "reading", std::string(aReading) } });
  }
}

template<class Source>
class upstream_watch
{
public:
  using strand = asio::strand<asio::io_context::executor_type>;

  upstream_watch(kernel& aKernel, Source& aSource, const strand& aStrand)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mSource(aSource)
    , mUpdateTimer(aStrand, instant::max())
    , mPauseTimer(aStrand)
    , mJitter(aKernel.Settings().mIncarnation)
    , mTiming(aKernel.Settings().mBounds.mDrainTimeout)
  {
  }

  asio::awaitable<void> Watch()
  {
    while (true) {
      bool isUpdated = co_await FollowReader();
      if (isUpdated && !mState.IsLost()) {
        continue;
      }
      // While the known state is fresh, a reader that had no update is
      // asked again. A lost platform is read in any case, to notice its
      // recovery.
      bool isFresh =
        mReader && !mState.IsLost() && mTiming.MayRetryReader(Now());
      std::chrono::milliseconds pause = kRetryAfter;
      if (!isFresh) {
        bool accepted = co_await ReadPlatform();
        pause = !accepted  ? mState.RetryPause()
                : !mReader ? mTiming.ReadPause(Now())
                           : kRetryAfter;
      }
      mPauseTimer.expires_after(mJitter(pause));
      error_code cancelled;
      co_await mPauseTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
    }
  }

  // Records the era of the store, as reported by an answer or by a peer. After
  // a restore, what is known is kept until a snapshot of the era is read.
  void LearnEra(std::uint64_t aEra)
  {
    if (!mState.LearnEra(aEra)) {
      return;
    }
    mTables.Steering().With([](steering_state& aSteering) {
      aSteering.Directory().OnStoreRestored();
    });
    ClearUpdates();
    mPauseTimer.cancel();
  }

  // Returns the changes after aVersion, or a snapshot: at once if there are
  // changes, otherwise after the next reading. Returns nullopt if the log of
  // updates is empty (this instance follows a reader, has lost the platform or
  // does not know all upstreams yet) or ends before aVersion.
  asio::awaitable<std::optional<upstream_update>> UpdateSince(
    store_version aVersion)
  {
    if (mUpdates.Version() && *mUpdates.Version() <= aVersion) {
      error_code cancelled;
      co_await mUpdateTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
    }
    // A follower that knows of a later era needs none of an earlier one.
    bool isBehind =
      mUpdates.Version() && mUpdates.Version()->mEra < aVersion.mEra;
    bool needsSnapshot =
      !isBehind && mUpdates.Version() && !mUpdates.ReachesBackTo(aVersion);
    std::optional<upstream_update> update =
      needsSnapshot ? std::optional<upstream_update>(Snapshot())
                    : mUpdates.Since(aVersion);
    if (update) {
      update->mAge = mTiming.Age(Now());
    }
    co_return update;
  }

  // Whether a peer reads the upstreams for this instance.
  bool IsFollower() const { return mReader.has_value(); }

  // Removes upstreams that have certainly left, and publishes to peers whether
  // this instance knows all upstreams.
  void UpdateSettled(instant aNow)
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
    DiscardConnections(changes);
    Log(changes);
    mSettled = settled && mState.After().has_value();
    mTables.Fleet().With(
      [&](fleet_state& aFleet) { aFleet.SetSettled(mSettled); });
  }

private:
  static constexpr std::chrono::milliseconds kRetryAfter{ 300 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  // Whether this instance has read upstreams only from a store that may have
  // been restored before it started. A reader that has been running for longer
  // knows which of them have left.
  bool WantsPeerSnapshot() const
  {
    return !mHasPeerSnapshot && mState.Version().mEra != 0;
  }

  upstream_update Snapshot()
  {
    upstream_update snapshot;
    snapshot.mVersion = *mUpdates.Version();
    snapshot.mIsSnapshot = true;
    snapshot.mEntries = mTables.Steering().With([](steering_state& aSteering) {
      return aSteering.Directory().Entries();
    });
    return snapshot;
  }

  // Requests an update from the reader of the failure domain. Returns whether
  // it was received and accepted.
  asio::awaitable<bool> FollowReader()
  {
    std::optional<fleet_member> reader = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Reader(Now()); });
    // The first reading is made by this instance unless the platform is lost or
    // has been restored.
    bool canFollow =
      reader && (mState.After() || mState.IsLost() || mState.AwaitsEra());
    SetReader(canFollow ? std::move(reader) : std::nullopt);
    if (!mReader) {
      co_return false;
    }
    ClearUpdates(); // followers ask the reader, not this instance
    client_request request;
    request.mTo = mReader->mRelay;
    // A reader always answers the first version with a snapshot.
    request.mTarget =
      UpdateTarget(WantsPeerSnapshot() ? store_version() : mState.Version());
    instant requestedAt = Now();
    request.mTimeout = mTiming.UpdateTimeout(requestedAt);
    std::optional<client_answer> answer = co_await Exchange(std::move(request));
    std::optional<upstream_update> update;
    if (answer && answer->mStatus == 200) {
      update = DecodeUpdate(answer->mBody);
    }
    mKernel.Counters().Add("upstream_news_total", update ? "taken" : "none");
    co_return update&& ApplyUpdate(std::move(*update), requestedAt);
  }

  bool ApplyUpdate(upstream_update aUpdate, instant aRequestedAt)
  {
    NoteEra(aUpdate.mVersion.mEra);
    store_version knownVersion = mState.Version();
    bool continues = mState.After() && aUpdate.mAfter <= knownVersion &&
                     aUpdate.mAfter.mEra == knownVersion.mEra;
    if (!(aUpdate.mIsSnapshot || continues) ||
        aUpdate.mVersion < knownVersion) {
      return false;
    }
    bool isNext = continues && aUpdate.mAfter == knownVersion;
    instant writtenAfter = isNext ? mAskedAt : instant::min();
    instant now = Now();
    upstream_reading reading;
    reading.mHead.mStatus = reading_status::Read;
    reading.mHead.mIsSnapshot = aUpdate.mIsSnapshot;
    reading.mHead.mVersion = aUpdate.mVersion;
    store_version version = aUpdate.mVersion;
    std::chrono::milliseconds age = aUpdate.mAge;
    reading.mRows = ToRows(std::move(aUpdate));
    bool isRestored = mState.AwaitsEra();
    bool taken = mState.TakeFromPeer(reading.mHead);
    // Not taken: an update of an earlier era is of no use, one without changes
    // is.
    if (!taken && mState.AwaitsEra()) {
      return false;
    }
    mTiming.KnownAsOf(now - age);
    bool isWanted = WantsPeerSnapshot() && reading.mHead.mIsSnapshot &&
                    reading.mHead.mVersion == knownVersion;
    mHasPeerSnapshot = mHasPeerSnapshot || reading.mHead.mIsSnapshot;
    if (taken || isWanted) {
      ApplyReading(std::move(reading), isRestored, writtenAfter, now);
    }
    if (mState.Version() == version) {
      // The reader answered after the request, with what it had asked the
      // platform for that long before its answer.
      mAskedAt = std::max(mAskedAt, aRequestedAt - age);
    }
    return true;
  }

  asio::awaitable<bool> ReadPlatform()
  {
    instant requestedAt = Now();
    std::optional<store_version> after = mState.After();
    upstream_reading reading =
      co_await mSource.ReadUpstreams(after, std::chrono::milliseconds(0));
    instant now = Now();
    reading_head head = reading.mHead;
    NoteEra(mSource.Era());
    bool isRestored = mState.AwaitsEra();
    bool accepted = mState.Take(head);
    LogOutageChange(mKernel, mState, "upstreams");
    UpdatePlatformState(now);
    std::vector<upstream_change> changes;
    std::vector<upstream_id> gone = RemovedIds(reading.mRows);
    if (accepted) {
      mTiming.KnownAsOf(requestedAt);
      instant writtenAfter = head.mIsSnapshot ? instant::min() : mAskedAt;
      changes = ApplyReading(std::move(reading), isRestored, writtenAfter, now);
      mAskedAt = requestedAt;
    }
    if (accepted && after && mSettled) {
      KeepUnknown(gone);
      std::set<upstream_id> suspected =
        mTables.Steering().With([&](steering_state& aSteering) {
          return aSteering.RecentlySuspected(now);
        });
      mUpdates.Add(
        ToUpdate(*after, mState.Version(), changes, gone, suspected));
      mUpdateTimer.cancel();
    } else {
      ClearUpdates();
    }
    co_return accepted;
  }

  // Drops the upstreams that the directory still knows.
  void KeepUnknown(std::vector<upstream_id>& aIds)
  {
    mTables.Steering().With([&](steering_state& aSteering) {
      std::erase_if(aIds, [&](const upstream_id& aId) {
        return aSteering.Directory().Knows(aId);
      });
    });
  }

  // Records an era and passes it on to platform_watch and to peers.
  void NoteEra(std::uint64_t aEra)
  {
    mTables.Fleet().With([&](fleet_state& aFleet) { aFleet.NoteEra(aEra); });
    LearnEra(aEra);
  }

  // Drops the log of updates and wakes waiting followers, which then read the
  // platform themselves.
  void ClearUpdates()
  {
    mUpdates.Clear();
    mUpdateTimer.cancel();
  }

  // aIsRestored: this is the first reading since a restore of the store.
  // aWrittenAfter: as for upstream_steering::Apply().
  std::vector<upstream_change> ApplyReading(upstream_reading aReading,
                                            bool aIsRestored,
                                            instant aWrittenAfter,
                                            instant aNow)
  {
    std::vector<upstream_change> changes;
    mTables.Steering().With([&](steering_state& aSteering) {
      upstream_directory& directory = aSteering.Directory();
      if (aIsRestored) {
        changes =
          directory.ReplaceRestored(EntriesOf(std::move(aReading)), aNow);
      } else if (aReading.mHead.mIsSnapshot) {
        changes = directory.Replace(EntriesOf(std::move(aReading)), aNow);
      } else {
        changes = directory.ApplyRows(std::move(aReading.mRows), aNow);
      }
      aSteering.Apply(changes, aNow, aWrittenAfter);
    });
    DiscardConnections(changes);
    Log(changes);
    return changes;
  }

  // Of upstreams that have ended or started again.
  void DiscardConnections(const std::vector<upstream_change>& aChanges)
  {
    mTables.Pool().With([&](connection_pool& aPool) {
      for (const upstream_change& change : aChanges) {
        if (change.mKind == upstream_change_kind::Restarted ||
            change.mKind == upstream_change_kind::Left) {
          aPool.Discard(change.mEntry.mAddress);
        }
      }
    });
  }

  static std::vector<upstream_entry> EntriesOf(upstream_reading aReading)
  {
    std::vector<upstream_entry> entries;
    for (upstream_row& row : aReading.mRows) {
      if (row.mEntry) {
        entries.push_back(std::move(*row.mEntry));
      }
    }
    return entries;
  }

  void Log(const std::vector<upstream_change>& aChanges)
  {
    for (const upstream_change& change : aChanges) {
      const upstream_entry& entry = change.mEntry;
      bool isLogged =
        change.mKind != upstream_change_kind::Renewed &&
        (change.mKind != upstream_change_kind::Updated || entry.mDraining);
      if (!isLogged) {
        continue;
      }
      mKernel.Log().Info(
        "upstream_changed",
        { { "upstream", entry.mId.mValue },
          { "change", std::string(ToString(change.mKind)) },
          { "service", entry.mService.mValue },
          { "failure_domain", entry.mDomain.mValue },
          { "draining", entry.mDraining ? "yes" : "no" },
          { "cold_left_ms", std::to_string(entry.mColdLeft.count()) } });
    }
  }

  // Sets the reader; nullopt: the platform is read directly.
  void SetReader(std::optional<fleet_member> aReader)
  {
    if (aReader != mReader) {
      mKernel.Log().Info(
        "upstreams_read_from",
        { { "source", aReader ? aReader->mInstance.mValue : "platform" } });
    }
    mReader = std::move(aReader);
  }

  void UpdatePlatformState(instant aNow)
  {
    mTables.Steering().With([&](steering_state& aSteering) {
      if (mState.IsLost()) {
        aSteering.Directory().OnPlatformLost(aNow);
      } else {
        aSteering.Directory().OnPlatformRecovered(aNow);
      }
    });
  }

  kernel& mKernel;
  steering_tables mTables;
  Source& mSource;
  // Never expires; cancelled to wake waiting followers.
  asio::steady_timer mUpdateTimer;
  asio::steady_timer mPauseTimer; // until the next reading
  jitter mJitter;
  follower_timing mTiming;
  watch_state mState;
  update_log mUpdates;
  bool mSettled = false;
  // When the platform was asked for the reading of mState.Version(), at the
  // earliest. Rows of later versions were written after this.
  instant mAskedAt = instant::min();
  bool mHasPeerSnapshot = false;       // since this instance started
  std::optional<fleet_member> mReader; // nullopt: the platform is read directly
};

} // namespace laburnumdyke
