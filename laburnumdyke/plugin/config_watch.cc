// Keeps the configuration document in force up to date, and announces this
// instance to the platform.
//
// Once per period, with jitter, the row in the platform's table is read. If it
// names a newer version, the objects that differ from the version in force are
// fetched and parsed, and the version is put in force. If a live peer's
// heartbeat names a still newer version, the objects are fetched from that peer
// instead, so that an instance that has lost the platform gets the document
// from instances that have not. An object with a wrong hash is rejected.
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
constexpr std::chrono::milliseconds kAnnounceInterval{ 5000 };
// Three heartbeat periods: by then a heartbeat has arrived from every live peer
// that knows this address or is a seed.
constexpr std::chrono::milliseconds kInitialListenTime =
  3 * membership::kPeriod;

// A version of the document, and the address that serves its objects.
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

  std::string PendingWork(instant) { return {}; }
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
    // The platform may lag. If this instance read it before hearing from its
    // peers, the first version that it puts in force could be stale.
    co_await SleepFor(kInitialListenTime);
    while (true) {
      std::optional<version_offer> offer = co_await ReadPlatformOffer();
      std::optional<version_offer> peerOffer = NewestPeerOffer();
      bool peerIsNewer =
        peerOffer && (!offer || peerOffer->mVersion > offer->mVersion);
      if (peerIsNewer) {
        offer = peerOffer;
      }
      if (offer) {
        co_await Update(*offer);
      }
      co_await Pause(kPeriod);
    }
  }

  asio::awaitable<std::optional<version_offer>> ReadPlatformOffer()
  {
    platform_client<asio_http> platform = ClientFor(Platform());
    row_answer answer = co_await platform.ReadRow();
    if (answer.mStatus == row_status::NoAnswer) {
      mKernel.Counters().Add("platform_unavailable_total");
    }
    std::optional<config_row> row = DecodeConfigRow(answer.mSnapshot.mValue);
    if (answer.mStatus != row_status::Read || !row) {
      co_return std::nullopt;
    }
    co_return version_offer{ row->mVersion, row->mContentHash, Platform() };
  }

  const endpoint& Platform() const { return mKernel.Settings().mPlatform; }

  platform_client<asio_http> ClientFor(const endpoint& aAddress)
  {
    return platform_client<asio_http>(mHttp, aAddress);
  }

  std::optional<version_offer> NewestPeerOffer()
  {
    std::optional<version_offer> newestOffer;
    std::uint64_t newest = mTables.Version();
    for (const peer& livePeer :
         mTables.LivePeers(std::chrono::steady_clock::now())) {
      if (livePeer.mLast.mVersion > newest) {
        newest = livePeer.mLast.mVersion;
        newestOffer = version_offer{ livePeer.mLast.mVersion,
                                     livePeer.mLast.mContentHash,
                                     livePeer.mLast.mSender.mRelay };
      }
    }
    return newestOffer;
  }

  // Returns false if an object could not be fetched.
  asio::awaitable<bool> Fetch(const version_offer& aOffer,
                              document_assembly& aAssembly,
                              const document_version& aPrevious)
  {
    platform_client<asio_http> source = ClientFor(aOffer.mFrom);
    bool complete = co_await source.GetObjects(
      aOffer.mContentHash, aAssembly, aPrevious.mObjects);
    mKernel.Counters().Add("document_bytes_total", {}, source.ObjectBytes());
    co_return complete;
  }

  asio::awaitable<void> Update(version_offer aOffer)
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
    version_result parsed = ReadVersion(assembly, previous);
    if (!parsed.mResult.mDocument) {
      mKernel.Counters().Add("document_refused_total");
      mKernel.Log().Warn("document_refused",
                         { { "version", std::to_string(aOffer.mVersion) } });
      co_return;
    }
    mIncrementalHash =
      parsed.mIncremental ? aOffer.mContentHash : std::string();
    if (!parsed.mIncremental) {
      mKernel.Counters().Add("document_read_whole_total");
    }
    PutInForce(
      aOffer, assembly.Objects(), std::move(*parsed.mResult.mDocument));
  }

  document_version InForce()
  {
    return mTables.DocumentState().With([this](document_state& aState) {
      return document_version{ aState.ContentHash(),
                               aState.Objects(),
                               aState.Document(),
                               aState.ContentHash() == mIncrementalHash };
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
      co_await Pause(kAnnounceInterval);
    }
  }

  asio::awaitable<void> AnnounceOnce(std::string aState)
  {
    platform_client<asio_http> platform = ClientFor(Platform());
    co_await platform.PutInstance(mKernel.Settings().mInstance,
                                  mKernel.Settings().mPeer,
                                  std::move(aState));
  }

  kernel& mKernel;
  entry_tables mTables;
  asio_http mHttp;
  // Content hash of the last version if it was parsed incrementally; else
  // empty.
  std::string mIncrementalHash;
  asio::strand<asio::io_context::executor_type> mStrand;
  std::mt19937_64 mRandom;
};

const plugin_registrar<config_watch> kRegistered;

} // namespace

} // namespace laburnumdyke
