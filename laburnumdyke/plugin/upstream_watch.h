// Keeps the upstreams that have registered themselves in force: by readings of
// the platform, or by the news of the instance that reads for its failure
// domain.
//
// The source reads; watch_state, the directory and the news' log decide what a
// reading means, follower_timing when to read: upstreams write all the time, so
// that a reading that waited for changes would return at once. An instance
// that gets no news in time reads the platform itself.
//
// Usage, all on one strand:
//   upstream_watch<my_source> upstreams(kernel, source, strand);
//   asio::co_spawn(strand, upstreams.Watch(), asio::detached);
//   std::optional<upstream_news> news = co_await upstreams.NewsSince(version);
#pragma once

#include "laburnumdyke/decision/follower_timing.h"
#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/decision/upstream_news.h"
#include "laburnumdyke/decision/watch_state.h"
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/jitter.h"
#include "laburnumdyke/plugin/news_codec.h"
#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumdyke {

// Logs that a kind of reading has lost the platform, or has it back.
inline void
LogTurn(kernel& aKernel, watch_state& aState, std::string_view aReading)
{
  std::optional<bool> turned = aState.TakeOutageChange();
  if (turned) {
    aKernel.Log().Warn(*turned ? "platform_lost" : "platform_back",
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
    , mWake(aStrand, instant::max())
    , mJitter(aKernel.Settings().mIncarnation)
    , mPace(aKernel.Settings().mBounds.mDrainTimeout)
  {
  }

  asio::awaitable<void> Watch()
  {
    while (true) {
      bool followed = co_await Follow();
      if (followed && !mState.IsLost()) {
        continue;
      }
      // A reader that has no news yet is asked again as long as what is known
      // is fresh. A platform that was lost is looked for in any case.
      bool isFresh = mReader && !mState.IsLost() && mPace.MayRetryReader(Now());
      std::chrono::milliseconds pause = kRetryAfter;
      if (!isFresh) {
        bool answered = co_await ReadPlatform();
        pause = answered && !mReader ? mPace.ReadInterval() : kRetryAfter;
      }
      co_await SleepFor(mJitter(pause));
    }
  }

  // What follows aVersion, or the whole: at once where something does,
  // otherwise as of the next reading; nothing where it is not to be had here.
  asio::awaitable<std::optional<upstream_news>> NewsSince(
    std::uint64_t aVersion)
  {
    if (mLog.Version() && *mLog.Version() <= aVersion) {
      error_code woken;
      co_await mWake.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
    }
    bool isBehind = mLog.Version() && !mLog.ReachesBackTo(aVersion);
    std::optional<upstream_news> news =
      isBehind ? std::optional<upstream_news>(Whole()) : mLog.Since(aVersion);
    if (news) {
      news->mAge = mPace.Age(Now());
    }
    co_return news;
  }

  // Whether a peer reads upstreams for this instance.
  bool IsFollower() const { return mReader.has_value(); }

  // Drops upstreams that are gone for certain, and tells peers whether this
  // instance knows them all.
  void Settle(instant aNow)
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
    Log(changes);
    mSettled = settled && mState.After().has_value();
    mTables.Fleet().With(
      [&](fleet_state& aFleet) { aFleet.SetSettled(mSettled); });
  }

private:
  static constexpr std::chrono::milliseconds kRetryAfter{ 300 };

  static instant Now() { return std::chrono::steady_clock::now(); }

  upstream_news Whole()
  {
    upstream_news whole;
    whole.mVersion = *mLog.Version();
    whole.mIsSnapshot = true;
    whole.mEntries = mTables.Steering().With([](steering_state& aSteering) {
      return aSteering.Directory().Entries();
    });
    return whole;
  }

  // Whether the reader of the failure domain told what is new.
  asio::awaitable<bool> Follow()
  {
    std::optional<fleet_member> reader = mTables.Fleet().With(
      [](fleet_state& aFleet) { return aFleet.Reader(Now()); });
    // The first reading is one of our own, unless the platform is lost.
    bool follows = reader && (mState.After() || mState.IsLost());
    Note(follows ? std::move(reader) : std::nullopt);
    if (!mReader) {
      co_return false;
    }
    Forget(); // others are told by the reader
    client_request request;
    request.mTo = mReader->mRelay;
    request.mTarget = NewsTarget(mState.Version());
    request.mTimeout = mPace.NewsTimeout(Now());
    std::optional<client_answer> answer = co_await Exchange(std::move(request));
    std::optional<upstream_news> news;
    if (answer && answer->mStatus == 200) {
      news = DecodeNews(answer->mBody);
    }
    mKernel.Counters().Add("upstream_news_total", news ? "taken" : "none");
    co_return news&& TakeNews(std::move(*news));
  }

  bool TakeNews(upstream_news aNews)
  {
    upstream_reading reading;
    reading.mHead = { reading_status::Read, aNews.mIsSnapshot, aNews.mVersion };
    reading.mEntries = std::move(aNews.mEntries);
    reading.mRemovedIds = std::move(aNews.mRemovedIds);
    std::uint64_t known = mState.Version();
    bool continues = mState.After() && aNews.mAfter <= known;
    if (!(aNews.mIsSnapshot || continues) || aNews.mVersion < known) {
      return false;
    }
    instant now = Now();
    mPace.KnownAsOf(now - aNews.mAge);
    if (mState.TakeFromPeer(reading.mHead)) {
      Take(reading, now);
    }
    return true;
  }

  asio::awaitable<bool> ReadPlatform()
  {
    instant asked = Now();
    std::optional<std::uint64_t> after = mState.After();
    upstream_reading reading =
      co_await mSource.ReadUpstreams(after, std::chrono::milliseconds(0));
    instant now = Now();
    bool answered = mState.Take(reading.mHead);
    LogTurn(mKernel, mState, "upstreams");
    NotePlatform(now);
    std::vector<upstream_change> changes;
    if (answered) {
      mPace.KnownAsOf(asked);
      changes = Take(reading, now);
    }
    if (answered && after && mSettled) {
      mLog.Add(ToNews(*after, reading.mHead.mVersion, changes));
      mWake.cancel();
    } else {
      Forget();
    }
    co_return answered;
  }

  // There are no news to be had here: who waits for them reads for itself.
  void Forget()
  {
    mLog.Clear();
    mWake.cancel();
  }

  std::vector<upstream_change> Take(upstream_reading& aReading, instant aNow)
  {
    std::vector<upstream_change> changes;
    mTables.Steering().With([&](steering_state& aSteering) {
      upstream_directory& directory = aSteering.Directory();
      changes = aReading.mHead.mIsSnapshot
                  ? directory.Replace(std::move(aReading.mEntries), aNow)
                  : TakeChanges(directory, aReading, aNow);
      aSteering.Apply(changes, aNow);
    });
    Log(changes);
    return changes;
  }

  static std::vector<upstream_change> TakeChanges(
    upstream_directory& aDirectory,
    upstream_reading& aReading,
    instant aNow)
  {
    std::vector<upstream_change> changes;
    for (upstream_entry& entry : aReading.mEntries) {
      for (upstream_change& one : aDirectory.Put(std::move(entry), aNow)) {
        changes.push_back(std::move(one));
      }
    }
    for (const upstream_id& gone : aReading.mRemovedIds) {
      for (upstream_change& one : aDirectory.Remove(gone, aNow)) {
        changes.push_back(std::move(one));
      }
    }
    return changes;
  }

  void Log(const std::vector<upstream_change>& aChanges)
  {
    for (const upstream_change& change : aChanges) {
      const upstream_entry& entry = change.mEntry;
      bool isNews =
        change.mKind != upstream_change_kind::Renewed &&
        (change.mKind != upstream_change_kind::Updated || entry.mDraining);
      if (!isNews) {
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

  // From whom upstreams are read from now on.
  void Note(std::optional<fleet_member> aReader)
  {
    if (aReader != mReader) {
      mKernel.Log().Info(
        "upstreams_read_from",
        { { "source", aReader ? aReader->mInstance.mValue : "platform" } });
    }
    mReader = std::move(aReader);
  }

  void NotePlatform(instant aNow)
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
  asio::steady_timer mWake; // never expires; cancelled where there is news
  jitter mJitter;
  follower_timing mPace;
  watch_state mState;
  news_log mLog;
  bool mSettled = false;
  std::optional<fleet_member> mReader; // nothing: the platform itself
};

} // namespace laburnumdyke
