// Reads the registered instances of the fleet from the platform, and keeps this
// instance's own row there.
//
// The list is read at an interval, not by long poll: each change would wake
// every instance, and new instances are already known by their heartbeats.
// After a restore of the store (ReadSoon) the whole list is read again at a
// random time, and the own row is written again if it is not listed; see
// docs/design/store-era.md.
//
// Usage, all on one strand:
//   instance_rows<my_source> rows(kernel, source, strand, era);
//   asio::co_spawn(strand, rows.Watch(), asio::detached);
//   co_await rows.Withdraw(); // when this instance leaves
//
// Errors: a reading or a registration that fails is made again at the next
// interval.
#pragma once

#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/jitter.h"
#include "laburnumdyke/plugin/platform_source.h"
#include "laburnumdyke/plugin/steering_tables.h"
#include "laburnumdyke/plugin/store_era.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace laburnumdyke {

template<platform_source Source>
class instance_rows
{
public:
  using strand = asio::strand<asio::io_context::executor_type>;

  instance_rows(kernel& aKernel,
                Source& aSource,
                const strand& aStrand,
                store_era& aEra)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mSource(aSource)
    , mStrand(aStrand)
    , mEra(aEra)
    , mJitter(aKernel.Settings().mIncarnation)
    , mTimer(aStrand)
  {
  }

  // Reads the list at intervals and registers after the first reading; never
  // completes.
  asio::awaitable<void> Watch()
  {
    fleet_member self =
      mTables.Fleet().With([](fleet_state& aFleet) { return aFleet.Self(); });
    bool registered = false;
    int readingCount = 0; // since this instance registered
    while (true) {
      std::optional<store_version> after = mState.After();
      fleet_reading reading =
        co_await mSource.ReadFleet(after, std::chrono::milliseconds(0));
      mEra.LearnFromStore(mSource.Era());
      bool isRestored = mState.AwaitsEra();
      if (mState.Take(reading.mHead)) {
        readingCount += registered ? 1 : 0;
        Apply(reading, registered, isRestored);
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
      bool isPending = mState.AwaitsEra() || (!registered && !mLeaving);
      bool isSoon = !isSettled || (mEra.IsKnown() && isPending);
      mReadAt = Now() + mJitter(isSoon ? kFirstInterval : kInterval);
      while (Now() < mReadAt) {
        mTimer.expires_at(mReadAt);
        error_code cancelled;
        co_await mTimer.async_wait(
          asio::redirect_error(asio::use_awaitable, cancelled));
      }
    }
  }

  // Records the era; see watch_state::LearnEra(). Returns whether that is a
  // restore after which the list must be read again.
  bool LearnEra(std::uint64_t aEra) { return mState.LearnEra(aEra); }

  // Advances the next reading to a random time within kRestoreSpread; for use
  // after a restore. An instance that leaves withdraws again.
  void ReadSoon()
  {
    std::chrono::milliseconds delay(
      mJitter.Pick(static_cast<std::size_t>(kRestoreSpread.count())));
    mReadAt = std::min(mReadAt, Now() + delay);
    mTimer.cancel();
    if (mLeaving) { // the backup may list this instance
      asio::co_spawn(mStrand, Withdraw(), asio::detached);
    }
  }

  // Deletes the own row and stops registering. A failure is logged, not retried
  // (except by ReadSoon()).
  asio::awaitable<void> Withdraw()
  {
    mLeaving = true;
    instance_id self = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Self().mInstance; });
    bool withdrawn = co_await mSource.Withdraw(self);
    mKernel.Log().Info("withdrawn",
                       { { "done", withdrawn ? "yes" : "unknown" } });
  }

private:
  static constexpr std::chrono::milliseconds kFirstInterval{ 1000 };
  static constexpr std::chrono::milliseconds kInterval{ 20000 };
  // After a restore of the store: the time over which instances spread their
  // calls about instance rows.
  static constexpr std::chrono::milliseconds kRestoreSpread{ 5000 };

  static instant Now() { return std::chrono::steady_clock::now(); }

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
    return mEra.IsKnown() && ((aIsRestored && !isListed) || isRemoved);
  }

  // Deletes rows of withdrawn instances that a restored store lists.
  asio::awaitable<void> DeleteWithdrawnRows()
  {
    std::vector<instance_id> rows = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.RowsToDelete(Now()); });
    for (const instance_id& instance : rows) {
      bool deleted = co_await mSource.Withdraw(instance);
      mEra.LearnFromStore(mSource.Era());
      mKernel.Log().Info(
        "withdrawn_row_deleted",
        { { "of", instance.mValue }, { "done", deleted ? "yes" : "unknown" } });
    }
  }

  void Apply(const fleet_reading& aReading, bool aRegistered, bool aIsRestored)
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
  Source& mSource;
  strand mStrand;
  store_era& mEra;
  jitter mJitter;
  asio::steady_timer mTimer; // until the next reading
  watch_state mState;
  instant mReadAt{};
  bool mLeaving = false;
};

} // namespace laburnumdyke
