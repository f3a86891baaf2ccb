// Each direction of a connection has a reader and a writer with a bounded
// queue between them. The reader stamps each chunk with the time it is due and
// the writer waits for that time, so that a delay does not lower throughput as
// a pause between read and write would.
#include "laburnumdyke/testing/standin/link_standin.h"

#include "laburnumdyke/testing/standin/connections.h"
#include "laburnumdyke/testing/standin/control_form.h"
#include "laburnumdyke/testing/standin/whole_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <deque>
#include <memory>
#include <utility>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kChunkBytes = 16384;
constexpr std::size_t kQueueBytes = 1 << 20; // one direction of a connection
constexpr std::chrono::milliseconds kMaxDelay{ 600000 };

using instant = std::chrono::steady_clock::time_point;

// Bytes on their way in one direction.
struct pipe
{
  struct chunk
  {
    instant mDue;
    std::string mBytes; // empty: the sender closed
  };

  pipe(tcp::socket& aFrom, tcp::socket& aTo)
    : mFrom(aFrom)
    , mTo(aTo)
    , mChanged(aFrom.get_executor(), instant::max())
  {
  }

  asio::awaitable<void> Change()
  {
    boost::system::error_code cancelled;
    co_await mChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  }

  tcp::socket& mFrom;
  tcp::socket& mTo;
  std::deque<chunk> mChunks;
  std::size_t mBytes = 0;
  bool mBroken = false;        // the receiver has gone
  asio::steady_timer mChanged; // cancelled on each change of the queue
};

} // namespace

class link_standin::server : public std::enable_shared_from_this<server>
{
public:
  server(asio::io_context& aContext, link_standin_options aOptions)
    : mOptions(std::move(aOptions))
    , mStrand(asio::make_strand(aContext))
    , mAcceptor(mStrand)
    , mControlAcceptor(mStrand)
    , mFlowing(mStrand, instant::max())
    , mFaults(mOptions.mFaults)
  {
  }

  std::optional<std::string> Start();
  void Stop();
  void Set(const link_faults& aFaults);

  // For ServeWhole.
  static constexpr std::uint64_t kMaxBody = 65536;
  asio::awaitable<std::optional<short_answer>> Perform(whole_request aRequest);
  void Malformed() {}

  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;

private:
  // One connection, kept by the coroutines that serve it. The server is
  // released last.
  struct relayed
  {
    relayed(std::shared_ptr<server> aServer, tcp::socket aNear)
      : mServer(std::move(aServer))
      , mNear(std::move(aNear))
      , mFar(mServer->mStrand)
      , mNearGuard(mServer->mConnections, mNear)
      , mFarGuard(mServer->mConnections, mFar)
    {
    }

    std::shared_ptr<server> mServer;
    tcp::socket mNear;
    tcp::socket mFar;
    connection_guard mNearGuard;
    connection_guard mFarGuard;
    pipe mOutward{ mNear, mFar };
    pipe mInward{ mFar, mNear };
  };

  asio::awaitable<void> Accept(std::shared_ptr<server> aSelf);
  asio::awaitable<void> Accepted(std::shared_ptr<server> aSelf,
                                 tcp::socket aSocket);
  asio::awaitable<void> AcceptedControl(std::shared_ptr<server> aSelf,
                                        tcp::socket aSocket);
  asio::awaitable<void> Read(std::shared_ptr<relayed> aPair, pipe& aPipe);
  // Closes both sockets once the receiver takes no more.
  asio::awaitable<void> Write(std::shared_ptr<relayed> aPair, pipe& aPipe);
  std::optional<std::string> Apply(const link_faults& aFaults);
  std::optional<std::string> Reopen();

  link_standin_options mOptions;
  asio::any_io_executor mStrand;
  tcp::acceptor mAcceptor;
  tcp::acceptor mControlAcceptor;
  asio::steady_timer mFlowing; // cancelled when a stall ends
  bool mAccepting = false;     // the accept loop is running
  bool mStopped = false;
  connection_set mConnections;
  connection_set mControlConnections;
  link_faults mFaults;
  link_counters mCounters;
};

std::optional<std::string>
link_standin::server::Start()
{
  std::optional<std::string> failure = Listen(mAcceptor, mOptions.mListen);
  if (!failure && mOptions.mControlListen) {
    failure = Listen(mControlAcceptor, *mOptions.mControlListen);
  }
  if (failure) {
    return failure;
  }
  mPort = mAcceptor.local_endpoint().port();
  std::shared_ptr<server> self = shared_from_this();
  if (mOptions.mControlListen) {
    mControlPort = mControlAcceptor.local_endpoint().port();
    asio::co_spawn(mStrand,
                   AcceptLoop(self,
                              mControlAcceptor,
                              [self](tcp::socket aSocket) {
                                return self->AcceptedControl(
                                  self, std::move(aSocket));
                              }),
                   asio::detached);
  }
  if (mFaults.mCut) {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    return std::nullopt;
  }
  mAccepting = true;
  asio::co_spawn(mStrand, Accept(self), asio::detached);
  return std::nullopt;
}

void
link_standin::server::Stop()
{
  asio::post(mStrand, [self = shared_from_this()]() {
    boost::system::error_code ignored;
    self->mStopped = true;
    self->mAcceptor.close(ignored);
    self->mControlAcceptor.close(ignored);
    self->mConnections.CloseAll();
    self->mControlConnections.CloseAll();
    self->mFaults.mStalled = false;
    self->mFlowing.cancel();
  });
}

void
link_standin::server::Set(const link_faults& aFaults)
{
  asio::post(mStrand,
             [self = shared_from_this(), aFaults]() { self->Apply(aFaults); });
}

std::optional<std::string>
link_standin::server::Apply(const link_faults& aFaults)
{
  if (mStopped) {
    return std::nullopt;
  }
  mFaults = aFaults;
  if (!mFaults.mStalled) {
    mFlowing.cancel();
  }
  if (!mFaults.mCut) {
    return Reopen();
  }
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  mConnections.CloseAll();
  mFlowing.cancel();
  return std::nullopt;
}

std::optional<std::string>
link_standin::server::Reopen()
{
  if (mAcceptor.is_open()) {
    return std::nullopt;
  }
  std::optional<std::string> failure =
    Listen(mAcceptor, { mOptions.mListen.mAddress, mPort });
  if (failure) {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    mFaults.mCut = true;
    return failure;
  }
  if (!mAccepting) {
    mAccepting = true;
    asio::co_spawn(mStrand, Accept(shared_from_this()), asio::detached);
  }
  return std::nullopt;
}

asio::awaitable<void>
link_standin::server::Accept(std::shared_ptr<server> aSelf)
{
  // Named: g++ 12 destroys a closure that is a temporary of a co_await
  // expression twice.
  auto accepted = [aSelf](tcp::socket aSocket) {
    return aSelf->Accepted(aSelf, std::move(aSocket));
  };
  co_await AcceptLoop(aSelf, mAcceptor, accepted);
  mAccepting = false;
}

asio::awaitable<void>
link_standin::server::Accepted(std::shared_ptr<server> aSelf,
                               tcp::socket aSocket)
{
  std::shared_ptr<relayed> pair =
    std::make_shared<relayed>(aSelf, std::move(aSocket));
  boost::system::error_code failure;
  tcp::endpoint to(asio::ip::make_address(mOptions.mTo.mAddress, failure),
                   mOptions.mTo.mPort);
  co_await pair->mFar.async_connect(
    to, asio::redirect_error(asio::use_awaitable, failure));
  if (failure || mFaults.mCut) {
    mCounters.mUnreachable += failure ? 1 : 0;
    CloseSocket(pair->mNear);
    co_return;
  }
  boost::system::error_code ignored;
  pair->mFar.set_option(tcp::no_delay(true), ignored);
  mCounters.mConnections++;
  for (pipe* each : { &pair->mOutward, &pair->mInward }) {
    asio::co_spawn(mStrand, Read(pair, *each), asio::detached);
    asio::co_spawn(mStrand, Write(pair, *each), asio::detached);
  }
}

asio::awaitable<void>
link_standin::server::AcceptedControl(
  [[maybe_unused]] std::shared_ptr<server> aSelf,
  tcp::socket aSocket)
{
  co_await ServeWhole(*this, mControlConnections, std::move(aSocket));
}

asio::awaitable<void>
link_standin::server::Read([[maybe_unused]] std::shared_ptr<relayed> aPair,
                           pipe& aPipe)
{
  std::string buffer(kChunkBytes, '\0');
  bool open = true;
  while (open) {
    boost::system::error_code failure;
    std::size_t size = co_await aPipe.mFrom.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
    open = !failure;
    instant due = std::chrono::steady_clock::now() + mFaults.mDelay;
    aPipe.mChunks.push_back({ due, open ? buffer.substr(0, size) : "" });
    aPipe.mBytes += open ? size : 0;
    aPipe.mChanged.cancel();
    while (open && !aPipe.mBroken && aPipe.mBytes >= kQueueBytes) {
      co_await aPipe.Change();
    }
  }
}

asio::awaitable<void>
link_standin::server::Write(std::shared_ptr<relayed> aPair, pipe& aPipe)
{
  while (!aPipe.mBroken) {
    while (aPipe.mChunks.empty()) {
      co_await aPipe.Change();
    }
    pipe::chunk next = std::move(aPipe.mChunks.front());
    aPipe.mChunks.pop_front();
    boost::system::error_code failure;
    asio::steady_timer due(mStrand, next.mDue);
    co_await due.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    while (mFaults.mStalled && aPipe.mTo.is_open()) {
      co_await mFlowing.async_wait(
        asio::redirect_error(asio::use_awaitable, failure));
    }
    if (next.mBytes.empty()) {
      aPipe.mTo.shutdown(tcp::socket::shutdown_send, failure);
      co_return;
    }
    co_await asio::async_write(
      aPipe.mTo,
      asio::buffer(next.mBytes),
      asio::redirect_error(asio::use_awaitable, failure));
    aPipe.mBroken = static_cast<bool>(failure);
    aPipe.mBytes -= next.mBytes.size();
    mCounters.mBytes += failure ? 0 : next.mBytes.size();
    aPipe.mChanged.cancel();
  }
  CloseSocket(aPair->mNear);
  CloseSocket(aPair->mFar);
}

asio::awaitable<std::optional<short_answer>>
link_standin::server::Perform(whole_request aRequest)
{
  std::optional<std::string> fault;
  if (aRequest.target() != "/control") {
    co_return MakeAnswer(http::status::not_found,
                         ErrorJson("no such path"),
                         aRequest.keep_alive());
  }
  if (aRequest.method() == http::verb::post) {
    link_faults next = mFaults;
    control_form form;
    form.Flag("cut", next.mCut);
    form.Flag("stalled", next.mStalled);
    form.Time("delay_ms", kMaxDelay, next.mDelay);
    fault = form.Read(aRequest.body());
    if (!fault) {
      fault = Apply(next);
    }
  } else if (aRequest.method() != http::verb::get) {
    fault = "expected GET or POST";
  }
  if (fault) {
    co_return MakeAnswer(
      http::status::bad_request, ErrorJson(*fault), aRequest.keep_alive());
  }
  boost::json::object counters;
  counters["connections"] = mCounters.mConnections;
  counters["bytes"] = mCounters.mBytes;
  counters["unreachable"] = mCounters.mUnreachable;
  co_return MakeAnswer(
    http::status::ok, boost::json::serialize(counters), aRequest.keep_alive());
}

link_standin::link_standin(asio::io_context& aContext,
                           link_standin_options aOptions)
  : mServer(std::make_shared<server>(aContext, std::move(aOptions)))
{
}

link_standin::~link_standin()
{
  Stop();
}

std::optional<std::string>
link_standin::Start()
{
  return mServer->Start();
}

std::uint16_t
link_standin::Port() const
{
  return mServer->mPort;
}

std::uint16_t
link_standin::ControlPort() const
{
  return mServer->mControlPort;
}

void
link_standin::Set(const link_faults& aFaults)
{
  mServer->Set(aFaults);
}

void
link_standin::Stop()
{
  mServer->Stop();
}

} // namespace laburnumdyke
