// Keeps the document in force up to date, and announces this instance to the
// platform.
//
// Every period, with jitter, the row in the platform's table is read; when it
// names a newer version, the objects that differ from the version in force are
// fetched and read, and the version is put in force. When a live peer's
// heartbeat names a version newer still, the objects are fetched from that
// peer: an instance that has lost the platform learns from those that have not.
// An object counts only where its hash is the one that was named.
#include "laburnumdyke/decision/config_row.h"
#include "laburnumdyke/decision/document_version.h"
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/platform_client.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <random>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 1000 };
constexpr std::chrono::milliseconds kAnnounceEvery{ 5000 };
// Three heartbeat periods: every live peer that knows this address, or is a
// seed, has been heard by then.
constexpr std::chrono::milliseconds kListenFirst = 3 * membership::kPeriod;

// A version and where its objects can be had.
struct version_offer
{
  std::uint64_t mVersion = 0;
  std::string mContentHash;
  endpoint mFrom;
};

class config_watch
{
public:
  static constexpr std::string_view kName = "config_watch";
  static constexpr plugin_stage kStage = plugin_stage::Platform;

  explicit config_watch(kernel& aKernel)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mStrand(asio::make_strand(aKernel.Context()))
    , mRandom(aKernel.Settings().mIncarnation)
  {
  }

  std::optional<std::string> Start(instant)
  {
    asio::co_spawn(mStrand, Watch(), asio::detached);
    asio::co_spawn(mStrand, Announce(), asio::detached);
    return std::nullopt;
  }

  void Leave(instant)
  {
    asio::co_spawn(mStrand, AnnounceOnce("leaving"), asio::detached);
  }

  std::string Waiting(instant) { return {}; }
  void Stop() {}

private:
  asio::awaitable<void> Pause(std::chrono::milliseconds aPeriod)
  {
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    co_await SleepFor(std::chrono::duration_cast<std::chrono::milliseconds>(
      aPeriod * jitter(mRandom)));
  }

  asio::awaitable<void> Watch()
  {
    // Until this instance has heard its peers, a platform that lags may be all
    // it knows of, and what it puts in force first may be old.
    co_await SleepFor(kListenFirst);
    while (true) {
      std::optional<version_offer> offer = co_await AskPlatform();
      std::optional<version_offer> other = BestPeerOffer();
      bool peerIsNewer = other && (!offer || other->mVersion > offer->mVersion);
      if (peerIsNewer) {
        offer = other;
      }
      if (offer) {
        co_await Take(*offer);
      }
      co_await Pause(kPeriod);
    }
  }

  asio::awaitable<std::optional<version_offer>> AskPlatform()
  {
    platform_client<asio_http> platform = ClientOf(Platform());
    row_answer answer = co_await platform.ReadRow();
    if (answer.mStatus == row_status::NoAnswer) {
      mKernel.Counters().Add("platform_unavailable_total");
    }
    std::optional<config_row> row = DecodeConfigRow(answer.mReading.mValue);
    if (answer.mStatus != row_status::Read || !row) {
      co_return std::nullopt;
    }
    co_return version_offer{ row->mVersion, row->mContentHash, Platform() };
  }

  const endpoint& Platform() const { return mKernel.Settings().mPlatform; }

  platform_client<asio_http> ClientOf(const endpoint& aAddress)
  {
    return platform_client<asio_http>(mHttp, aAddress);
  }

  std::optional<version_offer> BestPeerOffer()
  {
    std::optional<version_offer> best;
    std::uint64_t newest = mTables.Version();
    for (const peer& one :
         mTables.LivePeers(std::chrono::steady_clock::now())) {
      if (one.mLast.mVersion > newest) {
        newest = one.mLast.mVersion;
        best = version_offer{ one.mLast.mVersion,
                              one.mLast.mContentHash,
                              one.mLast.mSender.mRelay };
      }
    }
    return best;
  }

  // False where an object could not be had.
  asio::awaitable<bool> Fetch(const version_offer& aOffer,
                              document_assembly& aAssembly,
                              const document_version& aPrevious)
  {
    platform_client<asio_http> source = ClientOf(aOffer.mFrom);
    bool whole = co_await source.GetObjects(
      aOffer.mContentHash, aAssembly, aPrevious.mObjects);
    mKernel.Counters().Add("document_bytes_total", {}, source.ObjectBytes());
    co_return whole;
  }

  asio::awaitable<void> Take(version_offer aOffer)
  {
    if (aOffer.mVersion <= mTables.Version()) {
      co_return;
    }
    document_version previous = InForce();
    document_assembly assembly(aOffer.mContentHash);
    bool fetched = co_await Fetch(aOffer, assembly, previous);
    if (!fetched) {
      mKernel.Counters().Add("document_fetch_failed_total");
      co_return;
    }
    version_result read = ReadVersion(assembly, previous);
    if (!read.mResult.mDocument) {
      mKernel.Counters().Add("document_refused_total");
      mKernel.Log().Warn("document_refused",
                         { { "version", std::to_string(aOffer.mVersion) } });
      co_return;
    }
    mReadByChunk = read.mIncremental ? aOffer.mContentHash : std::string();
    if (!read.mIncremental) {
      mKernel.Counters().Add("document_read_whole_total");
    }
    PutInForce(aOffer, assembly.Objects(), std::move(*read.mResult.mDocument));
  }

  document_version InForce()
  {
    return mTables.DocumentState().With([this](document_state& aState) {
      return document_version{ aState.ContentHash(),
                               aState.Objects(),
                               aState.Document(),
                               aState.ContentHash() == mReadByChunk };
    });
  }

  void PutInForce(const version_offer& aOffer,
                  const object_map& aObjects,
                  document aDocument)
  {
    bool accepted = mTables.DocumentState().With([&](document_state& aState) {
      return aState.Accept(
        aOffer.mVersion,
        aOffer.mContentHash,
        aObjects,
        std::make_shared<const document>(std::move(aDocument)));
    });
    if (accepted) {
      mTables.RefreshHomes(std::chrono::steady_clock::now());
      mKernel.Log().Info("document_in_force",
                         { { "version", std::to_string(aOffer.mVersion) },
                           { "hash", aOffer.mContentHash },
                           { "from", aOffer.mFrom.Text() } });
    }
  }

  asio::awaitable<void> Announce()
  {
    while (true) {
      co_await AnnounceOnce(mTables.Self().mLeaving ? "leaving" : "live");
      co_await Pause(kAnnounceEvery);
    }
  }

  asio::awaitable<void> AnnounceOnce(std::string aState)
  {
    platform_client<asio_http> platform = ClientOf(Platform());
    co_await platform.PutInstance(mKernel.Settings().mInstance,
                                  mKernel.Settings().mPeer,
                                  std::move(aState));
  }

  kernel& mKernel;
  entry_tables mTables;
  asio_http mHttp;
  std::string mReadByChunk; // hash of the version last read so
  asio::strand<asio::io_context::executor_type> mStrand;
  std::mt19937_64 mRandom;
};

const registered<config_watch> kRegistered;

} // namespace

} // namespace laburnumdyke
