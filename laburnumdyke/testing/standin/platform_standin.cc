// One coroutine a connection, all on one strand, so that the model needs no
// lock. Bodies are gathered: a stand-in holds every object in memory anyway.
#include "laburnumdyke/testing/standin/platform_standin.h"

#include "laburnumdyke/testing/standin/connections.h"
#include "laburnumdyke/testing/standin/platform_exchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxObjectBytes = 64ull << 20;
constexpr std::size_t kBufferLimit = 131072;

} // namespace

class platform_standin::server : public std::enable_shared_from_this<server>
{
public:
  server(asio::io_context& aContext, platform_standin_options aOptions)
    : mOptions(std::move(aOptions))
    , mStrand(asio::make_strand(aContext))
    , mAcceptor(mStrand)
  {
    mModel.SetFaults(mOptions.mFaults);
  }

  std::optional<std::string> Start();
  void Stop();

  std::uint16_t mPort = 0;

private:
  struct session
  {
    session(connection_set& aSet, tcp::socket aSocket)
      : mSocket(std::move(aSocket))
      , mGuard(aSet, mSocket)
      , mBuffer(kBufferLimit)
    {
    }

    tcp::socket mSocket;
    connection_guard mGuard;
    beast::flat_buffer mBuffer;
    bool mOpen = true; // goes on after the present request
  };

  asio::awaitable<void> Accepted(std::shared_ptr<server> aSelf,
                                 tcp::socket aSocket);
  asio::awaitable<void> ServeOne(session& aSession);
  asio::awaitable<void> ServeRequest(session& aSession, whole_request aRequest);
  asio::awaitable<void> Send(session& aSession, short_answer aAnswer);
  short_answer Control(const whole_request& aRequest);

  platform_standin_options mOptions;
  asio::any_io_executor mStrand;
  tcp::acceptor mAcceptor;
  connection_set mConnections;
  platform_model mModel;
};

std::optional<std::string>
platform_standin::server::Start()
{
  std::optional<std::string> failure = Listen(mAcceptor, mOptions.mListen);
  if (failure) {
    return failure;
  }
  mPort = mAcceptor.local_endpoint().port();
  std::shared_ptr<server> self = shared_from_this();
  asio::co_spawn(mStrand,
                 AcceptLoop(self,
                            mAcceptor,
                            [self](tcp::socket aSocket) {
                              return self->Accepted(self, std::move(aSocket));
                            }),
                 asio::detached);
  return std::nullopt;
}

void
platform_standin::server::Stop()
{
  asio::post(mStrand, [self = shared_from_this()]() {
    beast::error_code ignored;
    self->mAcceptor.close(ignored);
    self->mConnections.CloseAll();
  });
}

asio::awaitable<void>
platform_standin::server::Accepted(
  [[maybe_unused]] std::shared_ptr<server> aSelf,
  tcp::socket aSocket)
{
  session current(mConnections, std::move(aSocket));
  while (current.mOpen) {
    co_await ServeOne(current);
  }
  CloseSocket(current.mSocket);
}

asio::awaitable<void>
platform_standin::server::ServeOne(session& aSession)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(kHeaderLimit);
  parser.body_limit(kMaxObjectBytes);
  beast::error_code failure;
  aSession.mGuard.SetIdle(true);
  co_await http::async_read(aSession.mSocket,
                            aSession.mBuffer,
                            parser,
                            asio::redirect_error(asio::use_awaitable, failure));
  aSession.mGuard.SetIdle(false);
  if (failure) {
    aSession.mOpen = false;
    std::optional<http::status> status = StatusForReadFailure(failure);
    if (status) {
      mModel.Counters().mMalformed++;
      co_await Send(aSession,
                    MakeAnswer(*status, ErrorJson(failure.message()), false));
    }
    co_return;
  }
  aSession.mOpen = parser.keep_alive();
  co_await ServeRequest(aSession, parser.release());
}

asio::awaitable<void>
platform_standin::server::ServeRequest(session& aSession,
                                       whole_request aRequest)
{
  if (aRequest.target() == "/control") {
    co_await Send(aSession, Control(aRequest));
    co_return;
  }
  if (!mModel.Faults().mOutage && mModel.Faults().mDelay.count() > 0) {
    asio::steady_timer timer(mStrand, mModel.Faults().mDelay);
    beast::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (mModel.Faults().mOutage) {
    aSession.mOpen = false;
    co_return;
  }
  std::optional<short_answer> answer =
    PerformPlatformRequest(mModel, aRequest, std::chrono::steady_clock::now());
  if (!answer) {
    aSession.mOpen = false;
    co_return;
  }
  co_await Send(aSession, std::move(*answer));
}

asio::awaitable<void>
platform_standin::server::Send(session& aSession, short_answer aAnswer)
{
  beast::error_code failure;
  co_await http::async_write(
    aSession.mSocket,
    aAnswer,
    asio::redirect_error(asio::use_awaitable, failure));
  aSession.mOpen = aSession.mOpen && !failure;
}

short_answer
platform_standin::server::Control(const whole_request& aRequest)
{
  http::status status = http::status::ok;
  std::string answer;
  if (aRequest.method() == http::verb::post) {
    std::optional<std::string> fault = ControlPlatform(mModel, aRequest.body());
    status = fault ? http::status::bad_request : http::status::ok;
    answer = fault ? ErrorJson(*fault) : PlatformCountersJson(mModel);
  } else if (aRequest.method() == http::verb::get) {
    answer = PlatformCountersJson(mModel);
  } else {
    status = http::status::method_not_allowed;
    answer = ErrorJson("expected GET or POST");
  }
  if (mModel.Faults().mOutage) {
    mConnections.CloseIdle();
  }
  return MakeAnswer(status, answer, aRequest.keep_alive());
}

platform_standin::platform_standin(asio::io_context& aContext,
                                   platform_standin_options aOptions)
  : mServer(std::make_shared<server>(aContext, std::move(aOptions)))
{
}

platform_standin::~platform_standin()
{
  Stop();
}

std::optional<std::string>
platform_standin::Start()
{
  return mServer->Start();
}

std::uint16_t
platform_standin::Port() const
{
  return mServer->mPort;
}

void
platform_standin::Stop()
{
  mServer->Stop();
}

} // namespace laburnumdyke
